"""The endpoints that the platform lists, as far as their entries are believed."""

from collections.abc import Callable

from attrs import evolve, frozen

from chivewall.decisions.availability import Availability
from chivewall.decisions.endpoint_record import EndpointRecord
from chivewall.decisions.entry_history import EntryHistory, EntryVerdict
from chivewall.environment import Environment
from chivewall.events import Event
from chivewall.gateway.announcements import Announcements
from chivewall.gateway.fleet_settings import FleetSettings
from chivewall.gateway.routing_configuration import EndpointInfo
from chivewall.gateway.store_collections import (
    CollectionChanges,
    CollectionItem,
    CollectionSnapshot,
)

MS_PER_SECOND = 1000.0
# Pause between watches of the endpoint list, as a share of the time in which a leaving endpoint may
# still get requests: the news of its leaving may be this old.
WATCH_PAUSE_SHARE = 0.3
# An endpoint that left the list is dropped this many seconds before it may get no more work, and
# earlier by the longest pause between watches, in which the news of its leaving may have waited.
GONE_MARGIN_SECONDS = 0.3
# The platform removes an entry after three heartbeats without one; an entry that is still listed
# after this many heartbeats is that of a live endpoint.
CONFIRMING_HEARTBEATS = 4.0


@frozen
class WithheldEntry:
    """An entry that is believed if a later read shows that the store still has it."""

    info: EndpointInfo
    era: int | None  # of the store, when it was read
    confirmed_from: float | None  # a read from this time on confirms it; None while there is none


