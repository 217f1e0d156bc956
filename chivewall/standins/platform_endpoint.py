"""Simulated endpoint of the users' platform, a plain service or an engine, run in a thread."""

import json
import threading
import time
from collections.abc import Callable
from contextlib import suppress

from attrs import define, field

from chivewall.standins.platform_store import QuietHandler, ThreadedServer

ANSWER_STAMP = "stamp-1"  # shows that the endpoint itself responded
TRICKLE_SECONDS = 0.1  # between the bytes of a stream that makes no progress
HANG_SECONDS = 6.0  # longer than the longest timeout in tests, 3 s
Behaviour = Callable[["EndpointHandler"], None]


@define(eq=False)
class PlatformEndpoint:
    """Serves an endpoint and records what it runs.

    Each request removes and applies the first of ``behaviours``; without one it is answered
    normally.

    Example: ``endpoint.behaviours.append(truncate_body)`` cuts the next response.
    """

    id: str
    service: str
    stage: str | None = None
    event_count: int = 0  # number of events in a stream; 0 for a plain body
    padding_bytes: int = 0  # appended to a plain body
    behaviours: list[Behaviour] = field(factory=list)  # applied to the next requests, in order
    run_ids: list[str] = field(factory=list)  # ids of the requests that were run
    received_headers: list[dict[str, str]] = field(factory=list)  # one for each request
    received_bodies: list[bytes] = field(factory=list)  # one for each request
    event_interval_seconds: float = 0.0  # pause after each event
    deadly_parts: frozenset[str] = frozenset()  # prompt parts whose requests crash the endpoint
    down_seconds: float = 1.5  # time from a crash to the restart
    crash_count: int = 0
    leaving: bool = False  # all responses say that it is being taken out of service
    limit: str | None = None  # named in all responses: requests a second from all gateways
    arrivals: list[float] = field(factory=list)  # times of the requests with an id
    started_ms: int = 1  # start of its process, in the store's list
    _server: ThreadedServer | None = field(default=None, init=False)
    _lock: threading.Lock = field(factory=threading.Lock, init=False)

    def store_document(self, address: tuple[str, int], state: str = "ready") -> dict:
        """Return the document that lists the endpoint in the platform store."""
        document = {
            "service": self.service,
            "addr": f"{address[0]}:{address[1]}",
            "zone": "north",
            "version": "v1",
            "slots": 4,
            "state": state,
            "coldLeftMs": 0,
            "seq": 1,
            "born": self.started_ms,
        }
        if self.stage is not None:
            document["stage"] = self.stage
        return document

    def serve(self) -> ThreadedServer:
        """Return a context manager that serves the endpoint on a free loopback port."""
        platform_endpoint = self

        class Handler(EndpointHandler):
            endpoint = platform_endpoint

        self._server = ThreadedServer(Handler)
        return self._server

    def serve_request(self, handler: "EndpointHandler") -> None:
        """Record a request and apply the next behaviour to it."""
        with self._lock:
            self.received_headers.append(
                {name.lower(): value for name, value in handler.headers.items()}
            )
            if handler.request_id:
                self.arrivals.append(time.monotonic())
            behaviour = self.behaviours.pop(0) if self.behaviours else answer
        if handler.prompt_part_ids() & self.deadly_parts and not handler.prefill_only():
            behaviour = crash
        behaviour(handler)

    def crash(self) -> None:
        """End as a crashed process does, and start again after ``down_seconds``."""
        with self._lock:
            self.crash_count += 1
        self._server.crash(self.down_seconds)


