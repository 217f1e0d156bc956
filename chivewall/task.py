"""Tasks with one inbox each; a task alone touches its state and its sockets."""

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
    """Base of messages that are answered once, through ``reply``."""

    reply: Deferred = field(factory=Deferred, init=False, repr=False)

    def answer(self, value: object) -> None:
        """Answer the sender, unless it has given up waiting."""
        if not self.reply.called:
            self.reply.callback(value)

    def fail(self, exc: Exception) -> None:
        """Answer the sender with an error, unless it has given up waiting."""
        if not self.reply.called:
            self.reply.errback(exc)


@define(eq=False)
class Stop(Query):
    """Ends a task after the messages before it; answered when the task has ended."""


class Task:
    """Handles one message at a time.

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
        """True between ``start`` and the end of the task."""
        return self._loop is not None and not self._loop.called

    def start(self) -> None:
        """Begin to handle messages."""
        self._loop = ensureDeferred(self._run())

    def tell(self, message: object) -> None:
        """Send a message without waiting for an answer."""
        self.inbox.put(message)

    def ask(self, query: Query) -> Deferred:
        """Send a query and return the Deferred of its answer."""
        self.inbox.put(query)
        return query.reply

    def stop(self) -> Deferred:
        """Ask the task to end after the messages that it already has."""
        if not self.running:
            ended: Deferred = Deferred()
            ended.callback(None)
            return ended
        return self.ask(Stop())

    def spawn(self, work: Coroutine[Any, Any, Any]) -> Deferred:
        """Run a coroutine beside the inbox; it is cancelled when the task ends.

        The coroutine reports its result to the task as a message, so that
        only ``receive`` changes the state of the task.
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
        """Release what the task owns; called once, as the last thing."""

    async def _run(self) -> None:
        while True:
            message = await self.inbox.get()
            if isinstance(message, Stop):
                break
            await self._handle(message)
        for child in list(self._children):
            child.cancel()
        await self.on_stop()
        message.answer(None)

    async def _handle(self, message: object) -> None:
        try:
            await self.receive(message)
        except CancelledError:
            raise
        except Exception as exc:
            _log.failure("{task} failed on {message}", task=self, message=message)
            if isinstance(message, Query):
                message.fail(exc)

    def _child_ended(self, result: object, child: Deferred) -> object:
        self._children.discard(child)
        if isinstance(result, Failure) and result.check(CancelledError):
            return None
        if isinstance(result, Failure):
            _log.failure("child of {task} failed", failure=result, task=self)
            return None
        return result
