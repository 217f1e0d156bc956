"""Responses with neither a length nor chunks, whose end only their connection shows."""

import pytest
from twisted.internet.task import Clock

from chivewall.gateway.exchange import CONFIRM_TRIES
from chivewall.gateway.exchange_messages import Reachability
from chivewall.gateway.routing_configuration import RouteKind, Stage
from chivewall.platform.headers import PlatformDialect
from tests.utils.requests import RequestBench, make_stream_route

BODY = b'{"booked": true}'


@pytest.fixture
def clock():
    return Clock()


def plain(clock, kind, **stages):
    route = make_stream_route(kind=kind, resumable=False)
    return RequestBench(clock, route=route, **(stages or {"d1": Stage.DECODE}))


def status(bench):
    return bench.caller.messages[-1].status


def test_whole_response_of_a_living_process_is_passed_on(clock):
    bench = plain(clock, RouteKind.UNSAFE)
    bench.answer_plainly(BODY)
    assert (status(bench), bench.caller.messages[-1].body) == (200, BODY)


@pytest.mark.parametrize("reachability", [Reachability.REFUSED, Reachability.SILENT])
def test_part_of_a_response_is_not_passed_on_as_a_whole_one(clock, reachability):
    """Guards against a 200 with half of its body, from an endpoint that was killed in it."""
    bench = plain(clock, RouteKind.UNSAFE)
    bench.connections.reachability = reachability
    bench.answer_plainly(BODY[:7])
    assert status(bench) == 502
    assert bench.connections.fetched == CONFIRM_TRIES


def test_part_of_a_response_is_asked_for_again_where_it_may_run_twice(clock):
    bench = plain(clock, RouteKind.SAFE, d1=Stage.DECODE, d2=Stage.DECODE)
    bench.connections.reachability = Reachability.REFUSED
    bench.answer_plainly(BODY[:7])
    assert len(bench.connections.sent) == 2
    bench.connections.reachability = Reachability.REACHABLE
    bench.answer_plainly(BODY)
    assert (status(bench), bench.caller.messages[-1].body) == (200, BODY)


def test_stream_of_a_restarted_engine_is_not_complete(clock):
    """Guards against a restarted engine that is taken for the one that wrote the stream."""
    bench = RequestBench(clock, d1=Stage.DECODE, d2=Stage.DECODE).begin(events=2)
    bench.connections.identity_status = 421
    bench.finish(until_closed=True)
    assert bench.outcomes() == []
    assert len(bench.connections.sent) == 2


def test_stream_of_a_living_engine_is_complete(clock):
    bench = RequestBench(clock, d1=Stage.DECODE).begin(events=2)
    bench.finish(until_closed=True)
    assert bench.outcomes() == ["FinishResponse"]


@pytest.mark.parametrize(
    ("status_code", "headers", "body", "same"),
    [
        (200, ((b"X-Runner-Id", b"i-1"),), b"{}", True),
        (400, ((b"X-Not-Run", b"1"),), b"", True),
        (200, (), b'{"born": 7, "stage": "decode"}', True),
        (200, (), b'{"born": 8, "stage": "decode"}', False),
        (200, ((b"X-Runner-Id", b"i-2"),), b"{}", False),
        (421, (), b"", False),
        (200, (), b"[[[", True),
    ],
)
def test_process_is_known_by_its_id_and_start(status_code, headers, body, same):
    """Guards against an address, or an id that was used again, taken for the same process."""
    dialect = PlatformDialect()
    found = dialect.is_process("i-1", 7, status=status_code, headers=headers, body=body)
    assert found is same
