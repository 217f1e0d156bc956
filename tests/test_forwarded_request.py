"""The task of one forwarded request, between its attempts."""

import gc
import weakref

import pytest
from attrs import evolve
from twisted.internet.task import Clock

from chivewall.decisions.crash_evidence import PartCheck, PartKey, Verdict
from chivewall.gateway.caller_messages import CallerDisconnected, SendResponse
from chivewall.gateway.exchange_messages import Reachability
from chivewall.gateway.fleet_messages import EngineCooldown
from chivewall.gateway.part_messages import EngineCrashed, PartsSuspected
from chivewall.gateway.routing_configuration import RouteKind, Stage
from chivewall.gateway.store_collections import CollectionChanges, CollectionItem
from tests.utils.gateways import engine_info
from tests.utils.requests import SERVICE, FakeConnections, RequestBench, make_stream_route

DECODERS = {"d1": Stage.DECODE, "d2": Stage.DECODE}


@pytest.fixture
def clock():
    return Clock()


class PendingGuard:
    """Guard of prompt parts whose verdicts the test gives."""

    def __init__(self):
        self.checks = []

    def query(self, message):
        self.checks.append(message)
        return message.deferred

    def send(self, message):
        """Ignore the message."""


class PendingProbes(FakeConnections):
    """Pool of connections whose probes the test answers."""

    def __init__(self, **fields):
        super().__init__(**fields)
        self.pending = []

    def query(self, message):
        self.pending.append(message)
        return message.deferred


class SpentBudget:
    """Repeat budget with nothing left."""

    policy = None

    def spend(self, now):
        return False

    def count_request(self, now):
        """Ignore the request."""


def hold_probes(bench):
    pool = PendingProbes(sent=bench.connections.sent)
    bench.task.context.connections = bench.connections = pool
    return pool


def list_engine(bench, name):
    item = CollectionItem(name, engine_info(name, Stage.DECODE), 2)
    bench.fleet.send(CollectionChanges("servers", (item,), 2))


def test_begun_stream_waits_for_an_engine_after_all_have_crashed(clock):
    """Guards against a stream that is cut at once, seconds before its deadline."""
    bench = RequestBench(clock, **DECODERS).begin(events=2)
    bench.connections.reachability = Reachability.REFUSED
    bench.break_off()
    bench.fail_to_connect()
    assert bench.outcomes() == []
    list_engine(bench, "d3")
    clock.advance(0.1)
    assert bench.engine == "d3"
    bench.begin(events=0)
    bench.send_event(3)
    bench.finish()
    assert bench.outcomes() == ["FinishResponse"]


def test_begun_stream_returns_to_an_engine_that_is_usable_again(clock):
    """Guards against a stream that waits for a change of the list which never comes."""
    bench = RequestBench(clock, d1=Stage.DECODE).begin(events=2)
    bench.break_off()
    clock.advance(0.1)
    bench.fail_to_connect()
    assert bench.outcomes() == []
    assert len(bench.connections.sent) == 2
    clock.advance(1.0)
    assert len(bench.connections.sent) == 3


def test_waiting_stream_ends_at_its_deadline(clock):
    """Guards against a request that waits for an engine for ever."""
    bench = RequestBench(clock, d1=Stage.DECODE).begin()
    bench.break_off()
    for _ in range(60):
        bench.fail_to_connect()
        clock.advance(0.1)
    assert bench.outcomes() == ["AbortResponse"]


def test_request_that_has_not_run_is_refused_at_once_without_an_endpoint(clock):
    """Guards against callers that wait for a place although they could come back elsewhere."""
    bench = RequestBench(clock, d1=Stage.DECODE)
    bench.fail_to_connect()
    assert bench.outcomes() == ["SendResponse"]
    assert bench.caller.messages[-1].status == 503


def test_crashed_engines_do_not_use_up_the_attempts_of_a_begun_stream(clock):
    """Guards against a stream that is cut because two engines crashed under it."""
    bench = RequestBench(clock, **DECODERS, d3=Stage.DECODE).begin(events=1)
    bench.connections.reachability = Reachability.REFUSED
    bench.break_off()
    bench.begin(events=0)
    bench.send_event(2)
    bench.break_off()
    bench.begin(events=0)
    bench.send_event(3)
    bench.finish()
    assert bench.outcomes() == ["FinishResponse"]


def test_refusal_does_not_use_up_the_attempts_of_a_begun_stream(clock):
    """Guards against a stream that is cut because the next engine was full."""
    bench = RequestBench(clock, **DECODERS).begin(events=1)
    bench.break_off()
    bench.refuse()
    assert bench.outcomes() == []
    clock.advance(0.6)
    bench.begin(events=0)
    bench.send_event(2)
    bench.finish()
    assert bench.outcomes() == ["FinishResponse"]


