"""One caller's HTTP/1.1 connection: reads complete requests, writes responses in order.

twisted.web can't be used here: the gateway must notice at once that a caller has
disconnected, limit what is read before a request is complete, and abort a response
that can't be completed without making it look complete.
"""

from enum import Enum
from functools import singledispatchmethod
from typing import Any, Protocol

import h11
from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.python.failure import Failure

from chivewall.environment import Environment
from chivewall.errors import RequestError
from chivewall.events import Event
from chivewall.gateway.byte_budget import BodyBudget
from chivewall.gateway.caller_messages import (
    AbortResponse,
    CallerDisconnected,
    EndBy,
    FinishResponse,
    SendChunk,
    SendResponse,
    StartResponse,
)
from chivewall.gateway.caller_response import NOT_RUN_STATUSES, RETRY_AFTER_SECONDS
from chivewall.gateway.http_dialect import CallerRequest, Headers, HttpDialect
from chivewall.gateway.http_text import (
    head_bytes,
    origin_form,
    reason_phrase,
    without_quoted_bytes,
)
from chivewall.gateway.routing_configuration import IngressLimits
from chivewall.gateway.sockets import READ_TIMEOUT_MS, set_tcp_options, unsent_bytes
from chivewall.results import ResultCode
from chivewall.task import Inbox

# Seconds for which an idle connection stays open beyond the limit, so that a caller that
# reuses it just in time finds it open.
IDLE_MARGIN_SECONDS = 1.0
# Time for the caller to close its side once it has read everything; then comes a reset.
LINGER_SECONDS = 1.0
DELIVERY_SECONDS = 30.0  # time for a caller that reads to get the rest of a complete response
TRANSPORT_BUFFER_BYTES = 65_536  # the transport holds at most this without pausing its producer
# Head of a request that the parser holds. The limit in force is checked while the head arrives,
# since it may change during the life of the connection.
MAX_HEAD_BYTES = 1_048_576
HEAD_MARGIN_BYTES = 1024  # of separators and white space, which the limit doesn't count
MAX_PIPELINED_BYTES = 65_536  # received at most while a request is in progress
BODY_METHODS = frozenset({b"POST", b"PUT", b"PATCH"})
MS_PER_SECOND = 1000.0


class Phase(Enum):
    """What the connection waits for."""

    IDLE = "idle"  # the first byte of a request
    HEAD = "head"  # the rest of the request's headers
    BODY = "body"  # the rest of the request's body
    RESPONSE = "response"  # the response of the request's task
    CLOSING = "closing"  # the caller to close its side


class RequestHandler(Protocol):
    """Accepts the requests of callers' connections; implemented by ``Gateway``."""

    limits: IngressLimits
    closing: bool  # responses ask the caller to close the connection

    def accept(self, request: CallerRequest, connection: "IngressConnection") -> Inbox:
        """Start the task of a request and return its inbox."""

    bodies: BodyBudget  # of all requests that are arriving or in progress

    def add_unread_bytes(self, size: int) -> None:
        """Count bytes that callers have not read yet; a negative size releases bytes."""

    def add_connection(self, connection: "IngressConnection") -> bool:
        """Add a connection; return ``False`` if there are too many."""

    def remove_connection(self, connection: "IngressConnection") -> None:
        """Remove a connection."""


