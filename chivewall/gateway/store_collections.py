"""Follows a collection of the platform's store: lists it, then watches for changes."""

from functools import singledispatchmethod
from typing import Any, Protocol

from attrs import frozen
from twisted.internet.defer import Deferred

from chivewall.backoff import exponential_delay
from chivewall.environment import Environment
from chivewall.errors import HistoryLostError, StoreError
from chivewall.events import Event
from chivewall.messages import Tick
from chivewall.task import Inbox, Task

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


@frozen
class CollectionSnapshot:
    """All objects of a collection at a revision of the store."""

    collection: str
    items: tuple[CollectionItem, ...]
    revision: int


@frozen
class CollectionChanges:
    """Objects that changed up to a revision of the store, in the order of the changes."""

    collection: str
    items: tuple[CollectionItem, ...]
    revision: int


@frozen
class CollectionUnavailable:
    """The store can't be reached; what was read before may be out of date from now on."""

    collection: str


class CollectionSource(Protocol):
    """Reads one collection of the platform's store."""

    name: str

    def read_all(self) -> Deferred:
        """Return a deferred ``CollectionSnapshot``; it fails with ``StoreError``."""

    def watch(self, revision: int, deadline: float) -> Deferred:
        """Return deferred ``CollectionChanges`` after ``revision``, empty at the deadline.

        It fails with ``HistoryLostError`` if the store no longer has the changes,
        or with another ``StoreError``.
        """


@frozen
class ReadFailed:
    """A list or a watch failed."""

    exc: StoreError


class CollectionWatcher(Task):
    """Lists and watches one collection, and sends what it reads to an inbox.

    After changes it pauses before the next watch. The store counts each call, and each change of
    an endpoint would cost one call of each gateway; the changes of a pause come in one response.
    """

    def __init__(
        self,
        env: Environment,
        source: CollectionSource,
        subscriber: Inbox,
        pause_seconds: float = 0.0,
    ) -> None:
        super().__init__()
        self.pause_seconds = pause_seconds
        self.env = env
        self.source = source
        self.subscriber = subscriber
        self.revision: int | None = None  # None: the collection must be listed first
        self.failures = 0  # failed reads since the last successful one
        self.failed_at: float | None = None  # time of the first of these failures

    def start(self) -> None:
        """Start the task and list the collection."""
        super().start()
        self.send(Tick())

    @singledispatchmethod
    async def receive(self, message: object) -> None:
        """Handle one message."""
        raise TypeError(f"unexpected message {message!r}")

    @receive.register
    async def _(self, message: Tick) -> None:
        self.spawn(self._read())

    @receive.register
    async def _(self, message: CollectionSnapshot) -> None:
        self._handle_read(message)

    @receive.register
    async def _(self, message: CollectionChanges) -> None:
        self._handle_read(message)

    @receive.register
    async def _(self, message: ReadFailed) -> None:
        if isinstance(message.exc, HistoryLostError):
            self.revision = None
            self.env.log.emit(Event.STORE_HISTORY_LOST, collection=self.source.name)
        elif self.failures == 0:
            self.failed_at = self.env.now
            self.env.log.emit(Event.STORE_UNAVAILABLE, key=self.source.name, error=str(message.exc))
            self.subscriber.put(CollectionUnavailable(self.source.name))
        delay = exponential_delay(FIRST_RETRY_SECONDS, MAX_RETRY_SECONDS, self.failures)
        self.failures += 1
        # Jitter keeps the instances from reconnecting all at once after an outage.
        self.env.clock.callLater(delay * self.env.random.uniform(0.5, 1), self.send, Tick())

    def _handle_read(self, message: CollectionSnapshot | CollectionChanges) -> None:
        if self.failed_at is not None:
            self.env.log.emit(
                Event.STORE_REGAINED,
                key=self.source.name,
                after_seconds=round(self.env.now - self.failed_at, 3),
            )
        self.failures = 0
        self.failed_at = None
        self.revision = message.revision
        self.subscriber.put(message)
        if self.pause_seconds and message.items and isinstance(message, CollectionChanges):
            self.env.clock.callLater(self.pause_seconds, self.send, Tick())
        else:
            self.send(Tick())

    async def _read(self) -> None:
        try:
            if self.revision is None:
                read = await self.source.read_all()
            else:
                seconds = RECHECK_SECONDS if self.failures else WATCH_SECONDS
                read = await self.source.watch(self.revision, self.env.now + seconds)
        except StoreError as exc:
            self.send(ReadFailed(exc))
        else:
            self.send(read)
