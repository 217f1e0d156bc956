"""The listener for callers: matches each request to a route and starts a task for it."""

from functools import singledispatchmethod
from typing import Any

from attrs import field, frozen, validators
from twisted.internet.defer import Deferred, maybeDeferred
from twisted.internet.interfaces import IListeningPort
from twisted.internet.protocol import Factory

from chivewall.addresses import check_address, parse_address
from chivewall.decisions.route_table import RouteTable, choose_service
from chivewall.decisions.shutdown import ShutdownSchedule, schedule_shutdown
from chivewall.environment import Environment
from chivewall.events import Event
from chivewall.gateway.byte_budget import BodyBudget, ByteBudget, MemoryLimits
from chivewall.gateway.caller_messages import EndBy
from chivewall.gateway.caller_response import error_response
from chivewall.gateway.channels import ConnectionPool
from chivewall.gateway.configuration_messages import (
    ConfigurationInForce,
    PeerConfiguration,
    PeerConfigurationVersion,
    SubscribeToPeerVersions,
)
from chivewall.gateway.exchange import RequestContext, request_deadline
from chivewall.gateway.extra_attempts import ExtraAttempts
from chivewall.gateway.fleet import Fleet
from chivewall.gateway.fleet_messages import EngineMemoryStated
from chivewall.gateway.forwarded_request import ForwardedRequest
from chivewall.gateway.http_dialect import CallerRequest, HttpDialect
from chivewall.gateway.ingress_connection import IngressConnection
from chivewall.gateway.part_guard import PartGuard
from chivewall.gateway.peers import Peers
from chivewall.gateway.rate_limits import RateLimits
from chivewall.gateway.routing_configuration import IngressLimits, RoutingConfiguration
from chivewall.gateway.sources import CollectionSources
from chivewall.gateway.store_collections import (
    CollectionChanges,
    CollectionItem,
    CollectionSnapshot,
    CollectionUnavailable,
    CollectionWatcher,
)
from chivewall.gateway.usage import UsageCounter
from chivewall.gateway.workspace_access import WorkspaceAccess, key_refusal
from chivewall.plugins.base import Plugin
from chivewall.plugins.registry import Registry
from chivewall.results import ResultCode
from chivewall.task import Inbox, Task

# The load balancer sends new connections until two readiness probes, one a second, have
# failed; for this long they are still accepted and served.
BALANCER_DELAY_SECONDS = 2.6
# Time in which the last responses are written when a process stops without draining.
LAST_RESPONSES_SECONDS = 0.1
POLL_SECONDS = 0.1  # interval between checks for open connections while draining
BACKLOG = 512  # connections that wait for accept()


@frozen
class SubscribeToConfigurations:
    """Send each ``ConfigurationInForce`` to this inbox, at once if there is one."""

    inbox: Inbox


@frozen
class GatewaySettings:
    """Listening address, grace period and connection limit for callers."""

    address: str = field(validator=check_address, metadata={"help": "IP:PORT to listen on."})
    grace_seconds: float = field(
        validator=validators.gt(0),
        metadata={"help": "Time between SIGTERM and SIGKILL, in seconds."},
    )
    max_connections: int = field(
        default=3000,
        validator=validators.gt(0),
        metadata={"help": "Maximum number of open connections from callers."},
    )
    memory_mb: float | None = field(
        default=None,
        validator=validators.optional(validators.gt(0)),
        metadata={"help": "Memory of the instance, MB; bounds what is kept for requests."},
    )

    @property
    def memory_limits(self) -> MemoryLimits:
        """Return the limits on what is kept for requests."""
        return (
            MemoryLimits() if self.memory_mb is None else MemoryLimits.of_instance(self.memory_mb)
        )


@frozen
class BeginShutdown:
    """Tell the gateway that it shuts down, and what it may still take."""

    schedule: ShutdownSchedule


@frozen
class CloseIdleConnections:
    """Tell the gateway to close the connections that wait for a request."""


