"""Messages about versions of the routing configuration that gateways have."""

from typing import Any

from attrs import field, frozen

from chivewall.gateway.routing_configuration import RoutingConfiguration
from chivewall.task import Inbox


@frozen
class ConfigurationInForce:
    """A version is in force at this gateway; ``document`` is its form in the store."""

    version: int
    document: Any = field(repr=False)
    configuration: RoutingConfiguration | None = field(default=None, repr=False)


@frozen
class PeerConfigurationVersion:
    """Another gateway has this version in force."""

    gateway_ip: str
    version: int


@frozen
class SubscribeToPeerVersions:
    """Send each ``PeerConfigurationVersion`` to this inbox."""

    inbox: Inbox


@frozen
class PeerConfiguration:
    """A routing configuration that another gateway has in force."""

    gateway_ip: str
    configuration: RoutingConfiguration
    document: Any = field(repr=False)
