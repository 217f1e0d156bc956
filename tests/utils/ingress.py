"""Helpers for tests of callers' connections on a virtual clock."""

from unittest.mock import Mock

from twisted.internet.testing import StringTransport

from chivewall.gateway.exchange import RequestContext
from chivewall.gateway.gateway import Gateway, GatewaySettings
from chivewall.gateway.part_guard import PartGuard
from chivewall.gateway.rate_limits import RateLimits
from chivewall.gateway.routing_configuration import IngressLimits, RoutingConfiguration
from chivewall.gateway.store_collections import CollectionChanges, CollectionItem
from chivewall.platform.headers import PlatformDialect
from tests.utils.fleets import make_fleet, make_sources
from tests.utils.requests import FakeConnections

SHORT = RoutingConfiguration(version=1, routes=(), limits=IngressLimits(idle_timeout_ms=2000))


class SocketTransport(StringTransport):
    """Transport without a socket to set options on."""

    def loseWriteConnection(self):  # noqa: N802 - Twisted's name
        """Ignore the half-close."""

    def setTcpNoDelay(self, enabled):  # noqa: N802 - Twisted's name
        """Ignore the option."""

    def setTcpKeepAlive(self, enabled):  # noqa: N802 - Twisted's name
        """Ignore the option."""

    def getHandle(self):  # noqa: N802 - Twisted's name
        """Return a socket that accepts all options."""
        handle = Mock()
        handle.fileno.return_value = -1
        return handle


def make_gateway(clock):
    """Return a started gateway that knows no routes yet."""
    fleet = make_fleet(clock)
    context = RequestContext(
        env=fleet.env,
        fleet=fleet,
        guard=PartGuard(fleet.env, fleet),
        limits=RateLimits(fleet.env, fleet),
        connections=FakeConnections(),
        dialect=PlatformDialect(),
    )
    cfg = GatewaySettings(address="127.0.0.1:80", grace_seconds=8)
    gateway = Gateway(fleet.env, cfg, context, make_sources())
    gateway.start()
    return gateway


def apply(gateway, configuration):
    """Put a routing configuration in force."""
    item = CollectionItem("main", configuration, configuration.version)
    gateway.send(CollectionChanges("config", (item,), configuration.version))
