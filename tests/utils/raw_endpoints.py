"""Endpoints that write the bytes of their responses themselves, on loopback sockets."""

import socket
import struct
import threading
import time
from collections.abc import Callable
from contextlib import suppress

from attrs import define, field

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with a time of 0
RECEIVE_BUFFER_BYTES = 4096  # small, so that a long upload can't be sent before it is read
READ_BYTES = 100_000  # of a request that is read in part
UNREAD_SECONDS = 0.05  # in which the gateway's kernel fills the buffers of the connection
REPORT = b"HTTP/1.1 400 Bad Request\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
Script = Callable[[socket.socket, str], None]  # called with the connection and the request's id


def head(request_id, status_line, *headers):
    """Return the head of a response with the stamp of the endpoint."""
    lines = [status_line, f"X-Request-Id: {request_id}", "X-Answer-Stamp: s", *headers]
    return "".join(f"{one}\r\n" for one in lines).encode("latin-1") + b"\r\n"


@define(eq=False)
class RawEndpoint:
    """Runs ``script`` for each request once its head has arrived; its body is left unread."""

    id: str
    service: str
    script: Script
    stage: str | None = None
    listener: socket.socket = field(init=False)

    def store_document(self, address):
        """Return the document that lists the endpoint in the platform store."""
        document = {
            "service": self.service,
            "addr": f"{address[0]}:{address[1]}",
            "zone": "north",
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": 1,
            "born": 1,
        }
        return document if self.stage is None else {**document, "stage": self.stage}

    def serve(self):
        """Return a context manager that serves the endpoint on a free loopback port."""
        return self

    def __enter__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        threading.Thread(target=self._accept, daemon=True).start()
        return self.listener.getsockname()

    def __exit__(self, *_):
        with suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def _accept(self):
        with suppress(OSError):
            while True:
                conn, _ = self.listener.accept()
                threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn):
        with suppress(OSError), conn:
            received = b""
            while b"\r\n\r\n" not in received:
                # Byte by byte, so that the body stays in the kernel.
                data = conn.recv(1)
                if not data:
                    return
                received += data
            if received.startswith(b"GET /report"):
                conn.sendall(REPORT)
                return
            lines = received.decode("latin-1").split("\r\n")
            fields = dict(one.lower().split(": ", 1) for one in lines[1:] if ": " in one)
            self.script(conn, fields.get("x-request-id", ""))


def answer_early(part, *headers, end):
    """Return a script that sends a 200 without a length and a part of its body, and then ends."""

    def script(conn, request_id):
        conn.sendall(head(request_id, "HTTP/1.1 200 OK", *headers) + part)
        time.sleep(UNREAD_SECONDS)
        end(conn)

    return script


def answer_status(status_line):
    """Return a script that reads the request and sends a complete response with a status line."""

    def script(conn, request_id):
        conn.settimeout(UNREAD_SECONDS)
        with suppress(TimeoutError):
            while conn.recv(65536):
                pass
        conn.sendall(head(request_id, status_line, "Content-Length: 4") + b"body")
        time.sleep(UNREAD_SECONDS)

    return script


def reset(conn):
    """Reset the connection."""
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    conn.close()


def close_unread(conn):
    """Close the connection; the kernel resets it, as the request was not read."""
    conn.close()


def half_close_and_reset(conn):
    """End the response orderly, and reset the connection a moment later."""
    conn.shutdown(socket.SHUT_WR)
    time.sleep(UNREAD_SECONDS)
    reset(conn)


def half_close(conn):
    """End the response orderly, and leave the rest of the request unread."""
    conn.shutdown(socket.SHUT_WR)
    time.sleep(1.0)


def half_close_midway(conn):
    """Read a part of the request, end the response orderly, and leave the rest unread."""
    conn.recv(READ_BYTES, socket.MSG_WAITALL)
    half_close(conn)
