"""A site of real entry and agent tasks in one process on a virtual clock."""

import io
import random
from collections.abc import Callable

from attrs import define, field
from twisted.internet.defer import ensureDeferred

from bench.clock import VirtualClock
from bench.fakes import EngineEndpoint, ServiceEndpoint
from bench.links import Distance, LocalLinks, PlacedLinks
from chivewall.configuration import Configuration, default_configuration
from chivewall.environment import Environment
from chivewall.events import EventLog
from chivewall.interfaces import Endpoint, Instance, InstanceKind, LinkFactory, ObjectStore
from chivewall.kernel import Application
from chivewall.messages import ServeRequest
from chivewall.plugins.builtin.admission import Admission
from chivewall.plugins.builtin.claims import Claims
from chivewall.plugins.builtin.configuration import ConfigurationKeeper, seed_configuration
from chivewall.plugins.builtin.dispatch import Dispatcher
from chivewall.settings import CoreSettings, Role, Settings
from chivewall.standins.objects import MemoryStore
from chivewall.task import Inbox
from chivewall.work import Request

ENTRY_PLUGINS = ("configuration", "directory", "dispatch")
AGENT_PLUGINS = ("configuration", "admission")
SERVICE_AGENT_PLUGINS = ("configuration", "claims", "admission")
SETTLE_SECONDS = 1.0  # until lists are read and endpoints probed


class QuietLog(EventLog):
    """An event log that writes nothing, for speed; observers still see every event."""

    def __init__(self) -> None:
        super().__init__(io.StringIO())

    def emit(self, event, **fields):  # noqa: ANN001, ANN003, ANN201, D102
        for observer in self._observers:
            observer(event, fields)


