"""A small site whose processes can fail: two data centres, two entries, six agents."""

import random
from collections import Counter
from collections.abc import Callable

from attrs import define, evolve, field, frozen
from twisted.internet.defer import ensureDeferred

from bench.faults.links import AgentLife, EndpointClient, Link, Links
from bench.faults.network import Crossing, Effect, Network, ProcessStore
from bench.faults.processes import Process, ProcessClock
from bench.faults.witnesses import WitnessEngine, WitnessService
from bench.site import ENTRY_PLUGINS, QuietLog, Site
from bench.stores import FaultyStore
from chivewall.decisions.membership import Member
from chivewall.environment import Environment
from chivewall.events import Event
from chivewall.interfaces import Endpoint, Instance, InstanceKind, LinkFactory, ObjectStore
from chivewall.kernel import Application
from chivewall.messages import ServeRequest
from chivewall.plan import DesiredState, Plan
from chivewall.plugins.builtin.admission import Admission
from chivewall.plugins.builtin.configuration import ConfigurationKeeper
from chivewall.plugins.builtin.dispatch import Dispatcher
from chivewall.plugins.builtin.planner import Placement, PlacementPolicy
from chivewall.settings import CoreSettings, Role, Settings
from chivewall.work import Part, Request

HOME, AWAY = "Mombasa", "Malindi"
ENTRIES = ("entry-1", "entry-2")
MODEL, SERVICE = "m", "shift-booking"
LEASE_SECONDS = 12.0  # short, so that a pause beyond the lease fits into a short run
STORE_LATENCY = 0.004  # seconds for one call
RECORDED = frozenset({Event.DRAINING, Event.CONFIGURATION_IN_FORCE})
EVENT_STEPS = frozenset(
    {Event.ROUTE_CHOSEN, Event.WORK_QUEUED, Event.WORK_ENDED, Event.DRAINING}
)  # events that are steps of the matrix
READY_SECONDS = 3.0  # until lists are read, endpoints probed and the lease taken


@frozen
class Write:
    """A write that the object API accepted."""

    at: float  # seconds
    key: str
    value: bytes


@define(eq=False)
class RecordingStore(FaultyStore):
    """A ``FaultyStore`` that records what it accepted."""

    accepted: list[Write] = field(factory=list)

    def _write(self, key: str, value: bytes):  # noqa: ANN202 - as in MemoryStore
        self.accepted.append(Write(self.clock.seconds(), key, value))
        return super()._write(key, value)


@frozen
class Happening:
    """An event that a process logged."""

    at: float  # seconds
    process: Process
    event: Event
    fields: dict


@define(eq=False)
class Caller:
    """A caller's connection for one request."""

    request: Request
    entry: Process
    world: "World"
    parts: list[Part] = field(factory=list)
    ended: list[float] = field(factory=list)  # when a last part arrived, seconds

    def put(self, part: Part) -> None:
        """Send a part from the entry to the caller."""
        kind = f"answer {type(part.body).__name__.lower()}"
        crossing = Crossing(kind, self.entry, self.world.outside, self, part.request_id)
        self.world.network.send(crossing, self._take, part)

    def _take(self, part: Part) -> None:
        self.parts.append(part)
        if part.last:
            self.ended.append(self.world.clock.now)


@define(eq=False)
class WantedPlacement:
    """A placement policy that asks for what the run wants."""

    wanted: dict[str, DesiredState]

    def propose(self, members: tuple[Member, ...], plan: Plan, now: float) -> Placement | None:
        """See ``PlacementPolicy.propose``."""
        for endpoint, desired in self.wanted.items():
            if plan.desired.get(endpoint) != desired:
                return Placement(endpoint=endpoint, desired=desired, reason="wanted by the run")
        return None


class ProcessLog(QuietLog):
    """Hands the events of one process to the world."""

    def __init__(self, world: "World", process: Process) -> None:
        super().__init__()
        self.world = world
        self.process = process

    def emit(self, event, **fields):  # noqa: ANN001, ANN003, ANN201, D102
        self.world.take_event(self.process, event, fields)


