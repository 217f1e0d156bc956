"""Tells all readers of the store when one of them sees that it was restored from a copy."""

from functools import singledispatchmethod

from attrs import frozen

from chivewall.environment import Environment
from chivewall.events import Event
from chivewall.plugins.base import Plugin
from chivewall.plugins.registry import Registry
from chivewall.task import Inbox, Task


@frozen
class SubscribeToEras:
    """Send ``EraBegan`` and ``EraTold`` to this inbox, the former at once if an era is known."""

    inbox: Inbox


@frozen
class EraSeen:
    """An answer of the store was of this era."""

    era: int


@frozen
class EraBegan:
    """This is the newest era that any reader has seen."""

    era: int


@frozen
class EraTold:
    """Another gateway has seen this era; the store itself has to confirm it."""

    era: int


class StoreEras(Task):
    """Knows the newest era of the store, and tells its subscribers of each new one."""

    def __init__(self, env: Environment) -> None:
        super().__init__()
        self.env = env
        self.newest: int | None = None
        self.told: int | None = None  # latest era that another gateway told and nobody saw
        self.subscribers: list[Inbox] = []

    @singledispatchmethod
    async def receive(self, message: object) -> None:
        """Handle one message."""
        raise TypeError(f"unexpected message {message!r}")

    @receive.register
    async def _(self, message: SubscribeToEras) -> None:
        self.subscribers.append(message.inbox)
        if self.newest is not None:
            message.inbox.put(EraBegan(self.newest))

    @receive.register
    async def _(self, message: EraSeen) -> None:
        if self.newest is not None and message.era <= self.newest:
            return
        self.env.log.emit(Event.STORE_ERA_BEGAN, era=message.era, previous=self.newest)
        self.newest = message.era
        for inbox in self.subscribers:
            inbox.put(EraBegan(message.era))

    @receive.register
    async def _(self, message: EraTold) -> None:
        if self.newest is None or message.era <= self.newest or message.era == self.told:
            return
        self.env.log.emit(Event.STORE_ERA_TOLD, era=message.era, newest=self.newest)
        self.told = message.era
        for inbox in self.subscribers:
            inbox.put(message)


class StoreErasPlugin(Plugin):
    """Provides the ``StoreEras`` task."""

    name = "store_eras"

    async def setup(self) -> None:
        """Create the task and provide it."""
        self.eras = StoreEras(self.env)
        self.env.provide(StoreEras, self.eras)

    async def start(self) -> None:
        """Start the task."""
        self.eras.start()

    async def stop(self) -> None:
        """Stop the task."""
        await self.eras.stop()


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(StoreErasPlugin)
