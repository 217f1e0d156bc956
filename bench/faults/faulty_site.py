"""A simulated site with faults: two data centres, two entries and six endpoints."""

import random
from collections import Counter
from collections.abc import Callable

from attrs import define, evolve, field, frozen
from twisted.internet.defer import ensureDeferred

from bench.faults.links import EndpointClient, EntryLinks, Link, RunningAgent
from bench.faults.network import Effect, Envelope, Network, ObjectApiClient
from bench.faults.processes import Process, ProcessClock
from bench.faults.recording_endpoints import RecordingEngine, RecordingService
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

FIRST_DATA_CENTRE, SECOND_DATA_CENTRE = "Mombasa", "Malindi"
ENTRIES = ("entry-1", "entry-2")
MODEL, SERVICE = "m", "shift-booking"
LEASE_SECONDS = 12.0  # short, so that a short run can include a pause beyond the lease
STORE_LATENCY_SECONDS = 0.004  # seconds for a call
# Log events that the checks read.
RECORDED_EVENTS = frozenset({Event.DRAINING, Event.CONFIGURATION_IN_FORCE})
# Log events at which faults can be injected.
EVENT_STEPS = frozenset({Event.ROUTE_CHOSEN, Event.WORK_QUEUED, Event.WORK_ENDED, Event.DRAINING})
READY_SECONDS = 3.0  # until the instance list is read, endpoints are probed and the lease is taken


@frozen
class AcceptedWrite:
    """A write that the object API carried out."""

    at: float  # seconds
    key: str
    value: bytes


@define(eq=False)
class RecordingStore(FaultyStore):
    """A ``FaultyStore`` that records the writes it carried out."""

    accepted_writes: list[AcceptedWrite] = field(factory=list)

    def _write(self, key: str, value: bytes):  # noqa: ANN202 - as in MemoryStore
        self.accepted_writes.append(AcceptedWrite(self.clock.seconds(), key, value))
        return super()._write(key, value)


@frozen
class LoggedEvent:
    """A log event of a process."""

    at: float  # seconds
    process: Process
    event: Event
    fields: dict


@define(eq=False)
class CallerConnection:
    """The connection of a caller for one request; records the response."""

    request: Request
    entry: Process
    site: "FaultySite"
    parts: list[Part] = field(factory=list)
    end_times: list[float] = field(factory=list)  # times in seconds at which a last part arrived

    def put(self, part: Part) -> None:
        """Send a part from the entry to the caller."""
        kind = f"answer {type(part.body).__name__.lower()}"
        envelope = Envelope(kind, self.entry, self.site.outside, self, part.request_id)
        self.site.network.send(envelope, self._receive, part)

    def _receive(self, part: Part) -> None:
        self.parts.append(part)
        if part.last:
            self.end_times.append(self.site.clock.now)


@define(eq=False)
class WantedPlacementPolicy:
    """A placement policy that proposes the states in ``wanted_states``."""

    wanted_states: dict[str, DesiredState]  # by endpoint

    def propose(self, members: tuple[Member, ...], plan: Plan, now: float) -> Placement | None:
        """Propose the first state in ``wanted_states`` that the plan doesn't have yet."""
        for endpoint, desired in self.wanted_states.items():
            if plan.desired.get(endpoint) != desired:
                return Placement(endpoint=endpoint, desired=desired, reason="set by the scenario")
        return None


class ProcessLog(QuietLog):
    """An event log that passes the events of one process to the simulated site."""

    def __init__(self, site: "FaultySite", process: Process) -> None:
        super().__init__()
        self.site = site
        self.process = process

    def emit(self, event, **fields):  # noqa: ANN001, ANN003, ANN201, D102
        self.site.handle_event(self.process, event, fields)


