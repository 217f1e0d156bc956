"""Chooses a running attempt to preempt for more urgent work; it resumes later."""

from collections.abc import Iterable

from chivewall.decisions.fair_queueing import QueueEntry
from chivewall.work import Completion, Rank

RANKS = tuple(Rank)
MAX_PREEMPTIONS = 2  # limit for one attempt, since each preemption recomputes its KV cache
MIN_SPARE_SECONDS = 10.0  # time that a preempted attempt must have left besides a second full run


def choose_victim(
    running: Iterable[QueueEntry], rank: Rank, now: float, protected: dict[Rank, int]
) -> QueueEntry | None:
    """Return the running attempt to preempt for ``rank``, or ``None``.

    Of the least urgent rank below ``rank`` that can be preempted, it is the attempt
    that loses least: the engine repeats its prefill at the next start. Each rank keeps
    its ``protected`` number of running attempts, so that a flood of requests can't take
    another rank's share by preempting its work.
    """
    running = list(running)
    surplus = {
        one
        for one in RANKS[RANKS.index(rank) + 1 :]
        if sum(entry.rank is one for entry in running) > protected[one]
    }
    candidates = [
        one
        for one in running
        if one.rank in surplus and not one.guaranteed and can_restart_in_time(one, now)
    ]
    if not candidates:
        return None
    least = max(RANKS.index(one.rank) for one in candidates)
    least_urgent = [one for one in candidates if RANKS.index(one.rank) == least]
    return min(least_urgent, key=lambda one: one.cost.prefill_seconds)


def can_restart_in_time(entry: QueueEntry, now: float) -> bool:
    """Return whether a running attempt could be restarted later and still end in time."""
    completion = isinstance(entry.attempt.request.work, Completion)
    spare = entry.latest_start - now
    return (
        completion
        and entry.preemptions < MAX_PREEMPTIONS
        and spare > entry.cost.run_seconds + MIN_SPARE_SECONDS
    )
