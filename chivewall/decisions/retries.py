"""Decides whether a failed request is retried and which run state its refusal may state."""

import random
from enum import Enum

from attrs import define, evolve, field, frozen

from chivewall.backoff import doubled
from chivewall.results import ResultCode, RunState
from chivewall.work import Call, Rank, Refusal, Request

BACKOFF_BASE = 0.05  # seconds
BACKOFF_LIMIT = 2.0  # seconds
RETRY_AFTER = 1.0  # seconds to wait after a refusal for overload without Retry-After
CLAIM_DECISION_SECONDS = 2.0  # time in which an agent grants or refuses a claim
WAIT_JITTER = 0.25  # largest random share added to a wait, so that retries spread out
BUDGET_PER_REQUEST = 0.2  # retries that each request adds to the budget of its rank
BUDGET_RESERVE = 10.0  # initial and largest budget of a rank, in retries
LATE_PER_REQUEST = 0.005  # late responses that each urgent request adds to the budget
LATE_RESERVE = 2.0  # initial and largest budget of late responses
# Another agent would give the same refusal.
FINAL_CODES = frozenset(
    {
        ResultCode.KEY_REUSED,
        ResultCode.BODY_TOO_LARGE,
        ResultCode.DEADLINE_PASSED,
        ResultCode.OUTCOME_LOST,
    }
)
# The condition passes with time.
OVERLOAD_CODES = frozenset(
    {
        ResultCode.OVER_LIMIT,
        ResultCode.HOPELESS,
        ResultCode.QUEUE_FULL,
        ResultCode.SHED,
        ResultCode.TARGET_MISSED,
        ResultCode.NO_ENDPOINT,
        ResultCode.NOT_READY,
        ResultCode.CLAIM_UNAVAILABLE,
    }
)
# Not waited for: an urgent or interactive caller is better served by an immediate refusal.
PROMPT_CODES = frozenset({ResultCode.TARGET_MISSED, ResultCode.CLAIM_UNAVAILABLE})
# The endpoint was replaced or is draining.
MOVED_CODES = frozenset({ResultCode.STALE_INCARNATION, ResultCode.DRAINING})


class Cost(Enum):
    """Whether a retry counts against the budget of its rank."""

    BUDGET = "budget"
    FREE = "free"  # a wait that the agent or the claim asked for can't cause a retry storm


@frozen
class Failure:
    """Failure of an attempt, or of the search for an endpoint."""

    endpoint: str | None  # ``None`` if no endpoint was found
    refusal: Refusal


@frozen
class Retry:
    """Decision to try again at the time ``at``."""

    at: float
    reason: str
    cost: Cost = Cost.BUDGET
    exclude: bool = True  # prefer other endpoints than the one that failed


@frozen
class GiveUp:
    """Decision to end the request with this refusal."""

    refusal: Refusal


@define
class RunLedger:
    """Tracks whether the attempts of one request may have run its work.

    An attempt may have run from the moment it is handed to a link until the agent
    or the link reports that it did not.
    """

    _out: set[int] = field(factory=set, init=False)
    _doubtful: bool = field(default=False, init=False)

    @property
    def run(self) -> RunState:
        """Run state of the request: ``NO`` only if no attempt can have run or can still run."""
        return RunState.UNKNOWN if self._out or self._doubtful else RunState.NO

    def sent(self, attempt: int) -> None:
        """Record an attempt that was handed to a link."""
        self._out.add(attempt)

    def ended(self, attempt: int, run: RunState) -> None:
        """Record the run state of an attempt that ended."""
        self._out.discard(attempt)
        self._doubtful = self._doubtful or run is not RunState.NO

    def truthful(self, refusal: Refusal) -> Refusal:
        """Return the refusal with the run state, and the code, that are true for all attempts."""
        if refusal.run is not RunState.NO or self.run is RunState.NO:
            return refusal
        if refusal.code.run is not RunState.NO:
            return evolve(refusal, run=RunState.UNKNOWN)
        message = f"an earlier attempt may have run; the last one: {refusal.message}"
        return evolve(
            refusal, code=ResultCode.OUTCOME_UNKNOWN, message=message, run=RunState.UNKNOWN
        )


