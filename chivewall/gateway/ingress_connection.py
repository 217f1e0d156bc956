"""One caller's HTTP/1.1 connection: reads complete requests, writes responses in order.

twisted.web can't be used here: the gateway must notice at once that a caller has
disconnected, limit what is read before a request is complete, and abort a response
that can't be completed without making it look complete.
"""

from enum import Enum
from functools import singledispatchmethod
from http import HTTPStatus
from typing import Any, Protocol

import h11
from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.python.failure import Failure

from chivewall.environment import Environment
from chivewall.errors import RequestError
from chivewall.events import Event
from chivewall.gateway.call_messages import (
    AnswerBegun,
    AnswerCut,
    AnswerDone,
    AnswerPiece,
    CallerGone,
    WholeAnswer,
)
from chivewall.gateway.calls import Call, CallDialect, Headers
from chivewall.gateway.catalogue import IngressLimits
from chivewall.gateway.sockets import configure
from chivewall.results import ResultCode
from chivewall.task import Inbox

# Seconds for which an idle connection stays open beyond the limit, so that a caller that
# reuses it just in time finds it open.
IDLE_MARGIN = 1.0
LINGER_SECONDS = 1.0  # time for the caller to read the response before the connection is reset
MAX_PIPELINED_BYTES = 65_536  # received at most while a request is in progress
BODY_METHODS = frozenset({b"POST", b"PUT", b"PATCH"})
MS_PER_SECOND = 1000.0


class Phase(Enum):
    """What the connection waits for."""

    IDLE = "idle"  # the first byte of a request
    HEAD = "head"  # the rest of the request's headers
    BODY = "body"  # the rest of the request's body
    ANSWER = "answer"  # the response of the request's task
    CLOSING = "closing"  # the caller to close its side


class CallOwner(Protocol):
    """Accepts the requests of callers' connections; implemented by ``Gateway``."""

    limits: IngressLimits
    closing: bool  # responses ask the caller to close the connection

    def accept(self, call: Call, sink: "IngressConnection") -> Inbox:
        """Start the task of a request and return its inbox."""

    def reserve(self, size: int) -> bool:
        """Count bytes of request bodies being received; return ``False`` if over the limit.

        A negative size releases bytes.
        """

    def opened(self, connection: "IngressConnection") -> bool:
        """Add a connection; return ``False`` if there are too many."""

    def closed(self, connection: "IngressConnection") -> None:
        """Remove a connection."""


