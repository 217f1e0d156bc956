"""The agent's slot beside its endpoint: held by binding a loopback port.

The operating system lets one process at a time listen on the port, and a
process that is paused keeps it. So a new agent can't act for the endpoint
while an earlier one still could.
"""

import socket

from attrs import field, frozen, validators
from twisted.internet.task import deferLater

from chivewall.events import Event
from chivewall.plugins.base import Plugin
from chivewall.plugins.registry import Registry

RETRY_SECONDS = 0.5


@frozen
class SlotSettings:
    """Which port stands for the slot."""

    port: int = field(
        validator=[validators.ge(1), validators.le(65535)],
        metadata={"help": "Loopback port of the slot, the same for every agent of the endpoint."},
    )


class SlotPlugin(Plugin):
    """Holds the slot from ``start`` to ``stop``; name it before ``orders`` and ``gate``."""

    name = "slot"
    settings_type = SlotSettings

    listener: socket.socket | None = None

    async def start(self) -> None:
        """Wait until the slot is free and take it."""
        while (taken := self._bind()) is None:
            self.env.log.emit(Event.SLOT_TAKEN, port=self.cfg.port)
            await deferLater(self.env.clock, RETRY_SECONDS, lambda: None)
        self.listener = taken

    async def stop(self) -> None:
        """Release the slot, if it was taken."""
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
    registry.add(SlotPlugin)
