"""Which forwarded requests are counted as begun, and when."""

import pytest
from twisted.internet.task import Clock

from chivewall.gateway.exchange_messages import RequestWritten, ResponseStarted
from chivewall.gateway.routing_configuration import RouteKind, Stage, Workspace
from chivewall.gateway.usage_messages import RequestBegan
from tests.utils.fleets import RecordingSink
from tests.utils.requests import PLAIN_HEAD, STREAM_HEAD, RequestBench, make_stream_route

DECODERS = {"d1": Stage.DECODE, "d2": Stage.DECODE}


@pytest.fixture
def clock():
    return Clock()


def make_bench(clock, **route):
    """Return a request of a workspace."""
    bench = RequestBench(clock, route=make_stream_route(**route), **DECODERS)
    bench.env.unix_time = lambda: 1000.0 + clock.seconds()
    bench.task.terms.workspace = Workspace("w", ("key",))
    bench.task.context.usage = RecordingSink()
    return bench


def counted(bench):
    return bench.task.context.usage.messages


def test_stream_begins_with_its_first_event(clock):
    """Guards against a stream that is counted while it waits at the engine."""
    bench = make_bench(clock)
    bench.task.send(RequestWritten(bench.exchange, reused=False))
    bench.task.send(ResponseStarted(bench.exchange, STREAM_HEAD))
    assert counted(bench) == []
    clock.advance(0.2)
    bench.send_event(1)
    bench.send_event(2)
    assert counted(bench) == [RequestBegan("w", 1000.2)]


def test_request_that_runs_twice_is_counted_once(clock):
    """Guards against a workspace that is billed for the failure of an engine."""
    bench = make_bench(clock).begin()
    bench.break_off()
    bench.begin(events=2)
    bench.finish()
    assert len(counted(bench)) == 1


def test_refused_request_is_counted_where_it_runs(clock):
    """Guards against a refusal that is billed."""
    bench = make_bench(clock)
    bench.refuse()
    assert counted(bench) == []
    clock.advance(0.1)
    bench.begin()
    assert len(counted(bench)) == 1


def test_run_of_a_plain_service_began_before_its_response(clock):
    """Guards against runs that are counted in the window after the one in which they began."""
    bench = make_bench(clock, kind=RouteKind.SAFE)
    bench.task.send(RequestWritten(bench.exchange, reused=False))
    clock.advance(0.02)
    bench.task.send(ResponseStarted(bench.exchange, PLAIN_HEAD))
    assert counted(bench) == [RequestBegan("w", 1000.0)]


def test_request_without_a_workspace_is_not_counted(clock):
    """Guards against a failure at a public route."""
    bench = make_bench(clock)
    bench.task.terms.workspace = None
    bench.begin()
    assert counted(bench) == []
