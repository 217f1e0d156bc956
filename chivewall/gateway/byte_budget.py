"""Limits on the bytes that a gateway keeps in memory."""

from attrs import define, field, frozen

# Largest response that is kept whole until it is complete; streams are forwarded as they arrive.
MAX_RESPONSE_BYTES = 8_388_608
# Sum of the responses that are being received, a sixth of the smallest instance's memory.
MAX_TOTAL_RESPONSE_BYTES = 33_554_432
# Sum of what callers have not read yet. Beyond it the connection that was blocked longest is cut.
MAX_TOTAL_UNREAD_BYTES = 33_554_432
# Sum of the request bodies that are being received or belong to requests in progress.
MAX_TOTAL_BODY_BYTES = 67_108_864
# A part of the limit is left for small bodies, so that a few large ones don't shut out the others.
SMALL_BODY_BYTES = 65_536
SMALL_BODIES_SHARE = 0.125
# Memory of the process without requests: its code, and what it knows about endpoints.
PROCESS_BYTES = 75_000_000
# Shares of the rest of an instance's memory. What they leave is for buffers on the way.
BODY_SHARE = 0.4
RESPONSE_SHARE = 0.2
UNREAD_SHARE = 0.2
MIN_TOTAL_BYTES = 8_388_608  # of each sum, however small the instance is
BYTES_PER_MB = 1_000_000


@frozen
class MemoryLimits:
    """Limits on the sums of bytes that a gateway keeps for its callers and endpoints.

    Example: ``MemoryLimits.of_instance(160).bodies == 34_000_000``.
    """

    bodies: int = MAX_TOTAL_BODY_BYTES
    responses: int = MAX_TOTAL_RESPONSE_BYTES
    unread: int = MAX_TOTAL_UNREAD_BYTES

    @classmethod
    def of_instance(cls, memory_mb: float) -> "MemoryLimits":
        """Return the limits for an instance with this much memory."""
        room = memory_mb * BYTES_PER_MB - PROCESS_BYTES

        def part(share: float, most: int) -> int:
            return min(most, max(MIN_TOTAL_BYTES, int(room * share)))

        return cls(
            bodies=part(BODY_SHARE, MAX_TOTAL_BODY_BYTES),
            responses=part(RESPONSE_SHARE, MAX_TOTAL_RESPONSE_BYTES),
            unread=part(UNREAD_SHARE, MAX_TOTAL_UNREAD_BYTES),
        )


@define
class ByteBudget:
    """Counts bytes of many owners against one limit.

    Example: ``ByteBudget(limit=10).reserve(11) is False``.
    """

    limit: int
    used: int = field(default=0, init=False)

    def reserve(self, size: int) -> bool:
        """Count bytes and return ``True``, or return ``False`` if they don't fit."""
        if self.used + size > self.limit:
            return False
        self.used += size
        return True

    def release(self, size: int) -> None:
        """Stop counting bytes that were reserved."""
        self.used -= size


@define
class BodyBudget(ByteBudget):
    """Counts the bodies of all requests, from their announcement to the end of the request."""

    def reserve_body(self, size: int, whole: int) -> bool:
        """Count bytes of a body that has ``whole`` bytes so far, or return ``False``."""
        if whole > SMALL_BODY_BYTES and self.used + size > self.limit * (1 - SMALL_BODIES_SHARE):
            return False
        return self.reserve(size)
