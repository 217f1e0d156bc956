"""Follows a collection of the platform's store: lists it, then watches for changes."""

from functools import singledispatchmethod
from typing import Any, Protocol

from attrs import field, frozen
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.interfaces import IDelayedCall
from twisted.logger import Logger

from chivewall.backoff import exponential_delay
from chivewall.decisions.store_eras import ReadVerdict, judge_read
from chivewall.environment import Environment
from chivewall.errors import HistoryLostError, StoreError, StoreUnavailableError
from chivewall.events import Event
from chivewall.gateway.store_eras import EraBegan, EraSeen, EraTold, SubscribeToEras
from chivewall.messages import Tick
from chivewall.task import Inbox, Task

_log = Logger()  # Twisted's log; the daemon forwards it to the event log

# Duration of one watch; the store allows at most 30 s, and each request is billed, so a watch
# lasts long.
WATCH_SECONDS = 28.0
# Longest watch after a failed read. The store may answer nothing although it is reached, which
# only the end of a watch shows, and a change has to be in force within seconds.
RECHECK_SECONDS = 0.5
FIRST_RETRY_SECONDS = 0.1  # first delay before a retry, in seconds
# Longest delay before a retry, in seconds; a change must be in force 2 s after it was
# acknowledged.
MAX_RETRY_SECONDS = 0.8


@frozen
class CollectionItem:
    """An object of a collection; ``value`` is ``None`` if it was deleted or can't be decoded."""

    name: str
    value: Any
    revision: int
    document: Any = field(default=None, repr=False)  # from which the value was decoded


@frozen
class CollectionSnapshot:
    """All objects of a collection at a revision of the store."""

    collection: str
    items: tuple[CollectionItem, ...]
    revision: int
    era: int | None = None  # era of the store, which a restore from a copy raises


@frozen
class CollectionChanges:
    """Objects that changed up to a revision of the store, in the order of the changes."""

    collection: str
    items: tuple[CollectionItem, ...]
    revision: int
    era: int | None = None  # era of the store, as for a snapshot


@frozen
class CollectionUnavailable:
    """The store can't be reached; what was read before may be out of date from now on."""

    collection: str


@frozen
class EndWatchAt:
    """Let no watch wait for changes beyond this time, so that its answer is a read of then."""

    time: float


class CollectionSource(Protocol):
    """Reads one collection of the platform's store."""

    name: str

    def read_all(self) -> Deferred:
        """Return a deferred ``CollectionSnapshot``, all of one era.

        It fails with ``StoreRestoredError`` if the store was restored meanwhile, or with
        another ``StoreError``.
        """

    def watch(self, revision: int, deadline: float) -> Deferred:
        """Return deferred ``CollectionChanges`` after ``revision``, empty at the deadline.

        It fails with ``HistoryLostError`` if the store no longer has the changes,
        or with another ``StoreError``.
        """


@frozen
class ReadEnded:
    """A list or a watch ended, or failed."""

    number: int
    result: CollectionSnapshot | CollectionChanges | StoreError


