"""Decides whether a failed request is retried and which run state its refusal may state."""

import random
from enum import Enum

from attrs import define, evolve, field, frozen

from chivewall.backoff import exponential_delay
from chivewall.results import ResultCode, RunState
from chivewall.work import Call, Rank, Refusal, Request

BACKOFF_BASE_SECONDS = 0.05  # seconds
MAX_BACKOFF_SECONDS = 2.0  # seconds
DEFAULT_RETRY_AFTER_SECONDS = 1.0  # wait after a refusal for overload without Retry-After
CLAIM_DECISION_SECONDS = 2.0  # time in which an agent grants or refuses a claim
WAIT_JITTER_SHARE = 0.25  # largest random share added to a wait, so that retries spread out
RETRIES_PER_REQUEST = 0.2  # retries that each request adds to the budget of its rank
MAX_RETRY_BUDGET = 10.0  # initial and largest budget of a rank, in retries
LATE_RESPONSES_PER_REQUEST = 0.005  # late responses that each urgent request adds to the budget
MAX_LATE_BUDGET = 2.0  # initial and largest budget of late responses
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
NO_WAIT_CODES = frozenset({ResultCode.TARGET_MISSED, ResultCode.CLAIM_UNAVAILABLE})
# The endpoint was replaced or is draining.
ENDPOINT_GONE_CODES = frozenset({ResultCode.STALE_INCARNATION, ResultCode.DRAINING})


class RetryCost(Enum):
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
    cost: RetryCost = RetryCost.BUDGET
    exclude: bool = True  # prefer other endpoints than the one that failed


@frozen
class GiveUp:
    """Decision to end the request with this refusal."""

    refusal: Refusal


@define
class RunTracker:
    """Tracks whether the attempts of one request may have run its work.

    An attempt may have run from the moment it is handed to a link until the agent
    or the link reports that it did not.
    """

    _in_flight: set[int] = field(factory=set, init=False)
    _may_have_run: bool = field(default=False, init=False)

    @property
    def run_state(self) -> RunState:
        """Run state of the request: ``NO`` only if no attempt can have run or can still run."""
        return RunState.UNKNOWN if self._in_flight or self._may_have_run else RunState.NO

    def record_sent(self, attempt: int) -> None:
        """Record an attempt that was handed to a link."""
        self._in_flight.add(attempt)

    def record_ended(self, attempt: int, run: RunState) -> None:
        """Record the run state of an attempt that ended."""
        self._in_flight.discard(attempt)
        self._may_have_run = self._may_have_run or run is not RunState.NO

    def with_true_run_state(self, refusal: Refusal) -> Refusal:
        """Return the refusal with the run state, and the code, that are true for all attempts."""
        if refusal.run is not RunState.NO or self.run_state is RunState.NO:
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
        factory=lambda: dict.fromkeys(Rank, MAX_RETRY_BUDGET), init=False
    )

    def earn(self, rank: Rank) -> None:
        """Add to the budget of a rank for a first attempt."""
        self._credit[rank] = min(MAX_RETRY_BUDGET, self._credit[rank] + RETRIES_PER_REQUEST)

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

    _credit: float = field(default=MAX_LATE_BUDGET, init=False)

    def earn(self) -> None:
        """Add to the budget for an urgent request."""
        self._credit = min(MAX_LATE_BUDGET, self._credit + LATE_RESPONSES_PER_REQUEST)

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
    return request.work.idempotent or request.idempotency_key is not None


def decide(
    request: Request, failure: Failure, run_tracker: RunTracker, searches: int, now: float
) -> Retry | GiveUp:
    """Return whether to retry after a failure; the retry budget is checked separately.

    ``searches`` is the number of searches for an endpoint so far.
    """
    refusal = failure.refusal
    if refusal.code in FINAL_CODES or not may_repeat(request, run_tracker.run_state):
        return GiveUp(run_tracker.with_true_run_state(refusal))
    if refusal.code is ResultCode.OVER_LIMIT and refusal.retry_after is None:
        return GiveUp(run_tracker.with_true_run_state(refusal))
    reason = f"{refusal.code.name}, run {refusal.run.value}"
    backoff = exponential_delay(BACKOFF_BASE_SECONDS, MAX_BACKOFF_SECONDS, searches - 1)
    if refusal.code is ResultCode.IN_PROGRESS:
        pause = max(backoff, min(MAX_BACKOFF_SECONDS, refusal.retry_after or 0.0))
        retry = Retry(at=now + pause, reason=reason, cost=RetryCost.FREE, exclude=False)
    elif failure.endpoint is None:
        pause = max(backoff, refusal.retry_after or 0.0)
        retry = Retry(at=now + pause, reason=reason, cost=RetryCost.FREE)
    elif is_transient(refusal):
        retry = Retry(at=now, reason=f"{reason}; another endpoint first")
    else:
        retry = Retry(at=now + backoff, reason=reason)
    if retry.at >= _latest_attempt_start(request, refusal):
        return GiveUp(run_tracker.with_true_run_state(refusal))
    return retry


def is_transient(refusal: Refusal | None) -> bool:
    """Return whether the refusal is for a condition that passes with time."""
    return refusal is not None and refusal.code in OVERLOAD_CODES | ENDPOINT_GONE_CODES


def transient_wait(
    request: Request, refusal: Refusal, now: float, rng: random.Random
) -> Retry | None:
    """Return the wait to use when no other endpoint is left or the retry budget is spent.

    Returns ``None`` if the refusal isn't transient, if its caller is better served
    by an immediate refusal, or if the deadline is too near.
    """
    if not is_transient(refusal):
        return None
    pause = refusal.retry_after if refusal.retry_after is not None else DEFAULT_RETRY_AFTER_SECONDS
    at = now + max(BACKOFF_BASE_SECONDS, pause) * (1 + rng.uniform(0, WAIT_JITTER_SHARE))
    if at >= request.deadline or refusal.code in NO_WAIT_CODES:
        return None
    return Retry(at=at, reason=f"wait for Retry-After of {refusal.code.name}", cost=RetryCost.FREE)


def _latest_attempt_start(request: Request, refusal: Refusal) -> float:
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
