"""A gateway's memory while large requests are in progress and endpoints read slowly."""

import re
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from chivewall.gateway.exchange_messages import OutgoingRequest, ResponseEnded
from chivewall.gateway.outgoing_connection import PIECE_BYTES, OutgoingConnection
from chivewall.platform.headers import PlatformDialect
from chivewall.standins.platform_endpoint import PlatformEndpoint, answer
from chivewall.task import Inbox
from tests.utils.gateways import GatewaySite, manifest, route
from tests.utils.ingress import SocketTransport
from tests.utils.sites import wait_until

BODY_BYTES = 4_000_000
REQUESTS = 48
RUN_SECONDS = 1.5  # for which an endpoint works on each request
# A gateway's code, 64 MiB of bodies, and those that are on their way through a buffer.
MAX_RESIDENT_BYTES = 180_000_000


def answer_late(handler):
    """Answer after a while, as an endpoint that is at work."""
    time.sleep(RUN_SECONDS)
    answer(handler)


@pytest.fixture
def site(tmp_path):
    with GatewaySite(tmp_path) as site:
        site.store.put("config", "main", manifest(1, route("save", "desk", "unsafe")))
        yield site.start()


def peak_resident_bytes(process):
    status = Path(f"/proc/{process.pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) * 1024


def test_bodies_of_requests_in_progress_are_bounded(site):
    """Guards against a gateway that is killed with its requests when large ones come in a burst.

    24 requests of 4 MB a second took a gateway over 300 MB while their endpoint worked for 3 s.
    """
    endpoint = site.add(PlatformEndpoint("i-1", "desk", behaviours=[answer_late] * REQUESTS))
    wait_until(lambda: '"endpoint": "i-1"' in site.log.read_text(), "the endpoint is known")

    def post(number):
        return site.send("POST", "/save/1", f"r{number}", content=b"x" * BODY_BYTES)

    with ThreadPoolExecutor(REQUESTS) as callers:
        answers = list(callers.map(post, range(REQUESTS)))
    assert peak_resident_bytes(site.process) < MAX_RESIDENT_BYTES
    assert {one.status_code for one in answers} == {200, 503}
    refused = [one for one in answers if one.status_code == 503]
    assert all(float(one.headers["Retry-After"]) > 0 for one in refused)
    assert len(endpoint.run_ids) == REQUESTS - len(refused)


class SlowTransport(SocketTransport):
    """Transport to an endpoint that has stopped reading."""

    aborted = False

    def write(self, data):
        """Hold the bytes, and ask for no more."""
        super().write(data)
        self.producer.pauseProducing()

    def abortConnection(self):  # noqa: N802 - Twisted's name
        """Record the end."""
        self.aborted = True


def send_large_request():
    """Return the connection of a large request to an endpoint that reads nothing."""
    connection = OutgoingConnection(("10.0.0.1", 80), PlatformDialect().decode_response)
    connection.makeConnection(SlowTransport())
    request = OutgoingRequest(
        exchange=1,
        address=connection.address,
        method=b"POST",
        target=b"/1",
        headers=((b"Host", b"a"),),
        reply_to=Inbox(),
        body=bytes(range(256)) * 2000,
        has_body=True,
    )
    connection.send(request)
    return connection, request


def test_endpoint_that_reads_slowly_gets_the_body_in_pieces():
    """Guards against a second copy of each body in the transport, and against lost bytes."""
    connection, request = send_large_request()
    while (held := len(connection.transport.value())) < len(request.body):
        connection.resumeProducing()
        assert len(connection.transport.value()) - held <= PIECE_BYTES
    assert connection.transport.value().endswith(b"\r\n\r\n" + request.body)


def test_connection_with_an_unfinished_body_is_not_used_again():
    """Guards against a request that an endpoint takes for the rest of an earlier body."""
    connection, request = send_large_request()
    connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    messages = [request.reply_to.get().result for _ in range(len(request.reply_to))]
    assert isinstance(messages[-1], ResponseEnded)
    assert connection.transport.aborted
