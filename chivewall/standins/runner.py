"""Simulated endpoint of the users' platform, a plain service or an engine, run in a thread."""

import threading
import time
from collections.abc import Callable

from attrs import define, field

from chivewall.standins.platform_store import QuietHandler, Served

PROOF = "stamp-1"
HANG_SECONDS = 6.0  # longer than the longest timeout in tests, 3 s
Behaviour = Callable[["RunnerHandler"], None]


@define(eq=False)
class Runner:
    """Serves an endpoint and records what it runs.

    Each request takes the first of ``behaviours``; without one it is answered normally.
    Example: ``runner.behaviours.append(cut_body)`` cuts the next response.
    """

    id: str
    service: str
    stage: str | None = None
    events: int = 0  # number of events in a stream; 0 for a plain body
    size: int = 0  # padding of a plain body, in bytes
    behaviours: list[Behaviour] = field(factory=list)  # applied to the next requests, in order
    ran: list[str] = field(factory=list)  # ids of the requests that were run
    heard: list[dict[str, str]] = field(factory=list)  # headers of all requests received
    bodies: list[bytes] = field(factory=list)  # bodies of all requests received
    gaps: float = 0.0  # seconds after each event
    _lock: threading.Lock = field(factory=threading.Lock, init=False)

    def entry(self, address: tuple[str, int], state: str = "ready") -> dict:
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
            "born": 1,
        }
        if self.stage is not None:
            document["stage"] = self.stage
        return document

    def serve(self) -> Served:
        """Return a context manager that serves the endpoint on a free loopback port."""
        runner = self

        class Handler(RunnerHandler):
            owner = runner

        return Served(Handler)

    def take(self, handler: "RunnerHandler") -> None:
        """Record a request and apply the next behaviour to it."""
        with self._lock:
            self.heard.append({name.lower(): value for name, value in handler.headers.items()})
            behaviour = self.behaviours.pop(0) if self.behaviours else answer
        behaviour(handler)


class RunnerHandler(QuietHandler):
    """Handles the requests of one connection to a simulated endpoint."""

    owner: Runner

    def handle_one_call(self) -> None:
        """Read the body and handle the request."""
        length = int(self.headers.get("Content-Length") or 0)
        self.owner.bodies.append(self.rfile.read(length))
        self.owner.take(self)

    do_GET = do_POST = do_PUT = do_DELETE = handle_one_call  # noqa: N815 - inherited names

    @property
    def request_id(self) -> str:
        """Return the request's id, or an empty string."""
        return self.headers.get("X-Request-Id", "")

    def note_run(self) -> None:
        """Record a run; prefill alone doesn't count as one."""
        if self.headers.get("X-Stage") != "prefill":
            self.owner.ran.append(self.request_id)

    def expects_other(self) -> bool:
        """Return whether the request is addressed to another endpoint."""
        return self.headers.get("X-Expect-Instance") not in (None, self.owner.id)

    def head(self, status: int, *headers: tuple[str, str], proof: bool = True) -> None:
        """Send the status line and headers, with the answer stamp if ``proof`` is set."""
        self.send_response(status)
        self.send_header("X-Request-Id", self.request_id)
        if proof:
            self.send_header("X-Answer-Stamp", PROOF)
        for name, value in headers:
            self.send_header(name, value)
        self.end_headers()

    def plain(
        self, status: int, body: bytes, *headers: tuple[str, str], proof: bool = True
    ) -> None:
        """Send a complete response."""
        self.head(status, *headers, ("Content-Length", str(len(body))), proof=proof)
        self.wfile.write(body)

    def chunk(self, data: bytes) -> None:
        """Send one chunk of a chunked body."""
        self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
        self.wfile.flush()

    def reset(self) -> None:
        """Close the connection, even if the response is incomplete."""
        self.close_connection = True


def answer(handler: RunnerHandler) -> None:
    """Run the request and send a complete response."""
    runner = handler.owner
    if handler.expects_other():
        refuse(handler, status=421)
    elif handler.headers.get("X-Stage") == "prefill":
        handler.plain(200, b'{"handle":"h1","tokens":10,"version":1}', proof=False)
    else:
        handler.note_run()
        if runner.events:
            stream(handler, until=runner.events)
        else:
            handler.plain(200, b"done by " + runner.id.encode() + b"." * runner.size)


def refuse(handler: RunnerHandler, status: int = 503) -> None:
    """Refuse the request and state with ``X-Not-Run`` that it was not run."""
    handler.plain(status, b"", ("X-Not-Run", "1"), ("X-Runner-Id", handler.owner.id), proof=False)


def fail(handler: RunnerHandler) -> None:
    """Run the request and respond with status 500."""
    handler.note_run()
    handler.plain(500, b"failed")


def vanish(handler: RunnerHandler) -> None:
    """Run the request and close the connection without a response."""
    handler.note_run()
    handler.reset()


def hang(handler: RunnerHandler) -> None:
    """Run the request and send nothing for longer than any caller waits."""
    handler.note_run()
    time.sleep(HANG_SECONDS)
    handler.reset()


def drop(handler: RunnerHandler) -> None:
    """Close the connection without running the request and without a response."""
    handler.reset()


def cut_body(handler: RunnerHandler) -> None:
    """Run the request and close the connection in the middle of the body."""
    handler.note_run()
    handler.head(200, ("Content-Length", "100"))
    handler.wfile.write(b"part")
    handler.reset()


def answer_twice(handler: RunnerHandler) -> None:
    """Run the request and send a second response after the first."""
    answer(handler)
    handler.plain(200, b"late copy")


def without_proof(handler: RunnerHandler) -> None:
    """Run the request and respond without the answer stamp."""
    handler.note_run()
    handler.plain(200, b"forged", proof=False)


def stream(handler: RunnerHandler, until: int, *, broken: bool = False) -> None:
    """Send the events after ``Last-Event-Id`` up to ``until``.

    With ``broken``, close the connection in the middle of the event that follows.
    """
    handler.head(200, ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked"))
    first = int(handler.headers.get("Last-Event-Id") or 0) + 1
    for number in range(first, until + 1):
        handler.chunk(b"id: %d\ndata: token %d\n\n" % (number, number))
        time.sleep(handler.owner.gaps)
    if broken:
        handler.chunk(b"id: %d\nda" % (until + 1))
        handler.reset()
    else:
        handler.wfile.write(b"0\r\n\r\n")


def break_stream(after: int) -> Behaviour:
    """Return a behaviour that breaks the stream within the event that follows event ``after``."""

    def behave(handler: RunnerHandler) -> None:
        handler.note_run()
        stream(handler, until=after, broken=True)

    return behave
