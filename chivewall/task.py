"""Tasks: each has an inbox and is the only one that uses its state and its sockets."""

from collections.abc import Coroutine
from typing import Any

from attrs import define, field
from twisted.internet.defer import CancelledError, Deferred, DeferredQueue, ensureDeferred
from twisted.logger import Logger
from twisted.python.failure import Failure

_log = Logger()  # Twisted's log; the daemon forwards it to the event log


class Inbox:
    """Unbounded first-in first-out queue of messages."""

    def __init__(self) -> None:
        self._queue: DeferredQueue = DeferredQueue()

    def put(self, message: object) -> None:
        """Add a message; never blocks."""
        self._queue.put(message)

    def get(self) -> Deferred:
        """Return a Deferred that fires with the next message."""
        return self._queue.get()

    def __len__(self) -> int:
        return len(self._queue.pending)


@define(eq=False)
class Query:
    """Base class of messages that get one reply, through the Deferred ``reply``."""

    deferred: Deferred = field(factory=Deferred, init=False, repr=False)

    def reply(self, value: object) -> None:
        """Send the reply, unless the sender has stopped waiting for it."""
        if not self.deferred.called:
            self.deferred.callback(value)

    def fail(self, exc: Exception) -> None:
        """Send an error as the reply, unless the sender has stopped waiting for it."""
        if not self.deferred.called:
            self.deferred.errback(exc)


@define(eq=False)
class Stop(Query):
    """Query to end a task after its earlier messages; answered when the task has ended."""


class Task:
    """Handles the messages of its inbox one at a time.

    Subclasses override ``receive``, usually as a ``singledispatchmethod``::

        class Counter(Task):
            @singledispatchmethod
            async def receive(self, message): ...

            @receive.register
            async def _(self, message: Increment): self.count += 1
    """

    def __init__(self) -> None:
        self.inbox = Inbox()
        self._loop: Deferred | None = None
        self._children: set[Deferred] = set()

    @property
    def running(self) -> bool:
        """True from ``start`` until the task has ended."""
        return self._loop is not None and not self._loop.called

    def start(self) -> None:
        """Start handling messages."""
        self._loop = ensureDeferred(self._run())

    def send(self, message: object) -> None:
        """Send a message that gets no reply."""
        self.inbox.put(message)

    def query(self, message: Query) -> Deferred:
        """Send a query and return a Deferred that fires with its reply."""
        self.inbox.put(message)
        return message.deferred

    def stop(self) -> Deferred:
        """Stop the task after the messages already in its inbox; fires when it has ended."""
        if not self.running:
            ended: Deferred = Deferred()
            ended.callback(None)
            return ended
        return self.query(Stop())

    def spawn(self, work: Coroutine[Any, Any, Any]) -> Deferred:
        """Run a coroutine concurrently; it is cancelled when the task ends.

        The coroutine must send its result to the task as a message, so that only
        ``receive`` changes the state of the task.
        """
        child = ensureDeferred(work)
        if not child.called:
            self._children.add(child)
        child.addBoth(self._child_ended, child)
        return child

    async def receive(self, message: object) -> None:
        """Handle one message."""
        raise NotImplementedError

    async def on_stop(self) -> None:
        """Release the resources of the task; called once, after its last message."""

    async def _run(self) -> None:
        while True:
            message = await self.inbox.get()
            if isinstance(message, Stop):
                break
            await self._handle(message)
        for child in list(self._children):
            child.cancel()
        await self.on_stop()
        message.reply(None)

    async def _handle(self, message: object) -> None:
        try:
            await self.receive(message)
        except CancelledError:
            raise
        except Exception as exc:
            _log.failure("{task} failed to handle {message}", task=self, message=message)
            if isinstance(message, Query):
                message.fail(exc)

    def _child_ended(self, result: object, child: Deferred) -> object:
        self._children.discard(child)
        if isinstance(result, Failure) and result.check(CancelledError):
            return None
        if isinstance(result, Failure):
            _log.failure("coroutine of {task} failed", failure=result, task=self)
            return None
        return result
