"""Exponential backoff."""

DOUBLINGS = 10  # maximum; keeps the power small, and every limit in use is reached earlier


def doubled(first: float, limit: float, failures: int) -> float:
    """Return ``first`` doubled once for each failure, but at most ``limit``.

    All three delays have the same unit.

    Example: ``doubled(0.5, 4.0, failures=2)`` is 2.0.
    """
    return min(limit, first * 2 ** min(max(0, failures), DOUBLINGS))
