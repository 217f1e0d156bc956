"""Runs a whole system in one process: entries, agents, stand-in endpoints and object API.

Meant for trying chivewall out and for development. Every part listens on its own
loopback port and runs the same plug-ins as in separate processes.
"""

from typing import Any

from attrs import evolve, field, frozen, validators
from twisted.internet.interfaces import IListeningPort
from twisted.web.server import Site

from chivewall.configuration import default_configuration
from chivewall.environment import Environment
from chivewall.interfaces import Instance, InstanceKind, LinkFactory, ObjectStore
from chivewall.kernel import Application
from chivewall.plugins.base import Plugin
from chivewall.plugins.builtin.configuration import seed_configuration
from chivewall.plugins.builtin.gate import AgentServerPlugin
from chivewall.plugins.builtin.http_api import HttpApiPlugin
from chivewall.plugins.builtin.links_grpc import GrpcLinkFactory
from chivewall.plugins.registry import Registry
from chivewall.settings import Role, Settings
from chivewall.standins.delays import DelayedLinkFactory
from chivewall.standins.engine_http import EngineServer
from chivewall.standins.objects import MemoryStore
from chivewall.standins.service_http import BookingService
from chivewall.standins.weights import WeightStore

LOOPBACK = "127.0.0.1"
NO_AUTHENTICATION = {"disabled": True}  # all traffic stays on loopback within one process
ENTRY_PLUGINS = (
    "credentials",
    "store_memory",
    "http_api",
    "configuration",
    "directory",
    "dispatch",
    "planner",
    "caller_http",
    "operator_http",
    "operator_config",
    "explain",
    "metrics",
)
AGENT_PLUGINS = ("credentials", "store_memory", "configuration")
ENGINE_PLUGINS = (*AGENT_PLUGINS, "engine_http", "admission", "orders", "gate")
SERVICE_PLUGINS = (*AGENT_PLUGINS, "service_http", "claims", "admission", "gate")
MS_PER_SECOND = 1000


@frozen
class DataCentreSettings:
    """Settings of the contents of one data centre."""

    name: str = field(
        validator=validators.min_len(1), metadata={"help": "Name of the data centre."}
    )
    engines: int = field(
        default=1, validator=validators.ge(0), metadata={"help": "Number of model engines."}
    )
    services: int = field(
        default=1,
        validator=validators.ge(0),
        metadata={"help": "Number of endpoints of each plain service."},
    )


@frozen
class EmbeddedSettings:
    """Settings of the contents of the embedded system."""

    port: int = field(
        default=0,
        validator=[validators.ge(0), validators.le(65535)],
        metadata={"help": "TCP port for callers at the first data centre; 0 picks a free one."},
    )
    models: tuple[str, ...] = field(
        default=("rota-assistant",), metadata={"help": "Models that every engine offers."}
    )
    services: tuple[str, ...] = field(
        default=("shift-booking",), metadata={"help": "Names of the plain services."}
    )
    data_centres: tuple[DataCentreSettings, ...] = field(
        default=(DataCentreSettings(name="Mombasa", engines=2),),
        validator=validators.min_len(1),
        metadata={"help": "Data centres, each with one entry."},
    )
    delay_ms: float = field(
        default=0.0,
        validator=validators.ge(0),
        metadata={"help": "One-way delay between data centres, in milliseconds."},
    )


