"""Endpoints that announce in their responses that they leave, before a gateway process."""

from contextlib import suppress
from pathlib import Path

import httpx
import pytest

from chivewall.standins import platform_endpoint as behaviours
from chivewall.standins.platform_endpoint import PlatformEndpoint
from tests.utils.gateways import GatewaySite, manifest, route
from tests.utils.sites import wait_until

EVENTS = b"".join(b"id: %d\ndata: token %d\n\n" % (one, one) for one in range(1, 6))
PROMPT = {"X-Prompt-Prefix": "a1:14000,b2:900", "X-Token-Count": "14900,5"}
LATER_REQUESTS = 10  # sent after the announcement


@pytest.fixture
def site(tmp_path: Path):
    with GatewaySite(tmp_path) as one:
        one.store.put(
            "config",
            "main",
            manifest(
                3,
                route("read", "desk"),
                route("audit", "engines", kind="stream", resumable=True, sticky=True),
            ),
        )
        yield one


def engine(name, stage="decode", **fields):
    return PlatformEndpoint(name, "engines", stage=stage, event_count=5, **fields)


def add_listed(site, *endpoints):
    """Add endpoints to the running site and wait until the gateway has read them."""
    for one in endpoints:
        site.add(one)
        wait_until(lambda name=one.id: site.events("ENDPOINT_LISTED", endpoint=name), "listed")


def list_again(site, endpoint):
    """Write the entry of an endpoint again, and wait until the gateway has read it."""
    entry = endpoint.store_document(site.addresses[endpoint.id])
    site.store.put("servers", endpoint.id, entry)
    revision = site.store.revision
    wait_until(
        lambda: any(
            one.get("revision", 0) >= revision
            for one in site.events("ENDPOINT_LISTED", endpoint=endpoint.id)
        ),
        "the entry is read again",
    )


def send_later_requests(site, path):
    """Send requests one after the other; return their statuses."""
    return [
        site.send("POST", path, request_id=f"later-{one}", headers=PROMPT).status_code
        for one in range(LATER_REQUESTS)
    ]


def request_ids(endpoint):
    """Return the ids of callers' requests that an endpoint has received."""
    found = [one.get("x-request-id") for one in endpoint.received_headers]
    return [one for one in found if one]


@pytest.mark.parametrize(
    ("path", "behaviour"),
    [
        ("/read/1", behaviours.answer),
        ("/read/1", behaviours.fail),
        ("/read/1", behaviours.refuse),
        ("/read/1", behaviours.answer_without_stamp),
        ("/read/1", behaviours.truncate_body),
        ("/audit/1", behaviours.answer),
        ("/audit/1", behaviours.refuse),
        ("/audit/1", behaviours.break_stream(2)),
    ],
    ids=[
        "full answer",
        "server error",
        "refusal",
        "dropped answer",
        "cut answer",
        "stream",
        "refused stream",
        "broken stream",
    ],
)
def test_endpoint_that_says_it_leaves_gets_no_further_requests(site, path, behaviour):
    """Guards against requests to an endpoint that leaves while the store still lists it."""
    leaving = PlatformEndpoint("i-1", "desk") if path == "/read/1" else engine("i-1")
    leaving.behaviours, leaving.leaving = [behaviour], True
    site.add(leaving)
    site.start()
    with suppress(httpx.HTTPError):
        site.send("POST", path, headers=PROMPT)
    add_listed(site, PlatformEndpoint("i-2", "desk") if path == "/read/1" else engine("i-2"))
    assert send_later_requests(site, path) == [200] * LATER_REQUESTS
    assert [one for one in request_ids(leaving) if one != "r1"] == []
    (logged,) = site.events("ENDPOINT_LEAVING")
    assert (logged["endpoint"], logged["source"]) == ("i-1", "response")


def test_engine_that_says_it_leaves_in_a_prefill_gets_no_further_prefills(site):
    """Guards against prompts that are prefilled at an engine that ends before the hand-over."""
    leaving = site.add(engine("i-p", stage="prefill", leaving=True))
    decoder = site.add(engine("i-d"))
    site.start()
    response = site.send("POST", "/audit/1", headers=PROMPT)
    assert (response.status_code, response.content) == (200, EVENTS)
    assert request_ids(leaving) == ["r1"]
    add_listed(site, engine("i-q", stage="prefill"))
    assert send_later_requests(site, "/audit/2") == [200] * LATER_REQUESTS
    assert request_ids(leaving) == ["r1"]
    assert len(decoder.run_ids) == 1 + LATER_REQUESTS


def test_leaving_holds_while_the_store_says_otherwise_or_is_down(site):
    """Guards against a store that was away or restored undoing what the endpoint itself said."""
    leaving = site.add(PlatformEndpoint("i-1", "desk", leaving=True))
    site.start()
    assert site.send("GET", "/read/1").status_code == 200
    add_listed(site, PlatformEndpoint("i-2", "desk"))
    list_again(site, leaving)
    site.store.down = True
    assert send_later_requests(site, "/read/2") == [200] * LATER_REQUESTS
    assert request_ids(leaving) == ["r1"]


def test_new_process_under_the_same_id_gets_requests(site):
    """Guards against a notice that outlives the process that it is about."""
    endpoint = site.add(PlatformEndpoint("i-1", "desk", leaving=True))
    site.start()
    assert site.send("GET", "/read/1").status_code == 200
    assert site.send("GET", "/read/2", request_id="r2").status_code == 503
    endpoint.leaving, endpoint.started_ms = False, 2
    list_again(site, endpoint)
    assert site.send("GET", "/read/3", request_id="r3").status_code == 200
    assert request_ids(endpoint) == ["r1", "r3"]


def test_another_endpoint_at_the_same_address_gets_requests(site):
    """Guards against a notice that condemns an address instead of a process."""
    endpoint = site.add(PlatformEndpoint("i-1", "desk", leaving=True))
    site.start()
    assert site.send("GET", "/read/1").status_code == 200
    address = site.addresses["i-1"]
    site.store.delete("servers", "i-1")
    endpoint.id, endpoint.leaving = "i-9", False
    site.store.put("servers", "i-9", endpoint.store_document(address))
    wait_until(lambda: site.events("ENDPOINT_LISTED", endpoint="i-9"), "listed")
    assert site.send("GET", "/read/2", request_id="r2").content == b"done by i-9"


def test_refusal_of_another_endpoint_does_not_condemn_the_expected_one(site):
    """Guards against an endpoint that is no longer used since its address had another before."""
    endpoint = site.add(PlatformEndpoint("i-1", "desk"))
    endpoint.id, endpoint.leaving = "i-0", True  # the former endpoint still has the address
    site.start()
    assert site.send("GET", "/read/1").status_code == 503
    endpoint.id, endpoint.leaving = "i-1", False
    assert site.send("GET", "/read/2", request_id="r2").status_code == 200


def test_stream_of_an_endpoint_that_says_it_leaves_ends_in_peace(site):
    """Guards against running streams that are cut when their endpoint announces its end."""
    first = site.add(engine("i-1", leaving=True, event_interval_seconds=0.1))
    site.start()
    with site.stream("POST", "/audit/1", request_id="r1") as response:
        wait_until(lambda: site.events("ENDPOINT_LEAVING"), "the notice is read")
        list_again(site, first)
        assert b"".join(response.iter_raw()) == EVENTS
