"""Base class of plug-ins, with the hooks that the kernel calls."""

from typing import Any

from attrs import frozen

from chivewall.environment import Environment


@frozen
class NoSettings:
    """Empty settings section, for a plug-in without settings."""


class Plugin:
    """Base of all plug-ins.

    Set ``name`` to the name used in the settings and ``settings_type`` to the
    attrs class of the section with that name. Override the hooks that the
    plug-in needs; each may be a coroutine and they run in this order:
    ``setup`` (provide services, look up those of earlier plug-ins), ``start``
    (open sockets, start tasks), ``drain`` (refuse new work, finish the work in
    progress), ``stop`` (close sockets, stop tasks). ``setup`` and ``start`` run
    in the order of the plug-ins in the settings, ``drain`` and ``stop`` in
    reverse.

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
        """Provide services to later plug-ins and look up those of earlier ones."""

    async def start(self) -> None:
        """Open sockets and start tasks."""

    async def drain(self) -> None:
        """Refuse new work and return when no work is in progress."""

    async def stop(self) -> None:
        """Close sockets and stop tasks."""

    def reload(self, cfg: Any) -> None:
        """Apply a changed settings section; by default it takes effect at the next start."""

    def ready(self) -> bool:
        """Return whether this plug-in is ready to serve."""
        return True
