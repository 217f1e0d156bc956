"""Decides how the gateway continues after a failed attempt of a forwarded request."""

from enum import Enum

from attrs import define, field, frozen

from chivewall.gateway.catalogue import Kind, Route

LAST_TRY_SHARE = 0.1  # share of the objective; with less time left an attempt can't succeed
MAX_ROUNDS = 4  # bounds failed connections too, which the repeat budget doesn't count


class Outcome(Enum):
    """How an attempt failed."""

    NOT_SENT = "not sent"  # no byte of it can have reached an endpoint
    NOT_RUN = "not run"  # the endpoint reported that it did not run the request
    FAILED = "failed"  # a complete response with a server error
    BROKEN = "broken"  # it may have run, and there is no complete response
    NO_ENDPOINT = "no endpoint"


class Next(Enum):
    """What to do after a failed attempt."""

    RETRY = "retry"
    FORWARD = "forward"  # forward the endpoint's own error response to the caller
    REFUSE = "refuse"  # refuse the request: it has not run and never will
    FAIL = "fail"  # report an error: the request may have run
    CUT = "cut"  # close the connection: part of a response was sent, so no error can be


@define
class CallLedger:
    """Failed attempts of one request, and whether it may have run."""

    endpoints: set[str] = field(factory=set)  # ids of the endpoints that it was sent to
    may_have_run: bool = False
    rounds: int = 0  # failed attempts

    def sent(self, endpoint: str) -> None:
        """Record an endpoint that may have received the request."""
        self.endpoints.add(endpoint)

    def failed(self, outcome: Outcome) -> None:
        """Record a failed attempt."""
        self.rounds += 1
        if outcome in (Outcome.FAILED, Outcome.BROKEN):
            self.may_have_run = True


@frozen
class Situation:
    """A failed attempt, with what the next step depends on."""

    route: Route
    outcome: Outcome
    now: float
    answer_by: float  # deadline of the final response
    answer_begun: bool = False  # bytes of the response were sent to the caller


def decide(at: Situation, ledger: CallLedger) -> Next:
    """Return the next step; the repeat budget is checked separately."""
    if may_retry(at, ledger):
        return Next.RETRY
    return give_up(at, ledger)


def may_retry(at: Situation, ledger: CallLedger) -> bool:
    """Return whether another attempt is safe and can still succeed in time."""
    if at.outcome in (Outcome.FAILED, Outcome.BROKEN) and not at.route.idempotent:
        return False
    if at.answer_begun and not (at.route.kind is Kind.STREAM and at.route.resumable):
        return False
    left = at.answer_by - at.now
    if left * 1000 < LAST_TRY_SHARE * at.route.objective_ms:
        return False
    if at.outcome is Outcome.NO_ENDPOINT:
        return False
    return ledger.rounds < MAX_ROUNDS


def give_up(at: Situation, ledger: CallLedger) -> Next:
    """Return how a request ends that gets no further attempt."""
    if at.answer_begun:
        return Next.CUT
    if at.outcome is Outcome.FAILED:
        return Next.FORWARD
    return Next.FAIL if ledger.may_have_run else Next.REFUSE
