"""Decides at the agent which attempts run, wait or are refused."""

from collections import deque

from attrs import define, field, frozen

from chivewall.configuration import Configuration, LimitName
from chivewall.results import ResultCode, RunState
from chivewall.work import Attempt, Completion, Rank, Refusal

RANKS = tuple(Rank)


@frozen
class Capacity:
    """What the endpoint can do."""

    parallel: int  # attempts at once
    prefill_rate: float = 0.0  # tokens a second; 0 for a plain service
    decode_rate: float = 0.0  # tokens a second for one stream


@define
class Scheduler:
    """Queue of one endpoint: urgent work first, within the endpoint's capacity."""

    capacity: Capacity
    queues: dict[Rank, deque[Attempt]] = field(factory=lambda: {one: deque() for one in Rank})
    running: dict[tuple[str, int], Attempt] = field(factory=dict)

    def offer(
        self, attempt: Attempt, cfg: Configuration, *, now: float, unix_time: float
    ) -> Refusal | None:
        """Queue an attempt, or return why it is refused."""
        refusal = self._over_limit(attempt, cfg, unix_time) or self._hopeless(attempt, now)
        if refusal is None:
            self.queues[attempt.request.rank].append(attempt)
        return refusal

    def start_next(self, now: float) -> Attempt | None:
        """Return the next attempt to run, or ``None`` if none may start now."""
        if len(self.running) >= self.capacity.parallel:
            return None
        for rank in RANKS:
            if self.queues[rank]:
                attempt = self.queues[rank].popleft()
                self.running[key_of(attempt)] = attempt
                return attempt
        return None

    def finish(self, request_id: str, number: int) -> None:
        """Forget an attempt, whether it was queued or running."""
        self.running.pop((request_id, number), None)
        for queue in self.queues.values():
            for attempt in queue:
                if key_of(attempt) == (request_id, number):
                    queue.remove(attempt)
                    return

    def expired(self, now: float) -> list[Attempt]:
        """Remove and return queued attempts whose deadline has passed."""
        late = [
            one for queue in self.queues.values() for one in queue if one.request.deadline <= now
        ]
        for attempt in late:
            self.queues[attempt.request.rank].remove(attempt)
        return late

    def waits(self) -> tuple[float, ...]:
        """Return the estimated queueing time of a new attempt of each rank, in seconds."""
        busy = len(self.running) >= self.capacity.parallel
        ahead = 0.0
        waits = []
        for rank in RANKS:
            ahead += sum(self.seconds(one) for one in self.queues[rank])
            waits.append(ahead / self.capacity.parallel if busy else 0.0)
        return tuple(waits)

    def seconds(self, attempt: Attempt) -> float:
        """Return the estimated run time of an attempt."""
        work = attempt.request.work
        if not isinstance(work, Completion):
            return 0.05
        prefill = work.prompt_tokens / self.capacity.prefill_rate
        return prefill + work.max_tokens / self.capacity.decode_rate

    def idle(self) -> bool:
        """Return whether nothing is queued or running."""
        return not self.running and not any(self.queues.values())

    def _over_limit(self, attempt: Attempt, cfg: Configuration, unix_time: float) -> Refusal | None:
        work = attempt.request.work
        if not isinstance(work, Completion):
            return None
        asked = {
            LimitName.PROMPT_TOKENS: work.prompt_tokens,
            LimitName.OUTPUT_TOKENS: work.max_tokens,
        }
        for name, tokens in asked.items():
            limit = cfg.limit(
                name,
                workspace=attempt.request.workspace,
                model=work.model,
                rank=attempt.request.rank,
                unix_time=unix_time,
            )
            if tokens > limit.value:
                return Refusal(
                    code=ResultCode.OVER_LIMIT,
                    message=f"{tokens} {name.value} asked, {limit.value:g} allowed",
                    run=RunState.NO,
                    limit=limit.source,
                    reason=limit.reason,
                )
        return None

    def _hopeless(self, attempt: Attempt, now: float) -> Refusal | None:
        wait = self.waits()[RANKS.index(attempt.request.rank)]
        if now + wait < attempt.request.deadline:
            return None
        return Refusal(
            code=ResultCode.HOPELESS,
            message=f"the queue takes {wait:.1f} s, past the deadline",
            run=RunState.NO,
            retry_after=wait,
        )


def key_of(attempt: Attempt) -> tuple[str, int]:
    """Return what identifies an attempt."""
    return attempt.request.id, attempt.number
