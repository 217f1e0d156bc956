"""``chivewall route``, before a gateway process."""

import json
import subprocess
import sys

import httpx
import pytest

from chivewall.standins.platform_endpoint import PlatformEndpoint
from tests.utils.gateways import CALLER_HOST, GatewaySite, manifest, route

KEY = "secret-key"


@pytest.fixture
def site(tmp_path):
    with GatewaySite(tmp_path) as one:
        routes = (route("read", "desk"), route("audit", "engines", kind="stream", resumable=True))
        one.store.put("config", "main", manifest(3, *routes))
        yield one


@pytest.fixture
def desks(site):
    added = [site.add(PlatformEndpoint(f"i-{number}", "desk")) for number in (1, 2)]
    site.start()
    return added


def run_route(site, *arguments):
    address = f"http://127.0.0.1:{site.ports['ready']}"
    command = [sys.executable, "-m", "chivewall.cli", "--address", address, "route", *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)


def test_route_and_endpoint_are_told_without_a_request(site, desks, tmp_path):
    """Guards against a question that runs the request, or prints the key of a workspace."""
    keys = tmp_path / "headers"
    keys.write_text(f"X-Workspace-Key: {KEY}\n")
    text = run_route(site, CALLER_HOST, "/read/1", "--header-file", str(keys))
    assert text.returncode == 0, text.stderr
    assert "route read: safe, may run again, 2 attempts" in text.stdout
    assert "chosen" in text.stdout
    assert KEY not in text.stdout + text.stderr + site.log.read_text()
    value = run_route(site, CALLER_HOST, "/read/1", "--header", f"X-Key: {KEY}", "--json")
    answer = json.loads(value.stdout)
    (service,) = answer["services"]
    assert answer["route"]["name"] == "read"
    assert service["outcome"] == "placed"
    assert [one["chosen"] for one in service["candidates"]].count(True) == 1
    assert KEY not in value.stdout
    assert [one.arrivals for one in desks] == [[], []]


@pytest.mark.usefixtures("desks")
def test_service_without_an_endpoint(site):
    found = run_route(site, CALLER_HOST, "/audit/1")
    assert "refused, as no endpoint can take it" in found.stdout


@pytest.mark.parametrize(
    ("arguments", "status", "text"),
    [
        (("other.example", "/read/1"), 1, "no route matches"),
        ((CALLER_HOST, "/read/1", "--header", "no colon"), 2, "NAME:VALUE"),
        ((CALLER_HOST, "/read/1", "--header", "X-Deadline-Ms: x"), 1, "BAD_HEADER"),
    ],
)
@pytest.mark.usefixtures("desks")
def test_errors(site, arguments, status, text):
    found = run_route(site, *arguments)
    assert found.returncode == status
    assert text in found.stderr


@pytest.mark.parametrize(
    "body", [b"", b"[]", b"{}", b'{"path": 1, "headers": []}', b'{"path": ""}']
)
@pytest.mark.usefixtures("desks")
def test_malformed_question_is_refused(site, body):
    """Guards against an internal error, which operators can't act on."""
    url = f"http://127.0.0.1:{site.ports['ready']}/operator/route"
    assert httpx.post(url, content=body).status_code == 400
