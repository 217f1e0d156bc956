"""One outgoing HTTP/1.1 connection; h11 does the framing.

treq can't be used here: the gateway must know whether any byte was sent, tell a
reset from an orderly close, skip a response that belongs to another request, and
see bytes that follow a complete response.
"""

from collections import deque
from collections.abc import Callable

import h11
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from zope.interface import implementer

from chivewall.gateway.exchange_messages import (
    ExchangeFailed,
    OutgoingRequest,
    RequestWritten,
    ResponseData,
    ResponseEnded,
    ResponseStarted,
)
from chivewall.gateway.http_dialect import Headers, ResponseFields, ResponseHead
from chivewall.gateway.routing_configuration import EndpointInfo
from chivewall.gateway.sockets import is_delivered, set_tcp_options
from chivewall.integers import parse_digits

MAX_HEAD_BYTES = 65_536
# Bytes that are no part of the response to the request: interim responses and responses to other
# requests. An endpoint in trouble may send them without an end.
MAX_FOREIGN_BYTES = 1_048_576
BODILESS_STATUSES = (204, 304)  # HTTP statuses of responses that have no body
# A body is handed to the transport in pieces of this size, as the endpoint reads it, so that the
# transport does not hold a copy of the whole.
PIECE_BYTES = 65_536
# The parser accepts statuses of three digits; HTTP has none beyond this one.
MAX_STATUS = 599
MAX_REQUEST_IDS = 256  # latest requests of a connection whose ids are kept
# Keep-alive time, in seconds, if the endpoint names none; such endpoints close later than this.
DEFAULT_IDLE_SECONDS = 4.0
IDLE_MARGIN_SECONDS = 0.5  # an idle connection is closed this long before the endpoint would
DecodeFields = Callable[[int, Headers], ResponseFields]
ConnectionCallback = Callable[["OutgoingConnection"], None]
# Called with the endpoint that the request was for, status, fields, and when it was sent.
ResponseCallback = Callable[[EndpointInfo, int, ResponseFields, float], None]


