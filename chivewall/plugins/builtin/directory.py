"""Tracks the endpoints that an entry knows, chooses routes and owns the links to agents."""

from functools import singledispatchmethod

from attrs import define, field, frozen, validators
from twisted.internet.interfaces import IDelayedCall

from chivewall.configuration import Configuration
from chivewall.decisions.membership import Fleet, MemberChange, MemberState
from chivewall.decisions.output_lengths import OutputLengths
from chivewall.decisions.rollout import lagging
from chivewall.decisions.routing import Route, choose
from chivewall.environment import Environment
from chivewall.errors import ConfigurationError, LinkBrokenError, StoreError
from chivewall.events import Event
from chivewall.interfaces import AgentLink, Instance, LinkFactory, ObjectStore
from chivewall.messages import (
    AttemptBroken,
    AttemptEnded,
    AttemptSent,
    CancelAttempt,
    ChooseRoute,
    ConfigurationReceived,
    LinkFailed,
    OutputCounted,
    ReportReceived,
    SubmitAttempt,
    Tick,
)
from chivewall.plugins.base import Plugin
from chivewall.plugins.builtin.configuration import (
    ConfigurationKeeper,
    Subscribe,
    decode_configuration,
    encode_configuration,
)
from chivewall.plugins.registry import Registry
from chivewall.task import Query, Task
from chivewall.work import LoadReport

LIST_INTERVAL_SECONDS = 2.0  # interval of reads of the instance list
PROBE_CHECK_INTERVAL_SECONDS = 0.25  # interval of checks for probes that are due
MAX_LAGGING_PROBES = 32  # most probes at a time for ``ProbeLagging``; bounds the open connections
LIST_TICK = Tick("list")
PROBE_TICK = Tick("probe")


@frozen
class DirectorySettings:
    """Settings of the reads of the instance list."""

    list_seconds: float = field(
        default=LIST_INTERVAL_SECONDS,
        validator=validators.gt(0),
        metadata={"help": "Time between reads of the instance list, in seconds."},
    )


@define(eq=False)
class ListTargets(Query):
    """Query for the names of all models and services that endpoints offer."""


@define(eq=False)
class ListMembers(Query):
    """Query for a tuple of all ``Member`` values, as this entry knows them."""


@frozen
class ProbeLagging:
    """Request to probe the endpoints that have not reported a configuration version.

    An operator waits for their reports, and idle endpoints are probed rarely.
    """

    version: int


@frozen
class InstancesRead:
    """The instance list as just read from the object API."""

    instances: tuple[Instance, ...]


@frozen
class ProbeFailed:
    """Report that a probe over a link got no response."""

    endpoint: str
    reason: str
    link: AgentLink


