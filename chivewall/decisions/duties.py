"""Decides which gateway may make a call that is the duty of one gateway at a time.

The lock of a subject permits one call and says what the call is about, so that the next holder
knows what the former one may have sent.
"""

from collections.abc import Mapping
from typing import Any

from attrs import define, evolve

from chivewall.decisions.locks import OTHER_HOLDER_LEASES, LockEra, LockView
from chivewall.gateway.platform_duties import DutyLock


@define
class DutyLockView(LockView[DutyLock]):
    """The latest lock of a subject, and when this process first saw it."""

    release_not_before: float = 0.0  # by the same clock as ``seen_at``

    def may_take(self, own: str, now: float, unix_time: float, era: int | None = None) -> bool:
        """Return whether the next lock can't overlap with that of another holder."""
        return self._is_released(era) or super().may_take(own, now, unix_time, era)

    def next_lock(
        self, own: str, content: Mapping[str, Any], unix_time: float, era: int | None
    ) -> DutyLock:
        """Return the record to write to acquire the next lock in an era of the store."""
        return DutyLock(self.next_number(era), own, unix_time, era, content)

    def record_taken(self, lock: DutyLock, now: float) -> None:
        """Record a lock that this process acquired.

        One that was released by another holder is not released again soon: that holder may be back
        already, and two holders must not take turns within a lease time.
        """
        if self._is_released(lock.era) and self.lock.holder != lock.holder:
            self.release_not_before = now + OTHER_HOLDER_LEASES * self.lease_seconds
        self.update(lock, now)

    def released_lock(self, now: float) -> DutyLock | None:
        """Return the record that lets another gateway take the lock at once, if it may."""
        if self.lock is None or now < self.release_not_before:
            return None
        return evolve(self.lock, released=True)

    def _is_released(self, era: int | None) -> bool:
        return self.lock is not None and self.lock.released and self.lock.era == era


def uncertain_before(
    lock: DutyLock | None, era: LockEra, now: float, unix_time: float
) -> float | None:
    """Return the Unix time before which a lost lock may have permitted calls, if there is one.

    A restore of the store loses locks. As soon as a lock of the restored store's era is known, all
    later ones are known too.
    """
    if era.era is None or (lock is not None and lock.era == era.era):
        return None
    return unix_time - (now - era.seen_at)
