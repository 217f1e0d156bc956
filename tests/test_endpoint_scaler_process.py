"""A gateway process that orders endpoints at a stand-in of the platform."""

import json
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from chivewall.standins.platform_endpoint import PlatformEndpoint, answer
from chivewall.standins.platform_store import QuietHandler, ThreadedServer
from tests.utils.gateways import GatewaySite, manifest, route
from tests.utils.sites import wait_until

RUN_SECONDS = 2.0
CALLERS = 4  # as many requests at once as the endpoint runs


def make_platform(calls):
    """Return a server that accepts each call and records its path, number and document."""

    class Handler(QuietHandler):
        def do_POST(self):  # noqa: N802 - inherited name
            """Record a call."""
            body = self.rfile.read(int(self.headers["Content-Length"]))
            calls.append((self.path, int(self.headers["X-Fence-Token"]), json.loads(body)))
            self.send_document(200, {})

    return ThreadedServer(Handler)


def answer_late(handler):
    """Answer after a while, as an endpoint that is at work."""
    time.sleep(RUN_SECONDS)
    answer(handler)


@pytest.mark.parametrize(
    ("scale", "is_ordered"), [({"min": 1, "max": 2, "bootS": 1}, True), (None, False)]
)
def test_busy_service_gets_an_endpoint_if_it_has_a_range(tmp_path, scale, is_ordered):
    """Guards against a part that is not switched on, and calls where no range is given."""
    calls = []
    document = manifest(1, route("read", "desk", timeoutMs=8000, sloMs=8000))
    document["services"][0] |= {} if scale is None else {"scale": scale}
    with GatewaySite(tmp_path) as site, make_platform(calls) as address:
        site.more_fields["cloud"] = {
            "addr": f"{address[0]}:{address[1]}",
            "duties": ["autoscale"],
        }
        site.store.put("config", "main", document)
        site.add(PlatformEndpoint("i-1", "desk", behaviours=[answer_late] * 40))
        site.start()

        def call_again(caller):
            # A lock of the store's era, which was just seen, waits for two leases of 3 s.
            for number in range(5):
                site.send("GET", "/read/1", f"r{caller}-{number}")

        with ThreadPoolExecutor(CALLERS) as callers:
            list(callers.map(call_again, range(CALLERS)))
        if is_ordered:
            wait_until(lambda: calls, "an order")
            path, number, order = calls[0]
            assert (path, order) == ("/scale", {"service": "desk", "zone": "north", "desired": 2})
            assert number > 0
        else:
            assert calls == []
            assert "ENDPOINTS_ORDERED" not in site.log.read_text()
