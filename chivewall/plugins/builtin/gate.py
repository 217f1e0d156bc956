"""gRPC server of an agent: receives attempts from entries and streams their parts back."""

import asyncio
import socket

from attrs import field, frozen, validators
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Server, Stream
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from chivewall.admission_messages import ReportLoad
from chivewall.environment import Environment
from chivewall.errors import ConfigurationError
from chivewall.messages import AttemptArrived, ConfigurationReceived, Drain, WithdrawAttempt
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

# Time that connections stay open after the last part was sent, because when a connection ends,
# grpclib's client drops the messages that it has received but not yet read.
LINGER_SECONDS = 0.2
KEEPALIVE_IDLE_SECONDS = 10
KEEPALIVE_INTERVAL_SECONDS = 5
KEEPALIVE_PROBES = 3
USER_TIMEOUT_MS = 25_000  # limit for unacknowledged data; the time until keepalive gives up
TOKEN_METADATA = "authorization"  # noqa: S105 - the name of a metadata key


@frozen
class AgentServerSettings:
    """Settings of the address that the agent listens on."""

    host: str = field(default="127.0.0.1", metadata={"help": "IP address to listen on."})
    port: int = field(
        default=0,
        validator=[validators.ge(0), validators.le(65535)],
        metadata={"help": "TCP port to listen on; 0 picks a free one."},
    )


class AgentServer(AgentBase):
    """Implements the gRPC service ``Agent``."""

    def __init__(self, env: Environment) -> None:
        self.env = env
        self.admission = env.require(Admission)
        self.keeper = env.require(ConfigurationKeeper)
        self.credentials = env.require(Credentials)
        self.open_streams = 0
        self.idle_waiters: list[Deferred] = []

    async def Submit(self, stream: Stream) -> None:  # noqa: N802 - generated name
        """Pass an attempt to admission and stream its parts, up to the last one."""
        self._authenticate(stream)
        message = await stream.recv_message()
        try:
            attempt = decode_attempt(message, self.env.now)
        except ValueError as exc:
            raise GRPCError(Status.INVALID_ARGUMENT, str(exc)) from exc
        sink = Inbox()
        self.admission.send(AttemptArrived(attempt=attempt, sink=sink))
        self.open_streams += 1
        finished = False
        try:
            while not finished:
                part = await _as_future(sink.get())
                await stream.send_message(encode_part(part))
                finished = part.last
        finally:
            if not finished:
                self.admission.send(WithdrawAttempt(attempt.request.id, attempt.number))
            self._stream_ended()

    def drain(self) -> Deferred:
        """Drain admission; the Deferred fires when the last part of every attempt was sent."""
        drained = self.admission.query(Drain())
        return drained.addCallback(lambda _: self._wait_until_idle())

    def _wait_until_idle(self) -> Deferred:
        idle: Deferred = Deferred()
        if self.open_streams:
            self.idle_waiters.append(idle)
        else:
            idle.callback(None)
        return idle

    def _stream_ended(self) -> None:
        self.open_streams -= 1
        if self.open_streams:
            return
        for waiter in self.idle_waiters:
            waiter.callback(None)
        self.idle_waiters = []

    async def Probe(self, stream: Stream) -> None:  # noqa: N802 - generated name
        """Respond with a load report."""
        self._authenticate(stream)
        await stream.recv_message()
        report = await _as_future(self.admission.query(ReportLoad()))
        await stream.send_message(encode_report(report))

    async def ExchangeConfiguration(self, stream: Stream) -> None:  # noqa: N802 - generated name
        """Accept the entry's configuration if it is newer; respond with our own if that is."""
        self._authenticate(stream)
        message = await stream.recv_message()
        offered_version = 0
        if message.document:
            try:
                configuration = decode_configuration(message.document)
            except ConfigurationError as exc:
                raise GRPCError(Status.INVALID_ARGUMENT, str(exc)) from exc
            offered_version = configuration.version
            self.keeper.send(ConfigurationReceived(configuration, origin="entry"))
        current = await _as_future(self.keeper.query(CurrentConfiguration()))
        newer = current is not None and current.version > offered_version
        document = encode_configuration(current) if newer else b""
        await stream.send_message(pb.ConfigurationDocument(document=document))

    def _authenticate(self, stream: Stream) -> None:
        token = stream.metadata.get(TOKEN_METADATA)
        if not self.credentials.peer_allowed(token):
            raise GRPCError(Status.UNAUTHENTICATED, "the peer token is missing or wrong")


class AgentServerPlugin(Plugin):
    """Runs the gRPC server that entries connect to."""

    name = "gate"
    settings_type = AgentServerSettings

    async def start(self) -> None:
        """Bind the port; fails if another process already serves it."""
        self.socket = listen(self.cfg.host, self.cfg.port)
        self.handler = AgentServer(self.env)
        self.server = Server([self.handler])
        await Deferred.fromFuture(asyncio.ensure_future(self.server.start(sock=self.socket)))

    async def drain(self) -> None:
        """Refuse new attempts and wait until the parts of all others were sent."""
        await self.handler.drain()
        await deferLater(self.env.clock, LINGER_SECONDS, lambda: None)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self.server.close()
        await Deferred.fromFuture(asyncio.ensure_future(self.server.wait_closed()))

    @property
    def port(self) -> int:
        """TCP port that the server listens on."""
        return self.socket.getsockname()[1]


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(AgentServerPlugin)


def listen(host: str, port: int) -> socket.socket:
    """Return a listening socket for the connections of entries."""
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
    # An entry detects a dead connection by its probes, but the agent only waits for RPCs:
    # without keepalive, a dead connection would hold its memory and attempts for hours.
    # Accepted connections inherit the options of their listener.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    if hasattr(socket, "TCP_KEEPIDLE") and hasattr(socket, "TCP_USER_TIMEOUT"):  # Linux
        for option, value in (
            (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
            (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
            (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
            (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
        ):
            listener.setsockopt(socket.IPPROTO_TCP, option, value)


def _as_future(waiting: Deferred) -> asyncio.Future:
    return waiting.asFuture(asyncio.get_running_loop())
