"""What a plug-in must offer."""

from typing import Any

from attrs import frozen

from chivewall.environment import Environment


@frozen
class NoSettings:
    """Section of a plug-in that has no settings."""


class Plugin:
    """Base of all plug-ins.

    Set ``name`` to the name used in the settings and ``settings_type`` to the
    attrs class of the section with that name. Override the hooks that the
    plug-in needs; each may be a coroutine and they run in this order:
    ``setup`` (offer services, look up those of earlier plug-ins), ``start``
    (open sockets, start tasks), ``drain`` (take no new work, finish what is
    there), ``stop`` (close everything). ``drain`` and ``stop`` run in reverse
    order of the settings.

    A plug-in module registers itself::

        def register(registry):
            registry.add(MyPlugin)
    """

    name = ""
    settings_type: type = NoSettings

    def __init__(self, env: Environment, cfg: Any) -> None:
        self.env = env
        self.cfg = cfg

    async def setup(self) -> None:
        """Offer services and look up the services of earlier plug-ins."""

    async def start(self) -> None:
        """Open sockets and start tasks."""

    async def drain(self) -> None:
        """Take no new work and return when nothing is in flight."""

    async def stop(self) -> None:
        """Close sockets and stop tasks."""

    def reload(self, cfg: Any) -> None:
        """Take over a changed section while running; the base ignores it until the next start."""

    def ready(self) -> bool:
        """Return whether the process can serve as far as this plug-in is concerned."""
        return True
