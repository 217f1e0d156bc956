"""Exponential backoff."""

MAX_DOUBLINGS = 10  # maximum; keeps the power small, and every limit in use is reached earlier


def exponential_delay(base: float, limit: float, failures: int) -> float:
    """Return ``base`` doubled once for each failure, but at most ``limit``.

    All three delays have the same unit.

    Example: ``exponential_delay(0.5, 4.0, failures=2)`` is 2.0.
    """
    return min(limit, base * 2 ** min(max(0, failures), MAX_DOUBLINGS))
