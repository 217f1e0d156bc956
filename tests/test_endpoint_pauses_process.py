"""Endpoints that ask for a pause with the Retry-After of a refusal, before a gateway process."""

from pathlib import Path

import pytest

from chivewall.standins import platform_endpoint as behaviours
from chivewall.standins.platform_endpoint import PlatformEndpoint
from tests.utils.gateways import GatewaySite, manifest, route

PAUSE_SECONDS = 30  # far longer than a test lasts
PROMPT = {"X-Prompt-Prefix": "a1:14000,b2:900", "X-Token-Count": "14900,5"}
REQUESTS = 30


@pytest.fixture
def site(tmp_path: Path):
    with GatewaySite(tmp_path) as one:
        routes = (
            route("read", "desk"),
            route("audit", "engines", kind="stream", resumable=True, sticky=True),
        )
        one.store.put("config", "main", manifest(3, *routes))
        yield one


def pausing(name, service, stage=None, status=503):
    endpoint = PlatformEndpoint(name, service, stage=stage)
    endpoint.behaviours = [behaviours.refuse_for(str(PAUSE_SECONDS), status)]
    return endpoint


def send_all(site, path):
    return [
        site.send("POST", path, request_id=f"r{one}", headers=PROMPT) for one in range(REQUESTS)
    ]


@pytest.mark.parametrize("status", [429, 503])
def test_endpoint_that_asks_for_a_pause_gets_no_requests_in_it(site, status):
    """Guards against a pause that is read and not heeded, while another endpoint is free."""
    paused = site.add(pausing("i-1", "desk", status=status))
    site.add(PlatformEndpoint("i-2", "desk"))
    site.start()
    assert [one.status_code for one in send_all(site, "/read/1")] == [200] * REQUESTS
    assert len(paused.arrivals) <= 1


def test_prefill_engine_that_asks_for_a_pause_gets_no_prefills_in_it(site):
    """Guards against prefills and hand-overs that don't count as requests of a paused engine."""
    paused = site.add(pausing("i-p", "engines", "prefill"))
    site.add(PlatformEndpoint("i-d", "engines", stage="decode", event_count=5))
    site.start()
    assert [one.status_code for one in send_all(site, "/audit/1")] == [200] * REQUESTS
    assert len(paused.arrivals) <= 1


def test_callers_are_told_when_all_endpoints_pause(site):
    """Guards against requests that wait for a pause which is longer than they can."""
    paused = site.add(pausing("i-1", "desk"))
    site.start()
    responses = send_all(site, "/read/1")
    assert {one.status_code for one in responses} == {503}
    later = [float(one.headers["Retry-After"]) for one in responses[1:]]
    assert min(later) > 0.5 * PAUSE_SECONDS
    assert len(paused.arrivals) == 1
