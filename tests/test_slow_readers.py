"""Callers that pause while they read a long response."""

import socket
import time

import pytest

from chivewall.gateway.sockets import unsent_bytes
from chivewall.standins.platform_endpoint import PlatformEndpoint
from tests.utils.gateways import CALLER_HOST, GatewaySite, manifest, route
from tests.utils.sites import wait_until

BODY_BYTES = 6_000_000


@pytest.fixture
def site(tmp_path):
    with GatewaySite(tmp_path) as site:
        site.store.put("config", "main", manifest(1, route("read", "desk")))
        site.add(PlatformEndpoint("i-1", "desk", padding_bytes=BODY_BYTES))
        yield site.start()


def test_caller_that_pauses_for_seconds_gets_the_whole_response(site):
    """Guards against a response that is cut off because its caller does not read for a while.

    The kernel counts the time in which a caller's window is closed as one without an answer: those
    who paused for 3 s were reset after 2.5 s.
    """
    wait_until(lambda: '"endpoint": "i-1"' in site.log.read_text(), "the endpoint is known")
    with socket.socket() as caller:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        caller.connect(("127.0.0.1", site.ports["front"]))
        caller.sendall(
            f"GET /read/1 HTTP/1.1\r\nHost: {CALLER_HOST}\r\nX-Request-Id: r1\r\n"
            "Connection: close\r\n\r\n".encode()
        )
        received = len(caller.recv(1000))
        time.sleep(4.0)
        while data := caller.recv(1_000_000):
            received += len(data)
    assert received > BODY_BYTES


class HoldingTransport:
    """Transport that has handed nothing to the kernel yet."""

    dataBuffer = b"written"  # noqa: N815 - Twisted's name
    offset = 2  # bytes of it that the kernel has
    _tempDataLen = 10  # noqa: N815 - Twisted's name

    def __init__(self, handle):
        self.handle = handle

    def getHandle(self):  # noqa: N802 - Twisted's name
        return self.handle


def test_bytes_that_the_transport_holds_are_unsent():
    """Guards against a connection that is aborted while its caller begins to read again.

    The kernel's buffer is empty for a moment then, and the transport holds the rest.
    """
    left, right = socket.socketpair()
    with left, right:
        assert unsent_bytes(HoldingTransport(left)) == 5 + 10