class Directory(Task):
    """Task that owns the entry's view of the endpoints and its links to their agents."""

    def __init__(self, env: Environment, list_seconds: float) -> None:
        super().__init__()
        self.env = env
        self.list_seconds = list_seconds
        self.store = env.require(ObjectStore)
        self.link_factory = env.require(LinkFactory)
        self.keeper = env.find(ConfigurationKeeper)
        self.data_centre = env.settings.core.data_centre
        self.fleet = Fleet(
            observer=env.settings.core.instance, data_centre=self.data_centre, rng=env.random
        )
        self.links: dict[str, AgentLink] = {}
        self.attempt_links: dict[tuple[str, int], AgentLink] = {}  # link of each attempt in flight
        self.output_lengths = OutputLengths()
        self.configuration: Configuration | None = None
        # Incarnation, its version and our version at the last exchange with each endpoint.
        self.exchanged_versions: dict[str, tuple[str, int, int]] = {}
        self.timers: dict[Tick, IDelayedCall] = {}
        self.probing: set[str] = set()  # endpoints being probed for ``ProbeLagging``

    def start(self) -> None:
        """Start reading the instance list and probing agents."""
        super().start()
        self.send(LIST_TICK)
        self.send(PROBE_TICK)
        if self.keeper is not None:
            self.keeper.send(Subscribe(self.inbox))

    async def on_stop(self) -> None:
        """Close all links and stop the timers."""
        for timer in self.timers.values():
            if timer.active():
                timer.cancel()
        for link in self.links.values():
            link.close()
        self.links.clear()

    @singledispatchmethod
    async def receive(self, message: object) -> None:
        """Handle one message."""
        raise TypeError(f"unexpected message {message!r}")

    @receive.register
    async def _(self, message: Tick) -> None:
        if message == LIST_TICK:
            self.spawn(self._read_instances())
            self._set_timer(LIST_TICK, self.list_seconds)
            return
        for member in self.fleet.due_probes(self.env.now):
            self.spawn(self._probe(member.instance))
        self._set_timer(PROBE_TICK, PROBE_CHECK_INTERVAL_SECONDS)

    @receive.register
    async def _(self, message: InstancesRead) -> None:
        for change in self.fleet.merge_list(message.instances, self.env.now):
            self._handle_change(change)

    @receive.register
    async def _(self, message: ReportReceived) -> None:
        report = message.report
        self._handle_change(
            self.fleet.merge_report(report, message.round_trip_seconds, self.env.now)
        )
        self._compare_versions(report)

    @receive.register
    async def _(self, message: LinkFailed) -> None:
        link = self.attempt_links.get(message.attempt_key)
        if link is not None and link is not self.links.get(message.endpoint):
            return  # the link was replaced since; the new one stays open
        self.env.log.emit(Event.LINK_BROKEN, endpoint=message.endpoint, reason=message.reason)
        self._close_link(message.endpoint)
        self._handle_change(
            self.fleet.count_failure(
                message.endpoint, self.env.now, silent=True, incarnation=message.incarnation
            )
        )

    @receive.register
    async def _(self, message: ProbeFailed) -> None:
        if self.links.get(message.endpoint) is not message.link:
            return
        self.env.log.emit(Event.LINK_BROKEN, endpoint=message.endpoint, reason=message.reason)
        self._close_link(message.endpoint)
        self._handle_change(self.fleet.count_failed_probe(message.endpoint, self.env.now))

    @receive.register
    async def _(self, message: ChooseRoute) -> None:
        request = message.request
        route = choose(
            request,
            self.fleet.selectable(request.work.target),
            message.excluded,
            self.data_centre,
            self.env.random,
            self.output_lengths.expected(request),
            now=self.env.now,
        )
        self._log_route(request.id, route)
        message.reply(route)

    @receive.register
    async def _(self, message: AttemptSent) -> None:
        member = self.fleet.members.get(message.route.endpoint)
        if member is not None:
            key = (message.attempt.request.id, message.attempt.number)
            prefixes = getattr(message.attempt.request.work, "prefix_hashes", ())
            member.add_work(key, message.route.service_seconds, prefixes, self.env.now)

    @receive.register
    async def _(self, message: AttemptEnded) -> None:
        member = self.fleet.members.get(message.endpoint)
        if member is not None:
            member.end_work((message.request_id, message.attempt))
        self.attempt_links.pop((message.request_id, message.attempt), None)
        if message.failed:
            self._handle_change(
                self.fleet.count_failure(
                    message.endpoint,
                    self.env.now,
                    silent=False,
                    incarnation=message.incarnation,
                )
            )

    @receive.register
    async def _(self, message: ConfigurationReceived) -> None:
        self.configuration = message.configuration

    @receive.register
    async def _(self, message: OutputCounted) -> None:
        self.output_lengths.learn(message.request, message.tokens)

    @receive.register
    async def _(self, message: SubmitAttempt) -> None:
        attempt = message.attempt
        member = self.fleet.members.get(attempt.endpoint)
        if member is None:
            request_id = attempt.request.id
            reason = "the endpoint has left"
            message.sink.put(
                AttemptBroken(request_id, attempt.number, may_have_arrived=False, reason=reason)
            )
            return
        link = self._get_link(member.instance)
        self.attempt_links[attempt.request.id, attempt.number] = link
        link.submit(attempt, message.sink)

    @receive.register
    async def _(self, message: CancelAttempt) -> None:
        link = self.attempt_links.get((message.request_id, message.attempt))
        if link is not None:
            link.cancel(message.request_id, message.attempt)

    @receive.register
    async def _(self, message: ListTargets) -> None:
        message.reply(self.fleet.targets())

    @receive.register
    async def _(self, message: ListMembers) -> None:
        message.reply(tuple(self.fleet.members.values()))

    @receive.register
    async def _(self, message: ProbeLagging) -> None:
        for lag in lagging(self.fleet.members.values(), message.version):
            if lag.endpoint in self.probing or len(self.probing) >= MAX_LAGGING_PROBES:
                continue
            if lag.state is MemberState.SUSPECT:
                continue  # is probed anyway; more failures would only lengthen its probe interval
            self.probing.add(lag.endpoint)
            probe = self.spawn(self._probe(self.fleet.members[lag.endpoint].instance))
            probe.addBoth(self._end_probe, lag.endpoint)

    async def _read_instances(self) -> None:
        try:
            instances = await self.store.instances()
        except StoreError as exc:
            self.env.log.emit(Event.STORE_UNAVAILABLE, error=str(exc))
            return
        self.send(InstancesRead(instances))

    async def _probe(self, instance: Instance) -> None:
        sent_at = self.env.now
        link = self._get_link(instance)
        try:
            report: LoadReport = await link.probe()
        except LinkBrokenError as exc:
            self.send(ProbeFailed(endpoint=instance.name, reason=str(exc), link=link))
            return
        if self.links.get(instance.name) is link:
            self.send(ReportReceived(report, round_trip_seconds=self.env.now - sent_at))

    def _end_probe(self, result: object, endpoint: str) -> object:
        self.probing.discard(endpoint)
        return result

    def _compare_versions(self, report: LoadReport) -> None:
        """Exchange configurations once for each endpoint and pair of versions that differ."""
        member = self.fleet.members.get(report.endpoint)
        if self.keeper is None or member is None or member.report is not report:
            return  # no configuration is kept here, or the report was ignored
        version = self.configuration.version if self.configuration is not None else 0
        pair = (report.incarnation, report.configuration_version, version)
        if (
            report.configuration_version == version
            or self.exchanged_versions.get(report.endpoint) == pair
        ):
            return
        self.exchanged_versions[report.endpoint] = pair
        self.spawn(self._exchange_configuration(member.instance, self.configuration))

    async def _exchange_configuration(
        self, instance: Instance, current: Configuration | None
    ) -> None:
        document = encode_configuration(current) if current is not None else b""
        try:
            newer = await self._get_link(instance).exchange_configuration(document)
            if newer:
                seen = ConfigurationReceived(decode_configuration(newer), origin=instance.name)
                self.keeper.send(seen)
        except LinkBrokenError:
            # The next report starts another exchange.
            self.exchanged_versions.pop(instance.name, None)
        except ConfigurationError as exc:
            self.env.log.emit(Event.CONFIGURATION_REJECTED, error=str(exc))

    def _set_timer(self, tick: Tick, seconds: float) -> None:
        self.timers[tick] = self.env.clock.callLater(seconds, self.send, tick)

    def _get_link(self, instance: Instance) -> AgentLink:
        if instance.name not in self.links:
            self.links[instance.name] = self.link_factory.open(instance)
            self.env.log.emit(Event.LINK_OPENED, endpoint=instance.name)
        return self.links[instance.name]

    def _close_link(self, endpoint: str) -> None:
        link = self.links.pop(endpoint, None)
        if link is not None:
            link.close()

    def _handle_change(self, change: MemberChange | None) -> None:
        if change is None:
            return
        name = change.member.instance.name
        if change.removed or change.replaced:
            self._close_link(name)
            self.exchanged_versions.pop(name, None)
        self.env.log.emit(
            Event.MEMBER_CHANGED,
            endpoint=name,
            state="gone" if change.removed else change.member.state.value,
            reason=change.reason,
        )
        if self.fleet.may_be_isolated:
            self.env.log.emit(
                Event.EVICTION_HELD, endpoint=name, reason="most agents seem to have failed"
            )

    def _log_route(self, request_id: str, route: Route | None) -> None:
        if route is None:
            self.env.log.emit(Event.ROUTE_MISSING, request=request_id)
            return
        self.env.log.emit(
            Event.ROUTE_CHOSEN,
            request=request_id,
            endpoint=route.endpoint,
            estimate=route.estimate,
            reason=route.reason,
            rejected={one.endpoint: one.estimate for one in route.rejected},
        )


class DirectoryPlugin(Plugin):
    """Provides the ``Directory``."""

    name = "directory"
    settings_type = DirectorySettings

    async def setup(self) -> None:
        """Provide the directory to later plug-ins."""
        self.directory = Directory(self.env, self.cfg.list_seconds)
        self.env.provide(Directory, self.directory)

    async def start(self) -> None:
        """Start reading the instance list and probing agents."""
        self.directory.start()

    async def stop(self) -> None:
        """Close all links."""
        await self.directory.stop()


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(DirectoryPlugin)
