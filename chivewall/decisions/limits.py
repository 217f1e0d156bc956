"""Checks an arriving attempt against the configured limits and the endpoint's KV cache."""

from attrs import define, field

from chivewall.configuration import Configuration, LimitName, LimitValue
from chivewall.decisions.estimates import Capacity, Cost
from chivewall.results import ResultCode, RunState
from chivewall.work import Attempt, Completion, Refusal


@define
class InFlight:
    """Requests and KV cache tokens of one workspace that are queued or running at this endpoint."""

    requests: int = 0
    tokens: int = 0


@define
class Limiter:
    """Counts work in flight per workspace and refuses attempts that exceed a limit."""

    in_flight: dict[str, InFlight] = field(factory=dict)

    def add(self, workspace: str, tokens: int) -> None:
        """Count an accepted attempt."""
        count = self.in_flight.setdefault(workspace, InFlight())
        count.requests += 1
        count.tokens += tokens

    def remove(self, workspace: str, tokens: int) -> None:
        """Stop counting an attempt that ended."""
        count = self.in_flight[workspace]
        count.requests -= 1
        count.tokens -= tokens
        if not count.requests:
            del self.in_flight[workspace]

    def check(
        self,
        attempt: Attempt,
        cost: Cost,
        capacity: Capacity,
        *,
        cfg: Configuration,
        unix_time: float,
        wait: float,
    ) -> Refusal | None:
        """Return the refusal of an attempt that exceeds a limit, or ``None``.

        ``wait`` is the estimated queueing time in seconds, after which the work in
        flight has ended. It becomes the Retry-After of limits on work in flight; a
        request that is too large in itself gets none, since waiting doesn't help.
        """
        for name, amount in self._requested_amounts(attempt, cost, wait).items():
            limit = limit_for(attempt, name, cfg, unix_time)
            if amount > limit.value:
                permanent = name in (LimitName.PROMPT_TOKENS, LimitName.OUTPUT_TOKENS)
                return _limit_refusal(limit, amount, None if permanent else max(1.0, wait))
        if 0 < capacity.kv_total_tokens < cost.kv_tokens:
            return Refusal(
                code=ResultCode.OVER_LIMIT,
                message=f"{cost.kv_tokens} tokens of KV cache needed, "
                f"{capacity.kv_total_tokens} available",
                run=RunState.NO,
                limit="KV cache of the endpoint",
                reason="prompt and expected output must fit in the endpoint's KV cache",
            )
        return None

    def _requested_amounts(
        self, attempt: Attempt, cost: Cost, wait: float
    ) -> dict[LimitName, float]:
        work = attempt.request.work
        count = self.in_flight.get(attempt.request.workspace, InFlight())
        amounts: dict[LimitName, float] = {}
        if isinstance(work, Completion):
            amounts[LimitName.PROMPT_TOKENS] = work.prompt_tokens
            amounts[LimitName.OUTPUT_TOKENS] = work.max_tokens
            amounts[LimitName.TOKENS_IN_FLIGHT] = count.tokens + cost.kv_tokens
        amounts[LimitName.REQUESTS_IN_FLIGHT] = count.requests + 1
        amounts[LimitName.QUEUE_SECONDS] = wait
        return amounts


def limit_for(
    attempt: Attempt, name: LimitName, cfg: Configuration, unix_time: float
) -> LimitValue:
    """Return the limit that applies to an attempt."""
    request = attempt.request
    return cfg.limit(
        name,
        workspace=request.workspace,
        model=request.work.target,
        rank=request.rank,
        unix_time=unix_time,
    )


def _limit_refusal(limit: LimitValue, requested: float, retry_after: float | None) -> Refusal:
    queue = limit.name is LimitName.QUEUE_SECONDS
    return Refusal(
        code=ResultCode.QUEUE_FULL if queue else ResultCode.OVER_LIMIT,
        message=f"{requested:g} {limit.name.value} asked, {limit.value:g} allowed",
        run=RunState.NO,
        retry_after=retry_after,
        limit=limit.source,
        reason=limit.reason,
    )
