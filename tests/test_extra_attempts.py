"""Extra attempts beside slow ones, on a virtual clock."""

import pytest
from attrs import evolve
from twisted.internet.task import Clock

from chivewall.decisions.extra_attempts import (
    LIMIT_WINDOW_SECONDS,
    REFUSAL_SECONDS,
    AnswerTimes,
    ExtraAttemptLimits,
    ExtraAttemptPolicy,
)
from chivewall.decisions.repeat_budget import RepeatBudget, RepeatBudgetPolicy
from chivewall.decisions.request_ranks import RequestRanks
from chivewall.decisions.workspace_keys import WorkspaceKeys
from chivewall.gateway.announcement_messages import EndpointLimit, EndpointPause
from chivewall.gateway.caller_messages import CallerDisconnected
from chivewall.gateway.exchange_messages import (
    ExchangeFailed,
    RequestWritten,
    ResponseData,
    ResponseEnded,
    ResponseStarted,
)
from chivewall.gateway.extra_attempt_messages import AnswerTime, EndpointTime
from chivewall.gateway.fleet_messages import EngineCooldown, WorkSent
from chivewall.gateway.http_dialect import RequestFields, ResponseFields, StatedLimit
from chivewall.gateway.routing_configuration import (
    IngressLimits,
    RouteKind,
    RoutingConfiguration,
    Stage,
    Workspace,
)
from chivewall.gateway.workspace_messages import WorkspacesInForce
from tests.utils.requests import PLAIN_HEAD, REFUSAL_HEAD, SERVICE, RequestBench, make_stream_route

POLICY = ExtraAttemptPolicy(max_share=0.1, max_time_share=0.2, quantile=0.95)
USUAL_SECONDS = 0.1
SLOW_SECONDS = 10.0  # of each fortieth answer
ERROR_HEAD = evolve(PLAIN_HEAD, status=500)
UNSTAMPED_HEAD = evolve(PLAIN_HEAD, fields=ResponseFields(request_id="r1"))
SERVICES = {"d1": Stage.NONE, "d2": Stage.NONE}


@pytest.fixture
def clock():
    return Clock()


def make_bench(clock, policy=POLICY, answers=40, stages=None, caller=None, **route):
    """Return a request that was sent, at a gateway that knows when its answer is slow."""
    fields = {"kind": RouteKind.SAFE, "resumable": False} | route
    bench = RequestBench(
        clock,
        route=make_stream_route(**fields),
        policy=policy,
        **(caller or {}),
        **(stages or SERVICES),
    )
    for number in range(answers):
        seconds = SLOW_SECONDS if number % 40 == 39 else USUAL_SECONDS
        bench.extra_attempts.send(AnswerTime(SERVICE, bench.route.name, seconds))
        bench.extra_attempts.send(EndpointTime(SERVICE, USUAL_SECONDS))
    bench.task.send(RequestWritten(1, reused=False))
    return bench


def make_doubled(clock, **fields):
    """Return a request whose extra attempt, exchange 2, has been written."""
    bench = make_bench(clock, **fields)
    clock.advance(USUAL_SECONDS)
    assert len(bench.connections.sent) == 2
    bench.task.send(RequestWritten(2, reused=False))
    clock.advance(0.05)
    return bench


def answer(bench, exchange, head=PLAIN_HEAD, body=b"by 1"):
    bench.task.send(ResponseStarted(exchange, head))
    bench.task.send(ResponseData(exchange, body))
    bench.task.send(ResponseEnded(exchange))


def answers(bench):
    """Return status and body of each response to the caller."""
    return [(one.status, one.body) for one in bench.caller.messages]


def endings(bench):
    """Return the outcomes of the extra attempts that have ended."""
    return [fields["outcome"] for name, fields in bench.events if name == "EXTRA_ATTEMPT_ENDED"]


def record(bench, name):
    return bench.fleet.states[name]


def test_slow_answer_gets_a_second_attempt_elsewhere(clock):
    bench = make_bench(clock)
    first = bench.engine
    clock.advance(USUAL_SECONDS - 0.01)
    assert len(bench.connections.sent) == 1
    clock.advance(0.01)
    assert len(bench.connections.sent) == 2
    assert bench.engine != first