class IngressConnection(TwistedProtocol):
    """A caller's connection; the task of the request in progress responds through ``put``."""

    def __init__(self, env: Environment, owner: CallOwner, dialect: CallDialect) -> None:
        self.env = env
        self.owner = owner
        self.dialect = dialect
        self.phase = Phase.IDLE
        self.number = 0  # number of the latest request on this connection
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=owner.limits.header_bytes + 1024
        )
        self._request: h11.Request | None = None
        self._body = bytearray()
        self._task: Inbox | None = None
        self._timer: Any = None
        self._ahead = 0  # bytes received while a request is in progress

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Set up the connection, or abort it if there are too many."""
        if not self.owner.opened(self):
            self.transport.abortConnection()
            return
        configure(self.transport)
        self._wait(Phase.IDLE)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Parse bytes received from the caller."""
        if self.phase is Phase.CLOSING:
            return
        if self.phase is Phase.IDLE:
            self._wait(Phase.HEAD)
        elif self.phase is Phase.BODY:
            self._wait(Phase.BODY)
        elif self.phase is Phase.ANSWER:
            self._ahead += len(data)
            if self._ahead > MAX_PIPELINED_BYTES:
                self.transport.pauseProducing()
        try:
            self._http.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as exc:
            self._reject_malformed(exc)

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802 - Twisted's name
        """Tell the task of the request in progress that the caller has disconnected."""
        self._stop_timer()
        self._drop_body()
        task, self._task = self._task, None
        if task is not None:
            task.put(CallerGone())
        self.owner.closed(self)

    def put(self, message: object) -> None:
        """Handle a message of the request's task; drop those of earlier requests."""
        if self._task is not None and message.call == self.number:
            self._answer(message)

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in progress."""
        if self.phase in (Phase.IDLE, Phase.CLOSING):
            self.transport.loseConnection()

    @singledispatchmethod
    def _answer(self, message: object) -> None:
        raise TypeError(f"unexpected message {message!r}")

    @_answer.register
    def _(self, message: WholeAnswer) -> None:
        self._write_whole(message.status, message.headers, message.body)
        self._end_answer()

    @_answer.register
    def _(self, message: AnswerBegun) -> None:
        self._write_head(message.status, message.headers, length=None)

    @_answer.register
    def _(self, message: AnswerPiece) -> None:
        self.transport.write(self._http.send(h11.Data(data=message.data)))

    @_answer.register
    def _(self, message: AnswerDone) -> None:
        self.transport.write(self._http.send(h11.EndOfMessage()))
        self._end_answer()

    @_answer.register
    def _(self, message: AnswerCut) -> None:
        # Bytes already written still reach the caller; the missing last chunk shows that the
        # response is incomplete.
        self._task = None
        self.phase = Phase.CLOSING
        self.transport.loseConnection()

    def _read_events(self) -> None:
        going_on = True
        while going_on:
            event = self._http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                self._ask_for_body()
                return
            going_on = self._take_event(event)

    def _take_event(self, event: h11.Event) -> bool:
        """Handle one h11 event; return whether to continue with the next one."""
        if isinstance(event, h11.Request):
            return self._take_head(event)
        if isinstance(event, h11.Data):
            return self._take_data(event.data)
        if isinstance(event, h11.EndOfMessage):
            self._take_call()
        else:
            self.transport.loseConnection()
        return False

    def _take_data(self, data: bytes) -> bool:
        if not self.owner.reserve(len(data)):
            self._reject(ResultCode.QUEUE_FULL, "too many request bodies are being received")
            return False
        self._body += data
        if len(self._body) <= self.owner.limits.body_bytes:
            return True
        self._reject(ResultCode.BODY_TOO_LARGE, "the request body exceeds the limit")
        return False

    def _drop_body(self) -> None:
        self.owner.reserve(-len(self._body))
        self._body.clear()

    def _ask_for_body(self) -> None:
        if self._http.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self.transport.write(self._http.send(go_on))

    def _take_head(self, event: h11.Request) -> bool:
        self._request = event
        self._drop_body()
        self._wait(Phase.BODY)
        if _head_bytes(event) > self.owner.limits.header_bytes:
            self._reject(ResultCode.HEAD_TOO_LARGE, "the request headers exceed the limit")
            return False
        names = [name for name, _ in event.headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            # With two framings, a request could be smuggled in the body of another one.
            self._reject(ResultCode.BAD_HEADER, "both Transfer-Encoding and Content-Length")
            return False
        length = dict(event.headers).get(b"content-length")
        if length is not None and int(length) > self.owner.limits.body_bytes:
            self._reject(ResultCode.BODY_TOO_LARGE, "the request body exceeds the limit")
            return False
        return True

    def _take_call(self) -> None:
        request = self._request
        headers = tuple((bytes(k), bytes(v)) for k, v in request.headers.raw_items())
        try:
            fields = self.dialect.read_call(headers)
        except RequestError as exc:
            self._reject(exc.code, str(exc))
            return
        names = {name for name, _ in request.headers}
        method = bytes(request.method)
        call = Call(
            method=method,
            target=_origin_form(bytes(request.target)),
            headers=headers,
            body=bytes(self._body),
            has_body=bool(self._body)
            or method in BODY_METHODS
            or bool(names & {b"content-length", b"transfer-encoding"}),
            received_at=self.env.now,
            fields=fields,
        )
        self._drop_body()
        self._stop_timer()
        self.phase = Phase.ANSWER
        self._ahead = 0
        self.number += 1
        self._task = _PENDING
        task = self.owner.accept(call, self)
        if self._task is _PENDING:  # otherwise the response was sent at once
            self._task = task

    def _end_answer(self) -> None:
        self._task = None
        self.transport.resumeProducing()
        if self._http.our_state is h11.MUST_CLOSE or self._http.their_state is not h11.DONE:
            self._linger()
            return
        try:
            self._http.start_next_cycle()
        except h11.LocalProtocolError:
            self._linger()
            return
        self._wait(Phase.IDLE)
        if self._http.trailing_data[0]:
            self._wait(Phase.HEAD)
            try:
                self._read_events()
            except h11.RemoteProtocolError as exc:
                self._reject_malformed(exc)

    def _write_head(self, status: int, headers: Headers, length: int | None) -> None:
        fields = list(headers)
        if length is not None:
            fields.append((b"Content-Length", str(length).encode()))
        if self.owner.closing:
            fields.append((b"Connection", b"close"))
        response = h11.Response(status_code=status, headers=fields, reason=_reason(status))
        self.transport.write(self._http.send(response))

    def _write_whole(self, status: int, headers: Headers, body: bytes) -> None:
        head_only = self._request is not None and self._request.method == b"HEAD"
        bodiless = head_only or status in (204, 304)
        self._write_head(status, headers, length=None if bodiless else len(body))
        if body and not bodiless:
            self.transport.write(self._http.send(h11.Data(data=body)))
        self.transport.write(self._http.send(h11.EndOfMessage()))

    def _reject_malformed(self, exc: h11.RemoteProtocolError) -> None:
        code = ResultCode.BAD_HEADER
        if exc.error_status_hint == ResultCode.HEAD_TOO_LARGE.http_status:
            code = ResultCode.HEAD_TOO_LARGE
        self._reject(code, str(exc))

    def _reject(self, code: ResultCode, reason: str) -> None:
        self.env.log.emit(Event.INGRESS_REJECTED, code=code.number, reason=reason)
        self._drop_body()
        if self._task is None and self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            body = reason.encode("utf-8", "replace")
            headers = ((b"Content-Type", b"text/plain"), (b"Connection", b"close"))
            self._write_whole(code.http_status, headers, body)
        self._linger()

    def _linger(self) -> None:
        """Close the connection after a delay, because a reset could destroy the response."""
        self._stop_timer()
        self.phase = Phase.CLOSING
        self.transport.loseWriteConnection()
        self._timer = self.env.clock.callLater(LINGER_SECONDS, self.transport.abortConnection)

    def _wait(self, phase: Phase) -> None:
        """Enter a phase and start its timeout."""
        self._stop_timer()
        self.phase = phase
        limits = self.owner.limits
        seconds = limits.header_timeout_ms / MS_PER_SECOND
        if phase is not Phase.HEAD:
            seconds = limits.idle_timeout_ms / MS_PER_SECOND + IDLE_MARGIN
        self._timer = self.env.clock.callLater(seconds, self._timed_out)

    def _timed_out(self) -> None:
        if self.phase is Phase.IDLE:
            self.transport.loseConnection()
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


def _head_bytes(event: h11.Request) -> int:
    lines = sum(len(name) + len(value) + 4 for name, value in event.headers)
    return len(event.method) + len(event.target) + lines


def _origin_form(target: bytes) -> bytes:
    """Return path and query of a request target, which may be in absolute form."""
    if not target.lower().startswith(b"http://"):
        return target
    rest = target[len(b"http://") :]
    slash = rest.find(b"/")
    return b"/" if slash < 0 else rest[slash:]


def _reason(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b""