class EndpointHandler(QuietHandler):
    """Handles the requests of one connection to a simulated endpoint."""

    endpoint: PlatformEndpoint
    request_count = 0  # on this connection

    def handle_request(self) -> None:
        """Read the body and handle the request."""
        self.request_count += 1
        if self.path == "/report":
            self.send_report()
            return
        length = int(self.headers.get("Content-Length") or 0)
        self.endpoint.received_bodies.append(self.rfile.read(length))
        self.endpoint.serve_request(self)

    do_GET = do_POST = do_PUT = do_DELETE = handle_request  # noqa: N815 - inherited names

    def send_report(self) -> None:
        """Answer the question for a report; a plain service refuses a request without an id."""
        if self.expects_another_endpoint():
            self.send_plain(421, b"", ("X-Not-Run", "1"), stamped=False)
        elif self.endpoint.stage is None:
            self.send_plain(400, b"", ("X-Not-Run", "1"), stamped=False)
        else:
            report = {
                "stage": self.endpoint.stage,
                "busy": False,
                "seq": 0,
                "born": self.endpoint.started_ms,
            }
            body = json.dumps(report).encode()
            name = ("X-Runner-Id", self.endpoint.id)
            self.send_plain(200, body, name, stamped=False)

    @property
    def request_id(self) -> str:
        """Return the request's id, or an empty string."""
        return self.headers.get("X-Request-Id", "")

    def prefill_only(self) -> bool:
        """Return whether the prompt is to be prefilled only."""
        return self.headers.get("X-Stage") == "prefill"

    def prompt_part_ids(self) -> set[str]:
        """Return the ids of the prompt's parts."""
        parts = self.headers.get("X-Prompt-Prefix", "")
        return {one.partition(":")[0] for one in parts.split(",") if one}

    def record_run(self) -> None:
        """Record a run; prefill alone doesn't count as one."""
        if not self.prefill_only():
            self.endpoint.run_ids.append(self.request_id)

    def expects_another_endpoint(self) -> bool:
        """Return whether the request is addressed to another endpoint."""
        return self.headers.get("X-Expect-Instance") not in (None, self.endpoint.id)

    def send_head(self, status: int, *headers: tuple[str, str], stamped: bool = True) -> None:
        """Send the status line and headers, with the answer stamp if ``stamped`` is set."""
        self.send_response(status)
        self.send_header("X-Request-Id", self.request_id)
        if stamped:
            self.send_header("X-Answer-Stamp", ANSWER_STAMP)
        if self.endpoint.leaving:
            self.send_header("Server-Leaving", "1")
        if self.endpoint.limit is not None:
            self.send_header("Server-Limit", self.endpoint.limit)
        for name, value in headers:
            self.send_header(name, value)
        self.end_headers()

    def send_plain(
        self, status: int, body: bytes, *headers: tuple[str, str], stamped: bool = True
    ) -> None:
        """Send a complete response."""
        self.send_head(status, *headers, ("Content-Length", str(len(body))), stamped=stamped)
        self.wfile.write(body)

    def send_chunk(self, data: bytes) -> None:
        """Send one chunk of a chunked body."""
        self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
        self.wfile.flush()

    def abort(self) -> None:
        """Close the connection, even if the response is incomplete."""
        self.close_connection = True


def answer(handler: EndpointHandler) -> None:
    """Run the request and send a complete response."""
    endpoint = handler.endpoint
    if handler.expects_another_endpoint():
        refuse(handler, status=421)
    elif handler.prefill_only():
        handler.send_plain(200, b'{"handle":"h1","tokens":10,"version":1}', stamped=False)
    else:
        handler.record_run()
        if endpoint.event_count:
            send_stream(handler, until=endpoint.event_count)
        else:
            handler.send_plain(
                200, b"done by " + endpoint.id.encode() + b"." * endpoint.padding_bytes
            )


def refuse(handler: EndpointHandler, status: int = 503) -> None:
    """Refuse the request and state with ``X-Not-Run`` that it was not run."""
    handler.send_plain(
        status, b"", ("X-Not-Run", "1"), ("X-Runner-Id", handler.endpoint.id), stamped=False
    )


def refuse_for(seconds: str, status: int = 503) -> Behaviour:
    """Return a behaviour that refuses a request and asks for a pause of this many seconds."""

    def behaviour(handler: EndpointHandler) -> None:
        handler.send_plain(
            status,
            b"",
            ("X-Not-Run", "1"),
            ("X-Runner-Id", handler.endpoint.id),
            ("Retry-After", seconds),
            stamped=False,
        )

    return behaviour


def fail(handler: EndpointHandler) -> None:
    """Run the request and respond with status 500."""
    handler.record_run()
    handler.send_plain(500, b"failed")


def close_without_response(handler: EndpointHandler) -> None:
    """Run the request and close the connection without a response."""
    handler.record_run()
    handler.abort()


