"""Loopback TCP proxy that can delay, reset and silence connections or cut them one way."""

import contextlib
import socket
import struct
import threading
import time
from enum import Enum

from attrs import define, field

CHUNK_BYTES = 65_536  # most bytes passed on at once
NO_LINGER = struct.pack("ii", 1, 0)  # SO_LINGER value with which closing sends a reset


class Mode(Enum):
    """How the proxy treats the bytes of open connections."""

    OPEN = "open"
    SILENT = "silent"  # drop the bytes of both directions
    ONE_WAY = "one way"  # drop the bytes of responses


@define(eq=False)
class Relay:
    """Forwards connections to ``target``; its threads end when their sockets are closed."""

    target: tuple[str, int]
    mode: Mode = Mode.OPEN
    delay_seconds: float = 0.0  # seconds before each chunk is passed on
    sockets: set[socket.socket] = field(factory=set, init=False)
    listener: socket.socket = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Listen on a free port."""
        self.listener = socket.create_server(("127.0.0.1", 0))
        self._start_thread(self._accept)

    @property
    def address(self) -> tuple[str, int]:
        """Return the address that it listens on."""
        return self.listener.getsockname()

    def reset(self) -> None:
        """Reset all open connections."""
        for one in list(self.sockets):
            with contextlib.suppress(OSError):
                one.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            self._close(one)

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        self._close(self.listener)
        self.reset()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                caller, _ = self.listener.accept()
                self._connect(caller)

    def _connect(self, caller: socket.socket) -> None:
        try:
            upstream = socket.create_connection(self.target, timeout=2)
        except OSError:
            caller.close()
            return
        upstream.settimeout(None)
        self.sockets |= {caller, upstream}
        self._start_thread(self._forward, caller, upstream, False)
        self._start_thread(self._forward, upstream, caller, True)

    def _forward(self, source: socket.socket, target: socket.socket, is_response: bool) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                if self.delay_seconds:
                    time.sleep(self.delay_seconds)
                dropped = self.mode is Mode.SILENT or (is_response and self.mode is Mode.ONE_WAY)
                if not dropped:
                    target.sendall(data)
        self._close(source)
        self._close(target)

    def _close(self, one: socket.socket) -> None:
        self.sockets.discard(one)
        with contextlib.suppress(OSError):
            one.shutdown(socket.SHUT_RDWR)
        one.close()

    @staticmethod
    def _start_thread(function: object, *args: object) -> None:
        threading.Thread(target=function, args=args, daemon=True).start()
