"""Decides whether an endpoint may get requests, from all that is known about its leaving.

The evidence is its entry in the platform's list, the removal of that entry, what its own responses
say, and what other gateways report. A process that leaves never returns, so a notice of leaving
holds for that process whatever its entry says later; the platform's store may be unreachable, late
or restored from an older copy. A notice names the endpoint's id and the start of its process, so
it concerns neither a new process under the same id nor another endpoint at the same address.
"""

import math
from collections import OrderedDict
from enum import Enum

from attrs import define, field, frozen

from chivewall.gateway.routing_configuration import EndpointInfo

# Time for which a notice is kept without an entry of the endpoint. A leaving process may serve for
# many seconds after its entry is removed, and a restored store may list it again in that time.
KEPT_SECONDS = 120.0
MAX_UNLISTED_NOTICES = 1024  # notices kept of endpoints without an entry


class NoticeSource(Enum):
    """How this gateway learned that an endpoint leaves."""

    ENTRY = "entry"  # its entry in the platform's list
    RESPONSE = "response"  # a response that this gateway received from it
    PEER = "peer"  # another gateway


@frozen
class LeavingNotice:
    """The process of an endpoint leaves, or has left."""

    endpoint: str
    started_ms: int  # start of the process as Unix time in ms; 0 if unknown
    source: NoticeSource
    received_at: float

    def concerns(self, info: EndpointInfo) -> bool:
        """Return whether an entry describes this process, or an earlier one of the endpoint."""
        return info.id == self.endpoint and (info.started_ms or 0) <= self.started_ms


class Availability(Enum):
    """Whether requests may be sent to an endpoint."""

    OPEN = "open"
    UNLISTED = "unlisted"  # its entry is gone: only if no listed endpoint is left
    LEAVING = "leaving"  # no new requests


def availability(
    info: EndpointInfo, notice: LeavingNotice | None, unlisted_at: float | None
) -> Availability:
    """Return whether requests may be sent to an endpoint.

    ``notice``: the latest notice about its id, if any; ``unlisted_at``: when its entry was removed.
    """
    if info.draining or (notice is not None and notice.concerns(info)):
        return Availability.LEAVING
    return Availability.OPEN if unlisted_at is None else Availability.UNLISTED


@define
class LeavingNotices:
    """The latest notice of each endpoint id.

    A notice is kept while the endpoint is listed, and for ``KEPT_SECONDS`` without an entry.
    """

    _notices: dict[str, LeavingNotice] = field(factory=dict)
    # Ids of unlisted endpoints in the order in which their notices expire.
    _expires_at: OrderedDict[str, float] = field(factory=OrderedDict)

    def record(self, notice: LeavingNotice, *, listed: bool) -> bool:
        """Record a notice; return whether it says something new."""
        self._expire(notice.received_at)
        known = self._notices.get(notice.endpoint)
        if known is not None and known.started_ms >= notice.started_ms:
            return False
        self._notices[notice.endpoint] = notice
        if not listed:
            self.record_unlisted(notice.endpoint, notice.received_at)
        return True

    def forget(self, endpoint: str, started_ms: int) -> None:
        """Drop the notice about one process of an endpoint."""
        known = self._notices.get(endpoint)
        if known is not None and known.started_ms == started_ms:
            del self._notices[endpoint]
            self._expires_at.pop(endpoint, None)

    def record_listed(self, endpoint: str, now: float) -> None:
        """Keep the notice of an endpoint that is listed, or is listed again."""
        self._expire(now)
        self._expires_at.pop(endpoint, None)

    def record_unlisted(self, endpoint: str, now: float) -> None:
        """Let the notice of an endpoint whose entry was removed expire."""
        if endpoint not in self._notices:
            return
        self._expires_at.setdefault(endpoint, now + KEPT_SECONDS)
        self._expire(now)

    def get(self, endpoint: str, now: float) -> LeavingNotice | None:
        """Return the notice of an endpoint id, or ``None``."""
        if self._expires_at.get(endpoint, math.inf) <= now:
            return None
        return self._notices.get(endpoint)

    def __len__(self) -> int:
        """Return the number of notices that are kept."""
        return len(self._notices)

    def _expire(self, now: float) -> None:
        while self._expires_at:
            endpoint, expires_at = next(iter(self._expires_at.items()))
            if expires_at > now and len(self._expires_at) <= MAX_UNLISTED_NOTICES:
                return
            del self._expires_at[endpoint], self._notices[endpoint]