@implementer(IHalfCloseableProtocol)
class OutgoingConnection(Protocol):
    """An outgoing connection that carries one request at a time."""

    def __init__(self, address: tuple[str, int], decode_fields: DecodeFields) -> None:
        self.address = address
        self.decode_fields = decode_fields
        self.on_idle: ConnectionCallback = lambda _: None
        self.on_closed: ConnectionCallback = lambda _: None
        self.on_data: ConnectionCallback = lambda _: None
        self.on_head: ResponseCallback = lambda *_: None
        self.request: OutgoingRequest | None = None
        self.endpoint: EndpointInfo | None = None  # endpoint that requests were meant for
        self.exchange = 0  # number of the latest exchange
        self.sent_at = 0.0  # time at which its request was sent
        self.idle_until = 0.0  # time after which the endpoint may close the connection
        self.idle_since = 0.0
        self.completed_exchanges = 0  # exchanges completed on this connection
        self.is_open = False
        self._request_ids: deque[str | None] = deque(maxlen=MAX_REQUEST_IDS)
        self._keep_alive_seconds = DEFAULT_IDLE_SECONDS
        self._http = self._new_http()
        self._skipping_response = False  # the response being read belongs to another request
        self._foreign_bytes = 0  # of the current exchange
        self._response_started = False  # the head of the response was received
        self._until_closed = False  # the response has neither a length nor chunks
        self._unwritten = memoryview(b"")  # rest of the body, which the transport has not got yet
        self._paused = False  # the transport has bytes that the endpoint has not read yet

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Set the socket options and register for backpressure."""
        self.is_open = True
        set_tcp_options(self.transport)
        self.transport.registerProducer(self, streaming=True)

    def send(self, request: OutgoingRequest) -> None:
        """Write a request; the connection must be idle."""
        self.request = request
        self.exchange = request.exchange
        self.endpoint = request.endpoint or self.endpoint
        self._request_ids.append(request.request_id)
        self._foreign_bytes = 0
        self._response_started = self._until_closed = False
        try:
            head = self._serialize(request)
        except h11.LocalProtocolError as exc:
            self._fail(f"request can't be written: {exc}", sent=False)
            return
        request.reply_to.put(RequestWritten(request.exchange, reused=self.completed_exchanges > 0))
        self._unwritten = memoryview(request.body)
        self.transport.write(head)
        self._write_body()

    @property
    def _is_written(self) -> bool:
        """Return whether the transport has written all bytes of the request."""
        return not (self._unwritten or self._paused)

    def _write_body(self) -> None:
        while self._unwritten and not self._paused and self.is_open:
            piece, self._unwritten = self._unwritten[:PIECE_BYTES], self._unwritten[PIECE_BYTES:]
            self.transport.write(bytes(piece))

    def has_carried(self, request_id: str | None) -> bool:
        """Return whether it carried an attempt of this request.

        A response to that attempt that comes again would be taken for one to the next attempt.
        """
        return request_id is not None and request_id in self._request_ids

    def cancel(self) -> None:
        """Abort the exchange by closing the connection."""
        self.request = None
        self._close()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Parse bytes received from the endpoint."""
        self.on_data(self)
        if self.request is None:
            self._close()  # bytes that no request waits for
            return
        if not self._response_started:
            self._foreign_bytes += len(data)
        try:
            self._http.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as exc:
            self._fail(f"malformed HTTP response: {exc}")
        if self._foreign_bytes > MAX_FOREIGN_BYTES and not self._response_started:
            self._fail(f"{self._foreign_bytes} bytes without a response to the request")

    def readConnectionLost(self) -> None:  # noqa: N802 - Twisted's name
        """End the exchange, as the endpoint has closed its side orderly, and close the connection.

        That completes a body without a length only if the endpoint has received the whole request:
        one that has not is about to reset the connection, or was ended inside its response.
        """
        self.is_open = False
        unanswered = self.request is not None
        if self._until_closed and not (self._is_written and is_delivered(self.transport)):
            self._fail("connection closed before the request was received")
        elif unanswered:
            completed = self.completed_exchanges
            self._read_end()
            unanswered = self.completed_exchanges == completed
        if unanswered:
            self.transport.abortConnection()  # nothing of the request is sent any more
        else:
            self.transport.loseConnection()
        self.on_closed(self)  # before anyone takes it for an idle one

    def writeConnectionLost(self) -> None:  # noqa: N802 - Twisted's name
        """Do nothing; the gateway never closes its side alone."""

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802 - Twisted's name
        """End an exchange whose connection was reset or aborted, which completes no body."""
        self.is_open = False
        self._unwritten = memoryview(b"")
        if self.request is not None:
            self._fail(f"connection lost: {reason.getErrorMessage()}")
        self.on_closed(self)

    def pauseProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Wait with the rest of the request until the endpoint has read more of it."""
        self._paused = True

    def resumeProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Write more of the request."""
        self._paused = False
        self._write_body()

    def stopProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Do nothing; ``connectionLost`` handles the end of the connection."""

    def _serialize(self, request: OutgoingRequest) -> bytes:
        """Return the head of a request, and let the parser expect its response.

        A body has a length, so it goes over the connection as it is.
        """
        headers = list(request.headers)
        if request.has_body:
            headers.append((b"Content-Length", str(len(request.body)).encode()))
        head = self._http.send(
            h11.Request(method=request.method, target=request.target, headers=headers)
        )
        if request.body:
            self._http.send_with_data_passthrough(h11.Data(data=request.body))
        self._http.send(h11.EndOfMessage())
        return head

    def _read_events(self) -> None:
        while self.request is not None:
            event = self._http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Response):
                self._handle_head(event)
            elif isinstance(event, h11.Data) and not self._skipping_response:
                self.request.reply_to.put(ResponseData(self.request.exchange, bytes(event.data)))
            elif isinstance(event, h11.EndOfMessage):
                self._handle_end()
            elif isinstance(event, h11.ConnectionClosed):
                self._fail("connection closed before a response")

    def _read_end(self) -> None:
        try:
            self._http.receive_data(b"")
            self._read_events()
        except h11.RemoteProtocolError as exc:
            self._fail(f"connection closed before the response was complete: {exc}")
        if self.request is not None:
            self._fail("connection closed before the response was complete")

    def _handle_head(self, event: h11.Response) -> None:
        if event.status_code > MAX_STATUS:
            self._fail(f"malformed HTTP response: status {event.status_code}")
            return
        headers = tuple(event.headers.raw_items())
        fields = self.decode_fields(event.status_code, headers)
        expected = self.request.request_id
        # Endpoints name the request in each response; one without an id may belong to any.
        self._skipping_response = expected is not None and fields.request_id != expected
        if self.request.endpoint is not None:
            sent_at = 0.0 if self._skipping_response else self.sent_at  # of an earlier request
            self.on_head(self.request.endpoint, event.status_code, fields, sent_at)
        if self._skipping_response:
            return
        self._response_started = True
        names = {name.lower() for name, _ in headers}
        self._until_closed = (
            names.isdisjoint((b"content-length", b"transfer-encoding"))
            and event.status_code not in BODILESS_STATUSES
            and self.request.method != b"HEAD"
        )
        self._keep_alive_seconds = _keep_alive_timeout(headers)
        head = ResponseHead(
            status=event.status_code, reason=bytes(event.reason), headers=headers, fields=fields
        )
        self.request.reply_to.put(ResponseStarted(self.request.exchange, head))

    def _handle_end(self) -> None:
        if self._skipping_response:
            self._expect_next_response()
            return
        request, self.request = self.request, None
        self.completed_exchanges += 1
        rest, _ = self._http.trailing_data
        reusable = self._is_written and not rest and self.is_open and self._start_next_cycle()
        if reusable:
            self.on_idle(self)
        else:
            self._close()
        request.reply_to.put(ResponseEnded(request.exchange, until_closed=self._until_closed))

    def _expect_next_response(self) -> None:
        """Reset the parser for the next response after a response to another request."""
        self._skipping_response = False
        rest, closed = self._http.trailing_data
        self._http = self._new_http()
        self._serialize(self.request)  # puts the new parser into the state that expects a response
        if rest:
            self._http.receive_data(rest)
        if closed:
            self._http.receive_data(b"")

    def _start_next_cycle(self) -> bool:
        try:
            self._http.start_next_cycle()
        except h11.LocalProtocolError:
            return False  # one side asked to close the connection
        return True

    def _fail(self, reason: str, *, sent: bool = True) -> None:
        request, self.request = self.request, None
        self._close()
        if request is not None:
            request.reply_to.put(ExchangeFailed(request.exchange, sent=sent, reason=reason))

    def _close(self) -> None:
        self._unwritten = memoryview(b"")
        if self.is_open:
            self.is_open = False
            self.transport.abortConnection()

    def max_idle_seconds(self) -> float:
        """Return the seconds for which the connection may stay idle."""
        return self._keep_alive_seconds

    @staticmethod
    def _new_http() -> h11.Connection:
        return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)


def _keep_alive_timeout(headers: Headers) -> float:
    for name, value in headers:
        if name.lower() != b"keep-alive":
            continue
        for one in value.split(b","):
            key, _, number = one.strip().partition(b"=")
            seconds = parse_digits(number.decode("latin-1"))
            if key.lower() == b"timeout" and seconds is not None:
                return max(0.0, seconds - IDLE_MARGIN_SECONDS)
    return DEFAULT_IDLE_SECONDS
