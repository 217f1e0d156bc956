"""The pool of outgoing HTTP connections; other tasks send it requests as messages."""

import itertools
from functools import singledispatchmethod

from attrs import field, frozen
from twisted.internet import error
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from chivewall.addresses import Address, describe_address
from chivewall.environment import Environment
from chivewall.errors import StoreUnavailableError
from chivewall.gateway.announcement_messages import (
    EndpointLeaving,
    EndpointLimit,
    EndpointPause,
    FollowLimits,
    SubscribeToAnnouncements,
)
from chivewall.gateway.announcements import is_from
from chivewall.gateway.byte_budget import MAX_RESPONSE_BYTES
from chivewall.gateway.exchange_messages import (
    CancelExchange,
    ExchangeFailed,
    ExchangeMessage,
    OutgoingRequest,
    ProbeAddress,
    Reachability,
    ResponseData,
    ResponseEnded,
    ResponseStarted,
    SendRequest,
)
from chivewall.gateway.http_dialect import Headers, HttpDialect, ResponseFields
from chivewall.gateway.outgoing_connection import OutgoingConnection
from chivewall.gateway.routing_configuration import EndpointInfo
from chivewall.messages import Tick
from chivewall.plugins.base import Plugin
from chivewall.plugins.registry import Registry
from chivewall.task import Inbox, Task

# Timeout for opening a connection; a round trip takes 10 ms, and a lost packet is sent
# again much later.
CONNECT_TIMEOUT_SECONDS = 0.6
IDLE_CHECK_SECONDS = 0.5  # interval between checks for connections that were idle too long
REACHABLE_SECONDS = 0.3  # an address counts as reachable for this long after bytes came from it
PROBE_TIMEOUT_SECONDS = 0.4  # timeout for the connection that tests whether an address is reachable
PAUSE_STATUSES = (429, 503)  # HTTP statuses of refusals that may ask for a pause
MAX_IDLE_CONNECTIONS = 32  # idle connections kept for one address


@frozen
class HttpResponse:
    """A complete response that was not streamed."""

    status: int
    headers: Headers
    body: bytes = field(repr=False)


@frozen
class Connected:
    """A new connection is open."""

    request: OutgoingRequest
    connection: OutgoingConnection


@frozen
class AddressProbed:
    """A connection that tests an address was opened, or could not be opened (``None``)."""

    address: Address
    connection: OutgoingConnection | None
    reachability: Reachability


@frozen
class ConnectFailed:
    """No connection could be opened."""

    request: OutgoingRequest
    reason: str


