"""Limits on the bytes that a gateway keeps in memory."""

from attrs import define, field

# Largest response that is kept whole until it is complete; streams are forwarded as they arrive.
MAX_RESPONSE_BYTES = 8_388_608
# Sum of the responses that are being received, a sixth of the smallest instance's memory.
MAX_TOTAL_RESPONSE_BYTES = 33_554_432
# Sum of what callers have not read yet. Beyond it the connection that was blocked longest is cut.
MAX_TOTAL_UNREAD_BYTES = 33_554_432


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
