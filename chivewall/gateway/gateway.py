"""The listener for callers: matches each request to a route and starts a task for it."""

from functools import singledispatchmethod

from attrs import field, frozen, validators
from twisted.internet.defer import Deferred, maybeDeferred
from twisted.internet.interfaces import IListeningPort
from twisted.internet.protocol import Factory

from chivewall.addresses import check_address, parse_address
from chivewall.decisions.route_table import RouteTable, choose_service
from chivewall.environment import Environment
from chivewall.events import Event
from chivewall.gateway.caller_answer import refusal
from chivewall.gateway.calls import Call, CallDialect
from chivewall.gateway.catalogue import Catalogue, IngressLimits
from chivewall.gateway.channels import Channels
from chivewall.gateway.collections import (
    CollectionChanges,
    CollectionFollower,
    CollectionItem,
    CollectionLost,
    CollectionSnapshot,
)
from chivewall.gateway.exchange import CallContext
from chivewall.gateway.fleet import Fleet
from chivewall.gateway.forwarded_call import ForwardedCall
from chivewall.gateway.ingress_connection import IngressConnection
from chivewall.gateway.sources import Sources
from chivewall.plugins.base import Plugin
from chivewall.plugins.registry import Registry
from chivewall.results import ResultCode
from chivewall.task import Inbox, Task

# The load balancer sends new connections until two readiness probes, one a second, have
# failed; for this long they are still accepted and served.
BALANCER_SECONDS = 2.6
# Draining ends this many seconds before the platform kills the process.
CLOSE_MARGIN = 0.7
POLL_SECONDS = 0.1  # interval between checks for open connections while draining
BACKLOG = 512  # connections that wait for accept()
# Limit on the sum of all request bodies being received; a quarter of the smallest instance's
# memory.
MAX_BODY_BYTES = 67_108_864


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


class Gateway(Task):
    """Holds the routing configuration in force and the callers' connections."""

    def __init__(
        self, env: Environment, cfg: GatewaySettings, context: CallContext, sources: Sources
    ) -> None:
        super().__init__()
        self.env = env
        self.cfg = cfg
        self.context = context
        self.follower = CollectionFollower(env, sources.catalogue, self.inbox)
        self.table: RouteTable | None = None
        self.limits = IngressLimits()
        self.closing = False
        self.connections: set[IngressConnection] = set()
        self.body_bytes = 0  # bytes of all request bodies being received

    def start(self) -> None:
        """Start the task and the watch of the routing configuration."""
        super().start()
        self.follower.start()

    async def on_stop(self) -> None:
        """Stop watching the routing configuration and abort the remaining connections."""
        await self.follower.stop()
        for connection in list(self.connections):
            connection.transport.abortConnection()

    @singledispatchmethod
    async def receive(self, message: object) -> None:
        """Handle one message."""
        raise TypeError(f"unexpected message {message!r}")

    @receive.register
    async def _(self, message: CollectionSnapshot) -> None:
        self._take_items(message.items)

    @receive.register
    async def _(self, message: CollectionChanges) -> None:
        self._take_items(message.items)

    @receive.register
    async def _(self, message: CollectionLost) -> None:
        """Continue with the routes known so far."""

    def accept(self, call: Call, sink: IngressConnection) -> Inbox:
        """Start the task of a request and return its inbox (``CallOwner.accept``)."""
        inbox = Inbox()
        if self.table is None:
            self._answer(call, sink, ResultCode.NOT_READY, "no routes are known yet")
            return inbox
        route = self.table.match(call.header(b"host") or "", call.path)
        if route is None:
            self._answer(call, sink, ResultCode.NOT_FOUND, "no route matches host and path")
            return inbox
        service = choose_service(route, self.env.random)
        task = ForwardedCall(self.context, call, route, service, sink, sink.number)
        task.start()
        return task.inbox

    def reserve(self, size: int) -> bool:
        """Count bytes of request bodies; return whether they fit (``CallOwner.reserve``)."""
        if size > 0 and self.body_bytes + size > MAX_BODY_BYTES:
            return False
        self.body_bytes += size
        return True

    def opened(self, connection: IngressConnection) -> bool:
        """Add a connection; return whether it may stay open (``CallOwner.opened``)."""
        if len(self.connections) >= self.cfg.max_connections:
            return False
        self.connections.add(connection)
        return True

    def closed(self, connection: IngressConnection) -> None:
        """Remove a connection (``CallOwner.closed``)."""
        self.connections.discard(connection)

    def _answer(self, call: Call, sink: IngressConnection, code: ResultCode, reason: str) -> None:
        request_id = call.fields.request_id
        version = None if self.table is None else self.table.catalogue.version
        self.env.log.emit(
            Event.CALL_REFUSED, request=request_id, code=code.number, reason=reason, version=version
        )
        sink.put(refusal(self.context.dialect, sink.number, code, reason, request_id))

    def _take_items(self, items: tuple[CollectionItem, ...]) -> None:
        for item in items:
            if isinstance(item.value, Catalogue):
                self._take(item.value)

    def _take(self, catalogue: Catalogue) -> None:
        if self.table is not None and catalogue.version <= self.table.catalogue.version:
            return
        self.table = RouteTable(catalogue)
        self.limits = catalogue.limits
        self.env.log.emit(
            Event.CATALOGUE_IN_FORCE, version=catalogue.version, routes=len(catalogue.routes)
        )


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
        context = CallContext(
            env=self.env,
            fleet=self.env.require(Fleet),
            channels=self.env.require(Channels),
            dialect=self.env.require(CallDialect),
        )
        self.gateway = Gateway(self.env, self.cfg, context, self.env.require(Sources))

    async def start(self) -> None:
        """Listen on the port; requests are refused until the routes are known."""
        self.gateway.start()
        host, port = parse_address(self.cfg.address)
        self.listener: IListeningPort = self.env.reactor.listenTCP(
            port,
            IngressFactory(self.env, self.gateway),
            backlog=BACKLOG,
            interface=host,
        )

    async def drain(self) -> None:
        """Serve until the load balancer sends no more and no request is in progress."""
        close_by = self.env.now + self.cfg.grace_seconds - CLOSE_MARGIN
        self.gateway.closing = True
        await self._pause(BALANCER_SECONDS)
        # A request accepted late could be cut off by the kill. A caller whose idle connection
        # is closed sends its next request to another gateway.
        await maybeDeferred(self.listener.stopListening)
        for connection in list(self.gateway.connections):
            connection.close_if_idle()
        while self.gateway.connections and self.env.now < close_by:
            await self._pause(POLL_SECONDS)

    async def stop(self) -> None:
        """Stop listening and close the remaining connections."""
        await self.gateway.stop()
        await maybeDeferred(self.listener.stopListening)

    def reload(self, cfg: GatewaySettings) -> None:
        """Apply changed settings; a changed address takes effect at the next start."""
        self.cfg = cfg
        self.gateway.cfg = cfg

    def ready(self) -> bool:
        """Return whether the routing configuration is known."""
        return self.gateway.table is not None

    def _pause(self, seconds: float) -> Deferred:
        fired: Deferred = Deferred()
        self.env.clock.callLater(seconds, fired.callback, None)
        return fired


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(GatewayPlugin)
