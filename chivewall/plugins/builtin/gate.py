"""The agent's gRPC server: turns messages of entries into tasks' messages and back."""

import asyncio
import socket

from attrs import field, frozen, validators
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Server, Stream
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from chivewall.answers import ReportLoad
from chivewall.environment import Environment
from chivewall.errors import ConfigurationError
from chivewall.messages import Arrive, ConfigurationSeen, Drain, Withdraw
from chivewall.plugins.base import Plugin
from chivewall.plugins.builtin.admission import Admission
from chivewall.plugins.builtin.configuration import (
    ConfigurationKeeper,
    CurrentConfiguration,
    decode_configuration,
    encode_configuration,
)
from chivewall.plugins.builtin.credentials import Credentials
from chivewall.plugins.registry import Registry
from chivewall.task import Inbox
from chivewall.wire import chivewall_pb2 as pb
from chivewall.wire.chivewall_grpc import AgentBase
from chivewall.wire.codec import decode_attempt, encode_part, encode_report

# grpclib's client drops a message that it has not read when its connection ends, so the
# connections stay open for a while after the last part was sent.
LINGER_SECONDS = 0.2
KEEPALIVE_IDLE_SECONDS = 10
KEEPALIVE_INTERVAL_SECONDS = 5
KEEPALIVE_PROBES = 3
UNSENT_MS = 25_000  # as long as the keepalive takes to give up
TOKEN_METADATA = "authorization"  # noqa: S105 - the name of a metadata key


@frozen
class GateSettings:
    """Where the agent listens."""

    host: str = field(default="127.0.0.1", metadata={"help": "IP address to listen on."})
    port: int = field(
        default=0,
        validator=[validators.ge(0), validators.le(65535)],
        metadata={"help": "TCP port; 0 takes a free one."},
    )


class Gate(AgentBase):
    """Serves the ``Agent`` service of the wire format."""

    def __init__(self, env: Environment) -> None:
        self.env = env
        self.admission = env.require(Admission)
        self.keeper = env.require(ConfigurationKeeper)
        self.credentials = env.require(Credentials)
        self.open_streams = 0
        self.idle_waiters: list[Deferred] = []

    async def Submit(self, stream: Stream) -> None:  # noqa: N802 - generated name
        """Send the parts of one attempt until the last one."""
        self._authenticate(stream)
        message = await stream.recv_message()
        try:
            attempt = decode_attempt(message, self.env.now)
        except ValueError as exc:
            raise GRPCError(Status.INVALID_ARGUMENT, str(exc)) from exc
        sink = Inbox()
        self.admission.tell(Arrive(attempt=attempt, sink=sink))
        self.open_streams += 1
        finished = False
        try:
            while not finished:
                part = await _as_future(sink.get())
                await stream.send_message(encode_part(part))
                finished = part.last
        finally:
            if not finished:
                self.admission.tell(Withdraw(attempt.request.id, attempt.number))
            self._close_stream()

    def drain(self) -> Deferred:
        """Return a Deferred that fires when the last part of every attempt was sent."""
        drained = self.admission.ask(Drain())
        return drained.addCallback(lambda _: self._idle())

    def _idle(self) -> Deferred:
        idle: Deferred = Deferred()
        if self.open_streams:
            self.idle_waiters.append(idle)
        else:
            idle.callback(None)
        return idle

    def _close_stream(self) -> None:
        self.open_streams -= 1
        if self.open_streams:
            return
        for waiter in self.idle_waiters:
            waiter.callback(None)
        self.idle_waiters = []

    async def Probe(self, stream: Stream) -> None:  # noqa: N802 - generated name
        """Answer with a load report."""
        self._authenticate(stream)
        await stream.recv_message()
        report = await _as_future(self.admission.ask(ReportLoad()))
        await stream.send_message(encode_report(report))

    async def ExchangeConfiguration(self, stream: Stream) -> None:  # noqa: N802 - generated name
        """Take the peer's document if it is newer; answer with ours if that one is."""
        self._authenticate(stream)
        message = await stream.recv_message()
        offered = 0
        if message.document:
            try:
                configuration = decode_configuration(message.document)
            except ConfigurationError as exc:
                raise GRPCError(Status.INVALID_ARGUMENT, str(exc)) from exc
            offered = configuration.version
            self.keeper.tell(ConfigurationSeen(configuration, origin="entry"))
        current = await _as_future(self.keeper.ask(CurrentConfiguration()))
        newer = current is not None and current.version > offered
        document = encode_configuration(current) if newer else b""
        await stream.send_message(pb.ConfigurationDocument(document=document))

    def _authenticate(self, stream: Stream) -> None:
        shown = stream.metadata.get(TOKEN_METADATA)
        if not self.credentials.peer_allowed(shown):
            raise GRPCError(Status.UNAUTHENTICATED, "the peer token is missing or wrong")


class GatePlugin(Plugin):
    """Listens for entries."""

    name = "gate"
    settings_type = GateSettings

    async def start(self) -> None:
        """Bind the port; fails if another process already serves it."""
        self.socket = listen(self.cfg.host, self.cfg.port)
        self.gate = Gate(self.env)
        self.server = Server([self.gate])
        await Deferred.fromFuture(asyncio.ensure_future(self.server.start(sock=self.socket)))

    async def drain(self) -> None:
        """Refuse new work and wait until every answer was sent."""
        await self.gate.drain()
        await deferLater(self.env.clock, LINGER_SECONDS, lambda: None)

    async def stop(self) -> None:
        """Close the port and its connections."""
        self.server.close()
        await Deferred.fromFuture(asyncio.ensure_future(self.server.wait_closed()))

    @property
    def port(self) -> int:
        """TCP port that the gate listens on."""
        return self.socket.getsockname()[1]


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(GatePlugin)


def listen(host: str, port: int) -> socket.socket:
    """Return the socket that accepts the connections of entries."""
    # asyncio and grpclib set TCP_NODELAY only on sockets that name their protocol. Without
    # it, Nagle's algorithm and delayed ACKs hold the end of each answer back for 40 ms.
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    _set_keepalive(listener)
    try:
        listener.bind((host, port))
        listener.listen()
    except OSError:
        listener.close()
        raise
    return listener


def _set_keepalive(listener: socket.socket) -> None:
    # An entry notices a silent connection by its probes, but the agent only waits for calls:
    # without this, a connection that went silent would keep its memory and attempts for hours.
    # Accepted connections inherit the options of their listener.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    if hasattr(socket, "TCP_KEEPIDLE") and hasattr(socket, "TCP_USER_TIMEOUT"):  # Linux
        for option, value in (
            (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
            (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
            (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
            (socket.TCP_USER_TIMEOUT, UNSENT_MS),
        ):
            listener.setsockopt(socket.IPPROTO_TCP, option, value)


def _as_future(waiting: Deferred) -> asyncio.Future:
    return waiting.asFuture(asyncio.get_running_loop())