@define(eq=False)
class Site:
    """Entries and agents with their store, links and endpoints.

    Example::

        site = Site(seed=1)
        site.add_engine("engine-1", "Mombasa", targets=("m",))
        site.add_entry("entry-1", "Mombasa")
        site.settle()
        sink = site.serve("entry-1", request)
        site.clock.run_until(10)
    """

    seed: int = 0
    distance: Callable[[str, str], Distance] = lambda _one, _other: Distance()
    configuration: Configuration = field(factory=default_configuration)
    clock: VirtualClock = field(factory=VirtualClock)
    rng: random.Random = field(init=False)
    store: MemoryStore = field(init=False)
    links: LocalLinks = field(init=False)
    apps: dict[str, Application] = field(factory=dict)
    endpoints: dict[str, EngineEndpoint | ServiceEndpoint] = field(factory=dict)
    extra_plugins: dict[str, tuple[str, ...]] = field(factory=dict)  # of agents, by name
    all_endpoints: list[EngineEndpoint | ServiceEndpoint] = field(factory=list)
    log: EventLog = field(factory=QuietLog)
    sections: dict[str, dict[str, object]] = field(factory=dict)  # more settings by agent
    make_store: type[MemoryStore] = MemoryStore
    service_plugins: tuple[str, ...] = SERVICE_AGENT_PLUGINS

    def __attrs_post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.store = self.make_store(clock=self.clock)
        self.links = LocalLinks(clock=self.clock, rng=self.rng)
        seed_configuration(self.store, self.configuration)

    def add_engine(
        self,
        name: str,
        data_centre: str,
        targets: tuple[str, ...],
        extra_plugins: tuple[str, ...] = (),
        **options: object,
    ) -> EngineEndpoint:
        """Add a model engine with its agent."""
        endpoint = EngineEndpoint(clock=self.clock, targets=targets, **options)
        self.extra_plugins[name] = extra_plugins
        self._add_agent(name, data_centre, InstanceKind.ENGINE, targets, endpoint)
        return endpoint

    def add_service(self, name: str, data_centre: str, service: str) -> ServiceEndpoint:
        """Add an endpoint of a plain service with its agent."""
        endpoint = ServiceEndpoint(clock=self.clock, name=service)
        self._add_agent(name, data_centre, InstanceKind.SERVICE, (service,), endpoint)
        return endpoint

    def add_entry(
        self, name: str, data_centre: str, extra_plugins: tuple[str, ...] = ()
    ) -> Application:
        """Add an entry."""
        plugins = (*ENTRY_PLUGINS, *extra_plugins)
        env = self._environment(name, data_centre, Role.ENTRY, plugins, {})
        links = PlacedLinks(self.links, lambda other: self.distance(data_centre, other))
        env.provide(LinkFactory, links)
        return self._start(name, env)

    def start_agent(self, name: str) -> Application:
        """Start an agent beside an endpoint, or a new one in place of a killed one."""
        instance = next(one for one in self.store.instance_list if one.name == name)
        sections = {"admission": {"endpoint": name}, **self.sections.get(name, {})}
        service = instance.kind is InstanceKind.SERVICE
        usual = self.service_plugins if service else AGENT_PLUGINS
        plugins = (*usual, *self.extra_plugins.get(name, ()))
        env = self._environment(name, instance.data_centre, Role.AGENT, plugins, sections)
        env.provide(Endpoint, self.endpoints[name])
        app = self._start(name, env)
        self.links.agents[name] = env.require(Admission)
        self.links.keepers[name] = env.require(ConfigurationKeeper)
        return app

    def kill_agent(self, name: str) -> None:
        """End an agent at once, as ``kill -9`` does: its task handles nothing more."""
        admission = self.links.agents.pop(name)
        self.links.keepers.pop(name)
        admission.inbox = Inbox()
        claims = self.apps.pop(name).env.find(Claims)
        if claims is not None:
            claims.receive = _drop
            claims.inbox = Inbox()
        for link in self.links.opened:
            if link.agent() is None:
                link.broken()

    def settle(self) -> None:
        """Let lists be read and endpoints be probed."""
        self.clock.run_until(self.clock.now + SETTLE_SECONDS)

    def serve(self, entry: str, request: Request) -> Inbox:
        """Give a request to an entry; its parts arrive in the returned inbox."""
        sink = Inbox()
        self.serve_into(entry, request, sink)
        return sink

    def serve_into(self, entry: str, request: Request, sink: Inbox) -> None:
        """Give a request to an entry with the sink of its parts."""
        dispatcher = self.apps[entry].env.require(Dispatcher)
        dispatcher.send(ServeRequest(request=request, sink=sink))

    def _add_agent(
        self,
        name: str,
        data_centre: str,
        kind: InstanceKind,
        targets: tuple[str, ...],
        endpoint: EngineEndpoint | ServiceEndpoint,
    ) -> None:
        instance = Instance(
            name=name, kind=kind, data_centre=data_centre, host=name, port=1, targets=targets
        )
        self.store.instance_list = (*self.store.instance_list, instance)
        self.endpoints[name] = endpoint
        self.all_endpoints.append(endpoint)
        self.start_agent(name)

    def _environment(
        self,
        name: str,
        data_centre: str,
        role: Role,
        plugins: tuple[str, ...],
        sections: dict[str, object],
    ) -> Environment:
        core = CoreSettings(role=role, instance=name, data_centre=data_centre, plugins=plugins)
        env = Environment(
            settings=Settings(core=core, sections=sections),
            clock=self.clock,
            random=random.Random(f"{self.seed}/{name}"),
            log=self.log,
            unix_time=self.clock.seconds,
        )
        env.provide(ObjectStore, self.store)
        return env

    def _start(self, name: str, env: Environment) -> Application:
        app = Application(env)
        ensureDeferred(app.start())
        self.apps[name] = app
        return app


async def _drop(message: object) -> None:
    """Handle a message as a killed process does."""


def drain(sink: Inbox) -> list[object]:
    """Return the messages that wait in an inbox."""
    return list(sink._queue.pending)  # noqa: SLF001