def test_answer_in_time_gets_none(clock):
    bench = make_bench(clock)
    clock.advance(USUAL_SECONDS / 2)
    answer(bench, 1)
    clock.advance(1.0)
    assert len(bench.connections.sent) == 1


@pytest.mark.parametrize(("winner", "loser"), [(1, 2), (2, 1)])
def test_first_answer_wins_and_the_other_is_cancelled(clock, winner, loser):
    """Guards against two responses, a mix of both, and a loser that works on."""
    bench = make_doubled(clock)
    bench.task.send(ResponseStarted(winner, PLAIN_HEAD))
    assert bench.connections.cancelled == [loser]
    bench.task.send(ResponseStarted(loser, PLAIN_HEAD))
    bench.task.send(ResponseData(loser, b"late"))
    bench.task.send(ResponseData(winner, b"won"))
    bench.task.send(ResponseEnded(loser))
    bench.task.send(ResponseEnded(winner))
    assert answers(bench) == [(200, b"won")]
    assert endings(bench) == ["won" if winner == 2 else "cancelled"]


@pytest.mark.parametrize("winner", [1, 2])
def test_loser_says_nothing_about_its_endpoint(clock, winner):
    """Guards against endpoints that count as slow or failing since another one was faster."""
    bench = make_doubled(clock)
    names = [dict(one.headers)[b"X-Expect-Instance"].decode() for one in bench.connections.sent]
    answer(bench, winner)
    loser = record(bench, names[2 - winner])
    assert loser.failure_share == 0.0
    assert loser.slowness.factor(clock.seconds(), loser.service_speeds.current) == 1.0
    assert (loser.failed_connections, loser.in_flight) == (0, 0)


@pytest.mark.parametrize("head", [ERROR_HEAD, REFUSAL_HEAD, UNSTAMPED_HEAD])
def test_failed_extra_attempt_leaves_the_first_alone(clock, head):
    """Guards against a failure that ends a request whose first attempt still works."""
    bench = make_doubled(clock)
    answer(bench, 2, head=head)
    assert answers(bench) == []
    answer(bench, 1, body=b"first")
    assert answers(bench) == [(200, b"first")]
    assert endings(bench) == ["failed"]


@pytest.mark.parametrize("written", [True, False])
@pytest.mark.parametrize("failure", [ERROR_HEAD, REFUSAL_HEAD, None])
def test_extra_attempt_takes_over_from_a_failed_one(clock, failure, written):
    """Guards against a third attempt while the second one is in progress."""
    bench = make_bench(clock)
    clock.advance(USUAL_SECONDS)
    if written:
        bench.task.send(RequestWritten(2, reused=False))
    if failure is None:
        bench.task.send(ExchangeFailed(1, sent=True, reason="connection lost"))
    else:
        answer(bench, 1, head=failure)
    assert answers(bench) == []
    if not written:
        bench.task.send(RequestWritten(2, reused=False))
    answer(bench, 2, body=b"second")
    assert answers(bench) == [(200, b"second")]
    assert len(bench.connections.sent) == 2
    assert endings(bench) == ["took over"]


@pytest.mark.parametrize("first", [1, 2])
def test_both_fail(clock, first):
    """Guards against more runs than the route allows, and a request without an answer."""
    bench = make_doubled(clock)
    for exchange in (first, 3 - first):
        answer(bench, exchange, head=ERROR_HEAD, body=b"failed")
    assert answers(bench) == [(500, b"failed")]
    assert len(bench.connections.sent) == 2


def test_request_waits_after_both_connections_broke(clock):
    """Guards against a third endpoint, and a request that ends long before its deadline."""
    bench = make_doubled(clock, stages={**SERVICES, "d3": Stage.NONE})
    for exchange in (1, 2):
        bench.task.send(ExchangeFailed(exchange, sent=True, reason="connection lost"))
    clock.advance(0.1)
    bench.task.send(RequestWritten(3, reused=False))
    answer(bench, 3, body=b"third")
    assert answers(bench) == [(200, b"third")]
    assert len(bench.task.history.tried_endpoints) == 2


