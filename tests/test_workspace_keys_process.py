"""A gateway process while callers send, keys change and the store fails."""

import threading
from pathlib import Path

import httpx
import pytest

from chivewall.standins.platform_endpoint import PlatformEndpoint
from tests.utils.gateways import CALLER_HOST, GatewaySite, manifest, route
from tests.utils.sites import wait_until

ALPHA, BETA, GAMMA = ("alpha", "secret-one"), ("beta", "secret-two"), ("gamma", "secret-three")
CALLS = 60  # of each caller


def keyed_manifest(version, *tenants):
    routes = (route("read", "desk"), route("open", "desk", public=True))
    listed = [{"name": name, "apiKeys": list(keys), "priority": 0} for name, *keys in tenants]
    return manifest(version, *routes) | {"tenants": listed}


@pytest.fixture
def desk():
    return PlatformEndpoint("i-desk", "desk")


@pytest.fixture
def site(tmp_path: Path, desk):
    with GatewaySite(tmp_path) as one:
        one.store.put("config", "main", keyed_manifest(1, ALPHA, BETA))
        one.add(desk)
        yield one.start()


def send(site, key, path="/read/1", request_id="r1"):
    headers = {"X-Key": key, "X-Tenant": "forged"} if key else {}
    return site.send("GET", path, request_id=request_id, headers=headers).status_code


def test_keys_change_while_callers_send_and_the_store_fails(site, desk):
    """Guards against a request that runs for a wrong workspace or after its key is revoked."""
    statuses = {"alpha": [], "beta": []}

    def call(name, key):
        with httpx.Client(timeout=8) as client:  # keeps its connection
            for number in range(CALLS):
                headers = {
                    "Host": CALLER_HOST,
                    "X-Request-Id": f"{name}-{number}",
                    "X-Deadline-Ms": "5000",
                    "X-Key": key,
                }
                response = client.get(site.url("/read/1"), headers=headers)
                statuses[name].append(response.status_code)

    callers = [threading.Thread(target=call, args=one) for one in (ALPHA, BETA)]
    for one in callers:
        one.start()
    wait_until(lambda: len(statuses["alpha"]) > 5, "calls")
    site.store.put("config", "main", keyed_manifest(2, BETA, GAMMA))
    for one in callers:
        one.join()
    wait_until(lambda: site.events("WORKSPACES_IN_FORCE", version=2), "the revocation")
    assert send(site, ALPHA[1]) == 401
    assert set(statuses["beta"]) == {200}
    assert set(statuses["alpha"]) <= {200, 401}
    refused = statuses["alpha"].index(401) if 401 in statuses["alpha"] else CALLS
    assert set(statuses["alpha"][refused:]) <= {401}

    site.store.down = True
    site.store.compact()
    wait_until(lambda: site.events("STORE_UNAVAILABLE", key="config"), "the outage")
    assert send(site, GAMMA[1], request_id="gamma-1") == 200
    assert send(site, "not known yet") == 503
    assert send(site, None, path="/open/1", request_id="open-1") == 200
    site.store.down = False
    wait_until(lambda: send(site, "not known yet") == 401, "the store's return")

    for headers in desk.received_headers:
        workspace = headers["x-request-id"].partition("-")[0]
        assert headers.get("x-tenant") == (None if workspace == "open" else workspace)
        assert "x-key" not in headers
    log = site.log.read_text()
    assert not any(key in log for _, key in (ALPHA, BETA, GAMMA))
    metrics = httpx.get(f"http://127.0.0.1:{site.ports['metrics']}/").text
    assert "chivewall_gateway_workspace_keys 2" in metrics
    assert "secret" not in metrics


def test_odd_entry_leaves_the_others_in_service(site):
    """Guards against an outage of all workspaces after one odd entry."""
    document = keyed_manifest(2, BETA)
    document["tenants"].append({"name": None, "apiKeys": ["secret-four"]})
    site.store.put("config", "main", document)
    wait_until(lambda: site.events("WORKSPACE_ENTRY_ODD", odd_entries=1), "version 2")
    assert send(site, BETA[1]) == 200
    assert send(site, "secret-four") == 503
    assert "secret" not in site.log.read_text()