def test_stalled_stream_is_kept_while_no_other_engine_is_left(clock):
    """Guards against a sound stream that is cut because its engine was silent for a second."""
    bench = RequestBench(clock, d1=Stage.DECODE).begin(events=1)
    for _ in range(4):
        clock.advance(0.5)
    assert bench.connections.cancelled == []
    bench.send_event(2)
    bench.finish()
    assert bench.outcomes() == ["FinishResponse"]


def test_silent_engine_is_kept_while_no_other_engine_is_left(clock):
    """Guards against an accepted request that fails because its only engine was silent."""
    bench = RequestBench(clock, d1=Stage.DECODE)
    bench.begin(events=0)
    bench.connections.reachability = Reachability.SILENT
    clock.advance(0.6)
    assert bench.connections.probes == 1
    assert bench.connections.cancelled == []
    bench.send_event(1)
    bench.finish()
    assert bench.outcomes() == ["FinishResponse"]


def test_silent_engine_is_replaced_by_a_sound_one(clock):
    """Guards against a request that waits for an engine which is gone while another is idle."""
    bench = RequestBench(clock, **DECODERS)
    bench.begin(events=0)
    first = bench.engine
    bench.connections.reachability = Reachability.SILENT
    clock.advance(0.6)
    assert bench.engine != first


def test_begun_stream_is_not_stopped_by_a_suspected_part(clock):
    """Guards against a stream whose own events show that its parts crash no engine."""
    bench = RequestBench(clock, **DECODERS, parts=("a1", "5c1e", "01")).begin(events=1)
    clock.advance(0.1)
    bench.break_off()
    key = PartKey(SERVICE, "5c1e")
    for name in ("e1", "e2", "e3", "e4"):
        crashed = EngineCrashed(engine_info(name, Stage.DECODE), (key,), "r9", begun=True)
        bench.guard.send(crashed)
    bench.task.send(PartsSuspected())
    bench.begin(events=0)
    bench.send_event(2)
    bench.finish()
    assert bench.outcomes() == ["FinishResponse"]


def test_event_that_came_before_a_suspicion_was_checked_is_forwarded(clock):
    """Guards against a stream that is withdrawn although its first event had arrived."""
    bench = RequestBench(clock, **DECODERS, parts=("a1", "5c1e", "01"))
    bench.begin(events=0)
    bench.task.prompt.guard = PendingGuard()
    bench.task.send(PartsSuspected())
    bench.send_event(1)
    bench.task.prompt.guard.checks[0].reply(PartCheck(Verdict.REFUSE))
    bench.finish()
    assert bench.outcomes() == ["FinishResponse"]


def test_request_at_an_engine_is_withdrawn_when_a_part_is_suspected(clock):
    """Guards against the next crash by a request that is already on its way."""
    bench = RequestBench(clock, **DECODERS, parts=("a1", "5c1e", "01"))
    bench.begin(events=0)
    key = PartKey(SERVICE, "5c1e")
    for name in ("e1", "e2"):
        crashed = EngineCrashed(engine_info(name, Stage.DECODE), (key,), "r9", begun=True)
        bench.guard.send(crashed)
    assert bench.connections.cancelled == [1]
    assert len(bench.connections.sent) == 1


def test_log_tells_who_ended_the_connection(clock):
    """Guards against a stop that looks like a caller who left."""
    for by_gateway, outcome in ((False, "caller gone"), (True, "connection aborted")):
        bench = RequestBench(clock, **DECODERS).begin()
        bench.task.send(CallerDisconnected(by_gateway=by_gateway))
        assert bench.events[-1] == ("CALL_ENDED", bench.events[-1][1] | {"outcome": outcome})


def test_unsafe_request_that_may_have_run_ends_at_once(clock):
    """Guards against a booking that waits for a second run, which it must never get."""
    bench = RequestBench(clock, make_stream_route(kind=RouteKind.UNSAFE), d1=Stage.DECODE)
    bench.begin(events=0)
    bench.break_off()
    response = bench.caller.messages[-1]
    assert isinstance(response, SendResponse)
    assert response.status not in (408, 421, 429, 503)


def runs(bench):
    return [dict(one.headers)[b"X-Expect-Instance"].decode() for one in bench.connections.sent]


