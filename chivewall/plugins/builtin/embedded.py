"""A whole site in one process: entry, agents, stand-in endpoints and object API.

For a first look and for development. Every part listens on its own loopback
port and runs the same plug-ins as in separate processes.
"""

from typing import Any

from attrs import field, frozen, validators
from twisted.internet.interfaces import IListeningPort
from twisted.web.server import Site

from chivewall.configuration import default_configuration
from chivewall.environment import Environment
from chivewall.interfaces import Instance, InstanceKind, ObjectStore
from chivewall.kernel import Application
from chivewall.plugins.base import Plugin
from chivewall.plugins.builtin.configuration import seed_configuration
from chivewall.plugins.builtin.gate import GatePlugin
from chivewall.plugins.builtin.http_api import HttpApiPlugin
from chivewall.plugins.registry import Registry
from chivewall.settings import CoreSettings, Role, Settings
from chivewall.standins.engine_http import EngineServer
from chivewall.standins.objects import MemoryStore
from chivewall.standins.service_http import BookingService

LOOPBACK = "127.0.0.1"
NO_AUTHENTICATION = {"disabled": True}  # everything stays on loopback in one process
ENTRY_PLUGINS = (
    "credentials",
    "store_memory",
    "http_api",
    "configuration",
    "links_grpc",
    "directory",
    "dispatch",
    "caller_http",
    "operator_http",
    "operator_config",
    "explain",
    "metrics",
)
AGENT_PLUGINS = ("credentials", "store_memory", "configuration")


@frozen
class EmbeddedSettings:
    """What the embedded site contains."""

    port: int = field(
        default=0,
        validator=[validators.ge(0), validators.le(65535)],
        metadata={"help": "TCP port for callers; 0 takes a free one."},
    )
    models: tuple[str, ...] = field(
        default=("rota-assistant",), metadata={"help": "Models that every engine offers."}
    )
    engines: int = field(
        default=2, validator=validators.ge(1), metadata={"help": "Number of engines."}
    )
    services: tuple[str, ...] = field(
        default=("shift-booking",), metadata={"help": "Plain services, one endpoint each."}
    )


class EmbeddedPlugin(Plugin):
    """Builds the site and runs its parts as applications in this process."""

    name = "embedded"
    settings_type = EmbeddedSettings

    async def setup(self) -> None:
        """Create the object API with the default configuration."""
        self.store = MemoryStore(clock=self.env.clock)
        await seed_configuration(self.store, default_configuration())
        self.apps: list[Application] = []
        self.listeners: list[IListeningPort] = []
        self.bookings: dict[str, BookingService] = {}

    async def start(self) -> None:
        """Start stand-ins, agents and the entry, in this order."""
        engines = [
            await self._start_engine(f"engine-{place}") for place in range(1, self.cfg.engines + 1)
        ]
        services = [await self._start_service(name) for name in self.cfg.services]
        self.store.instance_list = (*engines, *services)
        sections = {
            "credentials": NO_AUTHENTICATION,
            "http_api": {"host": LOOPBACK, "port": self.cfg.port},
        }
        self.entry = await self._start_app("entry-1", Role.ENTRY, ENTRY_PLUGINS, sections)
        self.env.provide(HttpApiPlugin, self.entry.find(HttpApiPlugin))

    async def drain(self) -> None:
        """Drain the entry first, then the agents."""
        for app in reversed(self.apps):
            await app.shut_down()

    async def stop(self) -> None:
        """Stop every part that is left."""
        for app in reversed(self.apps):
            await app.stop()
        for listener in self.listeners:
            await listener.stopListening()

    def ready(self) -> bool:
        """Return whether all parts are ready."""
        return all(app.ready() for app in self.apps)

    async def _start_engine(self, name: str) -> Instance:
        engine = EngineServer(clock=self.env.clock, models=self.cfg.models)
        port = self._listen(engine.site())
        sections = {"engine_http": {"host": LOOPBACK, "port": port}}
        return await self._start_agent(
            name, InstanceKind.ENGINE, self.cfg.models, "engine_http", sections
        )

    async def _start_service(self, name: str) -> Instance:
        service = self.bookings[name] = BookingService(name=name)
        port = self._listen(service.site())
        sections = {"service_http": {"name": name, "host": LOOPBACK, "port": port}}
        return await self._start_agent(
            f"{name}-1", InstanceKind.SERVICE, (name,), "service_http", sections
        )

    async def _start_agent(
        self,
        name: str,
        kind: InstanceKind,
        targets: tuple[str, ...],
        endpoint_plugin: str,
        sections: dict[str, Any],
    ) -> Instance:
        sections = {
            **sections,
            "credentials": NO_AUTHENTICATION,
            "admission": {"endpoint": name},
            "gate": {"host": LOOPBACK},
        }
        plugins = (*AGENT_PLUGINS, endpoint_plugin, "admission", "gate")
        app = await self._start_app(name, Role.AGENT, plugins, sections)
        return Instance(
            name=name,
            kind=kind,
            data_centre=self.env.settings.core.data_centre,
            host=LOOPBACK,
            port=app.find(GatePlugin).port,
            targets=targets,
        )

    async def _start_app(
        self, name: str, role: Role, plugins: tuple[str, ...], sections: dict[str, Any]
    ) -> Application:
        outer = self.env.settings.core
        core = CoreSettings(
            role=role,
            instance=name,
            data_centre=outer.data_centre,
            plugins=plugins,
            seed=outer.seed,
            drain_seconds=outer.drain_seconds,
        )
        settings = Settings(core=core, sections=sections, source=f"embedded {name}")
        env = Environment.build(
            settings, self.env.reactor, stdout=self.env.stdout, stderr=self.env.stderr
        )
        env.provide(ObjectStore, self.store)
        app = Application(env)
        await app.start()
        self.apps.append(app)
        return app

    def _listen(self, site: Site) -> int:
        listener = self.env.reactor.listenTCP(0, site, interface=LOOPBACK)
        self.listeners.append(listener)
        return listener.getHost().port


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(EmbeddedPlugin)
