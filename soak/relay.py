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
    delay: float = 0.0  # seconds before each chunk is passed on
    sockets: set[socket.socket] = field(factory=set, init=False)
    listener: socket.socket = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Listen on a free port."""
        self.listener = socket.create_server(("127.0.0.1", 0))
        self._run(self._accept)

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
            callee = socket.create_connection(self.target, timeout=2)
        except OSError:
            caller.close()
            return
        callee.settimeout(None)
        self.sockets |= {caller, callee}
        self._run(self._pump, caller, callee, False)
        self._run(self._pump, callee, caller, True)

    def _pump(self, source: socket.socket, target: socket.socket, answers: bool) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                if self.delay:
                    time.sleep(self.delay)
                lost = self.mode is Mode.SILENT or (answers and self.mode is Mode.ONE_WAY)
                if not lost:
                    target.sendall(data)
        self._close(source)
        self._close(target)

    def _close(self, one: socket.socket) -> None:
        self.sockets.discard(one)
        with contextlib.suppress(OSError):
            one.shutdown(socket.SHUT_RDWR)
        one.close()

    @staticmethod
    def _run(function: object, *args: object) -> None:
        threading.Thread(target=function, args=args, daemon=True).start()
