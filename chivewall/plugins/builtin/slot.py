"""Exclusive lock of an agent on its endpoint, held by listening on a loopback port.

The operating system lets only one process at a time listen on the port, and a
paused process keeps it. So a new agent can't act for the endpoint while an
earlier one still could.
"""

import socket

from attrs import field, frozen, validators
from twisted.internet.task import deferLater

from chivewall.events import Event
from chivewall.plugins.base import Plugin
from chivewall.plugins.registry import Registry

RETRY_INTERVAL_SECONDS = 0.5  # interval of attempts to take the lock


@frozen
class EndpointLockSettings:
    """Settings of the port that represents the lock."""

    port: int = field(
        validator=[validators.ge(1), validators.le(65535)],
        metadata={"help": "Loopback port of the lock, the same for every agent of the endpoint."},
    )


class EndpointLockPlugin(Plugin):
    """Holds the lock from ``start`` to ``stop``; list it before ``orders`` and ``gate``."""

    name = "slot"
    settings_type = EndpointLockSettings

    listener: socket.socket | None = None

    async def start(self) -> None:
        """Wait until the lock is free and take it."""
        while (listener := self._bind()) is None:
            self.env.log.emit(Event.SLOT_TAKEN, port=self.cfg.port)
            await deferLater(self.env.clock, RETRY_INTERVAL_SECONDS, lambda: None)
        self.listener = listener

    async def stop(self) -> None:
        """Release the lock, if this process holds it."""
        if self.listener is not None:
            self.listener.close()

    def _bind(self) -> socket.socket | None:
        listener = socket.socket()
        try:
            listener.bind(("127.0.0.1", self.cfg.port))
            listener.listen(1)
        except OSError:
            listener.close()
            return None
        return listener


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(EndpointLockPlugin)
