"""Pauses that endpoints ask for, without a network."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.task import Clock

from chivewall.decisions.endpoint_record import (
    RECOVERY_FAILURE_SHARE,
    RECOVERY_SECONDS,
    EndpointRecord,
)
from chivewall.decisions.overload import Overloaded
from chivewall.decisions.placement import Placement
from chivewall.decisions.stated_pauses import MAX_PAUSE_SECONDS, MAX_PAUSES, StatedPauses
from chivewall.gateway.announcement_messages import EndpointPause
from chivewall.gateway.request_waits import PAUSE_SPREAD_SECONDS
from chivewall.gateway.routing_configuration import Stage
from chivewall.platform.headers import PlatformDialect
from tests.utils.fleets import make_fleet, query_placement
from tests.utils.gateways import engine_info
from tests.utils.requests import RequestBench


def placed(fleet, **fields):
    return query_placement(fleet, prompt_tokens=200, **fields)


def pause(fleet, name, seconds, stage=Stage.DECODE):
    fleet.send(EndpointPause(engine_info(name, stage), seconds))


@pytest.mark.parametrize(
    ("values", "seconds"),
    [
        (["2"], 2.0),
        (["0.25"], 0.25),
        (["1", "3"], 3.0),
        (["-1"], None),
        (["inf"], None),
        (["1e9"], None),
        (["Wed, 21 Oct 2026 07:28:00 GMT"], None),
        (["soon", "2"], 2.0),
        ([], None),
    ],
)
def test_pause_of_a_refusal_is_the_longest_readable_one(values, seconds):
    headers = tuple((b"Retry-After", one.encode()) for one in values)
    assert PlatformDialect().decode_response(503, headers).retry_after == seconds


def test_pause_is_kept_until_its_own_end():
    """Guards against a later refusal, or an absurd value, that changes a pause."""
    pauses = StatedPauses()
    assert pauses.record("e", 1, 4.0, now=10.0).until == 14.0
    assert pauses.record("e", 1, 1.0, now=11.0) is None
    assert pauses.get("e").until == 14.0
    assert pauses.record("e", 1, 1e9, now=11.0).until == 11.0 + MAX_PAUSE_SECONDS
    assert pauses.record("e", 2, 1.0, now=11.0).until == 12.0
    assert pauses.record("e", 1, 50.0, now=11.0) is None


def test_number_of_kept_pauses_is_bounded():
    pauses = StatedPauses()
    for one in range(MAX_PAUSES + 5):
        pauses.record(f"e{one}", 0, 1.0, now=0.0)
    assert pauses.get("e0") is None
    assert pauses.get(f"e{MAX_PAUSES + 4}") is not None


def test_free_endpoint_is_used_during_a_pause():
    clock = Clock()
    fleet = make_fleet(clock, d1=Stage.DECODE, d2=Stage.DECODE)
    pause(fleet, "d1", 20.0)
    for _ in range(10):
        found = placed(fleet)
        assert (found.endpoint.id, found.not_before <= clock.seconds()) == ("d2", True)


def test_short_pause_of_all_endpoints_is_waited_for():
    clock = Clock()
    fleet = make_fleet(clock, d1=Stage.DECODE, d2=Stage.DECODE)
    pause(fleet, "d1", 0.2)
    pause(fleet, "d2", 0.3)
    found = placed(fleet, slack_seconds=0.8, time_left_seconds=6.0)
    assert isinstance(found, Placement)
    assert (found.endpoint.id, found.not_before) == ("d1", 0.2)


def test_long_pause_of_all_endpoints_is_named_to_the_caller():
    """Guards against requests that wait in vain, and against a Retry-After before any end."""
    fleet = make_fleet(Clock(), d1=Stage.DECODE, d2=Stage.DECODE)
    pause(fleet, "d1", 20.0)
    pause(fleet, "d2", 30.0)
    found = placed(fleet, slack_seconds=0.8, time_left_seconds=6.0)
    assert isinstance(found, Overloaded)
    assert 20.0 <= found.retry_after <= 25.0 + 1.0


def test_paused_prefill_engine_gets_no_prefills():
    fleet = make_fleet(Clock(), p1=Stage.PREFILL, d1=Stage.DECODE)
    pause(fleet, "p1", 20.0, Stage.PREFILL)
    found = placed(fleet)
    assert (found.prefill_engine, found.endpoint.id) == (None, "d1")


def test_pause_concerns_one_process_of_an_endpoint():
    record = EndpointRecord(engine_info("d1", Stage.DECODE))
    record.pause = StatedPauses().record("d1", 7, 20.0, now=0.0)
    assert record.paused_until < 0.0


def test_work_returns_gradually_after_a_pause():
    """Guards against all the work that waited coming back at the same moment."""
    record = EndpointRecord(engine_info("d1", Stage.DECODE))
    record.pause = StatedPauses().record("d1", 0, 1.0, now=0.0)
    shares = [record.current_failure_share(1.0 + one * RECOVERY_SECONDS) for one in (0.0, 0.5, 1.0)]
    assert shares == [RECOVERY_FAILURE_SHARE, RECOVERY_FAILURE_SHARE / 2, 0.0]


@pytest.mark.parametrize(("seconds", "is_sent"), [(0.2, True), (20.0, False)])
def test_retry_waits_for_the_end_of_a_pause(seconds, is_sent):
    """Guards against a retry that is sent into a pause, or that waits for one without an end."""
    clock = Clock()
    bench = RequestBench(clock, d1=Stage.DECODE, d2=Stage.DECODE)
    refusing = bench.engine
    other = "d2" if refusing == "d1" else "d1"
    pause(bench.fleet, other, seconds)
    pause(bench.fleet, refusing, 30.0)
    bench.refuse()
    assert [one.endpoint.id for one in bench.connections.sent] == [refusing]
    clock.advance(seconds - 0.01)
    assert len(bench.connections.sent) == 1
    clock.advance(0.01 + PAUSE_SPREAD_SECONDS)
    assert [one.endpoint.id for one in bench.connections.sent[1:]] == [other] * is_sent
    assert bench.outcomes() == ["SendResponse"] * (not is_sent)


@given(st.lists(st.tuples(st.integers(0, 2), st.floats(0, 400), st.floats(0, 50)), max_size=30))
def test_end_of_a_pause_never_moves_back_for_a_process(drawn):
    pauses, now, latest = StatedPauses(), 0.0, (0, 0.0)
    for started_ms, seconds, elapsed in drawn:
        now += elapsed
        pauses.record("e", started_ms, seconds, now=now)
        found = pauses.get("e")
        assert (found.started_ms, found.until) >= latest
        latest = (found.started_ms, found.until)
