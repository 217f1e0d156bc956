"""A gateway process goes on while another writer's odd entries are in the store's list."""

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
