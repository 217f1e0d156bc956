"""Socket options of the connections that the agent's gRPC server accepts."""

import asyncio
import socket

from testtools import TestCase
from testtools.matchers import Equals

from chivewall.plugins.builtin import gate


class AgentServerSocketTest(TestCase):
    """Accepts one connection in an asyncio loop, as the agent's gRPC server does."""

    def socket_option(self, level, name):
        """Return a socket option of an accepted connection."""
        return asyncio.run(self.accept_and_read_option(level, name))

    async def accept_and_read_option(self, level, name):
        accepted = asyncio.get_running_loop().create_future()
        listener = gate.listen("127.0.0.1", 0)

        def on_connection(_reader, writer):
            connection = writer.get_extra_info("socket")
            accepted.set_result(connection.getsockopt(level, name))
            writer.close()

        server = await asyncio.start_server(on_connection, sock=listener)
        async with server:
            _, writer = await asyncio.open_connection(*listener.getsockname())
            value = await asyncio.wait_for(accepted, timeout=5)
            writer.close()
        return value

    def test_accepted_connection_has_no_delay(self):
        """Guards against responses that Nagle's algorithm holds back for 40 ms."""
        self.assertThat(self.socket_option(socket.IPPROTO_TCP, socket.TCP_NODELAY), Equals(1))

    def test_accepted_connection_has_keepalive(self):
        """Guards against connections that stay open for two hours after their entry vanished."""
        self.assertThat(self.socket_option(socket.SOL_SOCKET, socket.SO_KEEPALIVE), Equals(1))
        idle = self.socket_option(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
        self.assertThat(idle, Equals(gate.KEEPALIVE_IDLE_SECONDS))