@define(eq=False)
class World(Site):
    """A site whose processes, messages and object API can fail."""

    make_store: type[FaultyStore] = RecordingStore
    network: Network = field(init=False)
    api: Process = field(init=False)
    outside: Process = field(init=False)  # callers, operators and the platform
    processes: dict[str, Process] = field(factory=dict)  # present life by name
    lives: list[tuple[Process, Application]] = field(factory=list)
    agents: dict[str, AgentLife] = field(factory=dict)
    entry_links: dict[str, Links] = field(factory=dict)
    servers: dict[str, Process] = field(factory=dict)  # of endpoints
    callers: list[Caller] = field(factory=list)
    happenings: list[Happening] = field(factory=list)
    wanted: dict[str, DesiredState] = field(factory=dict)
    hook: Callable[[Crossing], Effect] = field(default=lambda _: Effect())
    numbers: Counter[str] = field(factory=Counter)  # of request ids
    injected: list[str] = field(factory=list)  # faults, for the replay of a cell
    healed_at: float = 0.0  # end of the last fault, seconds

    def __attrs_post_init__(self) -> None:
        super().__attrs_post_init__()
        self.store.latency = STORE_LATENCY
        self.store.rng = random.Random(self.seed)
        self.network = Network(clock=self.clock, rng=self.rng, hook=self._cross)
        self.outside = Process("outside", self.clock)
        self.api = Process("object-api", self.clock)

    @classmethod
    def build(cls, seed: int) -> "World":
        """Return a world that is ready to serve."""
        world = cls(seed=seed)
        for name, place in (("engine-1", HOME), ("engine-2", HOME), ("engine-3", AWAY)):
            engine = WitnessEngine(clock=world.clock, targets=(MODEL,), name=name)
            engine.checks_fence = name != "engine-2"
            world.add(name, place, InstanceKind.ENGINE, engine)
        for name, place in (("booking-1", HOME), ("booking-2", HOME), ("booking-3", AWAY)):
            service = WitnessService(clock=world.clock, name=SERVICE)
            world.add(name, place, InstanceKind.SERVICE, service)
        for name in ENTRIES:
            world.start_entry(name)
        world.clock.run_until(READY_SECONDS)
        return world

    def add(
        self,
        name: str,
        data_centre: str,
        kind: InstanceKind,
        endpoint: WitnessEngine | WitnessService,
    ) -> None:
        """Add an endpoint with its agent."""
        targets = (MODEL,) if kind is InstanceKind.ENGINE else (SERVICE,)
        if kind is InstanceKind.ENGINE:
            self.extra_plugins[name] = ("orders",)
        self.servers[name] = Process(f"{name}-server", self.clock)
        self._add_agent(name, data_centre, kind, targets, endpoint)

    def start_agent(self, name: str) -> Application:
        """See ``Site.start_agent``."""
        instance = self.instance(name)
        process = self._new_life(name)
        sections = {"admission": {"endpoint": name}}
        usual = (
            self.service_plugins
            if instance.kind is InstanceKind.SERVICE
            else ("configuration", "admission")
        )
        plugins = (*usual, *self.extra_plugins.get(name, ()))
        env = self._environment(name, instance.data_centre, Role.AGENT, plugins, sections)
        client = EndpointClient(
            agent=process,
            clock=env.clock,
            network=self.network,
            endpoint=self.endpoints[name],
            server=self.servers[name],
        )
        env.provide(Endpoint, client)
        app = self._start(name, env)
        admission, keeper = env.require(Admission), env.require(ConfigurationKeeper)
        self.agents[name] = AgentLife(process, admission, keeper, client)
        return app

    def start_entry(self, name: str) -> Application:
        """Start an entry, or a new life of one that was killed."""
        process = self._new_life(name)
        plugins = (*ENTRY_PLUGINS, "planner")
        sections = {"planner": {"lease_seconds": LEASE_SECONDS}}
        env = self._environment(name, HOME, Role.ENTRY, plugins, sections)
        links = Links(entry=process, clock=env.clock, network=self.network, agents=self.agents)
        self.entry_links[name] = links
        env.provide(LinkFactory, links)
        env.provide(PlacementPolicy, WantedPlacement(self.wanted))
        return self._start(name, env)

    def kill(self, name: str) -> None:
        """End a process at once; its peers see their connections end."""
        process = self.processes[name]
        if process.alive:
            self._end(process)

    def _exit(self, process: Process) -> None:
        process.exited = True
        self._end(process)

    def _end(self, process: Process) -> None:
        name = process.name
        process.kill()
        life = self.agents.get(name)
        if life is not None:
            life.client.agent_died()
        for link in self._links_of(process):
            link.peer_died()

    def restart(self, name: str) -> None:
        """Start a new life of a process that was killed."""
        if self.processes[name].alive or self.processes[name].exited:
            return
        if name in ENTRIES:
            self.start_entry(name)
        else:
            self.start_agent(name)

    def shut_down(self, name: str) -> None:
        """Ask a process to end gracefully."""
        self.processes[name].run(lambda: ensureDeferred(self.apps[name].shut_down()) and None)

    def call(self, entry: str, request: Request) -> Caller | None:
        """Send a request to an entry; ``None`` if it takes none, as the load balancer sees."""
        process, app = self.processes[entry], self.apps[entry]
        if not process.alive or app.draining:
            return None
        caller = Caller(request=request, entry=process, world=self)
        self.callers.append(caller)
        dispatcher = app.env.require(Dispatcher)
        process.run(dispatcher.send, ServeRequest(request=request, sink=caller))
        return caller

    def change_instance(self, name: str, **changes: object) -> None:
        """Change one line of the instance list."""
        self.store.instance_list = tuple(
            evolve(one, **changes) if one.name == name else one for one in self.store.instance_list
        )

    def instance(self, name: str) -> Instance:
        """Return the line of an instance."""
        return next(one for one in self.store.instance_list if one.name == name)

    def take_event(self, process: Process, event: Event, fields: dict) -> None:
        """Record an event that a check reads and let traps see one that is a step."""
        if event in RECORDED:
            self.happenings.append(Happening(self.clock.now, process, event, fields))
        if event is Event.STOPPED:
            self.clock.callLater(0, process.run, self._exit, process)
        if process.alive and event in EVENT_STEPS:
            about = str(fields.get("request", ""))
            peer = self.processes.get(fields.get("endpoint", ""), process)
            self.hook(Crossing(f"event {event.name}", process, peer, about=about))

    def unique(self, name: str) -> str:
        """Return a request id that no other request has."""
        self.numbers[name] += 1
        return f"{name}-{self.numbers[name]}"

    def heal_later(self, seconds: float, function: Callable[..., object], *args: object) -> None:
        """End a fault after some seconds."""
        self.healed_at = max(self.healed_at, self.clock.now + seconds)
        self.clock.callLater(seconds, function, *args)

    def holder(self) -> str:
        """Return the name of the entry that holds the lease."""
        for name in ENTRIES:
            process, app = self.processes[name], self.apps[name]
            planner = app.plugins[-1].planner
            if process.alive and planner.lease.may_act(self.clock.now):
                return name
        return ENTRIES[0]

    def _links_of(self, process: Process) -> list[Link]:
        every = [link for links in self.entry_links.values() for link in links.opened]
        return [
            one
            for one in every
            if one.agent is not None and process in (one.entry, one.agent.process)
        ]

    def _cross(self, crossing: Crossing) -> Effect:
        return self.hook(crossing)

    def _new_life(self, name: str) -> Process:
        self.processes[name] = Process(name, self.clock)
        return self.processes[name]

    def _environment(
        self,
        name: str,
        data_centre: str,
        role: Role,
        plugins: tuple[str, ...],
        sections: dict[str, object],
    ) -> Environment:
        process = self.processes[name]
        clock = ProcessClock(process)
        core = CoreSettings(role=role, instance=name, data_centre=data_centre, plugins=plugins)
        life = sum(one.name == name for one, _ in self.lives)
        env = Environment(
            settings=Settings(core=core, sections=sections),
            clock=clock,
            random=random.Random(f"{self.seed}/{name}/{life}"),
            log=ProcessLog(self, process),
            unix_time=clock.seconds,
        )
        store = ProcessStore(
            process=process, clock=clock, network=self.network, store=self.store, api=self.api
        )
        env.provide(ObjectStore, store)
        return env

    def _start(self, name: str, env: Environment) -> Application:
        app = super()._start(name, env)
        self.lives.append((self.processes[name], app))
        return app
