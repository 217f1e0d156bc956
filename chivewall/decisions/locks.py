"""Decides when a lock in the platform's store, which permits one call, may be taken.

A lock is acquired by a conditional write of a stored record. Its number is the fencing number of
the call, and the call is sent once and immediately, so that a lock needs no renewal.
"""

from typing import Generic, Protocol, TypeVar

from attrs import define

# Longest time from the start of a lock's write to the sending of its call.
LOCK_SECONDS = 0.5
# The lock of another holder must have been seen unchanged for this many lease times of
# the platform, or be older by the wall clock than any clock error.
OTHER_HOLDER_LEASES = 2.0
OLD_LOCK_SECONDS = 60.0
# Bits of a fencing number below the era of the store: a year of calls in each era, and numbers
# that are exact in JSON (below 2**53) up to era 2**31.
CALLS_IN_ERA_BITS = 22


class Lock(Protocol):
    """What the records of all locks have in common."""

    @property
    def number(self) -> int:
        """The fencing number of the call."""

    @property
    def holder(self) -> str:
        """Name of the instance that acquired the lock."""

    @property
    def taken_at(self) -> float:
        """Unix time in seconds, by the holder's clock."""

    @property
    def era(self) -> int | None:
        """Era of the store when the lock was acquired."""


LockT = TypeVar("LockT", bound=Lock)


@define
class LockView(Generic[LockT]):
    """The latest lock and the time when this process first saw it."""

    lease_seconds: float
    lock: LockT | None = None
    seen_at: float = 0.0  # by a clock of the process that also runs during suspension
    highest_number: int = 0  # of all locks that were seen

    def update(self, lock: LockT | None, now: float) -> None:
        """Update the lock from the stored record."""
        if lock != self.lock:
            self.lock, self.seen_at = lock, now
        if lock is not None:
            self.highest_number = max(self.highest_number, lock.number)

    def may_take(self, own: str, now: float, unix_time: float, era: int | None = None) -> bool:
        """Return whether the next lock can't overlap with that of another holder.

        ``era`` is that of the store. A late write of an earlier era may have replaced the lock of
        another holder: the store gives the revision that it names out again.
        """
        if self.lock is None or (self.lock.holder == own and self.lock.era == era):
            return True
        if now - self.seen_at >= OTHER_HOLDER_LEASES * self.lease_seconds:
            return True
        return unix_time - self.lock.taken_at > OLD_LOCK_SECONDS

    def next_number(self, era: int | None) -> int:
        """Return the number of the next lock in an era of the store.

        It is greater than all that were given out, also by locks that a restore of the store has
        lost: the era is in its upper bits.
        """
        first = (era or 0) << CALLS_IN_ERA_BITS
        return max(self.highest_number, first) + 1


@define
class LockEra:
    """The era of the store that holds the locks, and when this process first saw it.

    A restore may lose the latest lock. Its call may have been sent just before, so no
    instance takes a lock until that one would be old.
    """

    lease_seconds: float
    era: int | None = None  # None: the store names no era
    seen_at: float = 0.0  # by a clock of the process that also runs during suspension

    def update(self, era: int | None, now: float) -> None:
        """Record the era of an answer of the store."""
        if era is not None and (self.era is None or era > self.era):
            self.era, self.seen_at = era, now

    def settled(self, now: float) -> bool:
        """Return whether every lock of an earlier era is old."""
        return self.era is None or now - self.seen_at >= OTHER_HOLDER_LEASES * self.lease_seconds
