"""Waiting times that double with each failure in a row."""

DOUBLINGS = 10  # at most; the limits in use are reached before


def doubled(first: float, limit: float, failures: int) -> float:
    """Return ``first`` doubled once for each failure, ``limit`` at most; in its unit.

    Example: ``doubled(0.5, 4.0, failures=2)`` is 2.0.
    """
    return min(limit, first * 2 ** min(max(0, failures), DOUBLINGS))
