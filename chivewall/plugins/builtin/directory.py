"""The entry's directory: knows the endpoints, chooses routes and owns the links to agents."""

from functools import singledispatchmethod

from attrs import define, field, frozen, validators

from chivewall.decisions.membership import Fleet, Member
from chivewall.decisions.routing import Route, choose
from chivewall.environment import Environment
from chivewall.errors import LinkBrokenError, StoreError
from chivewall.events import Event
from chivewall.interfaces import AgentLink, Instance, LinkFactory, ObjectStore
from chivewall.messages import (
    AttemptBroken,
    AttemptEnded,
    AttemptSent,
    CancelAttempt,
    ChooseRoute,
    EndpointSilent,
    ReportSeen,
    SubmitAttempt,
    Tick,
)
from chivewall.plugins.base import Plugin
from chivewall.plugins.registry import Registry
from chivewall.task import Query, Task
from chivewall.work import LoadReport

LIST_SECONDS = 2.0  # between reads of the instance list
PROBE_TICK_SECONDS = 0.25
LIST = Tick("list")
PROBE = Tick("probe")


@frozen
class DirectorySettings:
    """How often the directory looks around."""

    list_seconds: float = field(
        default=LIST_SECONDS,
        validator=validators.gt(0),
        metadata={"help": "Time between reads of the instance list, in seconds."},
    )


@define(eq=False)
class ListTargets(Query):
    """Ask for the names of all models and services that endpoints offer."""


@define(eq=False)
class ListMembers(Query):
    """Ask for a tuple of all ``Member`` values, as this entry knows them."""


@frozen
class InstancesSeen:
    """The instance list was read."""

    instances: tuple[Instance, ...]


class Directory(Task):
    """Owns what this entry knows of the fleet, and its links."""

    def __init__(self, env: Environment, list_seconds: float) -> None:
        super().__init__()
        self.env = env
        self.list_seconds = list_seconds
        self.store = env.require(ObjectStore)
        self.factory = env.require(LinkFactory)
        self.home = env.settings.core.data_centre
        self.fleet = Fleet()
        self.links: dict[str, AgentLink] = {}

    def start(self) -> None:
        """Begin to read the instance list and to probe."""
        super().start()
        self.tell(LIST)
        self.tell(PROBE)

    async def on_stop(self) -> None:
        """Close all links."""
        for link in self.links.values():
            link.close()

    @singledispatchmethod
    async def receive(self, message: object) -> None:
        """Handle one message."""
        raise TypeError(f"unexpected message {message!r}")

    @receive.register
    async def _(self, message: Tick) -> None:
        if message == LIST:
            self.spawn(self._read_list())
            self.env.clock.callLater(self.list_seconds, self.tell, LIST)
            return
        for member in self.fleet.due_probes(self.env.now):
            self.spawn(self._probe(member.instance))
        self.env.clock.callLater(PROBE_TICK_SECONDS, self.tell, PROBE)

    @receive.register
    async def _(self, message: InstancesSeen) -> None:
        for member in self.fleet.merge_list(message.instances, self.env.now):
            self._log_change(member, reason="instance list")
            if member.instance.name not in self.fleet.members or member.report is None:
                self._close_link(member.instance.name)

    @receive.register
    async def _(self, message: ReportSeen) -> None:
        changed = self.fleet.merge_report(message.report, message.round_trip, self.env.now)
        if changed is not None:
            self._log_change(changed, reason="load report")

    @receive.register
    async def _(self, message: EndpointSilent) -> None:
        self.env.log.emit(Event.LINK_BROKEN, endpoint=message.endpoint, reason=message.reason)
        self._close_link(message.endpoint)
        changed = self.fleet.count_failure(message.endpoint, self.env.now, silent=True)
        if changed is not None:
            self._log_change(changed, reason=message.reason)

    @receive.register
    async def _(self, message: ChooseRoute) -> None:
        request = message.request
        members = self.fleet.selectable(request.work.target)
        route = choose(request, members, message.excluded, self.home, self.env.random)
        self._log_route(request.id, route)
        message.answer(route)

    @receive.register
    async def _(self, message: AttemptSent) -> None:
        member = self.fleet.members.get(message.route.endpoint)
        if member is not None:
            key = (message.attempt.request.id, message.attempt.number)
            member.sent_since_report[key] = message.route.service_seconds

    @receive.register
    async def _(self, message: AttemptEnded) -> None:
        member = self.fleet.members.get(message.endpoint)
        if member is not None:
            member.sent_since_report.pop((message.request_id, message.attempt), None)
        if message.failed:
            changed = self.fleet.count_failure(message.endpoint, self.env.now, silent=False)
            if changed is not None:
                self._log_change(changed, reason="failed attempts")

    @receive.register
    async def _(self, message: SubmitAttempt) -> None:
        attempt = message.attempt
        member = self.fleet.members.get(attempt.endpoint)
        if member is None:
            request_id = attempt.request.id
            reason = "the endpoint has left"
            message.sink.put(AttemptBroken(request_id, attempt.number, sent=False, reason=reason))
            return
        self._link(member.instance).submit(attempt, message.sink)

    @receive.register
    async def _(self, message: CancelAttempt) -> None:
        for link in self.links.values():
            link.cancel(message.request_id, message.attempt)

    @receive.register
    async def _(self, message: ListTargets) -> None:
        targets = {name for one in self.fleet.members.values() for name in one.targets}
        message.answer(tuple(sorted(targets)))

    @receive.register
    async def _(self, message: ListMembers) -> None:
        message.answer(tuple(self.fleet.members.values()))

    async def _read_list(self) -> None:
        try:
            instances = await self.store.instances()
        except StoreError as exc:
            self.env.log.emit(Event.STORE_UNAVAILABLE, error=str(exc))
            return
        self.tell(InstancesSeen(instances))

    async def _probe(self, instance: Instance) -> None:
        sent_at = self.env.now
        try:
            report: LoadReport = await self._link(instance).probe()
        except LinkBrokenError as exc:
            self.tell(EndpointSilent(endpoint=instance.name, reason=str(exc)))
            return
        self.tell(ReportSeen(report, round_trip=self.env.now - sent_at))

    def _link(self, instance: Instance) -> AgentLink:
        if instance.name not in self.links:
            self.links[instance.name] = self.factory.open(instance)
            self.env.log.emit(Event.LINK_OPENED, endpoint=instance.name)
        return self.links[instance.name]

    def _close_link(self, endpoint: str) -> None:
        link = self.links.pop(endpoint, None)
        if link is not None:
            link.close()

    def _log_change(self, member: Member, reason: str) -> None:
        self.env.log.emit(
            Event.MEMBER_CHANGED,
            endpoint=member.instance.name,
            state=member.state.value,
            reason=reason,
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
    """Offers the ``Directory``."""

    name = "directory"
    settings_type = DirectorySettings

    async def setup(self) -> None:
        """Offer the directory."""
        self.directory = Directory(self.env, self.cfg.list_seconds)
        self.env.provide(Directory, self.directory)

    async def start(self) -> None:
        """Begin to look around."""
        self.directory.start()

    async def stop(self) -> None:
        """Close all links."""
        await self.directory.stop()


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(DirectoryPlugin)