@define
class RetryBudget:
    """Limits retries to a share of the requests of each rank, to prevent retry storms."""

    _credit: dict[Rank, float] = field(
        factory=lambda: dict.fromkeys(Rank, BUDGET_RESERVE), init=False
    )

    def earn(self, rank: Rank) -> None:
        """Add to the budget of a rank for a first attempt."""
        self._credit[rank] = min(BUDGET_RESERVE, self._credit[rank] + BUDGET_PER_REQUEST)

    def spend(self, rank: Rank) -> bool:
        """Take one retry from the budget; return ``False`` if none is left."""
        if self._credit[rank] < 1:
            return False
        self._credit[rank] -= 1
        return True


@define
class LateBudget:
    """Limits how many urgent requests are served after their first-token target.

    A few late responses are better than refusals. Under overload, they would take
    time from requests that can still meet their target.
    """

    _credit: float = field(default=LATE_RESERVE, init=False)

    def earn(self) -> None:
        """Add to the budget for an urgent request."""
        self._credit = min(LATE_RESERVE, self._credit + LATE_PER_REQUEST)

    def spend(self) -> bool:
        """Take one late response from the budget; return ``False`` if none is left."""
        if self._credit < 1:
            return False
        self._credit -= 1
        return True


def may_repeat(request: Request, run: RunState) -> bool:
    """Return whether sending the request again can't run a non-idempotent call twice.

    A call with an idempotency key may always be sent again: its claim decides whether
    it runs.
    """
    if run is RunState.NO:
        return True
    return request.work.idempotent or request.key is not None


def decide(
    request: Request, failure: Failure, ledger: RunLedger, tries: int, now: float
) -> Retry | GiveUp:
    """Return whether to retry after a failure; the retry budget is checked separately.

    ``tries`` is the number of searches for an endpoint so far.
    """
    refusal = failure.refusal
    if refusal.code in FINAL_CODES or not may_repeat(request, ledger.run):
        return GiveUp(ledger.truthful(refusal))
    if refusal.code is ResultCode.OVER_LIMIT and refusal.retry_after is None:
        return GiveUp(ledger.truthful(refusal))
    reason = f"{refusal.code.name}, run {refusal.run.value}"
    backoff = doubled(BACKOFF_BASE, BACKOFF_LIMIT, tries - 1)
    if refusal.code is ResultCode.IN_PROGRESS:
        pause = max(backoff, min(BACKOFF_LIMIT, refusal.retry_after or 0.0))
        retry = Retry(at=now + pause, reason=reason, cost=Cost.FREE, exclude=False)
    elif failure.endpoint is None:
        pause = max(backoff, refusal.retry_after or 0.0)
        retry = Retry(at=now + pause, reason=reason, cost=Cost.FREE)
    elif asks_to_wait(refusal):
        retry = Retry(at=now, reason=f"{reason}; another endpoint first")
    else:
        retry = Retry(at=now + backoff, reason=reason)
    if retry.at >= _last_try(request, refusal):
        return GiveUp(ledger.truthful(refusal))
    return retry


def asks_to_wait(refusal: Refusal | None) -> bool:
    """Return whether the refusal is for a condition that passes with time."""
    return refusal is not None and refusal.code in OVERLOAD_CODES | MOVED_CODES


def wait_after(request: Request, refusal: Refusal, now: float, rng: random.Random) -> Retry | None:
    """Return the wait to use when no other endpoint is left or the retry budget is spent.

    Returns ``None`` if the refusal isn't transient, if its caller is better served
    by an immediate refusal, or if the deadline is too near.
    """
    if not asks_to_wait(refusal):
        return None
    pause = refusal.retry_after if refusal.retry_after is not None else RETRY_AFTER
    at = now + max(BACKOFF_BASE, pause) * (1 + rng.uniform(0, WAIT_JITTER))
    if at >= request.deadline or refusal.code in PROMPT_CODES:
        return None
    return Retry(at=at, reason=f"wait for Retry-After of {refusal.code.name}", cost=Cost.FREE)


def _last_try(request: Request, refusal: Refusal) -> float:
    """Return the time from which no further attempt may begin.

    An attempt that still waits for its claim at the deadline would end with run state
    "unknown", while the refusal before it correctly states "not run".
    """
    claims = refusal.code is ResultCode.CLAIM_UNAVAILABLE
    return request.deadline - (CLAIM_DECISION_SECONDS if claims else 0.0)


def unknown_outcome(request: Request, message: str) -> Refusal:
    """Return the refusal of a request that may have run."""
    run = RunState.UNKNOWN
    if isinstance(request.work, Call) and request.work.idempotent:
        message += "; the call is idempotent and may be repeated"
    return Refusal(code=ResultCode.OUTCOME_UNKNOWN, message=message, run=run)