@define(eq=False)
class FaultySite(Site):
    """A site whose processes, messages and object API can fail."""

    store_class: type[FaultyStore] = RecordingStore
    network: Network = field(init=False)
    api: Process = field(init=False)
    outside: Process = field(init=False)  # callers, operators and the platform
    processes: dict[str, Process] = field(factory=dict)  # running or last process by name
    process_history: list[tuple[Process, Application]] = field(factory=list)  # all, also ended
    agents: dict[str, RunningAgent] = field(factory=dict)
    entry_links: dict[str, EntryLinks] = field(factory=dict)
    endpoint_processes: dict[str, Process] = field(factory=dict)  # by endpoint
    callers: list[CallerConnection] = field(factory=list)  # of all requests
    logged_events: list[LoggedEvent] = field(factory=list)
    wanted_states: dict[str, DesiredState] = field(factory=dict)  # proposed by endpoint
    hook: Callable[[Envelope], Effect] = field(default=lambda _: Effect())
    id_counts: Counter[str] = field(factory=Counter)  # last number of a request id by its name
    injected: list[str] = field(factory=list)  # description of each injected fault
    last_recovery_at: float = 0.0  # end of the last fault in seconds

    def __attrs_post_init__(self) -> None:
        super().__attrs_post_init__()
        self.store.latency = STORE_LATENCY_SECONDS
        self.store.rng = random.Random(self.seed)
        self.network = Network(clock=self.clock, rng=self.rng, hook=self._apply_hook)
        self.outside = Process("outside", self.clock)
        self.api = Process("object-api", self.clock)

    @classmethod
    def build(cls, seed: int) -> "FaultySite":
        """Return a site that is ready to serve."""
        site = cls(seed=seed)
        for name, place in (
            ("engine-1", FIRST_DATA_CENTRE),
            ("engine-2", FIRST_DATA_CENTRE),
            ("engine-3", SECOND_DATA_CENTRE),
        ):
            engine = RecordingEngine(clock=site.clock, targets=(MODEL,), name=name)
            engine.checks_fence = name != "engine-2"
            site.add(name, place, InstanceKind.ENGINE, engine)
        for name, place in (
            ("booking-1", FIRST_DATA_CENTRE),
            ("booking-2", FIRST_DATA_CENTRE),
            ("booking-3", SECOND_DATA_CENTRE),
        ):
            service = RecordingService(clock=site.clock, name=SERVICE)
            site.add(name, place, InstanceKind.SERVICE, service)
        for name in ENTRIES:
            site.start_entry(name)
        site.clock.run_until(READY_SECONDS)
        return site

    def add(
        self,
        name: str,
        data_centre: str,
        kind: InstanceKind,
        endpoint: RecordingEngine | RecordingService,
    ) -> None:
        """Add an endpoint and start its agent."""
        targets = (MODEL,) if kind is InstanceKind.ENGINE else (SERVICE,)
        if kind is InstanceKind.ENGINE:
            self.extra_plugins[name] = ("orders",)
        self.endpoint_processes[name] = Process(f"{name}-server", self.clock)
        self._add_agent(name, data_centre, kind, targets, endpoint)

    def start_agent(self, name: str) -> Application:
        """Start the agent of an endpoint, for the first time or after it was killed."""
        instance = self.instance(name)
        process = self._new_process(name)
        sections = {"admission": {"endpoint": name}}
        default_plugins = (
            self.service_plugins
            if instance.kind is InstanceKind.SERVICE
            else ("configuration", "admission")
        )
        plugins = (*default_plugins, *self.extra_plugins.get(name, ()))
        env = self._environment(name, instance.data_centre, Role.AGENT, plugins, sections)
        client = EndpointClient(
            agent=process,
            clock=env.clock,
            network=self.network,
            endpoint=self.endpoints[name],
            server=self.endpoint_processes[name],
        )
        env.provide(Endpoint, client)
        app = self._start(name, env)
        admission, keeper = env.require(Admission), env.require(ConfigurationKeeper)
        self.agents[name] = RunningAgent(process, admission, keeper, client)
        return app

    def start_entry(self, name: str) -> Application:
        """Start an entry, for the first time or after it was killed."""
        process = self._new_process(name)
        plugins = (*ENTRY_PLUGINS, "planner")
        sections = {"planner": {"lease_seconds": LEASE_SECONDS}}
        env = self._environment(name, FIRST_DATA_CENTRE, Role.ENTRY, plugins, sections)
        links = EntryLinks(entry=process, clock=env.clock, network=self.network, agents=self.agents)
        self.entry_links[name] = links
        env.provide(LinkFactory, links)
        env.provide(PlacementPolicy, WantedPlacementPolicy(self.wanted_states))
        return self._start(name, env)

    def kill(self, name: str) -> None:
        """Kill a process; its peers see their connections close."""
        process = self.processes[name]
        if process.alive:
            self._end_process(process)

    def _exit_process(self, process: Process) -> None:
        process.exited_gracefully = True
        self._end_process(process)

    def _end_process(self, process: Process) -> None:
        name = process.name
        process.kill()
        agent = self.agents.get(name)
        if agent is not None:
            agent.client.cancel_open_runs()
        for link in self._links_of(process):
            link.close_other_side()

    def restart(self, name: str) -> None:
        """Start a process again, if it was killed."""
        if self.processes[name].alive or self.processes[name].exited_gracefully:
            return
        if name in ENTRIES:
            self.start_entry(name)
        else:
            self.start_agent(name)

    def shut_down(self, name: str) -> None:
        """Start the graceful shutdown of a process."""
        self.processes[name].run(lambda: ensureDeferred(self.apps[name].shut_down()) and None)

    def send_request(self, entry: str, request: Request) -> CallerConnection | None:
        """Send a request to an entry; return ``None`` if it is down or drains.

        A load balancer wouldn't send requests to such an entry either.
        """
        process, app = self.processes[entry], self.apps[entry]
        if not process.alive or app.draining:
            return None
        caller = CallerConnection(request=request, entry=process, site=self)
        self.callers.append(caller)
        dispatcher = app.env.require(Dispatcher)
        process.run(dispatcher.send, ServeRequest(request=request, sink=caller))
        return caller

    def change_instance(self, name: str, **changes: object) -> None:
        """Change the fields of an instance in the instance list."""
        self.store.instance_list = tuple(
            evolve(one, **changes) if one.name == name else one for one in self.store.instance_list
        )

    def instance(self, name: str) -> Instance:
        """Return an instance from the instance list."""
        return next(one for one in self.store.instance_list if one.name == name)

    def handle_event(self, process: Process, event: Event, fields: dict) -> None:
        """Record a log event for the checks, and inject faults at it if it is a step."""
        if event in RECORDED_EVENTS:
            self.logged_events.append(LoggedEvent(self.clock.now, process, event, fields))
        if event is Event.STOPPED:
            self.clock.callLater(0, process.run, self._exit_process, process)
        if process.alive and event in EVENT_STEPS:
            subject = str(fields.get("request", ""))
            peer = self.processes.get(fields.get("endpoint", ""), process)
            self.hook(Envelope(f"event {event.name}", process, peer, subject=subject))

    def unique_id(self, name: str) -> str:
        """Return an unused request id that starts with ``name``."""
        self.id_counts[name] += 1
        return f"{name}-{self.id_counts[name]}"

    def schedule_recovery(
        self, seconds: float, function: Callable[..., object], *args: object
    ) -> None:
        """Call a function that ends a fault after some seconds."""
        self.last_recovery_at = max(self.last_recovery_at, self.clock.now + seconds)
        self.clock.callLater(seconds, function, *args)

    def lease_holder(self) -> str:
        """Return the name of the entry that holds the lease, or the first entry if none does."""
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

    def _apply_hook(self, envelope: Envelope) -> Effect:
        return self.hook(envelope)

    def _new_process(self, name: str) -> Process:
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
        restarts = sum(one.name == name for one, _ in self.process_history)
        env = Environment(
            settings=Settings(core=core, sections=sections),
            clock=clock,
            random=random.Random(f"{self.seed}/{name}/{restarts}"),
            log=ProcessLog(self, process),
            unix_time=clock.seconds,
        )
        store = ObjectApiClient(
            process=process, clock=clock, network=self.network, store=self.store, api=self.api
        )
        env.provide(ObjectStore, store)
        return env

    def _start(self, name: str, env: Environment) -> Application:
        app = super()._start(name, env)
        self.process_history.append((self.processes[name], app))
        return app