def crash(handler: EndpointHandler) -> None:
    """Begin the response of a stream, and crash before its first event."""
    handler.record_run()
    handler.send_head(200, ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked"))
    handler.endpoint.crash()
    handler.abort()


def hang(handler: EndpointHandler) -> None:
    """Run the request and send nothing for longer than any caller waits."""
    handler.record_run()
    time.sleep(HANG_SECONDS)
    handler.abort()


def close_without_running(handler: EndpointHandler) -> None:
    """Close the connection without running the request and without a response."""
    handler.abort()


def truncate_body(handler: EndpointHandler) -> None:
    """Run the request and close the connection in the middle of the body."""
    handler.record_run()
    handler.send_head(200, ("Content-Length", "100"))
    handler.wfile.write(b"part")
    handler.abort()


def answer_twice(handler: EndpointHandler) -> None:
    """Run the request and send a second response after the first."""
    answer(handler)
    handler.send_plain(200, b"late copy")


def answer_after_stray_refusal(request_id: str | None) -> Behaviour:
    """Return a behaviour that first writes a refusal of an earlier request again.

    It is written only where the connection had carried that request; ``request_id``: the id that
    it names, or ``None`` for no id.
    """

    def behave(handler: EndpointHandler) -> None:
        if handler.request_count > 1:
            named = b"" if request_id is None else b"X-Request-Id: %s\r\n" % request_id.encode()
            handler.wfile.write(
                b"HTTP/1.1 503 Busy\r\n%sX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n" % named
            )
            handler.wfile.flush()
        answer(handler)

    return behave


def answer_without_stamp(handler: EndpointHandler) -> None:
    """Run the request and respond without the answer stamp."""
    handler.record_run()
    handler.send_plain(200, b"forged", stamped=False)


def answer_with_text(status: int, body: bytes) -> Behaviour:
    """Return a behaviour that runs the request and sends this text in place of a stream."""

    def behave(handler: EndpointHandler) -> None:
        handler.record_run()
        handler.send_plain(status, body, ("Content-Type", "text/plain"))

    return behave


def stream_text(body: bytes) -> Behaviour:
    """Return a behaviour that runs the request and sends this text as the body of its stream."""

    def behave(handler: EndpointHandler) -> None:
        handler.record_run()
        handler.send_plain(200, body, ("Content-Type", "text/event-stream"))

    return behave


def cut_head(lines: int) -> Behaviour:
    """Return a behaviour that closes the connection after so many lines of its response's head."""

    def behave(handler: EndpointHandler) -> None:
        handler.record_run()
        head = (
            "HTTP/1.1 200 OK",
            f"X-Request-Id: {handler.request_id}",
            f"X-Answer-Stamp: {ANSWER_STAMP}",
            "Content-Length: 0",
        )
        handler.wfile.write("".join(f"{one}\r\n" for one in head[:lines]).encode())
        handler.abort()

    return behave


def stream_until_close(after: int, rest: bytes = b"", *, crash: bool = False) -> Behaviour:
    """Return a behaviour that streams without a length or chunks, up to event ``after``.

    The end of the connection ends the stream; before it comes ``rest``. With ``crash``, the
    endpoint crashes there.
    """

    def behave(handler: EndpointHandler) -> None:
        handler.record_run()
        handler.send_head(200, ("Content-Type", "text/event-stream"))
        first = int(handler.headers.get("Last-Event-Id") or 0) + 1
        for number in range(first, after + 1):
            handler.wfile.write(b"id: %d\ndata: token %d\n\n" % (number, number))
        handler.wfile.write(rest)
        handler.wfile.flush()
        if crash:
            handler.endpoint.crash()
        handler.abort()

    return behave


def send_stream(handler: EndpointHandler, until: int, *, broken: bool = False) -> None:
    """Send the events after ``Last-Event-Id`` up to ``until``.

    With ``broken``, close the connection in the middle of the event that follows.
    """
    handler.send_head(200, ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked"))
    first = int(handler.headers.get("Last-Event-Id") or 0) + 1
    for number in range(first, until + 1):
        handler.send_chunk(b"id: %d\ndata: token %d\n\n" % (number, number))
        time.sleep(handler.endpoint.event_interval_seconds)
    if broken:
        handler.send_chunk(b"id: %d\nda" % (until + 1))
        handler.abort()
    else:
        handler.wfile.write(b"0\r\n\r\n")


def stall_stream(after: int) -> Behaviour:
    """Return a behaviour that sends only comments and single bytes after event ``after``."""

    def behave(handler: EndpointHandler) -> None:
        handler.record_run()
        handler.send_head(
            200, ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")
        )
        for number in range(1, after + 1):
            handler.send_chunk(b"id: %d\ndata: token %d\n\n" % (number, number))
        deadline = time.monotonic() + HANG_SECONDS
        with suppress(OSError):
            while time.monotonic() < deadline:
                handler.send_chunk(b": wait\n\n")
                handler.send_chunk(b":")
                time.sleep(TRICKLE_SECONDS)
        handler.abort()

    return behave


def break_stream(after: int) -> Behaviour:
    """Return a behaviour that breaks the stream within the event that follows event ``after``."""

    def behave(handler: EndpointHandler) -> None:
        handler.record_run()
        send_stream(handler, until=after, broken=True)

    return behave
