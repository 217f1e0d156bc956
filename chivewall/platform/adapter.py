"""Plug-in ``adapter``: provides the gateway's interfaces to the users' platform."""

from attrs import field, frozen

from chivewall.addresses import check_address, parse_address
from chivewall.gateway.channels import ConnectionPool
from chivewall.gateway.engine_control import EngineControl, OrderLockStore
from chivewall.gateway.http_dialect import HttpDialect
from chivewall.gateway.sources import CollectionSources
from chivewall.gateway.store_eras import StoreEras
from chivewall.platform import endpoint_entries, routing_configuration
from chivewall.platform.engines import PlatformEngineControl, PlatformOrderLocks
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
        client = ObjectClient(self.env, self.env.require(ConnectionPool), address)
        self.env.provide(ObjectClient, client)
        self.env.provide(
            EngineControl, PlatformEngineControl(self.env, self.env.require(ConnectionPool))
        )
        self.env.provide(OrderLockStore, PlatformOrderLocks(client))
        self.env.provide(HttpDialect, PlatformDialect())
        self.env.provide(
            CollectionSources,
            CollectionSources(
                routing_configuration=ObjectCollection(
                    client, routing_configuration.KIND, routing_configuration.decode_object
                ),
                endpoints=ObjectCollection(
                    client, endpoint_entries.KIND, endpoint_entries.decode_endpoint
                ),
                eras=self.env.require(StoreEras).inbox,
                decode_configuration=routing_configuration.decode_routing_configuration,
            ),
        )


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(PlatformPlugin)