def test_winner_that_breaks_off_is_not_mixed_with_the_loser(clock):
    """Guards against the body of one attempt behind that of another."""
    bench = make_doubled(clock)
    bench.task.send(ResponseStarted(2, PLAIN_HEAD))
    bench.task.send(ResponseData(2, b"part of the second"))
    bench.task.send(ExchangeFailed(2, sent=True, reason="connection lost"))
    assert bench.exchange == 3
    bench.task.send(RequestWritten(3, reused=False))
    answer(bench, 3, body=b"third")
    assert answers(bench) == [(200, b"third")]
    assert len(bench.task.history.tried_endpoints) == 2


def test_both_are_cancelled_when_the_caller_leaves(clock):
    """Guards against an endpoint that works for a caller who has left."""
    bench = make_doubled(clock)
    bench.task.send(CallerDisconnected())
    assert sorted(bench.connections.cancelled) == [1, 2]


def test_both_are_cancelled_at_the_deadline(clock):
    bench = make_doubled(clock)
    clock.advance(6.0)
    assert sorted(bench.connections.cancelled) == [1, 2]
    assert [status for status, _ in answers(bench)] == [504]


def test_silent_endpoint_is_given_up_for_the_extra_attempt(clock):
    """Guards against a third attempt for a silent endpoint."""
    bench = make_doubled(clock)
    bench.connections.reachability = type(bench.connections.reachability).SILENT
    clock.advance(0.5)
    assert bench.connections.cancelled == [1]
    answer(bench, 2, body=b"second")
    assert answers(bench) == [(200, b"second")]
    assert len(bench.connections.sent) == 2


@pytest.mark.parametrize(
    "fields",
    [
        {"kind": RouteKind.UNSAFE},
        {"kind": RouteKind.STREAM, "resumable": True},
        {"attempts": 1},
        {"answers": 0},
        {"stages": {"d1": Stage.NONE}},
        {"stages": {"d1": Stage.DECODE, "d2": Stage.DECODE}},
        {"policy": evolve(POLICY, max_share=0.0)},
        {"policy": evolve(POLICY, max_share=0.02)},
        {"policy": evolve(POLICY, max_time_share=0.0)},
    ],
)
def test_no_extra_attempt(clock, fields):
    """Guards against a second run that isn't allowed: by the route, the endpoints or a limit."""
    bench = make_bench(clock, **fields)
    clock.advance(0.4)
    assert len(bench.connections.sent) == 1


def take_slots(bench):
    for number in range(100, 104):
        work = WorkSent("d1", 0.0, RequestFields(), 9.0, 9.0, number)
        bench.fleet.send(work)


def spend_budget(bench):
    budget = RepeatBudget(RepeatBudgetPolicy(ratio=0.0, window_seconds=10, burst=1.0))
    bench.fleet.repeat_budgets[SERVICE] = budget


@pytest.mark.parametrize(
    "cause",
    [
        lambda bench: bench.fleet.send(EngineCooldown("d1", 5.0)),
        lambda bench: bench.fleet.send(EndpointPause(record(bench, "d2").info, 5.0)),
        lambda bench: bench.fleet.send(
            EndpointLimit(record(bench, "d1").info, StatedLimit(5.0, "5"), 0.0)
        ),
        lambda bench: bench.extra_attempts.send(EndpointTime(SERVICE, 0.0, refused=True)),
        take_slots,
        spend_budget,
    ],
)
def test_no_extra_attempt_beside_a_shortage(clock, cause):
    """Guards against extra work where work is refused, limited, paused or queued already."""
    bench = make_bench(clock)
    cause(bench)
    clock.advance(0.4)
    assert len(bench.connections.sent) == 1


def test_refusal_of_a_request_stops_extra_attempts_for_a_while(clock):
    bench = make_bench(clock)
    bench.task.send(ResponseStarted(1, REFUSAL_HEAD))
    bench.task.send(ResponseEnded(1))
    limits = bench.extra_attempts.limits[SERVICE]
    assert not limits.allow(POLICY, clock.seconds())
    assert limits.allow(POLICY, clock.seconds() + REFUSAL_SECONDS)


def test_each_request_gets_one_extra_attempt_within_the_share(clock):
    """Guards against load that grows without a bound when all answers are slow."""
    bench = make_bench(clock, policy=evolve(POLICY, max_time_share=1.0))
    tasks = [bench.start_request() for _ in range(20)]
    for exchange, task in enumerate(tasks, start=2):
        task.send(RequestWritten(exchange, reused=False))
    for state in bench.fleet.states.values():
        state.info = evolve(state.info, slots=100)
    clock.advance(2.0)
    assert len(bench.connections.sent) - 21 == POLICY.max_share * 40


