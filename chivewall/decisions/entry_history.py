"""Decides which entries of endpoints are news after the store was restored from a copy.

Within one era of the store, the latest entry counts. An entry of a new era may come from the copy
and be older than what was read in the era before; then what was known of that run of the endpoint
stays known.
"""

from collections import OrderedDict
from enum import Enum

from attrs import define, evolve, field, frozen

from chivewall.gateway.routing_configuration import EndpointInfo

# Endpoints that left are remembered for longer than a copy is old, which is some seconds.
LEFT_MEMORY_SECONDS = 120.0
MAX_LEFT = 2000  # endpoints that left and are remembered


class EntryVerdict(Enum):
    """What an entry says against what is known."""

    NEWS = "news"
    OUTDATED = "older than what is known"
    LEFT = "the endpoint has left"
    UNCONFIRMED = "its removal may be newer"


@frozen
class KnownEntry:
    """The latest entry of an endpoint that was believed."""

    info: EndpointInfo
    era: int | None  # of the store, when it was read
    removed: bool = False  # the entry was removed after that


@define
class EntryHistory:
    """The latest believed entry of each endpoint, also of those that left lately.

    Example::

        history.record(info, era=1)
        history.record_removed(info.id, era=1, now=5.0)
        history.judge(info, 2, listed=True)  # EntryVerdict.UNCONFIRMED
    """

    _known: dict[str, KnownEntry] = field(factory=dict, init=False)
    _left: OrderedDict[str, float] = field(factory=OrderedDict, init=False)  # id, forgotten at

    def judge(self, info: EndpointInfo, era: int | None, *, listed: bool) -> EntryVerdict:
        """Return what an entry says that was read in an era.

        ``listed``: it stood in a list, and may come from the copy; else it was just written.
        """
        known = self._known.get(info.id)
        if known is None or known.era == era or era is None:
            return EntryVerdict.NEWS
        if info.started_ms is None or known.info.started_ms is None:
            return _judge_without_start(info, known, listed=listed)
        if info.started_ms != known.info.started_ms:
            # The clock of an endpoint may have stepped back before it started again.
            newer = info.started_ms > known.info.started_ms or not listed
            return EntryVerdict.NEWS if newer else EntryVerdict.OUTDATED
        outdated = info.updates < known.info.updates
        if known.removed and (listed or outdated):
            return EntryVerdict.LEFT if known.info.draining else EntryVerdict.UNCONFIRMED
        return EntryVerdict.OUTDATED if outdated else EntryVerdict.NEWS

    def record(self, info: EndpointInfo, era: int | None) -> EndpointInfo:
        """Record an entry that is believed; return it, draining if that run was draining before."""
        known = self._known.get(info.id)
        if (
            known is not None
            and known.info.draining
            and known.info.started_ms is not None
            and known.info.started_ms == info.started_ms
        ):
            info = evolve(info, draining=True)
        self._known[info.id] = KnownEntry(info, era)
        self._left.pop(info.id, None)
        return info

    def record_removed(self, name: str, era: int | None, now: float) -> None:
        """Record that an entry was removed in an era."""
        known = self._known.get(name)
        if known is not None:
            self._known[name] = KnownEntry(known.info, era, removed=True)
            self.record_left(name, now)

    def record_left(self, name: str, now: float) -> None:
        """Record that an endpoint is no longer used; it is forgotten in time."""
        if name in self._known:
            self._left.setdefault(name, now + LEFT_MEMORY_SECONDS)
        while self._left:
            first = next(iter(self._left))
            if self._left[first] > now and len(self._left) <= MAX_LEFT:
                return
            del self._left[first], self._known[first]


def _judge_without_start(info: EndpointInfo, known: KnownEntry, *, listed: bool) -> EntryVerdict:
    """Return what an entry says if it is unknown whether it is of the known run.

    An entry of the copy is taken as one of that run; one that was just written is news, as the
    endpoint may have started again.
    """
    if not listed:
        return EntryVerdict.NEWS
    if known.removed:
        return EntryVerdict.UNCONFIRMED
    outdated = info.updates < known.info.updates
    return EntryVerdict.OUTDATED if outdated else EntryVerdict.NEWS
