"""Decides whether a failed attempt is tried again."""

from attrs import define, field, frozen

from chivewall.results import ResultCode, RunState
from chivewall.work import Call, Rank, Refusal, Request

BACKOFF_BASE = 0.05  # seconds
BACKOFF_LIMIT = 2.0  # seconds
BUDGET_PER_REQUEST = 0.2  # retries that each first attempt earns for its rank
BUDGET_RESERVE = 10.0  # retries that a rank may spend without having earned them
FINAL_CODES = frozenset(
    {ResultCode.OVER_LIMIT, ResultCode.KEY_REUSED, ResultCode.BODY_TOO_LARGE}
)  # another agent would answer the same


@frozen
class Failure:
    """How an attempt failed."""

    endpoint: str | None
    refusal: Refusal


@frozen
class Retry:
    """Try again at ``at`` (seconds on the clock)."""

    at: float
    reason: str


@frozen
class GiveUp:
    """End the request with this refusal."""

    refusal: Refusal


@define
class RetryBudget:
    """Limits retries to a share of the requests of a rank, so that no storm builds up."""

    _credit: dict[Rank, float] = field(
        factory=lambda: dict.fromkeys(Rank, BUDGET_RESERVE), init=False
    )

    def earn(self, rank: Rank) -> None:
        """Count a first attempt."""
        self._credit[rank] = min(BUDGET_RESERVE, self._credit[rank] + BUDGET_PER_REQUEST)

    def spend(self, rank: Rank) -> bool:
        """Take one retry; False if the budget of the rank is spent."""
        if self._credit[rank] < 1:
            return False
        self._credit[rank] -= 1
        return True


def may_repeat(request: Request, run: RunState) -> bool:
    """Return whether running the request again can't run a non-idempotent action twice.

    A keyed call may always be sent again: its claim decides whether it runs.
    """
    if run is RunState.NO:
        return True
    return request.work.idempotent or request.key is not None


def decide(request: Request, failure: Failure, tries: int, now: float) -> Retry | GiveUp:
    """Decide what follows a failed attempt, apart from the retry budget.

    ``tries`` counts attempts so far, with searches that found no endpoint.
    """
    refusal = failure.refusal
    if refusal.code in FINAL_CODES or not may_repeat(request, refusal.run):
        return GiveUp(refusal)
    delay = min(BACKOFF_LIMIT, BACKOFF_BASE * 2 ** max(0, tries - 1))
    if refusal.code in (ResultCode.STALE_INCARNATION, ResultCode.DRAINING):
        delay = 0.0
    at = now + delay
    if at >= request.deadline:
        return GiveUp(refusal)
    return Retry(at=at, reason=f"{refusal.code.name}, run {refusal.run.value}")


def unknown_outcome(request: Request, message: str) -> Refusal:
    """Return the refusal of work that may have run."""
    run = RunState.UNKNOWN
    if isinstance(request.work, Call) and request.work.idempotent:
        message += "; the call is idempotent and may be repeated"
    return Refusal(code=ResultCode.OUTCOME_UNKNOWN, message=message, run=run)
