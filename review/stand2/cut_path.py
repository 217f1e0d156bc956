"""The link between the gateways and a runner, which can be cut: what is sent meanwhile waits."""

import contextlib
import socket
import threading


class CutPath:
    """Passes connections on to a runner; while it is cut, neither bytes nor ends pass."""

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.whole = threading.Event()
        self.whole.set()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = self.listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self) -> None:
        """Let nothing pass from now on."""
        self.whole.clear()

    def heal(self) -> None:
        """Let everything pass again, with what was held."""
        self.whole.set()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                caller, _ = self.listener.accept()
                threading.Thread(target=self._connect, args=(caller,), daemon=True).start()

    def _connect(self, caller: socket.socket) -> None:
        self.whole.wait()
        try:
            runner = socket.create_connection(self.target)
        except OSError:
            caller.close()
            return
        for one in (caller, runner):
            one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for pair in ((caller, runner), (runner, caller)):
            threading.Thread(target=self._pass_on, args=pair, daemon=True).start()

    def _pass_on(self, source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(65_536):
                self.whole.wait()
                sink.sendall(data)
            self.whole.wait()
            sink.shutdown(socket.SHUT_WR)