class EndpointList:
    """Keeps a record of each endpoint in step with the platform's list."""

    def __init__(
        self,
        env: Environment,
        cfg: FleetSettings,
        new_record: Callable[[EndpointInfo], EndpointRecord],
        announcements: Announcements,
    ) -> None:
        self.env = env
        self.cfg = cfg
        self.new_record = new_record
        self.announcements = announcements
        self.records: dict[str, EndpointRecord] = {}  # by endpoint id
        self.era: int | None = None  # era of the store in which the list was read
        self.history = EntryHistory()
        self.withheld: dict[str, WithheldEntry] = {}  # by endpoint id

    def apply_snapshot(self, snapshot: CollectionSnapshot) -> None:
        """Apply the whole list; endpoints that aren't in it have left."""
        restored = None not in (self.era, snapshot.era) and snapshot.era != self.era
        self.era = snapshot.era
        listed = {one.name for one in snapshot.items}
        for item in snapshot.items:
            self._update(item, listed=True)
        for name in self.withheld.keys() - listed:
            del self.withheld[name]
        self._believe_confirmed()
        for name in self.records.keys() - listed:
            if restored:
                self._record_missing(name)
            elif self.records[name].missing_since is None:
                self._remove(name)

    def apply_changes(self, changes: CollectionChanges) -> None:
        """Apply changed and removed entries."""
        for item in changes.items:
            self._update(item, listed=False)
        self._believe_confirmed()

    def record_unavailable(self) -> None:
        """Record that the store doesn't answer; it may remove no entry meanwhile."""
        for name, entry in self.withheld.items():
            self.withheld[name] = evolve(entry, confirmed_from=None)

    def next_confirmation(self) -> float | None:
        """Return from when on a read confirms an entry, or ``None`` if none is awaited."""
        times = (one.confirmed_from for one in self.withheld.values())
        return min((one for one in times if one is not None), default=None)

    def expire(self) -> None:
        """Drop the endpoints that left long ago."""
        now = self.env.now
        allowed = (1 - WATCH_PAUSE_SHARE) * self.cfg.drain_ms / MS_PER_SECOND
        limit = now - allowed + GONE_MARGIN_SECONDS
        for name, record in list(self.records.items()):
            since = record.missing_since if record.unlisted_at is None else record.unlisted_at
            if since is not None and since <= limit:
                self._drop(name)

    def _believe_confirmed(self) -> None:
        """Believe the entries that this read confirms."""
        for name, entry in list(self.withheld.items()):
            if entry.confirmed_from is None:
                self.withheld[name] = evolve(entry, confirmed_from=self._confirmed_from())
            elif entry.confirmed_from <= self.env.now:
                del self.withheld[name]
                self._accept(entry.info, revision=None)

    def _confirmed_from(self) -> float:
        return self.env.now + CONFIRMING_HEARTBEATS * self.cfg.heartbeat_ms / MS_PER_SECOND

    def _withhold(self, name: str, info: EndpointInfo) -> None:
        entry = self.withheld.get(name)
        if entry is None or entry.era != self.era:
            self.withheld[name] = WithheldEntry(info, self.era, self._confirmed_from())
        else:
            self.withheld[name] = evolve(entry, info=info)

    def _update(self, item: CollectionItem, *, listed: bool) -> None:
        info: EndpointInfo | None = item.value
        if info is None:
            self.withheld.pop(item.name, None)
            self._remove(item.name)
            return
        verdict = self.history.judge(info, self.era, listed=listed)
        if verdict is EntryVerdict.NEWS:
            self.withheld.pop(item.name, None)
            self._accept(info, item.revision)
            return
        record = self.records.get(info.id)
        used = record is not None and record.unlisted_at is None
        if used:
            record.missing_since = None
        if verdict is EntryVerdict.LEFT or (used and _may_be_same_run(record.info, info)):
            self.withheld.pop(item.name, None)
        else:
            self._withhold(item.name, info)
        self.env.log.emit(
            Event.ENDPOINT_ENTRY_IGNORED,
            endpoint=info.id,
            reason=verdict.value,
            draining=info.draining,
            started_ms=info.started_ms,
            updates=info.updates,
            revision=item.revision,
            era=self.era,
        )

    def _accept(self, info: EndpointInfo, revision: int | None) -> None:
        info = self.history.record(info, self.era)
        record = self.records.get(info.id)
        if (
            record is None
            or record.info.started_ms != info.started_ms
            or record.info.service != info.service
        ):
            if record is not None:
                self.announcements.forget(record.info)
            self.records[info.id] = self.new_record(info)
        else:
            if record.info.stage is not info.stage:
                record.cooldown_until = 0.0
            record.info = info
            record.unlisted_at = record.missing_since = None
        self.announcements.record_entry(info)
        record = self.records[info.id]
        record.notice = self.announcements.notice(info.id)
        record.limit = self.announcements.limits.statement(info.id)
        record.pause = self.announcements.pauses.get(info.id)
        self.env.log.emit(
            Event.ENDPOINT_LISTED,
            endpoint=info.id,
            service=info.service,
            draining=info.draining,
            stage=info.stage.value,
            revision=revision,
            era=self.era,
        )

    def _remove(self, name: str) -> None:
        self.history.record_removed(name, self.era, self.env.now)
        record = self.records.get(name)
        if record is None or record.unlisted_at is not None:
            return
        self.env.log.emit(Event.ENDPOINT_LISTED, endpoint=name, gone=True, era=self.era)
        self.announcements.record_unlisted(name)
        if record.availability is Availability.LEAVING:
            self._drop(name)
            return
        # Its entry may have expired while the store was unreachable, or the endpoint may be
        # leaving without a notice. Until the drain time it is used if no listed one is left.
        record.unlisted_at = self.env.now

    def _record_missing(self, name: str) -> None:
        """Record that the copy of a restored store has no entry of an endpoint.

        It may have registered after the copy was made. Its entry is back within seconds, and until
        it would have to be dropped, it is used like the others.
        """
        record = self.records[name]
        if record.availability is Availability.LEAVING:
            self._drop(name)
        elif record.unlisted_at is None and record.missing_since is None:
            record.missing_since = self.env.now

    def _drop(self, name: str) -> None:
        del self.records[name]
        self.announcements.forget_requests(name)
        self.history.record_left(name, self.env.now)


def _may_be_same_run(one: EndpointInfo, other: EndpointInfo) -> bool:
    return None in (one.started_ms, other.started_ms) or one.started_ms == other.started_ms
