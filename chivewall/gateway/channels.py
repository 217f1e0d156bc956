"""The pool of outgoing HTTP connections; other tasks send it requests as messages."""

import itertools
from functools import singledispatchmethod

from attrs import field, frozen
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from chivewall.addresses import Address, describe_address
from chivewall.environment import Environment
from chivewall.errors import StoreUnavailableError
from chivewall.gateway.calls import AnswerFields, CallDialect, Headers
from chivewall.gateway.channel import Channel
from chivewall.gateway.channel_messages import (
    AnswerData,
    AnswerEnded,
    AnswerStarted,
    CancelCall,
    ExchangeFailed,
    ExchangeMessage,
    OutgoingCall,
    ProbeAddress,
    SendCall,
)
from chivewall.messages import Tick
from chivewall.plugins.base import Plugin
from chivewall.plugins.registry import Registry
from chivewall.task import Inbox, Task

# Timeout for opening a connection; a round trip takes 10 ms, and a lost packet is sent
# again much later.
CONNECT_SECONDS = 0.6
SWEEP_SECONDS = 0.5  # interval between checks for connections that were idle too long
HEARD_SECONDS = 0.3  # an address counts as reachable for this long after bytes came from it
PROBE_SECONDS = 0.4  # timeout for the connection that tests whether an address is reachable
MAX_IDLE = 32  # idle connections kept for one address


@frozen
class PlainAnswer:
    """A complete response that was not streamed."""

    status: int
    headers: Headers
    body: bytes = field(repr=False)


@frozen
class Connected:
    """A new connection is open."""

    call: OutgoingCall
    channel: Channel


@frozen
class Probed:
    """A connection that tests an address was opened, or could not be opened (``None``)."""

    address: Address
    channel: Channel | None


@frozen
class ConnectFailed:
    """No connection could be opened."""

    call: OutgoingCall
    reason: str


