"""Estimates queueing times from the backlog of each rank."""

from attrs import frozen

from chivewall.work import Rank

RANKS = tuple(Rank)


@frozen
class Backlog:
    """Work at an endpoint ahead of a new attempt."""

    queued_seconds: dict[Rank, float]  # queued work in endpoint seconds
    shares: dict[Rank, float]  # guaranteed shares of the endpoint's time
    blocked_ranks: frozenset[Rank]  # ranks that can't get a batch slot immediately
    slot_seconds: float  # expected time until a batch slot is free
    prefill_seconds: dict[Rank, float]  # seconds of prefill started but not finished


def queue_wait(backlog: Backlog, rank: Rank, own_seconds: float) -> float:
    """Return the estimated seconds until a new attempt of a rank starts.

    ``own_seconds`` is the part of the rank's queue that runs before the
    attempt. The rank gets at least its share. In rank order it gets the time that is
    left by higher ranks and by the shares of lower ranks with queued work.
    """
    place = RANKS.index(rank)
    ahead = own_seconds + sum(backlog.queued_seconds[one] for one in RANKS[:place])
    lower = sum(
        backlog.shares[one] for one in RANKS[place + 1 :] if backlog.queued_seconds[one] > 0
    )
    in_order = ahead / max(1.0 - lower, backlog.shares[rank], 1e-3)
    by_share = own_seconds / backlog.shares[rank] if backlog.shares[rank] > 0 else in_order
    blocked = rank in backlog.blocked_ranks or ahead > 0
    return (
        min(in_order, by_share)
        + (backlog.slot_seconds if blocked else 0.0)
        + sum(backlog.prefill_seconds[one] for one in RANKS[: place + 1])  # engines prefill by rank
    )