def test_refusal_by_the_endpoint_that_ran_it_does_not_free_an_attempt(clock):
    """Guards against a request that runs on more endpoints than its route's attempts."""
    bench = RequestBench(clock, route=make_stream_route(attempts=1), **DECODERS).begin(events=1)
    bench.break_off()  # d1 lives: the probe reaches it
    for _ in range(20):
        clock.advance(0.1)
        if len(bench.connections.sent) == 2:
            break
    assert len(set(runs(bench))) == 1
    bench.refuse()
    for _ in range(20):
        clock.advance(0.1)
    assert len(set(runs(bench))) == 1, runs(bench)


def test_bytes_during_the_probe_keep_the_exchange(clock):
    """Guards against a stream that is ended although its endpoint goes on again."""
    bench = RequestBench(clock, **DECODERS).begin(events=1)
    pool = hold_probes(bench)
    clock.advance(0.51)
    assert len(pool.pending) == 1
    clock.advance(0.2)
    bench.send_event(2)
    clock.advance(0.2)
    pool.pending[0].reply(Reachability.SILENT)
    assert pool.cancelled == []


def test_deadline_is_kept_while_a_broken_attempt_is_probed(clock):
    """Guards against a final response after the time at which connections are closed."""
    route = make_stream_route(attempts=1, timeout_ms=1000)
    bench = RequestBench(clock, route=route, **DECODERS).begin(events=1)
    hold_probes(bench)
    clock.advance(0.9)
    bench.break_off()
    clock.advance(0.3)
    assert bench.outcomes() == ["AbortResponse"]


def test_silent_stream_is_kept_without_repeat_budget(clock):
    """Guards against a live exchange that is ended although no other attempt may be sent."""
    bench = RequestBench(clock, **DECODERS).begin(events=1)
    bench.fleet.repeat_budgets["engines"] = SpentBudget()
    bench.connections.reachability = Reachability.SILENT
    for _ in range(12):
        clock.advance(0.1)
    assert bench.connections.cancelled == []


def test_silent_stream_is_kept_after_the_last_allowed_run(clock):
    """Guards against a live stream that is cut because its earlier runs have failed."""
    engines = dict.fromkeys(("d1", "d2", "d3", "d4", "d5"), Stage.DECODE)
    bench = RequestBench(clock, route=make_stream_route(attempts=9), **engines).begin(events=1)
    for number in range(3):
        bench.break_off()
        for _ in range(20):
            if len(bench.connections.sent) == number + 2:
                break
            clock.advance(0.1)
        bench.begin(events=0)
        bench.send_event(number + 2)
    bench.connections.reachability = Reachability.SILENT
    for _ in range(8):
        clock.advance(0.1)
    assert bench.outcomes() == []


def test_request_ends_when_its_only_allowed_endpoint_is_leaving(clock):
    """Guards against a wait up to the deadline for an endpoint that gets no more requests."""
    bench = RequestBench(clock, route=make_stream_route(attempts=1), **DECODERS).begin(events=0)
    engine = bench.engine
    draining = evolve(engine_info(engine, Stage.DECODE), draining=True)
    bench.fleet.send(CollectionChanges("servers", (CollectionItem(engine, draining, 2),), 2))
    bench.break_off()
    clock.advance(1.0)
    assert bench.outcomes() != []


def test_shortened_cooldown_ends_the_waits(clock):
    """Guards against requests that wait for the end of a cooldown that was taken back."""
    bench = RequestBench(clock, d1=Stage.DECODE).begin(events=1)
    bench.fleet.send(EngineCooldown("d1", 5.0))
    bench.break_off()
    clock.advance(0.5)
    assert len(bench.connections.sent) == 1
    bench.fleet.send(EngineCooldown("d1", 0.0))
    clock.advance(0.1)
    assert len(bench.connections.sent) == 2


def test_waiting_request_uses_unlisted_endpoints_like_a_new_one(clock):
    """Guards against accepted work that waits while new requests are served."""
    bench = RequestBench(clock, **DECODERS).begin(events=1)
    for name in DECODERS:
        bench.fleet.send(CollectionChanges("servers", (CollectionItem(name, None, 2),), 2))
    bench.break_off()
    bench.break_off()
    sent = len(bench.connections.sent)
    for _ in range(10):
        clock.advance(0.1)
    assert len(bench.connections.sent) > sent


def test_ended_request_is_freed_at_once():
    """Guards against reference cycles, which keep requests until a garbage collection."""
    bench = RequestBench(Clock(), d1=Stage.DECODE).begin()
    task = weakref.ref(bench.task)
    gc.disable()
    try:
        bench.finish()
        assert bench.outcomes() == ["FinishResponse"]
        bench.task = None
        assert task() is None
    finally:
        gc.enable()
