"""Tests of routing configurations that gateways get from each other."""

import json
import random
import socket
import threading
from io import StringIO

import httpx
import pytest
from attrs import define, field
from twisted.internet.defer import fail, succeed
from twisted.internet.task import Clock

from chivewall.environment import Environment
from chivewall.errors import StoreUnavailableError
from chivewall.events import EventLog
from chivewall.gateway.channels import HttpResponse
from chivewall.gateway.configuration_exchange import (
    MAX_DOCUMENT_BYTES,
    STORE_FIRST_SECONDS,
    ConfigurationExchange,
    ConfigurationExchangeSettings,
)
from chivewall.gateway.configuration_messages import (
    ConfigurationInForce,
    PeerConfigurationVersion,
)
from chivewall.gateway.metrics import GatewayMetrics
from chivewall.gateway.peer_codec import PeerMessage, encode
from chivewall.platform.routing_configuration import decode_routing_configuration
from chivewall.settings import CoreSettings, Role, Settings
from chivewall.standins.platform_store import QuietHandler, QuietServer
from chivewall.task import Inbox
from tests.utils.gateways import GatewaySite, manifest, route
from tests.utils.sites import wait_until

PEER = "10.0.0.2"


@define(eq=False)
class PeerDocuments:
    """Answers each fetch from another gateway with one response."""

    response: HttpResponse | Exception | None = None
    fetched: list = field(factory=list)

    def fetch(self, address, method, target, deadline):
        self.fetched.append((address, method, target))
        if isinstance(self.response, Exception):
            return fail(self.response)
        return succeed(self.response)


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def documents():
    return PeerDocuments()


@pytest.fixture
def gateway():
    return Inbox()


@pytest.fixture
def log():
    return StringIO()


@pytest.fixture
def exchange(clock, documents, gateway, log):
    core = CoreSettings(role=Role.GATEWAY, instance="g", data_centre="north", plugins=("x",))
    env = Environment(
        settings=Settings(core=core), clock=clock, random=random.Random(1), log=EventLog(log)
    )
    env.log.subscribe(GatewayMetrics().observe)
    task = ConfigurationExchange(
        env,
        ConfigurationExchangeSettings(host="10.0.0.1", port=7380),
        connections=documents,
        decode=decode_routing_configuration,
        gateway=gateway,
        peers=Inbox(),
    )
    task.start()
    gateway.get()  # its subscription
    task.send(ConfigurationInForce(3, {}))
    return task


def answer(version):
    return HttpResponse(200, (), json.dumps(manifest(version, route("a", "s1"))).encode())


def received(inbox):
    found = []
    while len(inbox):
        inbox.get().addCallback(found.append)
    return found


def test_newer_version_of_another_gateway_is_fetched(exchange, clock, documents, gateway):
    """Guards against old routes at a gateway that starts after the store lost a change."""
    documents.response = answer(5)
    exchange.send(PeerConfigurationVersion(PEER, 5))
    clock.advance(STORE_FIRST_SECONDS)
    assert documents.fetched == [((PEER, 7380), b"GET", b"/configuration")]
    (found,) = received(gateway)
    assert (found.gateway_ip, found.configuration.version) == (PEER, 5)


@pytest.mark.parametrize("version", [2, 3])
def test_older_version_is_not_fetched(exchange, clock, documents, version):
    """Guards against calls between gateways that have the same version."""
    exchange.send(PeerConfigurationVersion(PEER, version))
    clock.advance(STORE_FIRST_SECONDS)
    assert documents.fetched == []


def test_version_that_the_store_brings_is_not_fetched(exchange, clock, documents):
    """Guards against a fetch by each gateway after each change on an ordinary day."""
    exchange.send(PeerConfigurationVersion(PEER, 5))
    exchange.send(ConfigurationInForce(5, {}))
    clock.advance(STORE_FIRST_SECONDS)
    assert documents.fetched == []


@pytest.mark.parametrize(
    "response",
    [
        HttpResponse(404, (), b""),
        HttpResponse(200, (), b"{"),
        HttpResponse(200, (), b"[" * 100_000),
        HttpResponse(200, (), b'{"version": 1e999, "routes": []}'),
        HttpResponse(200, (), b'{"version": 9, "routes": [{"host": 7}]}'),
        HttpResponse(200, (), b" " * (MAX_DOCUMENT_BYTES + 1)),
        answer(4),
        StoreUnavailableError("no response"),
    ],
)
def test_unusable_document_changes_nothing(exchange, clock, documents, gateway, log, response):
    """Guards against routes that no operator wrote; the next news is fetched again."""
    documents.response = response
    exchange.send(PeerConfigurationVersion(PEER, 5))
    clock.advance(STORE_FIRST_SECONDS)
    assert received(gateway) == []
    assert "DOCUMENT_REJECTED" in log.getvalue()
    exchange.send(PeerConfigurationVersion(PEER, 5))
    clock.advance(STORE_FIRST_SECONDS)
    assert len(documents.fetched) == 2


def test_one_fetch_at_a_time(exchange, clock, documents):
    """Guards against a fetch for each hello while a fetch is under way."""
    documents.response = answer(5)
    for number in range(10):
        exchange.send(PeerConfigurationVersion(f"10.0.0.{number}", 5))
    clock.advance(STORE_FIRST_SECONDS)
    assert len(documents.fetched) == 1


def test_gateway_serves_its_document(tmp_path):
    """Guards against a document that another gateway can't use."""
    with GatewaySite(tmp_path) as site:
        document = manifest(4, route("a", "s1"))
        site.store.put("config", "main", document)
        site.start()
        address = f"http://127.0.0.1:{site.ports['peer']}/configuration"
        assert wait_until(lambda: httpx.get(address).json(), "document") == document


def test_gateway_that_starts_on_a_copy_gets_the_confirmed_version(tmp_path):
    """Guards against a confirmed route that isn't served: the store lost it before the start."""
    host = "127.0.0.2"
    document = manifest(5, route("b", "s1"))

    class PeerHandler(QuietHandler):
        def do_GET(self):  # noqa: N802 - inherited name
            self.send_document(200, document)

    with GatewaySite(tmp_path) as site:
        site.store.put("config", "main", manifest(4, route("a", "s1")))
        site.start()
        server = QuietServer((host, site.ports["peer"]), PeerHandler)
        threading.Thread(target=server.serve_forever, args=(0.02,), daemon=True).start()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
            peer.bind((host, 0))
            hello = encode(PeerMessage(configuration_version=5))
            peer.sendto(hello, ("127.0.0.1", site.ports["peer"]))
            wait_until(lambda: site.events("CATALOGUE_IN_FORCE", version=5, peer=host), "version 5")
        server.shutdown()
        server.server_close()
