"""Decides whether a failed attempt is tried again, and what a refusal may claim."""

import random
from enum import Enum

from attrs import define, evolve, field, frozen

from chivewall.backoff import doubled
from chivewall.results import ResultCode, RunState
from chivewall.work import Call, Rank, Refusal, Request

BACKOFF_BASE = 0.05  # seconds
BACKOFF_LIMIT = 2.0  # seconds
RETRY_AFTER = 1.0  # seconds to wait after a refusal for overload that names no time
CLAIM_DECISION_SECONDS = 2.0  # in which an agent grants or refuses a claim
WAIT_JITTER = 0.25  # share of a wait that is added at random, so that waiters spread
BUDGET_PER_REQUEST = 0.2  # retries that each first attempt earns for its rank
BUDGET_RESERVE = 10.0  # retries that a rank may spend without having earned them
LATE_PER_REQUEST = 0.005  # late urgent answers that each urgent request earns
LATE_RESERVE = 2.0
FINAL_CODES = frozenset(
    {
        ResultCode.KEY_REUSED,
        ResultCode.BODY_TOO_LARGE,
        ResultCode.DEADLINE_PASSED,
        ResultCode.OUTCOME_LOST,
    }
)  # another agent would answer the same
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
)  # passes with time
PROMPT_CODES = frozenset({ResultCode.TARGET_MISSED, ResultCode.CLAIM_UNAVAILABLE})
# A caller of urgent work, or at a desk, is better served by a refusal now than by a wait.
MOVED_CODES = frozenset({ResultCode.STALE_INCARNATION, ResultCode.DRAINING})


class Cost(Enum):
    """What a retry takes from the budget of its rank."""

    BUDGET = "budget"
    FREE = "free"  # a wait that the agent or the claim asked for can't build up a storm


@frozen
class Failure:
    """How an attempt or the search for an endpoint failed."""

    endpoint: str | None
    refusal: Refusal


@frozen
class Retry:
    """Try again at ``at`` (seconds on the clock)."""

    at: float
    reason: str
    cost: Cost = Cost.BUDGET
    exclude: bool = True  # prefer other endpoints than the one that failed


@frozen
class GiveUp:
    """End the request with this refusal."""

    refusal: Refusal


@define
class RunLedger:
    """Collects what the attempts of one request reveal about whether its work ran.

    An attempt counts as possibly run from the moment it is handed to a link
    until the agent, or the link, states that it was not run.
    """

    _out: set[int] = field(factory=set, init=False)
    _doubtful: bool = field(default=False, init=False)

    @property
    def run(self) -> RunState:
        """``NO`` only if no attempt can have run and none can run later."""
        return RunState.UNKNOWN if self._out or self._doubtful else RunState.NO

    def sent(self, attempt: int) -> None:
        """Count an attempt that was handed to a link."""
        self._out.add(attempt)

    def ended(self, attempt: int, run: RunState) -> None:
        """Take in what is known at the end of an attempt."""
        self._out.discard(attempt)
        self._doubtful = self._doubtful or run is not RunState.NO

    def truthful(self, refusal: Refusal) -> Refusal:
        """Return the refusal with a run state, and a code, that hold for all attempts."""
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


@define
class LateBudget:
    """Limits how much urgent work is served after its target.

    A few late answers are better than refusals; in a flood they would take
    the time of answers that can still be in time.
    """

    _credit: float = field(default=LATE_RESERVE, init=False)

    def earn(self) -> None:
        """Count an urgent request."""
        self._credit = min(LATE_RESERVE, self._credit + LATE_PER_REQUEST)

    def spend(self) -> bool:
        """Take one late answer; False if the budget is spent."""
        if self._credit < 1:
            return False
        self._credit -= 1
        return True


def may_repeat(request: Request, run: RunState) -> bool:
    """Return whether running the request again can't run a non-idempotent action twice.

    A keyed call may always be sent again: its claim decides whether it runs.
    """
    if run is RunState.NO:
        return True
    return request.work.idempotent or request.key is not None


def decide(
    request: Request, failure: Failure, ledger: RunLedger, tries: int, now: float
) -> Retry | GiveUp:
    """Decide what follows a failed attempt, apart from the retry budget.

    ``tries`` counts attempts so far, with searches that found no endpoint.
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
    """Return whether the refusal is one that passes with time."""
    return refusal is not None and refusal.code in OVERLOAD_CODES | MOVED_CODES


def wait_after(request: Request, refusal: Refusal, now: float, rng: random.Random) -> Retry | None:
    """Return the wait that follows when no other endpoint is left or the budget is spent.

    ``None`` if the refusal isn't for overload or the deadline is too near.
    """
    if not asks_to_wait(refusal):
        return None
    pause = refusal.retry_after if refusal.retry_after is not None else RETRY_AFTER
    at = now + max(BACKOFF_BASE, pause) * (1 + rng.uniform(0, WAIT_JITTER))
    if at >= request.deadline or refusal.code in PROMPT_CODES:
        return None
    return Retry(at=at, reason=f"waits for Retry-After of {refusal.code.name}", cost=Cost.FREE)


def _last_try(request: Request, refusal: Refusal) -> float:
    """Return when no further attempt may begin.

    An attempt that is still waiting for its claim at the deadline would end as
    "unknown", while the refusal before it says truthfully "not run".
    """
    claims = refusal.code is ResultCode.CLAIM_UNAVAILABLE
    return request.deadline - (CLAIM_DECISION_SECONDS if claims else 0.0)


def unknown_outcome(request: Request, message: str) -> Refusal:
    """Return the refusal of work that may have run."""
    run = RunState.UNKNOWN
    if isinstance(request.work, Call) and request.work.idempotent:
        message += "; the call is idempotent and may be repeated"
    return Refusal(code=ResultCode.OUTCOME_UNKNOWN, message=message, run=run)
