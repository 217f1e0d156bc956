"""A link between gateways and one runner: passes bytes on, and holds them while it is cut.

While it is cut, nothing passes in either direction, also no end of a channel. What is held passes
when the cut heals, as TCP sends it again. What a sender has reset is dropped.
"""

import contextlib
import socket
import struct
import threading

CHUNK = 65_536
RESET = struct.pack("ii", 1, 0)  # SO_LINGER with which closing sends a reset


class Link:
    """Listens at an address and connects each channel to ``target``."""

    def __init__(self, ip: str, target: tuple[str, int]) -> None:
        self.target = target
        self._open = threading.Event()
        self._open.set()
        self._listener = socket.create_server((ip, 0), backlog=128)
        self.address = self._listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self) -> None:
        """Let nothing pass."""
        self._open.clear()

    def heal(self) -> None:
        """Let everything pass again."""
        self._open.set()

    def close(self) -> None:
        """Stop listening."""
        self._open.set()
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                near, _ = self._listener.accept()
                threading.Thread(target=self._connect, args=(near,), daemon=True).start()

    def _connect(self, near: socket.socket) -> None:
        self._open.wait()
        try:
            far = socket.create_connection(self.target, timeout=1)
        except OSError:
            _reset(near)
            return
        far.settimeout(None)
        threading.Thread(target=self._pass_on, args=(near, far), daemon=True).start()
        self._pass_on(far, near)

    def _pass_on(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while data := source.recv(CHUNK):
                self._open.wait()
                sink.sendall(data)
            self._open.wait()
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            _reset(sink)
            _reset(source)


def _reset(one: socket.socket) -> None:
    with contextlib.suppress(OSError):
        one.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        one.shutdown(socket.SHUT_RDWR)
    one.close()
