"""The path of one machine to the store, on which the store can turn that machine away."""

import contextlib
import http.client
import socket
import threading
import time
from http.server import BaseHTTPRequestHandler

from chivewall.standins.platform_store import PlatformStore, QuietServer


class StorePath:
    """Passes calls to the store; while ``away`` is set, each gets 503 at once."""

    def __init__(self, store: tuple[str, int]) -> None:
        self.store = store
        self.away = False
        self.lengths: list[tuple[float, str, int, int]] = []  # time, call, status, bytes
        self._upstream: set[http.client.HTTPConnection] = set()
        path = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def handle_call(self) -> None:
                body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
                status, answer, era = path.call(self.command, self.path, body)
                self.send_response(status)
                self.send_header("Content-Length", str(len(answer)))
                if era is not None:
                    self.send_header("Store-Era", era)
                self.end_headers()
                with contextlib.suppress(OSError):
                    self.wfile.write(answer)

            do_GET = do_PUT = do_POST = do_DELETE = handle_call  # noqa: N815

            def log_message(self, *_: object) -> None:
                """Log nothing."""

        self.server = QuietServer(("127.0.0.1", 0), Handler)
        self.address = self.server.server_address
        threading.Thread(target=self.server.serve_forever, args=(0.05,), daemon=True).start()

    def turn_away(self) -> None:
        """Cut off the watches that wait, and refuse all calls from now on."""
        self.away = True
        for one in list(self._upstream):
            with contextlib.suppress(OSError, AttributeError):
                one.sock.shutdown(socket.SHUT_RDWR)

    def call(self, method: str, target: str, body: bytes) -> tuple[int, bytes, str | None]:
        """Return status, body and era of the store's answer to a call."""
        if self.away:
            return 503, b"{}", None
        connection = http.client.HTTPConnection(*self.store, timeout=40)
        self._upstream.add(connection)
        try:
            connection.request(method, target, body or None)
            response = connection.getresponse()
            answer, era = response.read(), response.headers.get("Store-Era")
        except (OSError, http.client.HTTPException, AttributeError):
            return 503, b"{}", None
        finally:
            self._upstream.discard(connection)
            connection.close()
        if self.away:
            return 503, b"{}", None
        self.lengths.append(
            (time.time(), target.split("waitMs", maxsplit=1)[0], response.status, len(answer))
        )
        return response.status, answer, era


def keep_history(store: PlatformStore, seconds: float, until: threading.Event) -> None:
    """Drop what is older than the history that the store keeps, until the site stops."""
    kept: list[tuple[float, int]] = []  # time, and the revision at that time
    while not until.wait(0.25):
        now = time.time()
        kept.append((now, store.revision))
        while kept and kept[0][0] < now - seconds:
            _, revision = kept.pop(0)
            drop_history(store, revision)


def drop_history(store: PlatformStore, revision: int) -> None:
    """Drop the changes up to a revision; watches from older ones get 410."""
    with store._changed:  # noqa: SLF001 - the stand-in can only drop all of it
        if revision <= store._history_start:  # noqa: SLF001
            return
        store._history_start = revision  # noqa: SLF001
        store._history[:] = [one for one in store._history if one[0] > revision]  # noqa: SLF001
