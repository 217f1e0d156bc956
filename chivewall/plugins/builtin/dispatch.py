"""Accepts requests, starts a task for each one and owns the retry budget."""

from functools import singledispatchmethod

from chivewall.decisions.retries import LateBudget, RetryBudget
from chivewall.environment import Environment
from chivewall.events import Event
from chivewall.messages import CancelRequest, Drain, ServeRequest
from chivewall.plugins.base import Plugin
from chivewall.plugins.builtin.directory import Directory
from chivewall.plugins.registry import Registry
from chivewall.request_task import (
    InterruptRequest,
    RequestServed,
    RequestTask,
    SpendLateResponse,
    SpendRetry,
)
from chivewall.task import Task
from chivewall.work import Rank


class Dispatcher(Task):
    """Task that owns the dispatch tasks of all requests in flight and the retry budget."""

    def __init__(self, env: Environment, directory: Directory) -> None:
        super().__init__()
        self.env = env
        self.directory = directory
        self.dispatches: dict[str, RequestTask] = {}
        self.retry_budget = RetryBudget()
        self.late_budget = LateBudget()
        self.drain_waiters: list[Drain] = []

    async def on_stop(self) -> None:
        """End the requests that are still in flight; after a drain there are none.

        Each one ends with a refusal that says whether its work may have run.
        """
        for dispatch in list(self.dispatches.values()):
            dispatch.send(InterruptRequest())
            await dispatch.stop()
        self.dispatches.clear()

    @singledispatchmethod
    async def receive(self, message: object) -> None:
        """Handle one message."""
        raise TypeError(f"unexpected message {message!r}")

    @receive.register
    async def _(self, message: ServeRequest) -> None:
        request = message.request
        self.env.log.emit(
            Event.REQUEST_ACCEPTED,
            request=request.id,
            workspace=request.workspace,
            rank=request.rank.value,
            target=request.work.target,
        )
        self.retry_budget.earn(request.rank)
        if request.rank is Rank.URGENT:
            self.late_budget.earn()
        dispatch = RequestTask(self.env, self.directory, self, message)
        self.dispatches[request.id] = dispatch
        dispatch.start()

    @receive.register
    async def _(self, message: CancelRequest) -> None:
        dispatch = self.dispatches.get(message.request_id)
        if dispatch is not None:
            dispatch.send(message)

    @receive.register
    async def _(self, message: SpendRetry) -> None:
        message.reply(self.retry_budget.spend(message.request.rank))

    @receive.register
    async def _(self, message: SpendLateResponse) -> None:
        message.reply(self.late_budget.spend())

    @receive.register
    async def _(self, message: RequestServed) -> None:
        dispatch = self.dispatches.pop(message.request_id, None)
        if dispatch is not None:
            dispatch.stop()
        self._reply_to_drain()

    @receive.register
    async def _(self, message: Drain) -> None:
        self.drain_waiters.append(message)
        self._reply_to_drain()

    def _reply_to_drain(self) -> None:
        if self.dispatches:
            return
        for waiter in self.drain_waiters:
            waiter.reply(None)
        self.drain_waiters = []


class DispatchPlugin(Plugin):
    """Provides the ``Dispatcher``."""

    name = "dispatch"

    async def setup(self) -> None:
        """Provide the dispatcher to later plug-ins."""
        self.dispatcher = Dispatcher(self.env, self.env.require(Directory))
        self.env.provide(Dispatcher, self.dispatcher)

    async def start(self) -> None:
        """Start accepting requests."""
        self.dispatcher.start()

    async def drain(self) -> None:
        """Wait until no request is in flight."""
        await self.dispatcher.query(Drain())

    async def stop(self) -> None:
        """Stop the dispatcher."""
        await self.dispatcher.stop()


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(DispatchPlugin)
