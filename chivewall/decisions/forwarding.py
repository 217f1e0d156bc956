"""Decides how the gateway continues after a failed attempt of a forwarded request."""

from enum import Enum

from attrs import define, field, frozen

from chivewall.gateway.routing_configuration import Route, RouteKind

MIN_TIME_LEFT_SHARE = 0.1  # share of the objective; with less time left an attempt can't succeed
# A stream without an event for this many of the largest pauses that the route's objective allows,
# and at least for this long, is continued by another endpoint. Callers wait for eight pauses.
STALL_PAUSES = 4.0
MIN_STALL_SECONDS = 1.0
MAX_FAILED_ATTEMPTS = 4  # bounds failed connections too, which the repeat budget doesn't count


class AttemptOutcome(Enum):
    """How an attempt failed."""

    NOT_SENT = "not sent"  # no byte of it can have reached an endpoint
    NOT_RUN = "not run"  # the endpoint reported that it did not run the request
    FAILED = "failed"  # a complete response with a server error
    BROKEN = "broken"  # it may have run, and there is no complete response
    NO_ENDPOINT = "no endpoint"


class NextStep(Enum):
    """What to do after a failed attempt."""

    RETRY = "retry"
    FORWARD = "forward"  # forward the endpoint's own error response to the caller
    REFUSE = "refuse"  # refuse the request: it has not run and never will
    FAIL = "fail"  # report an error: the request may have run
    CLOSE_CONNECTION = "cut"  # part of a response was sent, so no error response can follow


@define
class AttemptHistory:
    """Failed attempts of one request, and whether it may have run."""

    tried_endpoints: set[str] = field(factory=set)  # ids of the endpoints that it was sent to
    may_have_run: bool = False
    failed_attempts: int = 0
    failed_runs: int = 0  # failed attempts that may have run

    def record_sent(self, endpoint: str) -> None:
        """Record an endpoint that may have received the request."""
        self.tried_endpoints.add(endpoint)

    def record_failure(self, outcome: AttemptOutcome) -> None:
        """Record a failed attempt."""
        self.failed_attempts += 1
        if outcome in (AttemptOutcome.FAILED, AttemptOutcome.BROKEN):
            self.may_have_run = True
            self.failed_runs += 1

    def forget_endpoint(self, endpoint: str) -> None:
        """Don't count an endpoint as tried: it has ended, or it didn't run the request."""
        self.tried_endpoints.discard(endpoint)


@frozen
class FailedAttempt:
    """A failed attempt, with what the next step depends on."""

    route: Route
    outcome: AttemptOutcome
    now: float
    response_deadline: float  # deadline of the final response
    response_started: bool = False  # bytes of the response were sent to the caller


def decide(failed: FailedAttempt, history: AttemptHistory) -> NextStep:
    """Return the next step; the repeat budget is checked separately."""
    if may_retry(failed, history):
        return NextStep.RETRY
    return final_step(failed, history)


def may_retry(failed: FailedAttempt, history: AttemptHistory) -> bool:
    """Return whether another attempt is safe and can still succeed in time."""
    if (
        failed.outcome in (AttemptOutcome.FAILED, AttemptOutcome.BROKEN)
        and not failed.route.idempotent
    ):
        return False
    if not _can_continue(failed) or failed.outcome is AttemptOutcome.NO_ENDPOINT:
        return False
    return history.failed_attempts < MAX_FAILED_ATTEMPTS


def may_wait(failed: FailedAttempt, history: AttemptHistory) -> bool:
    """Return whether the request may wait until an endpoint can take it.

    A request that may have run, or whose response has begun, can no longer be refused. If it may
    run again, it ends before its deadline only after its runs have failed too often. Others are
    refused at once, so that their callers can come back elsewhere.
    """
    if not (failed.response_started or history.may_have_run) or not failed.route.idempotent:
        return False
    if final_step(failed, history) is NextStep.FORWARD:
        return False  # the endpoint's own response is an answer
    return _can_continue(failed) and history.failed_runs < MAX_FAILED_ATTEMPTS


def may_hand_over(failed: FailedAttempt, history: AttemptHistory) -> bool:
    """Return whether another attempt could follow if an exchange that still lives were ended."""
    failed_runs = history.failed_runs + 1
    return failed.route.idempotent and _can_continue(failed) and failed_runs < MAX_FAILED_ATTEMPTS


def _can_continue(failed: FailedAttempt) -> bool:
    if failed.response_started and not (
        failed.route.kind is RouteKind.STREAM and failed.route.resumable
    ):
        return False
    left = failed.response_deadline - failed.now
    return left * 1000 >= MIN_TIME_LEFT_SHARE * failed.route.objective_ms


def stall_seconds(route: Route) -> float:
    """Return the seconds without an event after which a stream counts as stalled."""
    return max(MIN_STALL_SECONDS, STALL_PAUSES * route.pause_ms / 1000)


def final_step(failed: FailedAttempt, history: AttemptHistory) -> NextStep:
    """Return how a request ends that gets no further attempt."""
    if failed.response_started:
        return NextStep.CLOSE_CONNECTION
    if failed.outcome is AttemptOutcome.FAILED:
        return NextStep.FORWARD
    return NextStep.FAIL if history.may_have_run else NextStep.REFUSE
