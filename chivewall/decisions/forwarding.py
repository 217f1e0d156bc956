"""Decides what follows a failed attempt of a forwarded call, and what may be claimed."""

from enum import Enum

from attrs import define, field, frozen

from chivewall.gateway.catalogue import Kind, Route

LAST_TRY_SHARE = 0.1  # of the objective; with less time left an attempt can't be served
MAX_ROUNDS = 4  # connection attempts that reached nothing are free but not endless


class Outcome(Enum):
    """How an attempt failed."""

    NOT_SENT = "not sent"  # no byte can have reached an endpoint
    NOT_RUN = "not run"  # the endpoint says so
    FAILED = "failed"  # a whole answer with a server error
    BROKEN = "broken"  # it may have run, and there is no whole answer
    NO_ENDPOINT = "no endpoint"


class Next(Enum):
    """What to do after a failed attempt."""

    RETRY = "retry"
    FORWARD = "forward"  # give the caller the endpoint's own failure
    REFUSE = "refuse"  # it has not run and never will
    FAIL = "fail"  # it may have run
    CUT = "cut"  # bytes of an answer were sent; only a broken connection is honest


@define
class CallLedger:
    """What the attempts of one call reveal about whether it ran."""

    endpoints: set[str] = field(factory=set)  # ids that it was sent to
    may_have_run: bool = False
    rounds: int = 0  # failed attempts

    def sent(self, endpoint: str) -> None:
        """Count an endpoint that may have received the call."""
        self.endpoints.add(endpoint)

    def failed(self, outcome: Outcome) -> None:
        """Take in how an attempt failed."""
        self.rounds += 1
        if outcome in (Outcome.FAILED, Outcome.BROKEN):
            self.may_have_run = True


@frozen
class Situation:
    """Where a call stands when an attempt has failed."""

    route: Route
    outcome: Outcome
    now: float
    answer_by: float  # deadline of the final answer
    answer_begun: bool = False  # bytes were sent to the caller


def decide(at: Situation, ledger: CallLedger) -> Next:
    """Return what follows, apart from the allowance of repeats."""
    if may_retry(at, ledger):
        return Next.RETRY
    return give_up(at, ledger)


def may_retry(at: Situation, ledger: CallLedger) -> bool:
    """Return whether another attempt can't break a promise and can still help."""
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
    """Return how a call ends that is not tried again."""
    if at.answer_begun:
        return Next.CUT
    if at.outcome is Outcome.FAILED:
        return Next.FORWARD
    return Next.FAIL if ledger.may_have_run else Next.REFUSE
