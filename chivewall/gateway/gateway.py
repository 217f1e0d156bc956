"""The listener for callers: one task per call, found by the published routes."""

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

# Until the balancer has seen two failed readiness probes, one a second, it sends new
# connections; they are served as before.
BALANCER_SECONDS = 2.6
CLOSE_MARGIN = 0.7  # seconds before the platform kills the process
POLL_SECONDS = 0.1  # between looks whether calls are in progress
BACKLOG = 512
MAX_BODY_BYTES = 67_108_864  # of all bodies being read; a quarter of the smallest machine


@frozen
class GatewaySettings:
    """Where callers connect."""

    address: str = field(validator=check_address, metadata={"help": "IP:PORT to listen on."})
    grace_seconds: float = field(
        validator=validators.gt(0),
        metadata={"help": "Time between SIGTERM and the kill, in seconds."},
    )
    max_connections: int = field(
        default=3000,
        validator=validators.gt(0),
        metadata={"help": "Callers' connections that are open at once."},
    )


class Gateway(Task):
    """Owns the published routes in force and the callers' connections."""

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
        self.body_bytes = 0  # of bodies that are being read

    def start(self) -> None:
        """Begin to follow the published routes."""
        super().start()
        self.follower.start()

    async def on_stop(self) -> None:
        """Stop following and drop the connections that are left."""
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
        """Go on with the routes known so far."""

    def accept(self, call: Call, sink: IngressConnection) -> Inbox:
        """See ``CallOwner.accept``."""
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
        """See ``CallOwner.reserve``."""
        if size > 0 and self.body_bytes + size > MAX_BODY_BYTES:
            return False
        self.body_bytes += size
        return True

    def opened(self, connection: IngressConnection) -> bool:
        """See ``CallOwner.opened``."""
        if len(self.connections) >= self.cfg.max_connections:
            return False
        self.connections.add(connection)
        return True

    def closed(self, connection: IngressConnection) -> None:
        """See ``CallOwner.closed``."""
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
        """Return a new connection."""
        return IngressConnection(self.env, self.gateway, self.gateway.context.dialect)


class GatewayPlugin(Plugin):
    """Listens for callers."""

    name = "gateway"
    settings_type = GatewaySettings

    async def setup(self) -> None:
        """Build the task."""
        context = CallContext(
            env=self.env,
            fleet=self.env.require(Fleet),
            channels=self.env.require(Channels),
            dialect=self.env.require(CallDialect),
        )
        self.gateway = Gateway(self.env, self.cfg, context, self.env.require(Sources))

    async def start(self) -> None:
        """Bind the port; calls are refused until the routes are known."""
        self.gateway.start()
        host, port = parse_address(self.cfg.address)
        self.listener: IListeningPort = self.env.reactor.listenTCP(
            port,
            IngressFactory(self.env, self.gateway),
            backlog=BACKLOG,
            interface=host,
        )

    async def drain(self) -> None:
        """Serve until the balancer has turned away and no call is in progress."""
        close_by = self.env.now + self.cfg.grace_seconds - CLOSE_MARGIN
        self.gateway.closing = True
        await self._pause(BALANCER_SECONDS)
        # A call that is taken late could be killed before its answer; a caller whose idle
        # connection closes sends its next call to another gateway.
        await maybeDeferred(self.listener.stopListening)
        for connection in list(self.gateway.connections):
            connection.close_if_idle()
        while self.gateway.connections and self.env.now < close_by:
            await self._pause(POLL_SECONDS)

    async def stop(self) -> None:
        """Close what is left."""
        await self.gateway.stop()
        await maybeDeferred(self.listener.stopListening)

    def reload(self, cfg: GatewaySettings) -> None:
        """Take over the grace period; the address waits for the next start."""
        self.cfg = cfg
        self.gateway.cfg = cfg

    def ready(self) -> bool:
        """Return whether the published routes are known."""
        return self.gateway.table is not None

    def _pause(self, seconds: float) -> Deferred:
        fired: Deferred = Deferred()
        self.env.clock.callLater(seconds, fired.callback, None)
        return fired


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(GatewayPlugin)
