"""Plug-in ``adapter``: provides the gateway's interfaces to the users' platform."""

from attrs import field, frozen

from chivewall.addresses import check_address, parse_address
from chivewall.gateway.calls import CallDialect
from chivewall.gateway.channels import Channels
from chivewall.gateway.engine_control import EngineControl, TurnStore
from chivewall.gateway.sources import Sources
from chivewall.platform import manifest, runners
from chivewall.platform.engines import RunnerControl, StoredTurns
from chivewall.platform.headers import PlatformDialect
from chivewall.platform.objects import ObjectClient, ObjectCollection
from chivewall.plugins.base import Plugin
from chivewall.plugins.registry import Registry


@frozen
class PlatformSettings:
    """Address of the platform's store."""

    store: str = field(
        validator=check_address, metadata={"help": "IP:PORT of the platform's store."}
    )


class PlatformPlugin(Plugin):
    """Provides the collections, the HTTP dialect, engine control and order locks."""

    name = "adapter"
    settings_type = PlatformSettings

    async def setup(self) -> None:
        """Create the implementations and provide them."""
        address = parse_address(self.cfg.store)
        client = ObjectClient(self.env, self.env.require(Channels), address)
        self.env.provide(EngineControl, RunnerControl(self.env, self.env.require(Channels)))
        self.env.provide(TurnStore, StoredTurns(client))
        self.env.provide(CallDialect, PlatformDialect())
        self.env.provide(
            Sources,
            Sources(
                catalogue=ObjectCollection(
                    client, manifest.KIND, lambda _, spec: manifest.decode_manifest(spec)
                ),
                endpoints=ObjectCollection(client, runners.KIND, runners.decode_runner),
            ),
        )


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(PlatformPlugin)
