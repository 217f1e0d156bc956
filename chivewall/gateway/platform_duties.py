"""Protocols for duties that one gateway at a time does at the platform, and for their locks.

Each call takes a lock of its subject by a conditional write. The number of the lock is the fencing
number of the call, which the platform may not check.
"""

from collections.abc import Mapping
from enum import Enum
from typing import Any, Protocol

from attrs import field, frozen
from twisted.internet.defer import Deferred


class Duty(Enum):
    """What one gateway at a time does at the platform."""

    USAGE = "usage"  # reports the requests of each workspace
    ENDPOINT_COUNTS = "endpoint counts"  # orders the number of a service's endpoints


@frozen
class DutyLock:
    """The latest lock of a subject as it is stored, with what its call is about."""

    number: int  # the fencing number of the call
    holder: str  # name of the instance that acquired it
    taken_at: float  # Unix time in seconds, by the holder's clock
    era: int | None = None  # of the store, when the lock was acquired
    content: Mapping[str, Any] = field(factory=dict)  # what a later holder has to know
    released: bool = False  # the holder makes no more calls with it


@frozen
class StoredDutyLock:
    """The lock of a subject as it was read from the store."""

    lock: DutyLock | None  # None: none was acquired, or a restore of the store has lost it
    revision: int
    era: int | None = None  # era of the store, which a restore from a copy raises


class DutyLockStore(Protocol):
    """Stores the latest lock of each subject."""

    def read(self, subject: str) -> Deferred:
        """Return a deferred ``StoredDutyLock``; it fails with ``StoreError``."""

    def acquire(self, subject: str, lock: DutyLock, revision: int) -> Deferred:
        """Write a lock, and return the deferred era of the store that holds it.

        It fails with ``VersionConflictError`` if another was acquired since.
        """


class PlatformDuties(Protocol):
    """Makes the calls that are the duty of one gateway at a time.

    ``duties`` are those that the platform asks for.

    Both calls fail with ``DutyRefusedError`` if the platform did not accept the call, and with
    ``PlatformUnavailableError`` if it may have accepted it.
    """

    duties: frozenset[Duty]

    def report_usage(self, lock: DutyLock, window: int, counts: Mapping[str, int]) -> Deferred:
        """Report the requests of each workspace that began to run in a window."""

    def order_endpoints(
        self, lock: DutyLock, service: str, data_centre: str, count: int
    ) -> Deferred:
        """Order the number of a service's endpoints in a data centre."""
