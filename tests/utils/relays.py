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
    accepted_count: int = 0
    silenced_count: int = 0  # connections up to this number forward no more bytes
    sockets: list = field(factory=list)
    listener: socket.socket = field(init=False)

    def __attrs_post_init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))

    def start(self):
        self._start_thread(self._accept)
        return self.listener.getsockname()[1]

    def silence(self):
        self.silenced_count = self.accepted_count

    def stop(self):
        for one in (self.listener, *self.sockets):
            with suppress(OSError):
                one.shutdown(socket.SHUT_RDWR)
            one.close()

    def _accept(self):
        with suppress(OSError):
            while True:
                client, _ = self.listener.accept()
                self._connect(client)

    def _connect(self, client):
        try:
            upstream = socket.create_connection(("127.0.0.1", self.port))
        except OSError:  # nothing listens there yet
            client.close()
            return
        self.accepted_count += 1
        self.sockets += [client, upstream]
        self._start_thread(self._pump, self.accepted_count, client, upstream)
        self._start_thread(self._pump, self.accepted_count, upstream, client)

    def _pump(self, number, source, target):
        with suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                if number > self.silenced_count:
                    target.sendall(data)
            if number > self.silenced_count:
                target.shutdown(socket.SHUT_WR)

    def _start_thread(self, function, *args):
        threading.Thread(target=function, args=args, daemon=True).start()
