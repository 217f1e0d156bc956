"""Watches one object of the object API and sends every new version to an inbox."""

from functools import singledispatchmethod

from attrs import frozen

from chivewall.backoff import exponential_delay
from chivewall.environment import Environment
from chivewall.errors import ObjectMissingError, StoreError
from chivewall.events import Event
from chivewall.interfaces import ObjectStore, StoredObject
from chivewall.messages import Tick
from chivewall.task import Inbox, Task

WATCH_TIMEOUT_SECONDS = 25.0  # timeout of one watch; each watch costs one call of the object API
RETRY_BASE_SECONDS = 0.5  # seconds
MAX_RETRY_SECONDS = 10.0  # seconds; below the 13 s within which a change must be in force


@frozen
class ObjectChanged:
    """A newer version of the watched object was found."""

    stored: StoredObject


@frozen
class WatchReturned:
    """A watch returned a newer version, or ``None`` at its deadline."""

    stored: StoredObject | None


@frozen
class WatchFailed:
    """A watch failed."""

    error: StoreError


class ObjectWatcher(Task):
    """Task that watches one object; retries failed watches with backoff and jitter."""

    def __init__(
        self,
        env: Environment,
        store: ObjectStore,
        key: str,
        sink: Inbox,
        watch_seconds: float = WATCH_TIMEOUT_SECONDS,
    ) -> None:
        super().__init__()
        self.env = env
        self.store = store
        self.key = key
        self.sink = sink
        self.watch_seconds = watch_seconds
        self.version = 0
        self.failures = 0

    def start(self) -> None:
        """Start watching the object."""
        super().start()
        self.send(Tick())

    @singledispatchmethod
    async def receive(self, message: object) -> None:
        """Handle one message."""
        raise TypeError(f"unexpected message {message!r}")

    @receive.register
    async def _(self, message: Tick) -> None:
        self.spawn(self._watch())

    @receive.register
    async def _(self, message: WatchReturned) -> None:
        self.failures = 0
        if message.stored is not None:
            self.version = message.stored.version
            self.sink.put(ObjectChanged(message.stored))
        self.send(Tick())

    @receive.register
    async def _(self, message: WatchFailed) -> None:
        if not isinstance(message.error, ObjectMissingError):
            self.env.log.emit(Event.STORE_UNAVAILABLE, key=self.key, error=str(message.error))
        delay = exponential_delay(RETRY_BASE_SECONDS, MAX_RETRY_SECONDS, self.failures)
        self.failures += 1
        # Jitter keeps a few hundred processes from retrying all at once after an outage.
        self.env.clock.callLater(delay * self.env.random.uniform(0.5, 1), self.send, Tick())

    async def _watch(self) -> None:
        deadline = self.env.now + self.watch_seconds
        try:
            stored = await self.store.watch(self.key, self.version, deadline)
        except StoreError as exc:
            self.send(WatchFailed(exc))
        else:
            self.send(WatchReturned(stored))
