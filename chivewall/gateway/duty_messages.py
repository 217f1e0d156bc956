"""Messages to the task that holds the lock of a duty's subject."""

from collections.abc import Mapping
from enum import Enum
from typing import Any, Protocol

from attrs import define, frozen
from twisted.internet.defer import Deferred

from chivewall.gateway.platform_duties import DutyLock, PlatformDuties
from chivewall.task import Query


class DutyOutcome(Enum):
    """What became of a call."""

    ACCEPTED = "accepted"
    REFUSED = "refused"  # by the platform
    UNKNOWN = "unknown"  # the platform may have accepted it
    HELD = "held"  # not sent


class DutyCall(Protocol):
    """A call that one gateway at a time may make."""

    def content(self) -> Mapping[str, Any]:
        """Return what a later holder has to know; written before the call is sent."""

    def send(self, platform: PlatformDuties, lock: DutyLock) -> Deferred:
        """Make the call once (``PlatformDuties``)."""


@frozen
class DutyState:
    """The lock of a subject as it was read, and what this process knows about it."""

    lock: DutyLock | None
    revision: int
    era: int | None  # of the store
    is_own: bool  # this process acquired it
    is_accepted: bool  # this process knows that the platform accepted its call
    # Unix time before which a lock that a restore lost may have permitted calls; ``None``: no lock
    # was lost.
    uncertain_before: float | None
    may_take: bool  # the next lock can be acquired now


@define(eq=False)
class ReadDuty(Query):
    """Ask for the ``DutyState`` of the subject; fails with ``StoreError``."""


@define(eq=False)
class PerformDuty(Query):
    """Ask to acquire the lock and make a call; the reply is a ``DutyOutcome``.

    Nothing is sent if the lock has changed since ``state`` was read.
    """

    call: DutyCall
    state: DutyState


@define(eq=False)
class ReleaseDuty(Query):
    """Ask to let another gateway take the lock at once, if this process holds it.

    The reply is ``None``.
    """
