"""A small runner of the users' platform, one process: a plain service or an engine.

Usage: ``python3 runner.py OPTIONS``, a JSON object with the fields of ``Options``. Each request
that arrives, runs or ends is one JSON line in its log.
"""

import asyncio
import json
import os
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

STAMP = "stamp-of-{}"
REASONS = {200: "OK", 400: "Bad Request", 421: "Misdirected Request", 503: "Service Unavailable"}


@dataclass
class Options:
    """What one runner is and does."""

    id: str
    host: str
    port: int
    log: str
    stage: str | None = None  # None: a plain service
    work_ms: float = 50.0
    events: int = 8
    gap_ms: float = 40.0
    first_ms: float = 60.0  # until the first event
    # A plain service sends its answer in so many pieces, and ends it by its channel; 0: whole.
    pieces: int = 0
    deadly_parts: list[str] = field(default_factory=list)
    deadly_events: int = 0  # events that are written before the crash
    # While this file exists, bodies of streams are bytes without an end.
    endless_after: str | None = None
    endless_in_head: bool = False  # before the head of the answer, not in its body
    endless_unit: str = "\n"
    endless_bytes_per_s: float = 2_000_000.0
    born: int = 0


@dataclass
class Request:
    """A request as it was read."""

    method: str
    path: str
    headers: dict[str, str]

    @property
    def id(self) -> str:
        """Return its id, or an empty string."""
        return self.headers.get("x-request-id", "")

    @property
    def parts(self) -> list[str]:
        """Return the ids of its prompt's parts."""
        found = self.headers.get("x-prompt-prefix", "").split(",")
        return [one.partition(":")[0] for one in found if one]


class Runner:
    """Serves one runner until its process ends."""

    def __init__(self, options: Options) -> None:
        self.options = options
        self.log = Path(options.log).open("a", buffering=1)  # noqa: SIM115 - open until the end

    def note(self, what: str, request: Request, **fields: object) -> None:
        """Write a line to the log."""
        line = {"at": time.time(), "runner": self.options.id, "what": what, "id": request.id}
        self.log.write(json.dumps(line | fields) + "\n")

    async def serve(self) -> None:
        """Listen until the process ends."""
        server = await asyncio.start_server(self.handle, self.options.host, self.options.port)
        async with server:
            await server.serve_forever()

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of a connection, one after the other."""
        request = None
        try:
            while (request := await read_request(reader)) is not None:
                await self.answer(request, reader, writer)
                if self.options.pieces and request.id:
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            if request is not None:
                self.note("cut off", request)
        finally:
            writer.close()

    async def answer(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request."""
        options = self.options
        expected = request.headers.get("x-expect-instance")
        if expected not in (None, options.id):
            await self.send(writer, request, 421, b"", not_run=True)
        elif request.path == "/report" and options.stage is not None:
            report = {"stage": options.stage, "busy": False, "seq": 0, "born": options.born}
            body = json.dumps(report | {"models": [], "waiting": 0, "running": 0}).encode()
            await self.send(writer, request, 200, body)
        elif not request.id:
            await self.send(writer, request, 400, b"", not_run=True)
        elif request.headers.get("x-stage") == "prefill":
            self.note("prefill", request)
            await asyncio.sleep(options.first_ms / 1000)
            await self.send(writer, request, 200, b'{"handle":"h1","tokens":10,"version":1}')
        else:
            self.note("arrives", request, parts=request.parts)
            await self.run(request, reader, writer)

    async def run(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Run a request, for as long as its connection is open."""
        options = self.options
        gone = asyncio.ensure_future(reader.read(1))
        work = asyncio.ensure_future(self.work(request, writer))
        await asyncio.wait({gone, work}, return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            work.cancel()
        gone.cancel()
        found = await asyncio.gather(work, gone, return_exceptions=True)
        if found[0] is not None:
            raise ConnectionError(f"{options.id}: the connection has ended")
        self.note("ran", request)

    async def work(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Do the work of a request, and write the answer."""
        options = self.options
        if options.stage is None and options.pieces:
            await self.send_in_pieces(writer, request)
            return
        if options.stage is None:
            await asyncio.sleep(options.work_ms / 1000)
            self.note("runs", request)
            await self.send(writer, request, 200, f"done {request.id}".encode(), stamped=True)
            return
        await asyncio.sleep(options.first_ms / 1000)
        self.note("runs", request)
        endless = self.is_endless()
        if not (endless and options.endless_in_head):
            writer.write(self.head(request, 200, stamped=True, length=None))
        if endless:
            await self.send_without_end(writer)
        deadly = not set(options.deadly_parts).isdisjoint(request.parts)
        first = int(request.headers.get("last-event-id") or 0) + 1
        for number in range(first, options.events + 1):
            if deadly and number - first == options.deadly_events:
                await self.crash(request, writer)
            event = f"id: {number}\ndata: token {number} of {request.id}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(options.gap_ms / 1000)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def send_in_pieces(self, writer: asyncio.StreamWriter, request: Request) -> None:
        """Send an answer that has neither a length nor chunks, and end its channel."""
        options = self.options
        self.note("runs", request)
        head = self.head(request, 200, stamped=True, length=0)
        writer.write(head.replace(b"Content-Length: 0", b"Connection: close"))
        for number in range(1, options.pieces + 1):
            writer.write(f"part {number} of {options.pieces} for {request.id}\n".encode())
            await writer.drain()
            await asyncio.sleep(options.work_ms / 1000 / options.pieces)
        self.note("whole", request)
        writer.write_eof()

    def is_endless(self) -> bool:
        """Return whether the runner is in trouble now."""
        after = self.options.endless_after
        return after is not None and Path(after).exists()

    async def crash(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """End the process, once what was written has gone out."""
        await writer.drain()
        await asyncio.sleep(0.005)
        self.note("crashes", request, parts=request.parts)
        os._exit(1)

    async def send_without_end(self, writer: asyncio.StreamWriter) -> None:
        """Send bytes that are no answer until the caller closes."""
        unit = self.options.endless_unit.encode()
        piece = unit * (16_384 // len(unit))
        chunk = piece if self.options.endless_in_head else b"%x\r\n%s\r\n" % (len(piece), piece)
        while True:
            writer.write(chunk)
            await writer.drain()
            await asyncio.sleep(len(chunk) / self.options.endless_bytes_per_s)

    def head(self, request: Request, status: int, *, stamped: bool, length: int | None) -> bytes:
        """Return the head of an answer."""
        lines = [f"HTTP/1.1 {status} {REASONS[status]}", f"X-Request-Id: {request.id}"]
        if stamped:
            lines.append(f"X-Answer-Stamp: {STAMP.format(self.options.id)}")
        if length is None:
            lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        else:
            lines.append(f"Content-Length: {length}")
        return "\r\n".join([*lines, "", ""]).encode()

    async def send(
        self,
        writer: asyncio.StreamWriter,
        request: Request,
        status: int,
        body: bytes,
        *,
        stamped: bool = False,
        not_run: bool = False,
    ) -> None:
        """Send a whole answer."""
        head = self.head(request, status, stamped=stamped, length=len(body))
        if not_run:
            head = head[:-2] + b"X-Not-Run: 1\r\n\r\n"
        writer.write(head + body)
        await writer.drain()


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read a request with its body; return ``None`` at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, path, _ = first.split(" ")
    pairs = (one.partition(":") for one in lines if one)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, path, headers)


if __name__ == "__main__":
    asyncio.run(Runner(Options(**json.loads(sys.argv[1]))).serve())