class IngressConnection(TwistedProtocol):
    """A caller's connection; the task of the request in progress responds through ``put``."""

    def __init__(self, env: Environment, handler: RequestHandler, dialect: HttpDialect) -> None:
        self.env = env
        self.handler = handler
        self.dialect = dialect
        self.phase = Phase.IDLE
        self.request_number = 0  # number of the latest request on this connection
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._arrived_head_bytes = 0  # of a head that isn't complete yet
        self._head: h11.Request | None = None
        self._body = bytearray()
        self._reserved_bytes = 0  # counted for the body until the end of its request
        self._task: Inbox | None = None
        self._timer: Any = None
        self._phase_began = 0.0
        self._pipelined_bytes = 0  # bytes received while a request is in progress
        self._writing_bytes = 0  # of the write in progress
        self._unread_bytes = 0  # that were reported to the handler
        self.blocked_since: float | None = None  # when the caller stopped reading
        self._aborted = False  # by the gateway

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Set up the connection, or abort it if there are too many."""
        if not self.handler.add_connection(self):
            self.transport.abortConnection()
            return
        set_tcp_options(self.transport, READ_TIMEOUT_MS)
        self.transport.registerProducer(self, streaming=True)
        self._enter_phase(Phase.IDLE)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Parse bytes received from the caller."""
        if self.phase is Phase.CLOSING or self._got_last_request:
            return
        if self.phase is Phase.IDLE:
            self._enter_phase(Phase.HEAD)
        elif self.phase is Phase.BODY:
            self._enter_phase(Phase.BODY)
        elif self.phase is Phase.RESPONSE:
            self._pipelined_bytes += len(data)
            if self._pipelined_bytes > MAX_PIPELINED_BYTES:
                self.transport.pauseProducing()
        try:
            self._http.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as exc:
            self._reject_malformed(exc)
        if self.phase is Phase.HEAD:
            self._check_arrived_head(len(data))

    @property
    def _got_last_request(self) -> bool:
        """Return whether the caller has sent a request after which it sends no other one.

        The parser rejects what still comes, such as an empty line, and the answer would be lost.
        """
        return self.phase is Phase.RESPONSE and self._http.their_state is h11.MUST_CLOSE

    def _check_arrived_head(self, size: int) -> None:
        """Reject a head that exceeds the limit before it is complete."""
        self._arrived_head_bytes += size
        if self._arrived_head_bytes > self.handler.limits.header_bytes + HEAD_MARGIN_BYTES:
            self._reject(ResultCode.HEAD_TOO_LARGE, "the request headers exceed the limit")

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802 - Twisted's name
        """Tell the task of the request in progress that the caller has disconnected."""
        self._stop_timer()
        self._release_body()
        self.resumeProducing()
        task, self._task = self._task, None
        if task is not None:
            task.put(CallerDisconnected(by_gateway=self._aborted))
        self.handler.remove_connection(self)

    def pauseProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Count what the transport holds, and all that is written until it has sent everything."""
        if self.blocked_since is None:
            self.blocked_since = self.env.now
            self._add_unread_bytes(TRANSPORT_BUFFER_BYTES + self._writing_bytes)

    def resumeProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Release what the caller has read."""
        self.blocked_since = None
        self._add_unread_bytes(-self._unread_bytes)

    def stopProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Do nothing; ``connectionLost`` handles the end of the connection."""

    def _write(self, data: bytes) -> None:
        if self.blocked_since is not None:
            self._add_unread_bytes(len(data))
        self._writing_bytes = len(data)
        self.transport.write(data)
        self._writing_bytes = 0

    def _add_unread_bytes(self, size: int) -> None:
        if size:
            self._unread_bytes += size
            self.handler.add_unread_bytes(size)

    def put(self, message: object) -> None:
        """Handle a message of the request's task; drop those of earlier requests."""
        if self._task is not None and message.request_number == self.request_number:
            self._respond(message)

    def cut(self) -> None:
        """Abort the connection and release the bytes that its caller has not read."""
        self.resumeProducing()
        self.abort()

    def abort(self) -> None:
        """Reset the connection, with whatever is in progress on it."""
        self._aborted = True
        self.transport.abortConnection()

    def extend_idle_time(self) -> None:
        """Keep an idle connection for as long as the limits now in force promise its caller."""
        if self.phase is Phase.IDLE and self._timer.active():
            left = self._phase_began + self._phase_seconds() - self.env.now
            if left > self._timer.getTime() - self.env.clock.seconds():
                self._timer.reset(left)

    @property
    def in_progress(self) -> bool:
        """Return whether a request is arriving or waits for the end of its response."""
        return self.phase in (Phase.HEAD, Phase.BODY, Phase.RESPONSE)

    def close_if_idle(self) -> None:
        """Close the connection if it waits for a request."""
        if self.phase is Phase.IDLE:
            self._close()

    def end_by(self, deadline: float) -> None:
        """Tell the task of the request in progress when it must have ended."""
        self.tell_request(EndBy(deadline))

    def tell_request(self, message: object) -> None:
        """Send a message to the task of the request in progress, if there is one."""
        if self._task is not None:
            self._task.put(message)

    def end(self) -> None:
        """Give a final response to a request that has not arrived completely, and close."""
        self.close_if_idle()
        if self.phase in (Phase.HEAD, Phase.BODY):
            self._reject(ResultCode.DRAINING, "the gateway stops before the request has arrived")

    @singledispatchmethod
    def _respond(self, message: object) -> None:
        raise TypeError(f"unexpected message {message!r}")

    @_respond.register
    def _(self, message: SendResponse) -> None:
        self._write_response(message.status, message.headers, message.body)
        self._finish_response()

    @_respond.register
    def _(self, message: StartResponse) -> None:
        self._write_head(message.status, message.headers, length=None)

    @_respond.register
    def _(self, message: SendChunk) -> None:
        self._write(self._http.send(h11.Data(data=message.data)))

    @_respond.register
    def _(self, message: FinishResponse) -> None:
        self._write(self._http.send(h11.EndOfMessage()))
        self._finish_response()

    @_respond.register
    def _(self, message: AbortResponse) -> None:
        # Bytes already written still reach a caller who reads them at once; the missing last chunk
        # shows that the response is incomplete.
        self._task = None
        self._release_body()
        self._close(delivery_seconds=0.0)

    def _read_events(self) -> None:
        more = True
        while more:
            event = self._http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                self._send_continue()
                return
            more = self._handle_event(event)

    def _handle_event(self, event: h11.Event) -> bool:
        """Handle one h11 event; return whether to continue with the next one."""
        if isinstance(event, h11.Request):
            return self._handle_head(event)
        if isinstance(event, h11.Data):
            return self._handle_data(event.data)
        if isinstance(event, h11.EndOfMessage):
            self._start_request()
        else:
            self._close()
        return False

    def _handle_data(self, data: bytes) -> bool:
        self._body += data
        if len(self._body) > self.handler.limits.body_bytes:
            self._reject(ResultCode.BODY_TOO_LARGE, "the request body exceeds the limit")
            return False
        return self._reserve_body(len(self._body))

    def _reserve_body(self, size: int) -> bool:
        """Count a body of this size, or refuse the request if the bodies of all are too many."""
        more = size - self._reserved_bytes
        if more <= 0:
            return True
        if not self.handler.bodies.reserve_body(more, size):
            self._reject(
                ResultCode.QUEUE_FULL, "the bodies of the requests in progress are too large"
            )
            return False
        self._reserved_bytes = size
        return True

    def _release_body(self) -> None:
        self.handler.bodies.release(self._reserved_bytes)
        self._reserved_bytes = 0
        self._body = bytearray()

    def _send_continue(self) -> None:
        if self._http.they_are_waiting_for_100_continue:
            informational = h11.InformationalResponse(status_code=100, headers=[])
            self._write(self._http.send(informational))

    def _handle_head(self, event: h11.Request) -> bool:
        self._head = event
        self._release_body()
        self._enter_phase(Phase.BODY)
        if head_bytes(event) > self.handler.limits.header_bytes:
            self._reject(ResultCode.HEAD_TOO_LARGE, "the request headers exceed the limit")
            return False
        names = [name for name, _ in event.headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            # With two framings, a request could be smuggled in the body of another one.
            self._reject(ResultCode.BAD_HEADER, "both Transfer-Encoding and Content-Length")
            return False
        length = dict(event.headers).get(b"content-length")
        if length is not None and int(length) > self.handler.limits.body_bytes:
            self._reject(ResultCode.BODY_TOO_LARGE, "the request body exceeds the limit")
            return False
        return length is None or self._reserve_body(int(length))

    def _start_request(self) -> None:
        head = self._head
        headers = tuple((bytes(k), bytes(v)) for k, v in head.headers.raw_items())
        try:
            fields = self.dialect.decode_request(headers)
        except RequestError as exc:
            self._reject(exc.code, str(exc))
            return
        names = {name for name, _ in head.headers}
        method = bytes(head.method)
        request = CallerRequest(
            method=method,
            target=origin_form(bytes(head.target)),
            headers=headers,
            body=bytes(self._body),
            has_body=bool(self._body)
            or method in BODY_METHODS
            or bool(names & {b"content-length", b"transfer-encoding"}),
            received_at=self.env.now,
            fields=fields,
        )
        self._body = bytearray()  # the request has it now
        self._stop_timer()
        self.phase = Phase.RESPONSE
        self._pipelined_bytes = 0
        self.request_number += 1
        self._task = _PENDING
        task = self.handler.accept(request, self)
        if self._task is _PENDING:  # otherwise the response was sent at once
            self._task = task

    def _finish_response(self) -> None:
        self._task = None
        self._release_body()
        self.transport.resumeProducing()
        if self._http.our_state is h11.MUST_CLOSE or self._http.their_state is not h11.DONE:
            self._linger()
            return
        try:
            self._http.start_next_cycle()
        except h11.LocalProtocolError:
            self._linger()
            return
        self._enter_phase(Phase.IDLE)
        if self._http.trailing_data[0]:
            self._enter_phase(Phase.HEAD)
            try:
                self._read_events()
            except h11.RemoteProtocolError as exc:
                self._reject_malformed(exc)

    def _write_head(self, status: int, headers: Headers, length: int | None) -> None:
        fields = list(headers)
        if length is not None:
            fields.append((b"Content-Length", str(length).encode()))
        if self.handler.closing:
            fields.append((b"Connection", b"close"))
        response = h11.Response(status_code=status, headers=fields, reason=reason_phrase(status))
        self._write(self._http.send(response))

    def _write_response(self, status: int, headers: Headers, body: bytes) -> None:
        head_only = self._head is not None and self._head.method == b"HEAD"
        bodiless = head_only or status in (204, 304)
        self._write_head(status, headers, length=None if bodiless else len(body))
        if body and not bodiless:
            self._write(self._http.send(h11.Data(data=body)))
        self._write(self._http.send(h11.EndOfMessage()))

    def _reject_malformed(self, exc: h11.RemoteProtocolError) -> None:
        code = ResultCode.BAD_HEADER
        if exc.error_status_hint == ResultCode.HEAD_TOO_LARGE.http_status:
            code = ResultCode.HEAD_TOO_LARGE
        self._reject(code, without_quoted_bytes(str(exc)))

    def _reject(self, code: ResultCode, reason: str) -> None:
        self.env.log.emit(Event.INGRESS_REJECTED, code=code.number, reason=reason)
        self._release_body()
        if self._task is None and self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            body = reason.encode("utf-8", "replace")
            headers = ((b"Content-Type", b"text/plain"), (b"Connection", b"close"))
            if code.http_status in NOT_RUN_STATUSES:
                headers += ((b"Retry-After", str(RETRY_AFTER_SECONDS).encode()),)
            self._write_response(code.http_status, headers, body)
        self._linger()

    def _close(self, delivery_seconds: float = DELIVERY_SECONDS) -> None:
        """Close the connection once what was written is sent."""
        self._begin_closing(delivery_seconds)
        self.transport.loseConnection()

    def _linger(self) -> None:
        """Close the writing side first, because a reset could destroy the response."""
        self._begin_closing(DELIVERY_SECONDS)
        self.transport.loseWriteConnection()

    def _begin_closing(self, delivery_seconds: float) -> None:
        """Let the transport close without asking for more, and not wait for ever for its peer."""
        self._stop_timer()
        self.phase = Phase.CLOSING
        self.transport.unregisterProducer()
        self._abort_later(self.env.now + delivery_seconds)

    def _abort_later(self, deliver_by: float) -> None:
        self._timer = self.env.clock.callLater(LINGER_SECONDS, self._abort_if_sent, deliver_by)

    def _abort_if_sent(self, deliver_by: float) -> None:
        """Abort the connection unless its caller is still reading the response."""
        if self.env.now < deliver_by and unsent_bytes(self.transport):
            self._abort_later(deliver_by)
        else:
            self.transport.abortConnection()

    def _enter_phase(self, phase: Phase) -> None:
        """Enter a phase and start its timeout."""
        self._stop_timer()
        self.phase = phase
        self._phase_began = self.env.now
        self._arrived_head_bytes = 0
        self._timer = self.env.clock.callLater(self._phase_seconds(), self._timed_out)

    def _phase_seconds(self) -> float:
        limits = self.handler.limits
        if self.phase is Phase.HEAD:
            return limits.header_timeout_ms / MS_PER_SECOND
        return limits.idle_timeout_ms / MS_PER_SECOND + IDLE_MARGIN_SECONDS

    def _timed_out(self) -> None:
        if self.phase is Phase.IDLE:
            self._close()
        else:
            self._reject(ResultCode.DEADLINE_PASSED, "the request took too long to arrive")

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()


class _Pending:
    """Placeholder for the inbox of a task that is being created."""

    def put(self, message: object) -> None:
        """Drop the message: the caller disconnected while its request was being accepted."""


_PENDING: Any = _Pending()