class CollectionWatcher(Task):
    """Lists and watches one collection, and sends what it reads to an inbox.

    After changes it pauses before the next watch. The store counts each call, and each change of
    an endpoint would cost one call of each gateway; the changes of a pause come in one response.

    When the store has been restored, the collection is listed again at once: revisions of an
    earlier era don't tell what changed.
    """

    def __init__(
        self,
        env: Environment,
        source: CollectionSource,
        subscriber: Inbox,
        eras: Inbox,
        pause_seconds: float = 0.0,
    ) -> None:
        super().__init__()
        self.pause_seconds = pause_seconds
        self.env = env
        self.source = source
        self.subscriber = subscriber
        self.eras = eras  # of the ``StoreEras`` task
        self.revision: int | None = None  # None: the collection must be listed first
        self.list_era: int | None = None  # era of the latest list
        self.newest_era: int | None = None  # newest era that any reader has seen
        self.failures = 0  # failed reads since the last successful one
        self.failed_at: float | None = None  # time of the first of these failures
        self._reading: Deferred | None = None  # the list or watch in progress
        self._read_number = 0  # of the latest list or watch
        self._timer: IDelayedCall | None = None  # starts the next list or watch
        self._watch_until: float | None = None  # deadline of the watch in progress
        self._end_watch_at: float | None = None  # deadline that the subscriber has set

    def start(self) -> None:
        """Start the task and list the collection."""
        super().start()
        self.eras.put(SubscribeToEras(self.inbox))
        self.send(Tick())

    async def on_stop(self) -> None:
        """Cancel the next read."""
        self._cancel_timer()

    @singledispatchmethod
    async def receive(self, message: object) -> None:
        """Handle one message."""
        raise TypeError(f"unexpected message {message!r}")

    @receive.register
    async def _(self, message: Tick) -> None:
        if self._reading is None:
            self._begin_read()

    @receive.register
    async def _(self, message: EraBegan) -> None:
        if self.newest_era is not None and message.era <= self.newest_era:
            return
        self.newest_era = message.era
        if self.revision is not None:
            self._list_again()
        elif self._reading is None:
            self._begin_read()

    @receive.register
    async def _(self, message: EraTold) -> None:
        # A watch may wait in silence over a restore; the list shows the era.
        if self.revision is not None:
            self._list_again()

    @receive.register
    async def _(self, message: EndWatchAt) -> None:
        self._end_watch_at = message.time
        watching = self._reading is not None and self._watch_until is not None
        if watching and self.env.now < message.time < self._watch_until:
            self._reading.cancel()
            self._begin_read()

    @receive.register
    async def _(self, message: ReadEnded) -> None:
        if message.number != self._read_number:
            return
        self._reading = None
        result = message.result
        restored = self._record_era(result.era)
        if isinstance(result, StoreError):
            self._handle_failure(result, restored)
            return
        list_era = None if isinstance(result, CollectionSnapshot) else self.list_era
        verdict = judge_read(result.era, self.newest_era, list_era)
        if verdict is ReadVerdict.USE:
            self._handle_read(result)
            return
        self._log_dropped(result, verdict)
        self.revision = None
        if verdict is ReadVerdict.RESTORED:
            self._begin_read()
        else:
            self._retry_later()

    def _record_era(self, era: int | None) -> bool:
        """Record the era of an answer; return whether the store was restored since the list."""
        if era is None:
            return False
        if self.newest_era is None or era > self.newest_era:
            self.newest_era = era
            self.eras.put(EraSeen(era))
        return self.list_era is not None and era > self.list_era

    def _handle_failure(self, exc: StoreError, restored: bool) -> None:
        if isinstance(exc, HistoryLostError):
            self.env.log.emit(
                Event.STORE_HISTORY_LOST,
                collection=self.source.name,
                revision=self.revision,
                era=exc.era,
            )
        elif self.failures == 0:
            self.failed_at = self.env.now
            self.env.log.emit(Event.STORE_UNAVAILABLE, key=self.source.name, error=str(exc))
            self.subscriber.put(CollectionUnavailable(self.source.name))
        if restored or isinstance(exc, HistoryLostError):
            self.revision = None
        if restored and isinstance(exc, HistoryLostError):
            self._begin_read()
        else:
            self._retry_later()

    def _handle_read(self, read: CollectionSnapshot | CollectionChanges) -> None:
        if self.failed_at is not None:
            self.env.log.emit(
                Event.STORE_REGAINED,
                key=self.source.name,
                after_seconds=round(self.env.now - self.failed_at, 3),
                revision=read.revision,
                era=read.era,
            )
        self.failures = 0
        self.failed_at = None
        self.revision = read.revision
        if isinstance(read, CollectionSnapshot):
            self.list_era = read.era
        self.subscriber.put(read)
        if self.pause_seconds and read.items and isinstance(read, CollectionChanges):
            self._begin_read_after(self.pause_seconds)
        else:
            self._begin_read()

    def _log_dropped(
        self, read: CollectionSnapshot | CollectionChanges, verdict: ReadVerdict
    ) -> None:
        self.env.log.emit(
            Event.STORE_READ_DROPPED,
            collection=self.source.name,
            reason=verdict.value,
            revision=read.revision,
            era=read.era,
            list_era=self.list_era,
            newest_era=self.newest_era,
        )

    def _list_again(self) -> None:
        """List the collection now, instead of what is being read or waited for."""
        self.revision = None
        if self._reading is not None:
            self._reading.cancel()
        self._begin_read()

    def _retry_later(self) -> None:
        delay = exponential_delay(FIRST_RETRY_SECONDS, MAX_RETRY_SECONDS, self.failures)
        self.failures += 1
        # Jitter keeps the instances from reconnecting all at once after an outage.
        self._begin_read_after(delay * self.env.random.uniform(0.5, 1))

    def _begin_read_after(self, seconds: float) -> None:
        self._timer = self.env.clock.callLater(seconds, self.send, Tick())

    def _cancel_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _begin_read(self) -> None:
        self._cancel_timer()
        self._read_number += 1
        self._reading = self.spawn(self._read(self._read_number))

    def _watch_deadline(self) -> float:
        deadline = self.env.now + (RECHECK_SECONDS if self.failures else WATCH_SECONDS)
        if self._end_watch_at is not None and self._end_watch_at > self.env.now:
            return min(deadline, self._end_watch_at)
        return deadline

    async def _read(self, number: int) -> None:
        try:
            if self.revision is None:
                self._watch_until = None
                result = await self.source.read_all()
            else:
                self._watch_until = self._watch_deadline()
                result = await self.source.watch(self.revision, self._watch_until)
        except StoreError as exc:
            result = exc
        except CancelledError:
            raise
        except Exception as exc:
            # Without a message the watch would end, and the gateway would hear of no change.
            _log.failure("reading {name} failed", name=self.source.name)
            result = StoreUnavailableError(f"unexpected error: {exc!r:.200}")
        self.send(ReadEnded(number, result))
