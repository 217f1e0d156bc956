"""Tests of a store that comes back from a copy and has lost what was written since."""

import json
import random
import socket
from io import StringIO

import pytest
from attrs import define, field
from twisted.internet.defer import succeed
from twisted.internet.task import Clock

from chivewall.decisions.stages import OrderLock
from chivewall.environment import Environment
from chivewall.errors import HistoryLostError, StoreRestoredError
from chivewall.events import EventLog
from chivewall.gateway.channels import HttpResponse
from chivewall.gateway.peer_codec import PeerMessage, encode
from chivewall.gateway.routing_configuration import Stage
from chivewall.platform.engines import PlatformOrderLocks
from chivewall.platform.objects import ObjectClient, ObjectCollection
from chivewall.settings import CoreSettings, Role, Settings
from chivewall.standins.platform_store import PlatformStore
from tests.utils.gateways import GatewaySite, manifest, route
from tests.utils.sites import wait_until


@pytest.fixture
def site(tmp_path):
    with GatewaySite(tmp_path) as one:
        yield one


def in_force(site, version):
    return lambda: site.events("CATALOGUE_IN_FORCE", version=version)


def test_change_under_a_revision_that_is_given_out_again_is_in_force(site):
    """Guards against a confirmed change that no watch reports after a restore."""
    site.store.put("config", "main", manifest(1, route("a", "s1")))
    site.start()
    copy = site.store.copy()
    site.store.put("config", "main", manifest(2, route("b", "s1")))
    wait_until(in_force(site, 2), "version 2 in force")
    site.store.restore(copy)
    site.store.put("config", "main", manifest(3, route("b", "s1")))
    wait_until(in_force(site, 3), "version 3 in force")
    assert site.events("STORE_ERA_BEGAN", era=2, previous=1)


def test_configuration_of_the_copy_does_not_replace_a_later_one(site):
    """Guards against routes that come back older."""
    site.store.put("config", "main", manifest(1, route("a", "s1")))
    copy = site.store.copy()
    site.store.put("config", "main", manifest(2, route("b", "s1")))
    site.start()
    site.store.restore(copy)
    wait_until(lambda: site.events("STORE_ERA_BEGAN", era=2), "the restore is seen")
    assert [one["version"] for one in site.events("CATALOGUE_IN_FORCE")] == [2]
    assert site.send("GET", "/a/1").status_code == 404


@define(eq=False)
class StoreConnections:
    """Sends requests to a stand-in store without a network."""

    store: PlatformStore
    before: dict = field(factory=dict)  # number of a request: called before it
    count: int = 0

    def fetch(self, address, method, target, deadline, **options):
        self.count += 1
        self.before.get(self.count, lambda: None)()
        status, document = self.store.respond(target.decode())
        body = json.dumps(document).encode()
        headers = ((b"Store-Era", str(self.store.era).encode()),)
        return succeed(HttpResponse(status, headers, body))


@pytest.fixture
def store():
    return PlatformStore(page_size=2)


@pytest.fixture
def connections(store):
    return StoreConnections(store)


@pytest.fixture
def client(connections):
    core = CoreSettings(role=Role.GATEWAY, instance="g", data_centre="north", plugins=("x",))
    env = Environment(
        settings=Settings(core=core),
        clock=Clock(),
        random=random.Random(1),
        log=EventLog(StringIO()),
    )
    return ObjectClient(env, connections, ("10.0.0.9", 80))


@pytest.fixture
def collection(client):
    return ObjectCollection(client, "servers", lambda _, spec: spec)


def result_of(deferred):
    found = []
    deferred.addBoth(found.append)
    return found[0]


def test_pages_of_two_eras_make_no_list(store, connections, collection):
    """Guards against a list that joins pages from before and after a restore."""
    for name in ("i-1", "i-2", "i-3"):
        store.put("servers", name, {})
    copy = store.copy()
    connections.before[2] = lambda: store.restore(copy)
    failure = result_of(collection.read_all())
    assert failure.check(StoreRestoredError)
    assert failure.value.era == 2


def test_lost_history_names_the_era(store, collection):
    """Guards against a restore that only a 410 shows and that isn't taken as one."""
    copy = store.copy()
    store.put("servers", "i-1", {})
    read = result_of(collection.read_all())
    assert read.era == 1
    store.restore(copy)
    failure = result_of(collection.watch(read.revision, 1.0))
    assert failure.check(HistoryLostError)
    assert failure.value.era == 2


def test_silent_watches_end_when_another_gateway_names_a_later_era(tmp_path):
    """Guards against half a minute with old routes: nothing of the store shows the restore."""
    store = PlatformStore(restore_cuts_watches=False)
    with GatewaySite(tmp_path, store) as site:
        site.store.put("config", "main", manifest(1, route("a", "s1")))
        site.start()
        copy = site.store.copy()
        site.store.restore(copy)
        site.store.put("config", "main", manifest(2, route("b", "s1")))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
            peer.sendto(encode(PeerMessage(store_era=2)), ("127.0.0.1", site.ports["peer"]))
            wait_until(in_force(site, 2), "version 2 in force")


@define(eq=False)
class OneObject:
    """Stands in for a store of one object, without a network."""

    document: dict = field(factory=dict)

    def fetch(self, address, method, target, deadline, body=b"", **options):
        if method != b"GET":
            self.document = json.loads(body)
            self.document["metadata"]["rev"] = 7
        return succeed(HttpResponse(200, (), json.dumps(self.document).encode()))


@pytest.mark.parametrize("era", [None, 2])
def test_order_lock_keeps_its_era(client, era):
    """Guards against an order lock of an earlier era that is read as one of the current era."""
    client.connections = OneObject()
    locks = PlatformOrderLocks(client)
    lock = OrderLock(5, "gateway-1", "d1", Stage.PREFILL, taken_at=1000.0, era=era)
    result_of(locks.acquire("engines", lock, 6))
    assert result_of(locks.read("engines")).lock == lock


def test_order_lock_of_an_earlier_version_is_read(client):
    """Guards against an update after which no order is given: the stored lock names no era."""
    client.connections = OneObject()
    locks = PlatformOrderLocks(client)
    lock = OrderLock(5, "gateway-1", "d1", Stage.PREFILL, taken_at=1000.0)
    result_of(locks.acquire("engines", lock, 6))
    del client.connections.document["spec"]["era"]
    assert result_of(locks.read("engines")).lock == lock