class ConnectionPool(Task):
    """Sends requests over kept or new connections."""

    def __init__(self, env: Environment) -> None:
        super().__init__()
        self.env = env
        self._idle: dict[Address, list[OutgoingConnection]] = {}
        self._busy: dict[int, OutgoingConnection] = {}
        self._connecting: dict[int, Deferred] = {}
        self._open: set[OutgoingConnection] = set()
        self._last_data_at: dict[Address, float] = {}  # time of the latest bytes from an address
        self._probes: dict[Address, list[ProbeAddress]] = {}
        self._numbers = itertools.count(1)
        self._announcement_subscriber: Inbox | None = None
        self._followed_limits: frozenset[str] = frozenset()  # ids of endpoints

    def start(self) -> None:
        """Start the task and the checks for connections that were idle too long."""
        super().start()
        self.send(Tick())

    async def on_stop(self) -> None:
        """Close all connections."""
        for connection in list(self._open):
            connection.cancel()

    def next_exchange(self) -> int:
        """Return an exchange number that is unique in this process."""
        return next(self._numbers)

    async def fetch(
        self,
        address: Address,
        method: bytes,
        target: bytes,
        deadline: float,
        *,
        headers: Headers = (),
        body: bytes = b"",
        endpoint: EndpointInfo | None = None,
    ) -> HttpResponse:
        """Send a request of the gateway itself and return the response.

        ``endpoint``: the only endpoint that may serve it, if ``headers`` says so.

        Raises ``StoreUnavailableError`` if no complete response comes before the deadline.
        """
        inbox = Inbox()
        request = OutgoingRequest(
            exchange=self.next_exchange(),
            address=address,
            method=method,
            target=target,
            headers=((b"Host", describe_address(address).encode()), *headers),
            reply_to=inbox,
            body=body,
            has_body=bool(body),
            endpoint=endpoint,
        )
        timer = self.env.clock.callLater(
            max(0.0, deadline - self.env.now),
            inbox.put,
            ExchangeFailed(request.exchange, sent=True, reason="no response before the deadline"),
        )
        self.send(SendRequest(request))
        try:
            return await self._complete_response(inbox, address)
        finally:
            if timer.active():
                timer.cancel()
            self.send(CancelExchange(request.exchange))

    async def _complete_response(self, inbox: Inbox, address: Address) -> HttpResponse:
        head, body = None, bytearray()
        while True:
            message: ExchangeMessage = await inbox.get()
            if isinstance(message, ResponseStarted):
                head = message.head
            elif isinstance(message, ResponseData):
                body += message.data
                if len(body) > MAX_RESPONSE_BYTES:
                    raise StoreUnavailableError(
                        f"{describe_address(address)}: more than {MAX_RESPONSE_BYTES} bytes"
                    )
            elif isinstance(message, ExchangeFailed):
                raise StoreUnavailableError(f"{describe_address(address)}: {message.reason}")
            elif isinstance(message, ResponseEnded):
                return HttpResponse(head.status, head.headers, bytes(body))

    @singledispatchmethod
    async def receive(self, message: object) -> None:
        """Handle one message."""
        raise TypeError(f"unexpected message {message!r}")

    @receive.register
    async def _(self, message: SendRequest) -> None:
        request = message.request
        connection = self._take_idle(request)
        if connection is None:
            self._connect(request)
        else:
            self._send(connection, request)

    @receive.register
    async def _(self, message: CancelExchange) -> None:
        connecting = self._connecting.pop(message.exchange, None)
        if connecting is not None:
            connecting.cancel()
        connection = self._busy.pop(message.exchange, None)
        if connection is not None:
            connection.cancel()

    @receive.register
    async def _(self, message: Connected) -> None:
        connection = message.connection
        self._open.add(connection)
        if self._connecting.pop(message.request.exchange, None) is None:
            connection.cancel()
            return
        self._send(connection, message.request)

    @receive.register
    async def _(self, message: ConnectFailed) -> None:
        if self._connecting.pop(message.request.exchange, None) is not None:
            failed = ExchangeFailed(message.request.exchange, sent=False, reason=message.reason)
            message.request.reply_to.put(failed)

    @receive.register
    async def _(self, message: ProbeAddress) -> None:
        if (
            not message.connect
            and self.env.now - self._last_data_at.get(message.address, -REACHABLE_SECONDS)
            < REACHABLE_SECONDS
        ):
            message.reply(Reachability.REACHABLE)
            return
        waiting = self._probes.setdefault(message.address, [])
        waiting.append(message)
        if len(waiting) == 1:
            self._probe(message.address)

    @receive.register
    async def _(self, message: AddressProbed) -> None:
        for query in self._probes.pop(message.address, []):
            query.reply(message.reachability)
        if message.connection is not None:
            self._open.add(message.connection)
            self._last_data_at[message.address] = self.env.now
            self._keep_idle(message.connection)

    @receive.register
    async def _(self, message: Tick) -> None:
        now = self.env.now
        for connections in self._idle.values():
            for connection in [one for one in connections if one.idle_until <= now]:
                connections.remove(connection)
                connection.cancel()
        self.env.clock.callLater(IDLE_CHECK_SECONDS, self.send, Tick())

    @receive.register
    async def _(self, message: SubscribeToAnnouncements) -> None:
        self._announcement_subscriber = message.inbox

    @receive.register
    async def _(self, message: FollowLimits) -> None:
        self._followed_limits = message.endpoints

    def _send(self, connection: OutgoingConnection, request: OutgoingRequest) -> None:
        self._busy[request.exchange] = connection
        connection.sent_at = self.env.now
        connection.send(request)

    def _take_idle(self, request: OutgoingRequest) -> OutgoingConnection | None:
        connections = self._idle.get(request.address, [])
        now = self.env.now
        # The most recently used one is the least likely to have been closed.
        for connection in reversed(list(connections)):
            if connection.has_carried(request.request_id):
                continue
            connections.remove(connection)
            if (
                now < connection.idle_until
                and now - connection.idle_since <= request.max_idle_seconds
                and _same_process(connection.endpoint, request.endpoint)
            ):
                return connection
            connection.cancel()
        return None

    def _connect(self, request: OutgoingRequest) -> None:
        host, port = request.address
        endpoint = TCP4ClientEndpoint(self.env.reactor, host, port, timeout=CONNECT_TIMEOUT_SECONDS)
        attempt = endpoint.connect(OutgoingConnectionFactory(self._new_connection(request.address)))
        self._connecting[request.exchange] = attempt
        attempt.addCallbacks(
            lambda connection: self.send(Connected(request, connection)),
            lambda failure: self._connect_failed(request, failure),
        )

    def _probe(self, address: Address) -> None:
        host, port = address
        endpoint = TCP4ClientEndpoint(self.env.reactor, host, port, timeout=PROBE_TIMEOUT_SECONDS)
        attempt = endpoint.connect(OutgoingConnectionFactory(self._new_connection(address)))
        attempt.addCallbacks(
            lambda connection: self.send(
                AddressProbed(address, connection, Reachability.REACHABLE)
            ),
            lambda failure: self.send(AddressProbed(address, None, _reachability(failure))),
        )

    def _connect_failed(self, request: OutgoingRequest, failure: Failure) -> None:
        if not failure.check(CancelledError):
            self.send(ConnectFailed(request, f"connection failed: {failure.getErrorMessage()}"))

    def _new_connection(self, address: Address) -> OutgoingConnection:
        connection = OutgoingConnection(address, self._decode_fields)
        connection.on_idle = self._keep_idle
        connection.on_closed = self._remove
        connection.on_data = self._record_data
        connection.on_head = self._report_announcements
        return connection

    def _decode_fields(self, status: int, headers: Headers) -> ResponseFields:
        return self.env.require(HttpDialect).decode_response(status, headers)

    def _report_announcements(
        self, endpoint: EndpointInfo, status: int, fields: ResponseFields, sent_at: float
    ) -> None:
        """Pass on what an endpoint says of itself, also in a response that no request waits for."""
        if self._announcement_subscriber is None or not is_from(endpoint, status, fields):
            return
        if fields.leaving:
            self._announcement_subscriber.put(EndpointLeaving(endpoint))
        if status in PAUSE_STATUSES and fields.retry_after:
            self._announcement_subscriber.put(EndpointPause(endpoint, fields.retry_after))
        if fields.limit is not None or endpoint.id in self._followed_limits:
            self._announcement_subscriber.put(EndpointLimit(endpoint, fields.limit, sent_at))

    def _record_data(self, connection: OutgoingConnection) -> None:
        self._last_data_at[connection.address] = self.env.now

    def _keep_idle(self, connection: OutgoingConnection) -> None:
        self._busy.pop(connection.exchange, None)
        connection.idle_since = self.env.now
        connection.idle_until = self.env.now + connection.max_idle_seconds()
        kept = self._idle.setdefault(connection.address, [])
        if len(kept) >= MAX_IDLE_CONNECTIONS:
            connection.cancel()
        else:
            kept.append(connection)

    def _remove(self, connection: OutgoingConnection) -> None:
        self._open.discard(connection)
        self._busy.pop(connection.exchange, None)
        kept = self._idle.get(connection.address, [])
        if connection in kept:
            kept.remove(connection)


