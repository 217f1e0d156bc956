"""One outgoing HTTP/1.1 connection; h11 does the framing.

treq can't be used here: the gateway must know whether any byte was sent, tell a
reset from an orderly close, skip a response that belongs to another request, and
see bytes that follow a complete response.
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
# Keep-alive time, in seconds, if the endpoint names none; such endpoints close later than this.
DEFAULT_IDLE = 4.0
IDLE_MARGIN = 0.5  # seconds; an idle connection is closed this long before the endpoint would
ReadFields = Callable[[int, Headers], AnswerFields]
Released = Callable[["Channel"], None]


class Channel(Protocol):
    """An outgoing connection that carries one request at a time."""

    def __init__(self, address: tuple[str, int], read_fields: ReadFields) -> None:
        self.address = address
        self.read_fields = read_fields
        self.on_idle: Released = lambda _: None
        self.on_lost: Released = lambda _: None
        self.on_data: Released = lambda _: None
        self.call: OutgoingCall | None = None
        self.exchange = 0  # number of the latest exchange
        self.idle_until = 0.0  # time after which the endpoint may close the connection
        self.idle_since = 0.0
        self.served = 0  # exchanges completed on this connection
        self.open = False
        self._keep_seconds = DEFAULT_IDLE
        self._http = self._new_http()
        self._skipping = False  # the response being read belongs to another request
        self._flushed = True  # the transport has written all bytes of the request

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Set the socket options and register for backpressure."""
        self.open = True
        configure(self.transport)
        self.transport.registerProducer(self, streaming=True)

    def send(self, call: OutgoingCall) -> None:
        """Write a request; the connection must be idle."""
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
        """Abort the exchange by closing the connection."""
        self.call = None
        self._close()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Parse bytes received from the endpoint."""
        self.on_data(self)
        if self.call is None:
            self._close()  # bytes that no request waits for
            return
        try:
            self._http.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as exc:
            self._fail(f"malformed HTTP response: {exc}")

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802 - Twisted's name
        """End the exchange; it is complete only if an orderly close delimits the body."""
        self.open = False
        if self.call is not None and reason.check(ConnectionDone):
            try:
                self._http.receive_data(b"")
                self._read_events()
            except h11.RemoteProtocolError as exc:
                self._fail(f"connection closed before the response was complete: {exc}")
        if self.call is not None:
            self._fail(f"connection lost: {reason.getErrorMessage()}")
        self.on_lost(self)

    def pauseProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Record that the request isn't written completely yet."""
        self._flushed = False

    def resumeProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Record that the request is written completely."""
        self._flushed = True

    def stopProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Do nothing; ``connectionLost`` handles the end of the connection."""

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
                self._fail("connection closed before a response")

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
        """Reset the parser for the next response after a response to another request."""
        self._skipping = False
        rest, closed = self._http.trailing_data
        self._http = self._new_http()
        self._serialize(self.call)  # puts the new parser into the state that expects a response
        if rest:
            self._http.receive_data(rest)
        if closed:
            self._http.receive_data(b"")

    def _next_cycle(self) -> bool:
        try:
            self._http.start_next_cycle()
        except h11.LocalProtocolError:
            return False  # one side asked to close the connection
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
        """Return the seconds for which the connection may stay idle."""
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