def begin_with_key(clock, *workspaces, public=False):
    """Return a slow request with the key and a forged name, and put workspaces in force for it."""
    caller = {"keys": ("key",), "headers": ((b"X-Key", b"key"), (b"X-Tenant", b"forged"))}
    bench = make_bench(clock, caller=caller, public=public)
    configuration = RoutingConfiguration(
        2, (bench.route,), IngressLimits(), workspaces=workspaces, keys_required=True
    )
    message = WorkspacesInForce(WorkspaceKeys(configuration), RequestRanks(configuration))
    bench.task.send(message)
    clock.advance(USUAL_SECONDS)
    return bench


@pytest.mark.parametrize(("public", "expected"), [(False, [b"w"]), (True, [])])
def test_extra_attempt_names_the_workspace_now_in_force(clock, public, expected):
    """Guards against an endpoint that gets the caller's key or a workspace that isn't the key's."""
    bench = begin_with_key(clock, Workspace("w", ("key",)), public=public)
    assert len(bench.connections.sent) == 2
    headers = bench.connections.sent[1].headers
    assert [value for name, value in headers if name.lower() == b"x-tenant"] == expected
    assert b"x-key" not in {name.lower() for name, _ in headers}


def test_no_extra_attempt_after_the_key_was_revoked(clock):
    """Guards against a run of a request whose key no longer holds."""
    bench = begin_with_key(clock, Workspace("w", ("other key",)))
    assert len(bench.connections.sent) == 1
    answer(bench, 1, body=b"first")
    assert answers(bench) == [(200, b"first")]


def make_times(*seconds):
    times = AnswerTimes()
    for one in seconds:
        times.record(one, 0.0)
    return times


def test_delay_is_the_quantile_of_recent_answers():
    """Guards against a delay from too few or old answers."""
    assert make_times(*[0.1] * 8, 1.0).delay(0.95, 0.0) is None
    times = make_times(*[0.1] * 18, 1.0, 2.0)
    assert times.delay(0.9, 0.0) == 0.1
    assert times.delay(0.9, 100.0) is None


def test_delay_is_kept_for_a_moment():
    """Guards against answers that are sorted anew for each request."""
    times = make_times(*[0.1] * 18, 1.0, 2.0)
    assert times.delay(0.9, 0.0) == 0.1
    for _ in range(200):
        times.record(0.05, 0.5)
    assert times.delay(0.9, 0.5) == 0.1
    assert times.delay(0.9, 1.5) != 0.1


def test_no_delay_where_another_attempt_would_take_as_long():
    """Guards against endpoint time for requests that are slow at any endpoint."""
    light_tail = [0.03 + 0.002 * number for number in range(100)]
    assert make_times(*light_tail).delay(0.9, 0.0) is None
    heavy_tail = [*light_tail[:92], *[2.0] * 8]
    assert make_times(*heavy_tail).delay(0.9, 0.0) == pytest.approx(light_tail[89])


def test_limits_hold_within_their_window():
    """Guards against a limit that is never released, or counts old requests."""
    limits = ExtraAttemptLimits()
    policy = evolve(POLICY, max_share=0.1, max_time_share=0.05)
    for _ in range(10):
        limits.record_attempt(1.0, 0.0)
    assert limits.spend(policy, 0.0)
    assert not limits.spend(policy, 0.0)
    limits.record_doubled(0.5, 0.0)
    for _ in range(10):
        limits.record_attempt(0.0, 1.0)
    assert not limits.allow(policy, 1.0)
    assert not limits.allow(policy, LIMIT_WINDOW_SECONDS + 0.5)  # no endpoint time is left
    limits.record_attempt(1.0, 2.0)
    assert limits.allow(policy, LIMIT_WINDOW_SECONDS + 0.5)


def test_extra_attempts_leave_repeats_for_retries():
    """Guards against retries that find the budget spent by attempts that could be left out."""
    budget = RepeatBudget(RepeatBudgetPolicy(ratio=0.0, window_seconds=10, burst=4.0))
    assert [budget.spend(0.0, share=0.5) for _ in range(3)] == [True, True, False]
    assert [budget.spend(0.0) for _ in range(3)] == [True, True, False]
