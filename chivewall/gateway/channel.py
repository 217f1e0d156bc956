"""One outgoing HTTP/1.1 connection; h11 does the framing.

treq can't be used here: the gateway must know whether a byte was sent, tell a
reset from an end, skip an answer that belongs to another request, and see
bytes that follow a complete answer.
"""

from collections.abc import Callable

import h11
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from chivewall.gateway.calls import AnswerFields, AnswerHead, Headers
from chivewall.gateway.channel_messages import (
    AnswerData,
    AnswerEnded,
    AnswerStarted,
    CallWritten,
    ExchangeFailed,
    OutgoingCall,
)
from chivewall.gateway.sockets import configure

MAX_HEAD_BYTES = 65_536
DEFAULT_IDLE = 4.0  # seconds; endpoints that name no time close idle connections later
IDLE_MARGIN = 0.5  # seconds before the time that the endpoint names
ReadFields = Callable[[int, Headers], AnswerFields]
Released = Callable[["Channel"], None]


class Channel(Protocol):
    """Carries one call at a time."""

    def __init__(self, address: tuple[str, int], read_fields: ReadFields) -> None:
        self.address = address
        self.read_fields = read_fields
        self.on_idle: Released = lambda _: None
        self.on_lost: Released = lambda _: None
        self.on_data: Released = lambda _: None
        self.call: OutgoingCall | None = None
        self.exchange = 0  # of the latest call
        self.idle_until = 0.0  # deadline after which the endpoint may close it
        self.idle_since = 0.0
        self.served = 0
        self.open = False
        self._keep_seconds = DEFAULT_IDLE
        self._http = self._new_http()
        self._skipping = False  # the answer in progress belongs to another request
        self._flushed = True

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Set the connection's options."""
        self.open = True
        configure(self.transport)
        self.transport.registerProducer(self, streaming=True)

    def send(self, call: OutgoingCall) -> None:
        """Write a call; the connection must be idle."""
        self.call = call
        self.exchange = call.exchange
        try:
            data = self._serialize(call)
        except h11.LocalProtocolError as exc:
            self._fail(f"request can't be written: {exc}", sent=False)
            return
        call.sink.put(CallWritten(call.exchange, reused=self.served > 0))
        self.transport.write(data)

    def cancel(self) -> None:
        """Break off the call; the endpoint sees a closed connection."""
        self.call = None
        self._close()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Take in bytes of the endpoint."""
        self.on_data(self)
        if self.call is None:
            self._close()  # bytes that no request waits for
            return
        try:
            self._http.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as exc:
            self._fail(f"no HTTP answer: {exc}")

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802 - Twisted's name
        """End the call, which is complete only if a clean end is its framing."""
        self.open = False
        if self.call is not None and reason.check(ConnectionDone):
            try:
                self._http.receive_data(b"")
                self._read_events()
            except h11.RemoteProtocolError as exc:
                self._fail(f"closed early: {exc}")
        if self.call is not None:
            self._fail(f"connection lost: {reason.getErrorMessage()}")
        self.on_lost(self)

    def pauseProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Note that the request isn't written completely yet."""
        self._flushed = False

    def resumeProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Note that the request is written."""
        self._flushed = True

    def stopProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Leave the end of the connection to ``connectionLost``."""

    def _serialize(self, call: OutgoingCall) -> bytes:
        headers = list(call.headers)
        if call.has_body:
            headers.append((b"Content-Length", str(len(call.body)).encode()))
        request = h11.Request(method=call.method, target=call.target, headers=headers)
        parts = [self._http.send(request)]
        if call.body:
            parts.append(self._http.send(h11.Data(data=call.body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        return b"".join(parts)

    def _read_events(self) -> None:
        while self.call is not None:
            event = self._http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Response):
                self._head(event)
            elif isinstance(event, h11.Data) and not self._skipping:
                self.call.sink.put(AnswerData(self.call.exchange, bytes(event.data)))
            elif isinstance(event, h11.EndOfMessage):
                self._end()
            elif isinstance(event, h11.ConnectionClosed):
                self._fail("closed before an answer")

    def _head(self, event: h11.Response) -> None:
        headers = tuple(event.headers.raw_items())
        fields = self.read_fields(event.status_code, headers)
        expected = self.call.request_id
        self._skipping = (
            expected is not None and fields.request_id is not None and fields.request_id != expected
        )
        if self._skipping:
            return
        self._keep_seconds = _keep_alive(headers)
        head = AnswerHead(
            status=event.status_code, reason=bytes(event.reason), headers=headers, fields=fields
        )
        self.call.sink.put(AnswerStarted(self.call.exchange, head))

    def _end(self) -> None:
        if self._skipping:
            self._expect_next_answer()
            return
        call, self.call = self.call, None
        self.served += 1
        rest, _ = self._http.trailing_data
        reusable = self._flushed and not rest and self.open and self._next_cycle()
        if reusable:
            self.on_idle(self)
        else:
            self._close()
        call.sink.put(AnswerEnded(call.exchange))

    def _expect_next_answer(self) -> None:
        """Read on for the answer to the call after one that belongs to another request."""
        self._skipping = False
        rest, closed = self._http.trailing_data
        self._http = self._new_http()
        self._serialize(self.call)  # brings the parser to where it expects an answer
        if rest:
            self._http.receive_data(rest)
        if closed:
            self._http.receive_data(b"")

    def _next_cycle(self) -> bool:
        try:
            self._http.start_next_cycle()
        except h11.LocalProtocolError:
            return False  # one side asked to close
        return True

    def _fail(self, reason: str, *, sent: bool = True) -> None:
        call, self.call = self.call, None
        self._close()
        if call is not None:
            call.sink.put(ExchangeFailed(call.exchange, sent=sent, reason=reason))

    def _close(self) -> None:
        if self.open:
            self.open = False
            self.transport.abortConnection()

    def idle_limit(self) -> float:
        """Seconds for which the connection may stay idle."""
        return self._keep_seconds

    @staticmethod
    def _new_http() -> h11.Connection:
        return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)


def _keep_alive(headers: Headers) -> float:
    for name, value in headers:
        if name.lower() != b"keep-alive":
            continue
        for one in value.split(b","):
            key, _, number = one.strip().partition(b"=")
            if key.lower() == b"timeout" and number.isdigit():
                return max(0.0, int(number) - IDLE_MARGIN)
    return DEFAULT_IDLE