class EmbeddedPlugin(Plugin):
    """Builds the system and runs its parts as applications in this process."""

    name = "embedded"
    settings_type = EmbeddedSettings

    async def setup(self) -> None:
        """Create the object API with the default configuration."""
        self.store = MemoryStore(clock=self.env.clock)
        await seed_configuration(self.store, default_configuration())
        self.weights = WeightStore(clock=self.env.clock)
        self.apps: list[Application] = []
        self.listeners: list[IListeningPort] = []

    async def start(self) -> None:
        """Start stand-ins and agents, then one entry for each data centre."""
        for data_centre in self.cfg.data_centres:
            agents = [*await self._start_engines(data_centre)]
            agents += await self._start_services(data_centre)
            self.store.instance_list += tuple(agents)
        entries = [
            await self._start_entry(one.name, port=self.cfg.port if index == 0 else 0)
            for index, one in enumerate(self.cfg.data_centres)
        ]
        self.env.provide(HttpApiPlugin, entries[0].find(HttpApiPlugin))

    async def drain(self) -> None:
        """Shut the entries down first, then the agents."""
        for app in reversed(self.apps):
            await app.shut_down()

    async def stop(self) -> None:
        """Stop every application and stand-in that still runs."""
        for app in reversed(self.apps):
            await app.stop()
        for listener in self.listeners:
            await listener.stopListening()

    def ready(self) -> bool:
        """Return whether all parts are ready."""
        return all(app.ready() for app in self.apps)

    async def _start_engines(self, data_centre: DataCentreSettings) -> list[Instance]:
        started = []
        for index in range(1, data_centre.engines + 1):
            engine = EngineServer(
                clock=self.env.clock, models=self.cfg.models, weight_store=self.weights
            )
            port = self._listen(engine.site())
            instance = Instance(
                name=f"{data_centre.name.lower()}-engine-{index}",
                kind=InstanceKind.ENGINE,
                data_centre=data_centre.name,
                host=LOOPBACK,
                port=0,
                targets=self.cfg.models,
            )
            sections = {"engine_http": {"host": LOOPBACK, "port": port}}
            started.append(await self._start_agent(instance, ENGINE_PLUGINS, sections))
        return started

    async def _start_services(self, data_centre: DataCentreSettings) -> list[Instance]:
        started = []
        for name in self.cfg.services:
            for index in range(1, data_centre.services + 1):
                port = self._listen(BookingService(name=name).site())
                instance = Instance(
                    name=f"{data_centre.name.lower()}-{name}-{index}",
                    kind=InstanceKind.SERVICE,
                    data_centre=data_centre.name,
                    host=LOOPBACK,
                    port=0,
                    targets=(name,),
                )
                sections = {"service_http": {"name": name, "host": LOOPBACK, "port": port}}
                started.append(await self._start_agent(instance, SERVICE_PLUGINS, sections))
        return started

    async def _start_agent(
        self, instance: Instance, plugins: tuple[str, ...], sections: dict[str, Any]
    ) -> Instance:
        sections = {
            **sections,
            "credentials": NO_AUTHENTICATION,
            "admission": {"endpoint": instance.name},
            "gate": {"host": LOOPBACK},
        }
        env = self._environment(instance.name, instance.data_centre, Role.AGENT, plugins, sections)
        app = await self._start_app(env)
        return evolve(instance, port=app.find(AgentServerPlugin).port)

    async def _start_entry(self, data_centre: str, port: int) -> Application:
        sections = {
            "credentials": NO_AUTHENTICATION,
            "http_api": {"host": LOOPBACK, "port": port},
        }
        name = f"{data_centre.lower()}-entry-1"
        env = self._environment(name, data_centre, Role.ENTRY, ENTRY_PLUGINS, sections)
        links = DelayedLinkFactory(
            clock=env.clock,
            data_centre=data_centre,
            delay_seconds=self.cfg.delay_ms / MS_PER_SECOND,
            factory=GrpcLinkFactory(env, token=None),
        )
        env.provide(LinkFactory, links)
        return await self._start_app(env)

    def _environment(
        self,
        name: str,
        data_centre: str,
        role: Role,
        plugins: tuple[str, ...],
        sections: dict[str, Any],
    ) -> Environment:
        core = evolve(
            self.env.settings.core,
            role=role,
            instance=name,
            data_centre=data_centre,
            plugins=plugins,
        )
        settings = Settings(core=core, sections=sections, source=f"embedded {name}")
        env = Environment.build(
            settings, self.env.reactor, stdout=self.env.stdout, stderr=self.env.stderr
        )
        env.provide(ObjectStore, self.store)
        return env

    async def _start_app(self, env: Environment) -> Application:
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
