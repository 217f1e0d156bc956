"""Keeps the newest voted configuration in force; never goes back to an older version."""

import json
from functools import singledispatchmethod

from attrs import define, field, frozen, validators
from twisted.internet.defer import Deferred

from chivewall.configuration import Configuration, from_document, to_document
from chivewall.configuration_changes import (
    CONFIGURATION_KEY,
    Archive,
    decode_archive,
    encode_archive,
)
from chivewall.environment import Environment
from chivewall.errors import ConfigurationError
from chivewall.events import Event
from chivewall.interfaces import ObjectStore, StoredObject
from chivewall.messages import ConfigurationReceived
from chivewall.plugins.base import Plugin
from chivewall.plugins.registry import Registry
from chivewall.task import Inbox, Query, Task
from chivewall.watch import WATCH_TIMEOUT_SECONDS, ObjectChanged, ObjectWatcher


@frozen
class ConfigurationSettings:
    """Settings of the watch on the stored configuration."""

    watch_seconds: float = field(
        default=WATCH_TIMEOUT_SECONDS,
        validator=validators.gt(0),
        metadata={"help": "Longest time that one watch waits for a change, in seconds."},
    )


@frozen
class Subscribe:
    """Request to receive ``ConfigurationReceived`` for every version that comes into force."""

    inbox: Inbox


@define(eq=False)
class CurrentConfiguration(Query):
    """Query for the configuration in force; the reply is a ``Configuration`` or ``None``."""


class ConfigurationKeeper(Task):
    """Task that owns the configuration in force in this process."""

    def __init__(self, env: Environment, store: ObjectStore, watch_seconds: float) -> None:
        super().__init__()
        self.env = env
        self.watcher = ObjectWatcher(env, store, CONFIGURATION_KEY, self.inbox, watch_seconds)
        self.current: Configuration | None = None
        self.subscribers: list[Inbox] = []

    def start(self) -> None:
        """Start watching the stored configuration."""
        super().start()
        self.watcher.start()

    async def on_stop(self) -> None:
        """Stop watching the stored configuration."""
        await self.watcher.stop()

    @singledispatchmethod
    async def receive(self, message: object) -> None:
        """Handle one message."""
        raise TypeError(f"unexpected message {message!r}")

    @receive.register
    async def _(self, message: ObjectChanged) -> None:
        self._apply_stored(message.stored)

    @receive.register
    async def _(self, message: ConfigurationReceived) -> None:
        self._apply(message.configuration, message.origin)

    @receive.register
    async def _(self, message: Subscribe) -> None:
        self.subscribers.append(message.inbox)
        if self.current is not None:
            message.inbox.put(ConfigurationReceived(self.current, origin="subscription"))

    @receive.register
    async def _(self, message: CurrentConfiguration) -> None:
        message.reply(self.current)

    def _apply_stored(self, stored: StoredObject) -> None:
        try:
            configuration = decode_archive(stored.value).current
        except ConfigurationError as exc:
            self.env.log.emit(Event.CONFIGURATION_REJECTED, error=str(exc))
            return
        self._apply(configuration, origin="object API")

    def _apply(self, configuration: Configuration, origin: str) -> None:
        if self.current is not None and configuration.version <= self.current.version:
            return
        self.current = configuration
        self.env.log.emit(
            Event.CONFIGURATION_IN_FORCE, version=configuration.version, origin=origin
        )
        for inbox in self.subscribers:
            inbox.put(ConfigurationReceived(configuration, origin))


class ConfigurationPlugin(Plugin):
    """Provides the ``ConfigurationKeeper``."""

    name = "configuration"
    settings_type = ConfigurationSettings

    async def setup(self) -> None:
        """Provide the task to later plug-ins."""
        self.keeper = ConfigurationKeeper(
            self.env, self.env.require(ObjectStore), self.cfg.watch_seconds
        )
        self.env.provide(ConfigurationKeeper, self.keeper)

    async def start(self) -> None:
        """Start watching the stored configuration."""
        self.keeper.start()

    async def stop(self) -> None:
        """Stop watching the stored configuration."""
        await self.keeper.stop()

    def ready(self) -> bool:
        """Return whether a configuration is in force."""
        return self.keeper.current is not None


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(ConfigurationPlugin)


def encode_configuration(configuration: Configuration) -> bytes:
    """Return the JSON form of a configuration, as instances exchange it."""
    return json.dumps(to_document(configuration)).encode()


def decode_configuration(value: bytes) -> Configuration:
    """Return the configuration of a JSON form; raises ``ConfigurationError``."""
    try:
        document = json.loads(value)
    except ValueError as exc:
        raise ConfigurationError(f"not JSON: {exc}") from exc
    return from_document(document)


def seed_configuration(store: ObjectStore, configuration: Configuration) -> Deferred:
    """Create the configuration object; fails with ``VersionConflictError`` if it exists."""
    return store.create(CONFIGURATION_KEY, encode_archive(Archive(configuration)))
