"""Estimates queueing times from the backlog of each rank."""

from attrs import frozen

from chivewall.work import Rank

RANKS = tuple(Rank)


@frozen
class Backlog:
    """What stands before a new attempt."""

    queued: dict[Rank, float]  # endpoint seconds
    shares: dict[Rank, float]
    busy: frozenset[Rank]  # ranks that get no slot at once
    slot_seconds: float  # expected time until the next slot is free
    prefilling: dict[Rank, float]  # prefill that was started and not finished, seconds


def queue_wait(backlog: Backlog, rank: Rank, own: float) -> float:
    """Return the estimated seconds until a new attempt of a rank starts.

    ``own`` is the part of the rank's queue that runs before the attempt. The
    rank gets at least its share; in rank order it gets what higher ranks and
    the shares of lower ranks with queued work leave.
    """
    place = RANKS.index(rank)
    ahead = own + sum(backlog.queued[one] for one in RANKS[:place])
    lower = sum(backlog.shares[one] for one in RANKS[place + 1 :] if backlog.queued[one] > 0)
    in_order = ahead / max(1.0 - lower, backlog.shares[rank], 1e-3)
    by_share = own / backlog.shares[rank] if backlog.shares[rank] > 0 else in_order
    blocked = rank in backlog.busy or ahead > 0
    return (
        min(in_order, by_share)
        + (backlog.slot_seconds if blocked else 0.0)
        + sum(backlog.prefilling[one] for one in RANKS[: place + 1])  # engines honour ranks
    )
