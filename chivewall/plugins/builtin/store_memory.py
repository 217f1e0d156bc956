"""Object API in the memory of this process, for the embedded daemon and tests."""

from chivewall.interfaces import ObjectStore
from chivewall.plugins.base import Plugin
from chivewall.plugins.registry import Registry
from chivewall.standins.objects import MemoryStore


class MemoryStorePlugin(Plugin):
    """Offers an ``ObjectStore`` that is gone with the process."""

    name = "store_memory"

    async def setup(self) -> None:
        """Offer the store unless the process was given one."""
        if self.env.find(ObjectStore) is None:
            self.env.provide(ObjectStore, MemoryStore(clock=self.env.clock))


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(MemoryStorePlugin)
