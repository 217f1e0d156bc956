"""Keeps the time of day steady over steps of the system's clock."""

from collections.abc import Callable

from attrs import define, field

Clock = Callable[[], float]

# Smaller changes of the system's clock are followed at once, larger ones once they have lasted.
MAX_CORRECTION_SECONDS = 0.05
STEP_LASTS_SECONDS = 60.0


@define
class SteadyTime:
    """Unix time that follows a step of the time of day only after a while.

    ``elapsed`` is a clock that no step affects and that counts suspensions.

    Example: ``SteadyTime(time.time, boot_time).now()``.
    """

    unix_time: Clock
    elapsed: Clock
    _offset: float = field(init=False)
    _stepped_at: float | None = field(default=None, init=False)  # by ``elapsed``
    _stepped_offset: float = field(default=0.0, init=False)

    def __attrs_post_init__(self) -> None:
        self._offset = self.unix_time() - self.elapsed()

    def now(self) -> float:
        """Return the Unix time in seconds."""
        elapsed = self.elapsed()
        found = self.unix_time() - elapsed
        if abs(found - self._offset) <= MAX_CORRECTION_SECONDS:
            self._offset, self._stepped_at = found, None
        elif self._stepped_at is None or abs(found - self._stepped_offset) > MAX_CORRECTION_SECONDS:
            self._stepped_at, self._stepped_offset = elapsed, found
        elif elapsed - self._stepped_at >= STEP_LASTS_SECONDS:
            self._offset, self._stepped_at = found, None
        return elapsed + self._offset

    def steady(self, unix_time: float) -> float:
        """Return the steady time of a recent time of the system's clock."""
        return unix_time + self.now() - self.unix_time()