def _same_process(used: EndpointInfo | None, wanted: EndpointInfo | None) -> bool:
    """Return whether a connection that was used for one endpoint may be used for another.

    Otherwise a late response could be taken for one of the endpoint that now has the address.
    """
    if used is None or wanted is None:
        return True
    return (used.id, used.started_ms) == (wanted.id, wanted.started_ms)


def _reachability(failure: Failure) -> Reachability:
    return (
        Reachability.REFUSED if failure.check(error.ConnectionRefusedError) else Reachability.SILENT
    )


class OutgoingConnectionFactory(Factory):
    """Hands a prepared protocol to Twisted once its connection is open."""

    noisy = False

    def __init__(self, connection: OutgoingConnection) -> None:
        self.connection = connection

    def buildProtocol(self, addr: object) -> OutgoingConnection:  # noqa: N802 - Twisted's name
        """Return the prepared protocol."""
        return self.connection


class ConnectionPoolPlugin(Plugin):
    """Provides the pool of outgoing connections."""

    name = "channels"

    async def setup(self) -> None:
        """Create the task and provide it."""
        self.connections = ConnectionPool(self.env)
        self.env.provide(ConnectionPool, self.connections)

    async def start(self) -> None:
        """Start the task."""
        self.connections.start()

    async def stop(self) -> None:
        """Close all connections."""
        await self.connections.stop()


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(ConnectionPoolPlugin)
