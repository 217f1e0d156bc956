"""What callers get of responses on connections that are kept, stopped or paused."""

import pytest
from twisted.internet.abstract import FileDescriptor
from twisted.internet.task import Clock

from chivewall.decisions.shutdown import ShutdownSchedule
from chivewall.gateway import ingress_connection
from chivewall.gateway.byte_budget import MAX_TOTAL_UNREAD_BYTES
from chivewall.gateway.caller_messages import AbortResponse, SendChunk, SendResponse, StartResponse
from chivewall.gateway.gateway import BeginShutdown
from chivewall.gateway.ingress_connection import IngressConnection
from chivewall.task import Inbox
from tests.utils.ingress import SHORT, SocketTransport, apply, make_gateway

REQUEST = b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"


class SlowDescriptor(FileDescriptor):
    """A connection whose caller reads only when the test says so."""

    def __init__(self):
        super().__init__(reactor=self)
        self.writing = False
        self.connected = 1
        self.sent = bytearray()
        self.window = 0  # bytes that the caller reads next
        self.lost = False

    def getHandle(self):  # noqa: N802 - Twisted's name
        return SocketTransport().getHandle()

    def setTcpNoDelay(self, enabled):  # noqa: N802 - Twisted's name
        """Ignore the option."""

    def setTcpKeepAlive(self, enabled):  # noqa: N802 - Twisted's name
        """Ignore the option."""

    def addWriter(self, _):  # noqa: N802 - Twisted's name
        self.writing = True

    def removeWriter(self, _):  # noqa: N802 - Twisted's name
        self.writing = False

    def addReader(self, _):  # noqa: N802 - Twisted's name
        """Ignore that more is to be read."""

    removeReader = addReader  # noqa: N815 - Twisted's name

    def writeSomeData(self, data):  # noqa: N802 - Twisted's name
        size = min(self.window, len(data))
        self.sent += data[:size]
        self.window -= size
        return size

    def read(self, size):
        """Let the caller read some bytes."""
        self.window = size
        while self.writing and not self.lost:
            before = self.window
            if self.doWrite() is not None:
                self.end()
            elif self.writing and self.window == before:
                return

    def unsent_bytes(self):
        return len(self.dataBuffer) - self.offset + self._tempDataLen

    def end(self):
        self.lost = True
        self.connected = 0
        self.protocol.connectionLost(None)

    def abortConnection(self):  # noqa: N802 - Twisted's name
        if not self.lost:
            self.end()

    def loseWriteConnection(self):  # noqa: N802 - Twisted's name
        self._writeDisconnecting = True
        self.startWriting()

    def _closeWriteConnection(self):  # noqa: N802 - Twisted's name
        """Keep the reading side, until the caller or the gateway closes it."""


@pytest.fixture
def gateway():
    return make_gateway(Clock())


@pytest.fixture
def connection(gateway):
    apply(gateway, SHORT)
    found = IngressConnection(gateway.env, gateway, gateway.context.dialect)
    transport = SlowDescriptor()
    transport.protocol = found
    found.makeConnection(transport)
    return found


def begin_request(connection):
    """Let a request be in progress, as if a task served it."""
    connection.handler.accept = lambda *_: Inbox()
    connection.dataReceived(REQUEST)
    return connection.request_number


def test_unread_bytes_are_those_of_now_and_not_of_the_life_of_a_connection(gateway, connection):
    """Guards against a kept connection that is reset at its first long response."""
    for _ in range(700):
        number = begin_request(connection)
        connection.put(SendResponse(number, 200, (), b"x" * 60_000))
        connection.transport.read(70_000)
    number = begin_request(connection)
    connection.put(SendResponse(number, 200, (), b"x" * 200_000))
    assert not connection.transport.lost
    assert 200_000 <= gateway.unread_bytes <= 300_000 < MAX_TOTAL_UNREAD_BYTES
    connection.transport.read(300_000)
    assert gateway.unread_bytes == 0


def test_connection_of_an_aborted_response_is_closed_however_its_caller_reads(connection):
    """Guards against a caller that is neither answered nor disconnected at its deadline."""
    number = begin_request(connection)
    connection.put(StartResponse(number, 200, ()))
    connection.put(SendChunk(number, b"x" * 200_000))
    connection.put(AbortResponse(number))
    connection.transport.read(300_000)
    assert connection.transport.lost
    assert not connection.transport.sent.endswith(b"0\r\n\r\n")


def test_connection_of_an_aborted_response_is_closed_if_its_caller_reads_nothing(
    gateway,
    connection,
):
    number = begin_request(connection)
    connection.put(StartResponse(number, 200, ()))
    connection.put(SendChunk(number, b"x" * 200_000))
    connection.put(AbortResponse(number))
    gateway.env.clock.advance(1.1)
    assert connection.transport.lost
    assert gateway.unread_bytes == 0


def test_idle_connection_with_unread_bytes_is_closed_once_they_are_read(connection):
    """Guards against a connection that stays for ever since its caller once paused."""
    number = begin_request(connection)
    connection.put(SendResponse(number, 200, (), b"x" * 200_000))
    connection.close_if_idle()
    connection.transport.read(300_000)
    assert connection.transport.lost


def test_response_at_a_stop_is_delivered_while_its_caller_reads(gateway, connection, monkeypatch):
    """Guards against a long response that is cut off a second after the gateway got it."""
    monkeypatch.setattr(ingress_connection, "unsent_bytes", lambda one: one.unsent_bytes())
    number = begin_request(connection)
    now = gateway.env.now
    gateway.send(BeginShutdown(ShutdownSchedule(now + 2.6, now + 7.0, now + 7.3)))
    body = b"x" * 1_000_000
    connection.put(SendResponse(number, 200, (), body))
    for _ in range(30):
        assert not connection.transport.lost
        connection.transport.read(40_000)
        gateway.env.clock.advance(0.1)
    assert bytes(connection.transport.sent).endswith(body)
    gateway.env.clock.advance(2.0)
    assert connection.transport.lost