@frozen
class EndRequests:
    """Tell the gateway to give every request its final response now."""


class Gateway(Task):
    """Holds the routing configuration in force and the callers' connections."""

    def __init__(
        self,
        env: Environment,
        cfg: GatewaySettings,
        context: RequestContext,
        sources: CollectionSources,
    ) -> None:
        super().__init__()
        self.env = env
        self.cfg = cfg
        self.context = context
        self.watcher = CollectionWatcher(
            env, sources.routing_configuration, self.inbox, sources.eras
        )
        self.table: RouteTable | None = None
        self.configuration_name: str | None = None  # of its object in the store
        self.access = WorkspaceAccess(env)
        self.limits = IngressLimits()
        self.in_force: ConfigurationInForce | None = None
        self.subscribers: list[Inbox] = []  # receive each ``ConfigurationInForce``
        self.closing = False
        self.shutdown: ShutdownSchedule | None = None
        self.connections: set[IngressConnection] = set()
        self.unread_bytes = 0  # bytes of all responses that callers have not read
        self.bodies = BodyBudget(cfg.memory_limits.bodies)

    def start(self) -> None:
        """Start the task and the watch of the routing configuration."""
        super().start()
        self.watcher.start()

    async def on_stop(self) -> None:
        """Stop watching the routing configuration, and end the remaining requests."""
        await self.watcher.stop()
        if self.connections:
            self._end_requests()
            await pause(self.env, LAST_RESPONSES_SECONDS)
        for connection in list(self.connections):
            connection.abort()

    @singledispatchmethod
    async def receive(self, message: object) -> None:
        """Handle one message."""
        raise TypeError(f"unexpected message {message!r}")

    @receive.register
    async def _(self, message: CollectionSnapshot) -> None:
        self.access.age.store_in_touch = True
        self._apply_items(message.items, message.era)

    @receive.register
    async def _(self, message: CollectionChanges) -> None:
        self.access.age.store_in_touch = True
        self._apply_items(message.items, message.era)

    @receive.register
    async def _(self, message: CollectionUnavailable) -> None:
        """Continue with the routes known so far."""
        self.access.age.store_in_touch = False

    @receive.register
    async def _(self, message: PeerConfigurationVersion) -> None:
        if self.table is not None and message.version > self.table.configuration.version:
            self.access.age.record_newer(self.env.now)

    @receive.register
    async def _(self, message: PeerConfiguration) -> None:
        self._apply(message.configuration, message.document, peer=message.gateway_ip)

    @receive.register
    async def _(self, message: SubscribeToConfigurations) -> None:
        self.subscribers.append(message.inbox)
        if self.in_force is not None:
            message.inbox.put(self.in_force)

    @receive.register
    async def _(self, message: BeginShutdown) -> None:
        self.closing = True
        self.shutdown = message.schedule
        for connection in list(self.connections):
            connection.end_by(message.schedule.end_by)

    @receive.register
    async def _(self, message: CloseIdleConnections) -> None:
        for connection in list(self.connections):
            connection.close_if_idle()

    @receive.register
    async def _(self, message: EndRequests) -> None:
        self._end_requests()

    def calls_in_progress(self) -> int:
        """Return the number of calls that are arriving or being served."""
        return sum(one.in_progress for one in self.connections)

    def _end_requests(self) -> None:
        self.closing = True
        self.shutdown = ShutdownSchedule(self.env.now, self.env.now, self.env.now)
        for connection in list(self.connections):
            connection.end_by(self.env.now)
            connection.end()

    def accept(self, request: CallerRequest, connection: IngressConnection) -> Inbox:
        """Start the task of a request and return its inbox (``RequestHandler``)."""
        inbox = Inbox()
        if self.table is None:
            self._refuse(request, connection, ResultCode.NOT_READY, "no routes are known yet")
            return inbox
        route = self.table.match(request.header(b"host") or "", request.path)
        if route is None:
            self._refuse(
                request, connection, ResultCode.NOT_FOUND, "no route matches host and path"
            )
            return inbox
        if self.shutdown is not None and not self.shutdown.takes(
            request.received_at, request_deadline(request, route)
        ):
            self._refuse(
                request, connection, ResultCode.DRAINING, "the gateway may stop before its end"
            )
            return inbox
        ruling = self.access.rule(request, route)
        refusal = key_refusal(ruling)
        if refusal is not None:
            self._refuse(request, connection, refusal.code, refusal.reason)
            return inbox
        service = choose_service(route, self.env.random)
        task = ForwardedRequest(
            self.context,
            request,
            route,
            service,
            connection,
            connection.request_number,
            ruling.workspace,
            workspaces_in_use=ruling.workspaces_in_use,
            ranks=self.access.in_force.ranks,
        )
        if self.shutdown is not None:
            task.send(EndBy(self.shutdown.end_by))
        task.start()
        return task.inbox

    def add_unread_bytes(self, size: int) -> None:
        """Count bytes that callers have not read yet (``RequestHandler``).

        Beyond the limit, the connection that was blocked longest is cut.
        """
        self.unread_bytes += size
        limit = self.cfg.memory_limits.unread
        if size <= 0 or self.unread_bytes <= limit:
            return  # each cut below releases bytes, and must not begin further ones
        blocked = (one for one in self.connections if one.blocked_since is not None)
        for slowest in sorted(blocked, key=lambda one: one.blocked_since):
            if self.unread_bytes <= limit:
                return
            self.env.log.emit(
                Event.SLOW_READER_CUT,
                blocked_seconds=round(self.env.now - slowest.blocked_since, 3),
                unread_bytes=self.unread_bytes,
            )
            slowest.cut()

    def add_connection(self, connection: IngressConnection) -> bool:
        """Add a connection; return whether it may stay open (``RequestHandler``)."""
        if len(self.connections) >= self.cfg.max_connections:
            return False
        self.connections.add(connection)
        return True

    def remove_connection(self, connection: IngressConnection) -> None:
        """Remove a connection (``RequestHandler``)."""
        self.connections.discard(connection)

    def _refuse(
        self, request: CallerRequest, connection: IngressConnection, code: ResultCode, reason: str
    ) -> None:
        request_id = request.fields.request_id
        version = None if self.table is None else self.table.configuration.version
        self.env.log.emit(
            Event.CALL_REFUSED, request=request_id, code=code.number, reason=reason, version=version
        )
        connection.put(
            error_response(
                self.context.dialect, connection.request_number, code, reason, request_id
            )
        )

    def _apply_items(self, items: tuple[CollectionItem, ...], era: int | None) -> None:
        for item in items:
            if item.value is None and item.name == self.configuration_name:
                self.access.age.unreadable = True
            if isinstance(item.value, RoutingConfiguration):
                self.configuration_name = item.name
                self._apply(item.value, item.document, revision=item.revision, era=era)

    def _apply(self, configuration: RoutingConfiguration, document: Any, **origin: Any) -> None:
        if self.table is not None and configuration.version <= self.table.configuration.version:
            return
        self.table = RouteTable(configuration)
        self.limits = configuration.limits
        memory = {one.service: one.tokens for one in configuration.engine_memory}
        self.context.fleet.send(EngineMemoryStated(memory))
        self.access.apply(configuration)
        for connection in self.connections:
            connection.extend_idle_time()
            connection.tell_request(self.access.in_force)
        self.env.log.emit(
            Event.CATALOGUE_IN_FORCE,
            version=configuration.version,
            routes=len(configuration.routes),
            **origin,
        )
        self.in_force = ConfigurationInForce(configuration.version, document, configuration)
        for inbox in self.subscribers:
            inbox.put(self.in_force)