class Channels(Task):
    """Sends requests over kept or new connections."""

    def __init__(self, env: Environment) -> None:
        super().__init__()
        self.env = env
        self._idle: dict[Address, list[Channel]] = {}
        self._busy: dict[int, Channel] = {}
        self._connecting: dict[int, Deferred] = {}
        self._open: set[Channel] = set()
        self._heard: dict[Address, float] = {}  # time of the latest bytes from an address
        self._probes: dict[Address, list[ProbeAddress]] = {}
        self._numbers = itertools.count(1)

    def start(self) -> None:
        """Start the task and the checks for connections that were idle too long."""
        super().start()
        self.tell(Tick())

    async def on_stop(self) -> None:
        """Close all connections."""
        for channel in list(self._open):
            channel.cancel()

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
    ) -> PlainAnswer:
        """Send a request of the gateway itself and return the response.

        Raises ``StoreUnavailableError`` if no complete response comes before the deadline.
        """
        sink = Inbox()
        call = OutgoingCall(
            exchange=self.next_exchange(),
            address=address,
            method=method,
            target=target,
            headers=((b"Host", describe_address(address).encode()), *headers),
            sink=sink,
            body=body,
            has_body=bool(body),
        )
        timer = self.env.clock.callLater(
            max(0.0, deadline - self.env.now),
            sink.put,
            ExchangeFailed(call.exchange, sent=True, reason="no response before the deadline"),
        )
        self.tell(SendCall(call))
        try:
            return await self._whole_answer(sink, address)
        finally:
            if timer.active():
                timer.cancel()
            self.tell(CancelCall(call.exchange))

    async def _whole_answer(self, sink: Inbox, address: Address) -> PlainAnswer:
        head, parts = None, []
        while True:
            message: ExchangeMessage = await sink.get()
            if isinstance(message, AnswerStarted):
                head = message.head
            elif isinstance(message, AnswerData):
                parts.append(message.data)
            elif isinstance(message, ExchangeFailed):
                raise StoreUnavailableError(f"{describe_address(address)}: {message.reason}")
            elif isinstance(message, AnswerEnded):
                return PlainAnswer(head.status, head.headers, b"".join(parts))

    @singledispatchmethod
    async def receive(self, message: object) -> None:
        """Handle one message."""
        raise TypeError(f"unexpected message {message!r}")

    @receive.register
    async def _(self, message: SendCall) -> None:
        call = message.call
        channel = self._take_idle(call)
        if channel is None:
            self._connect(call)
        else:
            self._busy[call.exchange] = channel
            channel.send(call)

    @receive.register
    async def _(self, message: CancelCall) -> None:
        connecting = self._connecting.pop(message.exchange, None)
        if connecting is not None:
            connecting.cancel()
        channel = self._busy.pop(message.exchange, None)
        if channel is not None:
            channel.cancel()

    @receive.register
    async def _(self, message: Connected) -> None:
        channel = message.channel
        self._open.add(channel)
        if self._connecting.pop(message.call.exchange, None) is None:
            channel.cancel()
            return
        self._busy[message.call.exchange] = channel
        channel.send(message.call)

    @receive.register
    async def _(self, message: ConnectFailed) -> None:
        if self._connecting.pop(message.call.exchange, None) is not None:
            failed = ExchangeFailed(message.call.exchange, sent=False, reason=message.reason)
            message.call.sink.put(failed)

    @receive.register
    async def _(self, message: ProbeAddress) -> None:
        if self.env.now - self._heard.get(message.address, -HEARD_SECONDS) < HEARD_SECONDS:
            message.answer(True)
            return
        waiting = self._probes.setdefault(message.address, [])
        waiting.append(message)
        if len(waiting) == 1:
            self._probe(message.address)

    @receive.register
    async def _(self, message: Probed) -> None:
        for query in self._probes.pop(message.address, []):
            query.answer(message.channel is not None)
        if message.channel is not None:
            self._open.add(message.channel)
            self._heard[message.address] = self.env.now
            self._keep(message.channel)

    @receive.register
    async def _(self, message: Tick) -> None:
        now = self.env.now
        for channels in self._idle.values():
            for channel in [one for one in channels if one.idle_until <= now]:
                channels.remove(channel)
                channel.cancel()
        self.env.clock.callLater(SWEEP_SECONDS, self.tell, Tick())

    def _take_idle(self, call: OutgoingCall) -> Channel | None:
        channels = self._idle.get(call.address, [])
        now = self.env.now
        while channels:
            channel = channels.pop()  # the most recently used is the least likely to be closed
            if now < channel.idle_until and now - channel.idle_since <= call.longest_idle:
                return channel
            channel.cancel()
        return None

    def _connect(self, call: OutgoingCall) -> None:
        host, port = call.address
        endpoint = TCP4ClientEndpoint(self.env.reactor, host, port, timeout=CONNECT_SECONDS)
        attempt = endpoint.connect(ChannelFactory(self._new_channel(call.address)))
        self._connecting[call.exchange] = attempt
        attempt.addCallbacks(
            lambda channel: self.tell(Connected(call, channel)),
            lambda failure: self._connect_failed(call, failure),
        )

    def _probe(self, address: Address) -> None:
        host, port = address
        endpoint = TCP4ClientEndpoint(self.env.reactor, host, port, timeout=PROBE_SECONDS)
        attempt = endpoint.connect(ChannelFactory(self._new_channel(address)))
        attempt.addCallbacks(
            lambda channel: self.tell(Probed(address, channel)),
            lambda _: self.tell(Probed(address, None)),
        )

    def _connect_failed(self, call: OutgoingCall, failure: Failure) -> None:
        if not failure.check(CancelledError):
            self.tell(ConnectFailed(call, f"connection failed: {failure.getErrorMessage()}"))

    def _new_channel(self, address: Address) -> Channel:
        channel = Channel(address, self._read_fields)
        channel.on_idle = self._keep
        channel.on_lost = self._forget
        channel.on_data = self._hear
        return channel

    def _read_fields(self, status: int, headers: Headers) -> AnswerFields:
        return self.env.require(CallDialect).read_answer(status, headers)

    def _hear(self, channel: Channel) -> None:
        self._heard[channel.address] = self.env.now

    def _keep(self, channel: Channel) -> None:
        self._busy.pop(channel.exchange, None)
        channel.idle_since = self.env.now
        channel.idle_until = self.env.now + channel.idle_limit()
        kept = self._idle.setdefault(channel.address, [])
        if len(kept) >= MAX_IDLE:
            channel.cancel()
        else:
            kept.append(channel)

    def _forget(self, channel: Channel) -> None:
        self._open.discard(channel)
        self._busy.pop(channel.exchange, None)
        kept = self._idle.get(channel.address, [])
        if channel in kept:
            kept.remove(channel)


class ChannelFactory(Factory):
    """Hands a prepared channel to Twisted once its connection is open."""

    noisy = False

    def __init__(self, channel: Channel) -> None:
        self.channel = channel

    def buildProtocol(self, addr: object) -> Channel:  # noqa: N802 - Twisted's name
        """Return the channel."""
        return self.channel


class ChannelsPlugin(Plugin):
    """Provides the pool of outgoing connections."""

    name = "channels"

    async def setup(self) -> None:
        """Create the task and provide it."""
        self.channels = Channels(self.env)
        self.env.provide(Channels, self.channels)

    async def start(self) -> None:
        """Start the task."""
        self.channels.start()

    async def stop(self) -> None:
        """Close all connections."""
        await self.channels.stop()


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(ChannelsPlugin)
