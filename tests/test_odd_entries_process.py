"""A gateway process goes on while another writer's odd entries are in the store's list."""

import httpx
import pytest

from chivewall.standins.platform_endpoint import PlatformEndpoint
from chivewall.standins.platform_store import RawJson
from tests.utils.gateways import GatewaySite, manifest, route
from tests.utils.sites import wait_until

UNREADABLE = {
    "nested": RawJson(b"[" * 100_000 + b"]" * 100_000),
    "long integer": RawJson(b'{"slots": ' + b"1" * 5000 + b"}"),
    "invalid UTF-8": RawJson(b'{"service": "\xff"}'),
}


@pytest.fixture
def site(tmp_path):
    with GatewaySite(tmp_path) as one:
        one.store.put("config", "main", manifest(3, route("read", "desk")))
        yield one


def assert_follows_the_list(site):
    """Assert that requests are answered, and that an endpoint listed from now on gets them."""
    assert site.send("GET", "/read/1").content == b"done by i-desk"
    later = site.add(PlatformEndpoint("i-later", "desk"))
    wait_until(lambda: site.events("ENDPOINT_LISTED", endpoint=later.id), "the later endpoint")
    site.store.delete("servers", "i-desk")
    wait_until(lambda: site.events("ENDPOINT_LISTED", endpoint="i-desk", gone=True), "the removal")
    assert site.send("GET", "/read/2").content == b"done by i-later"
    assert not site.events("TASK_FAILED")
    assert site.process.poll() is None
    assert len(site.events("DOCUMENT_REJECTED", collection="servers", object="odd")) == 1
    text = httpx.get(f"http://127.0.0.1:{site.ports['metrics']}/metrics", timeout=5).text
    assert 'chivewall_gateway_rejected_documents_total{collection="servers"} 1' in text


@pytest.mark.parametrize("spec", UNREADABLE.values(), ids=UNREADABLE)
def test_unreadable_entry_in_the_list_is_skipped(site, spec):
    """Guards against a gateway that never becomes ready while one entry can't be read."""
    site.store.put("servers", "odd", spec)
    site.add(PlatformEndpoint("i-desk", "desk"))
    site.start()
    assert_follows_the_list(site)


@pytest.mark.parametrize("spec", UNREADABLE.values(), ids=UNREADABLE)
def test_unreadable_entry_in_a_watch_is_skipped(site, spec):
    """Guards against a gateway that hears no more changes after an entry that can't be read."""
    site.add(PlatformEndpoint("i-desk", "desk"))
    site.start()
    site.store.put("servers", "odd", spec)
    assert_follows_the_list(site)


def test_odd_names_and_addresses_are_not_used(site):
    """Guards against requests that fail at an id which no header holds, or look a host up."""
    desk = site.add(PlatformEndpoint("i-desk", "desk"))
    good = desk.store_document(site.addresses[desk.id])
    odd = {"i-\r\nX-Stage: prefill": {}, "i-\ud800": {}, "i-name": {"addr": "desk.invalid:80"}}
    for name, fields in (odd | {"i-port": {"addr": "127.0.0.1:99999"}}).items():
        site.store.put("servers", name, good | fields)
    site.start()
    found = [site.send("GET", f"/read/{one}", request_id=f"r{one}") for one in range(12)]
    assert {one.content for one in found} == {b"done by i-desk"}
    assert not site.events("TASK_FAILED")
    assert not site.events("CALL_ATTEMPT_FAILED")


def test_copy_of_an_entry_under_another_id_costs_no_request(site):
    """Guards against requests that are lost at an address which two entries name."""
    desk = site.add(PlatformEndpoint("i-desk", "desk"))
    site.store.put("servers", "copy", desk.store_document(site.addresses[desk.id]))
    site.start()
    found = [site.send("GET", f"/read/{one}", request_id=f"r{one}") for one in range(12)]
    assert {one.content for one in found} == {b"done by i-desk"}
    assert not site.events("TASK_FAILED")


def odd_configurations():
    """Return documents in place of the configuration, each with a version that is higher."""
    good = manifest(5, route("book", "desk"))
    odd_route = route("book", "desk")
    return {
        **UNREADABLE,
        "no object": 7,
        "endless time limit": good | {"routes": [odd_route | {"timeoutMs": 1e17}]},
        "negative time limit": good | {"routes": [odd_route | {"timeoutMs": -1}]},
        "no route": good | {"routes": [None]},
        "negative limit": good | {"limits": {"maxHeaderBytes": -5000}},
    }


@pytest.mark.parametrize("spec", odd_configurations().values(), ids=odd_configurations())
def test_odd_configuration_is_skipped_and_the_next_one_taken(site, spec):
    """Guards against a gateway that takes an odd configuration, or none after it."""
    site.add(PlatformEndpoint("i-desk", "desk"))
    site.start()
    site.store.put("config", "main", spec)
    wait_until(lambda: site.events("DOCUMENT_REJECTED", collection="config"), "the rejection")
    assert site.send("GET", "/read/1").status_code == 200
    site.store.put("config", "main", manifest(6, route("book", "desk")))
    wait_until(lambda: site.events("CATALOGUE_IN_FORCE", version=6), "the next version")
    assert site.send("GET", "/book/1").status_code == 200
    assert not site.events("TASK_FAILED")


def test_other_object_beside_the_configuration_is_not_taken(site):
    """Guards against routes of another object that keep the operator's versions out."""
    site.add(PlatformEndpoint("i-desk", "desk"))
    site.store.put("config", "other", manifest(900, route("book", "desk")))
    site.start()
    assert site.send("GET", "/read/1").status_code == 200
    site.store.put("config", "other", manifest(901, route("book", "desk")))
    site.store.put("config", "main", manifest(4, route("read", "desk")))
    wait_until(lambda: site.events("CATALOGUE_IN_FORCE", version=4), "the next version")
    assert site.send("GET", "/book/1").status_code == 404
