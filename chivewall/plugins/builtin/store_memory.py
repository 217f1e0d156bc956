"""Object store in the memory of this process, for the embedded system and tests."""

from chivewall.interfaces import ObjectStore
from chivewall.plugins.base import Plugin
from chivewall.plugins.registry import Registry
from chivewall.standins.objects import MemoryStore


class MemoryStorePlugin(Plugin):
    """Provides an ``ObjectStore`` whose contents are lost when the process ends."""

    name = "store_memory"

    async def setup(self) -> None:
        """Provide the store unless the process already has one."""
        if self.env.find(ObjectStore) is None:
            self.env.provide(ObjectStore, MemoryStore(clock=self.env.clock))


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(MemoryStorePlugin)