class IngressFactory(Factory):
    """Builds callers' connections."""

    noisy = False

    def __init__(self, env: Environment, gateway: Gateway) -> None:
        self.env = env
        self.gateway = gateway

    def buildProtocol(self, addr: object) -> IngressConnection:  # noqa: N802 - Twisted's name
        """Return the protocol of a new connection."""
        return IngressConnection(self.env, self.gateway, self.gateway.context.dialect)


class GatewayPlugin(Plugin):
    """Listens for callers."""

    name = "gateway"
    settings_type = GatewaySettings

    async def setup(self) -> None:
        """Create the task."""
        self.listener: IListeningPort | None = None  # none before the start, or if it fails
        context = RequestContext(
            env=self.env,
            fleet=self.env.require(Fleet),
            guard=self.env.require(PartGuard),
            limits=self.env.require(RateLimits),
            connections=self.env.require(ConnectionPool),
            dialect=self.env.require(HttpDialect),
            response_bytes=ByteBudget(self.cfg.memory_limits.responses),
            extra_attempts=self.env.find(ExtraAttempts),
        )
        if (counter := self.env.find(UsageCounter)) is not None:
            context.usage = counter.inbox
        self.gateway = Gateway(self.env, self.cfg, context, self.env.require(CollectionSources))
        self.env.provide(Gateway, self.gateway)

    async def start(self) -> None:
        """Listen on the port; requests are refused until the routes are known."""
        self.gateway.start()
        self.env.require(Peers).send(SubscribeToPeerVersions(self.gateway.inbox))
        host, port = parse_address(self.cfg.address)
        self.listener = self.env.reactor.listenTCP(
            port,
            IngressFactory(self.env, self.gateway),
            backlog=BACKLOG,
            interface=host,
        )

    async def drain(self) -> None:
        """Serve until the load balancer sends no more and no request is in progress."""
        began = self.env.now
        schedule = schedule_shutdown(began, self.cfg.grace_seconds, BALANCER_DELAY_SECONDS)
        self.gateway.send(BeginShutdown(schedule))
        await pause(self.env, BALANCER_DELAY_SECONDS)
        # Connections that wait for accept() would be reset. Twisted accepts as many at once as came
        # in the last pass.
        self.listener.numberAccepts = BACKLOG
        self.listener.doRead()
        await maybeDeferred(self.listener.stopListening)
        late_calls = self.gateway.calls_in_progress()
        while self.gateway.connections and self.env.now < schedule.end_by:
            # A caller whose idle connection is closed sends its next request to another gateway.
            # The pause comes first, so that a request that has arrived is read before.
            await pause(self.env, POLL_SECONDS)
            self.gateway.send(CloseIdleConnections())
        unfinished_calls = self.gateway.calls_in_progress()
        self.gateway.send(EndRequests())
        while self.gateway.connections and self.env.now < schedule.close_by:
            await pause(self.env, POLL_SECONDS)
        self.env.log.emit(
            Event.GATEWAY_DRAINED,
            seconds=round(self.env.now - began, 3),
            late_calls=late_calls,
            unfinished_calls=unfinished_calls,
            open_connections=len(self.gateway.connections),
        )

    async def stop(self) -> None:
        """Stop listening and close the remaining connections."""
        await self.gateway.stop()
        if self.listener is not None:
            await maybeDeferred(self.listener.stopListening)

    def reload(self, cfg: GatewaySettings) -> None:
        """Apply changed settings; a changed address takes effect at the next start."""
        self.cfg = cfg
        self.gateway.cfg = cfg
        self.gateway.bodies.limit = cfg.memory_limits.bodies
        self.gateway.context.response_bytes.limit = cfg.memory_limits.responses

    def ready(self) -> bool:
        """Return whether the routing configuration is known."""
        return self.gateway.table is not None


def pause(env: Environment, seconds: float) -> Deferred:
    """Return a deferred that fires after a while."""
    fired: Deferred = Deferred()
    env.clock.callLater(seconds, fired.callback, None)
    return fired


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(GatewayPlugin)
