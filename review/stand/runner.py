"""A runner as a process: ``python -m review.stand.runner SETTINGS``, where SETTINGS is JSON.

It follows the users' pages. Each event of a request goes to the file ``log`` as one JSON line.
The settings say how it answers: ``kind`` is ``plain`` or ``stream``; ``unframed`` answers have
neither a length nor chunks and end with their channel. A runner of the kind
``endless`` is in trouble: its answers are bytes without an event and without an end.
"""

import json
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

PIECE = 65_536  # bytes written at once
NO_ANSWER = (b": " + b"." * 1020 + b"\n\n") * 32  # lines of a stream that hold no event


def plain_body(request_id: str, size: int) -> bytes:
    """Return the whole body of the answer to a request."""
    line = f"answer to {request_id} ".encode()
    return (line * (size // len(line) + 1))[: size - 4] + b"END\n"


def stream_event(number: int) -> bytes:
    """Return one event of a stream."""
    return b"id: %d\ndata: token %d\n\n" % (number, number)


def stream_body(events: int) -> bytes:
    """Return the whole body of a stream."""
    return b"".join(stream_event(one) for one in range(1, events + 1))


class Log:
    """Writes one line for each event."""

    def __init__(self, path: str) -> None:
        self._file = Path(path).open("a", encoding="utf-8")  # noqa: SIM115 - open until the end
        self._lock = threading.Lock()

    def write(self, **fields: Any) -> None:
        """Write an event with the monotonic time, which all processes share."""
        with self._lock:
            self._file.write(json.dumps({"t": round(time.monotonic(), 3), **fields}) + "\n")
            self._file.flush()


class Handler(BaseHTTPRequestHandler):
    """Handles the requests of one channel."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    cfg: dict[str, Any]
    log: Log

    def log_message(self, *_: object) -> None:
        """Write nothing to standard error."""

    def handle_one(self) -> None:
        """Read a request completely and answer it."""
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        request_id = self.headers.get("X-Request-Id", "")
        if self.headers.get("X-Expect-Instance") not in (None, self.cfg["id"]):
            self._head(421, request_id, ("X-Not-Run", "1"), ("Content-Length", "0"))
            return
        if not request_id:
            self._answer_control()
            return
        self.log.write(event="run", request=request_id, runner=self.cfg["id"], bytes=len(body))
        del body
        time.sleep(self.cfg.get("work_s", 0.0))
        if self.cfg["kind"] == "endless":
            self._send_without_end(request_id)
        elif self.cfg["kind"] == "stream":
            self._send_stream(request_id)
        else:
            self._send_plain(request_id)
        self.log.write(event="answered", request=request_id, runner=self.cfg["id"])

    do_GET = do_POST = do_DELETE = handle_one  # noqa: N815 - inherited names

    def _head(self, status: int, request_id: str, *headers: tuple[str, str]) -> None:
        self.send_response(status)
        self.send_header("X-Request-Id", request_id)
        for name, value in headers:
            self.send_header(name, value)
        self.end_headers()
        self.wfile.flush()

    def _answer_control(self) -> None:
        report = {
            "stage": "decode",
            "models": [],
            "busy": False,
            "seq": 0,
            "waiting": 0,
            "running": 0,
            "kvUsed": 0,
            "kvTotal": 90000,
            "handles": 0,
        }
        data = json.dumps(report).encode()
        self.send_response(200)
        self.send_header("X-Runner-Id", self.cfg["id"])
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def _framing(self, size: int) -> tuple[tuple[str, str], ...]:
        if self.cfg.get("unframed"):
            self.close_connection = True
            return (("Connection", "close"),)
        return (("Content-Length", str(size)),)

    def _send_plain(self, request_id: str) -> None:
        body = plain_body(request_id, self.cfg["size"])
        stamp = ("X-Answer-Stamp", f"stamp-{request_id}")
        self._head(200, request_id, stamp, *self._framing(len(body)))
        step = self.cfg.get("piece", PIECE)
        for start in range(0, len(body), step):
            self.wfile.write(body[start : start + step])
            self.wfile.flush()
            time.sleep(self.cfg.get("pause_s", 0.0))

    def _send_without_end(self, request_id: str) -> None:
        """Send bytes that are no answer in a body, until the caller closes."""
        stamp = ("X-Answer-Stamp", f"stamp-{request_id}")
        kind = ("Content-Type", "text/event-stream")
        self._head(200, request_id, stamp, kind, *self._framing(0))
        sent = 0
        try:
            while True:
                self.wfile.write(NO_ANSWER)
                self.wfile.flush()
                sent += len(NO_ANSWER)
                time.sleep(self.cfg.get("pause_s", 0.0))
        finally:
            self.log.write(event="closed by the caller", request=request_id, bytes=sent)

    def _send_stream(self, request_id: str) -> None:
        events = self.cfg["events"]
        stamp = ("X-Answer-Stamp", f"stamp-{request_id}")
        kind = ("Content-Type", "text/event-stream")
        self._head(200, request_id, stamp, kind, *self._framing(len(stream_body(events))))
        first = int(self.headers.get("Last-Event-Id") or 0) + 1
        for number in range(first, events + 1):
            self.wfile.write(stream_event(number))
            self.wfile.flush()
            self.log.write(event="piece", request=request_id, number=number)
            time.sleep(self.cfg.get("pause_s", 0.0))


class Server(ThreadingHTTPServer):
    """Listens for gateways."""

    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def handle_error(self, *_: object) -> None:
        """Ignore channels that were cut."""


def main() -> None:
    """Serve until the process is killed."""
    cfg = json.loads(Path(sys.argv[1]).read_text(encoding="utf-8"))
    Handler.cfg, Handler.log = cfg, Log(cfg["log"])
    server = Server((cfg["ip"], cfg["port"]), Handler)
    Handler.log.write(event="started", runner=cfg["id"])
    server.serve_forever(0.05)


if __name__ == "__main__":
    main()
