"""Simulated store of the users' platform: objects by kind over HTTP, served in a thread."""

import json
import re
import socket
import threading
import time
from contextlib import suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from attrs import define, field, frozen

RAW_MARK = "raw value "  # marks the place of a ``RawJson`` while a response is encoded
PAGE_SIZE = 500  # maximum number of objects in one list response


@frozen
class StoreCopy:
    """What a ``PlatformStore`` held at one time."""

    revision: int
    objects: dict[tuple[str, str], dict]
    history: list[tuple[int, str, dict, bool]]
    history_start: int


@frozen
class RawJson:
    """Bytes that the store serves in place of a value, also where ``json`` can't write them."""

    data: bytes


@define(eq=False)
class PlatformStore:
    """Holds objects under one revision counter; tests change objects and inject faults.

    Example::

        store = PlatformStore()
        with store.serve() as address:
            store.put("config", "main", {"version": 1, "routes": []})
    """

    page_size: int = PAGE_SIZE
    down: bool = False  # answer every request with 503
    unavailable_kinds: frozenset[str] = frozenset()  # kinds of objects whose requests get 503
    delay_seconds: float = 0.0  # delay before each response
    request_count: int = 0
    revision: int = 1  # incremented by each write
    era: int = 1  # incremented by each restore from a copy
    # Whether a restore cuts the watches that wait; otherwise they wait until their deadline.
    restore_cuts_watches: bool = True
    _objects: dict[tuple[str, str], dict] = field(factory=dict, init=False)
    # Revision, kind, document and whether it was deleted, for each write.
    _history: list[tuple[int, str, dict, bool]] = field(factory=list, init=False)
    # Revision from which the history is complete.
    _history_start: int = field(default=0, init=False)
    _changed: threading.Condition = field(factory=threading.Condition, init=False)

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Create or replace an object; a ``RawJson`` is served as it is."""
        with self._changed:
            self.revision += 1
            document = {"metadata": {"name": name, "rev": self.revision}, "spec": spec}
            self._objects[kind, name] = document
            self._history.append((self.revision, kind, document, False))
            self._changed.notify_all()

    def delete(self, kind: str, name: str) -> None:
        """Delete an object."""
        with self._changed:
            self.revision += 1
            document = self._objects.pop((kind, name))
            self._history.append((self.revision, kind, document, True))
            self._changed.notify_all()

    def compact(self) -> None:
        """Discard the history; watches from older revisions get 410."""
        with self._changed:
            self._history_start = self.revision
            self._history.clear()
            self._changed.notify_all()

    def copy(self) -> StoreCopy:
        """Return a copy of what is stored, for ``restore``."""
        with self._changed:
            return StoreCopy(
                self.revision, dict(self._objects), list(self._history), self._history_start
            )

    def restore(self, copy: StoreCopy) -> None:
        """Replace what is stored by a copy; what was written since the copy is lost.

        The revisions since then are given out again, and a new era begins.

        Example::

            copy = store.copy()
            store.put("servers", "i-1", entry)  # lost
            store.restore(copy)
        """
        with self._changed:
            self.revision = copy.revision
            self._objects = dict(copy.objects)
            self._history = list(copy.history)
            self._history_start = copy.history_start
            self.era += 1
            self._changed.notify_all()

    def write(self, target: str, document: dict) -> tuple[int, dict]:
        """Create or replace an object under a condition; return status and JSON document.

        A document without a revision creates an object; a replaced one must have this revision.
        """
        self.request_count += 1
        kind = target.split("/")[2]
        if self.down or kind in self.unavailable_kinds:
            return 503, {}
        name, revision = document["metadata"]["name"], document["metadata"].get("rev")
        with self._changed:
            found = self._objects.get((kind, name))
            if revision != (None if found is None else found["metadata"]["rev"]):
                return 409, {}
            self.put(kind, name, document["spec"])
            return 200, self._objects[kind, name]

    def serve(self) -> "ThreadedServer":
        """Return a context manager that serves the store on a free loopback port."""
        return ThreadedServer(_handler_class(self))

    def respond(self, target: str) -> tuple[int, dict]:
        """Return status and JSON document for the path of a GET request."""
        self.request_count += 1
        if self.delay_seconds:
            time.sleep(self.delay_seconds)
        if self.down:
            return 503, {}
        parts = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        kind, *names = parts.path.split("/")[2:]
        if kind in self.unavailable_kinds:
            return 503, {}
        if names:
            with self._changed:
                found = self._objects.get((kind, unquote(names[0])))
            return (404, {}) if found is None else (200, found)
        if "watch" in query:
            return self._watch(kind, int(query["watch"]), int(query["waitMs"]) / 1000)
        return self._list(kind, query.get("after", ""))

    def _list(self, kind: str, after: str) -> tuple[int, dict]:
        with self._changed:
            names = sorted(name for one, name in self._objects if one == kind and name > after)
            items = [self._objects[kind, name] for name in names[: self.page_size]]
            truncated = len(names) > self.page_size
            return 200, {"items": items, "truncated": truncated, "asOf": self.revision}

    def _watch(self, kind: str, revision: int, seconds: float) -> tuple[int, dict]:
        deadline = time.monotonic() + seconds
        with self._changed:
            era = self.era
            while True:
                left = deadline - time.monotonic()
                if era != self.era and not self.restore_cuts_watches:
                    if left <= 0:
                        return 200, {"events": [], "asOf": self.revision}
                    self._changed.wait(left)
                    continue
                if era != self.era:
                    return 503, {}
                if not self._history_start <= revision <= self.revision:
                    return 410, {"asOf": self.revision}
                events = [
                    {"object": document, "tombstone": gone}
                    for at, one, document, gone in self._history
                    if one == kind and at > revision
                ]
                if events or left <= 0 or self.down:
                    return 200, {"events": events, "asOf": self.revision}
                self._changed.wait(left)


class QuietServer(ThreadingHTTPServer):
    """HTTP server that logs nothing when a peer resets its connection."""

    daemon_threads = True

    def __init__(self, address: tuple[str, int], handler: type[BaseHTTPRequestHandler]) -> None:
        super().__init__(address, handler)
        self._connections: set[socket.socket] = set()

    def get_request(self) -> tuple[socket.socket, Any]:
        """Accept a connection and remember it."""
        connection, address = super().get_request()
        self._connections.add(connection)
        return connection, address

    def close_request(self, request: socket.socket) -> None:
        """Close a connection."""
        self._connections.discard(request)
        super().close_request(request)

    def close_connections(self) -> None:
        """Shut all open connections down, as the end of the process would."""
        for connection in list(self._connections):
            with suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def handle_error(self, request: object, client_address: object) -> None:
        """Ignore the error."""


@define(eq=False)
class ThreadedServer:
    """Context manager that runs an HTTP server in a thread and returns its address."""

    handler: type[BaseHTTPRequestHandler]
    server: QuietServer | None = None
    _restart: threading.Timer | None = field(default=None, init=False)

    def __enter__(self) -> tuple[str, int]:
        self._serve(("127.0.0.1", 0))
        return self.server.server_address

    def __exit__(self, *_: object) -> None:
        if self._restart is not None:
            self._restart.cancel()
            self._restart.join()
        self.server.shutdown()
        self.server.server_close()

    def crash(self, down_seconds: float) -> None:
        """Refuse and close all connections, and serve again after ``down_seconds``."""
        address = self.server.server_address
        self.server.shutdown()
        self.server.server_close()
        self.server.close_connections()
        self._restart = threading.Timer(down_seconds, self._serve, (address,))
        self._restart.start()

    def _serve(self, address: tuple[str, int]) -> None:
        self.server = QuietServer(address, self.handler)
        threading.Thread(target=self.server.serve_forever, args=(0.02,), daemon=True).start()


class QuietHandler(BaseHTTPRequestHandler):
    """HTTP/1.1 request handler without a log."""

    protocol_version = "HTTP/1.1"

    def log_message(self, format: str, *args: object) -> None:  # noqa: A002 - inherited name
        """Log nothing."""

    def send_document(
        self, status: int, document: dict, headers: dict[str, str] | None = None
    ) -> None:
        """Send a JSON response."""
        body = encode_document(document)
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(body)


def encode_document(document: Any) -> bytes:
    """Return a document as JSON, with the bytes of each ``RawJson`` in its place."""
    raw: list[bytes] = []

    def replace(value: object) -> str:
        if not isinstance(value, RawJson):
            raise TypeError(f"{value!r} is no JSON value")
        raw.append(value.data)
        return f"{RAW_MARK}{len(raw) - 1}"

    parts = re.split(
        f'"{RAW_MARK}([0-9]+)"'.encode(), json.dumps(document, default=replace).encode()
    )
    return b"".join(raw[int(one)] if number % 2 else one for number, one in enumerate(parts))


def _handler_class(store: PlatformStore) -> type[BaseHTTPRequestHandler]:
    class StoreHandler(QuietHandler):
        def do_GET(self) -> None:
            status, document = store.respond(self.path)
            self.send_document(status, document, {"Store-Era": str(store.era)})

        def do_PUT(self) -> None:
            body = self.rfile.read(int(self.headers["Content-Length"]))
            status, document = store.write(self.path, json.loads(body))
            self.send_document(status, document, {"Store-Era": str(store.era)})

        do_POST = do_PUT  # noqa: N815 - inherited name

    return StoreHandler
