"""Plug-in ``adapter``: provides the gateway's interfaces to the users' platform."""

from functools import partial

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

# Where it is in force, an engine crashes if its requests exceed its memory; elsewhere they wait.
ENGINE_MEMORY_CONTRACT = "pressure"


@frozen
class PlatformSettings:
    """Address of the platform's store, and what holds there."""

    store: str = field(
        validator=check_address, metadata={"help": "IP:PORT of the platform's store."}
    )
    contracts: tuple[str, ...] = field(
        default=(), metadata={"help": "The contracts in force, by the platform's names."}
    )

    @property
    def bounds_engine_memory(self) -> bool:
        """Return whether the requests at an engine must fit into its memory."""
        return ENGINE_MEMORY_CONTRACT in self.contracts


class PlatformPlugin(Plugin):
    """Provides the collections, the HTTP dialect, engine control and order locks."""

    name = "adapter"
    settings_type = PlatformSettings

    async def setup(self) -> None:
        """Create the implementations and provide them."""
        address = parse_address(self.cfg.store)
        bound = self.cfg.bounds_engine_memory
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
                    client,
                    routing_configuration.KIND,
                    partial(routing_configuration.decode_object, bounds_engine_memory=bound),
                ),
                endpoints=ObjectCollection(
                    client, endpoint_entries.KIND, endpoint_entries.decode_endpoint
                ),
                eras=self.env.require(StoreEras).inbox,
                decode_configuration=partial(
                    routing_configuration.decode_routing_configuration, bounds_engine_memory=bound
                ),
            ),
        )


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(PlatformPlugin)
