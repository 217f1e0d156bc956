"""TCP relay that runs in threads of the test and can silence its open connections for good."""

import socket
import threading
from contextlib import suppress

from attrs import define, field

CHUNK_BYTES = 65536


@define(eq=False)
class TcpRelay:
    """TCP relay to a loopback port that can silence all connections open at that time."""

    port: int  # loopback port to which connections are forwarded
    accepted: int = 0
    silenced: int = 0  # connections up to this number forward no more bytes
    sockets: list = field(factory=list)
    listener: socket.socket = field(init=False)

    def __attrs_post_init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))

    def start(self):
        self._run(self._accept)
        return self.listener.getsockname()[1]

    def silence(self):
        self.silenced = self.accepted

    def stop(self):
        for one in (self.listener, *self.sockets):
            with suppress(OSError):
                one.shutdown(socket.SHUT_RDWR)
            one.close()

    def _accept(self):
        with suppress(OSError):
            while True:
                caller, _ = self.listener.accept()
                self._connect(caller)

    def _connect(self, caller):
        try:
            callee = socket.create_connection(("127.0.0.1", self.port))
        except OSError:  # nothing listens there yet
            caller.close()
            return
        self.accepted += 1
        self.sockets += [caller, callee]
        self._run(self._pump, self.accepted, caller, callee)
        self._run(self._pump, self.accepted, callee, caller)

    def _pump(self, number, source, target):
        with suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                if number > self.silenced:
                    target.sendall(data)
            if number > self.silenced:
                target.shutdown(socket.SHUT_WR)

    def _run(self, function, *args):
        threading.Thread(target=function, args=args, daemon=True).start()
