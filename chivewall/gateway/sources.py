"""The collections that the gateway watches; the platform's plug-in provides them."""

from collections.abc import Callable

from attrs import frozen

from chivewall.gateway.routing_configuration import RoutingConfiguration
from chivewall.gateway.store_collections import CollectionSource
from chivewall.task import Inbox

# Raises ``DecodeError`` if a document is no routing configuration.
ConfigurationDecoder = Callable[[object], RoutingConfiguration]


@frozen
class CollectionSources:
    """The collections of routing configurations and of endpoint descriptions, and the eras."""

    routing_configuration: CollectionSource  # items with a ``RoutingConfiguration``
    endpoints: CollectionSource  # items with an ``EndpointInfo``
    eras: Inbox  # of the ``StoreEras`` task
    decode_configuration: ConfigurationDecoder  # checks the documents of other gateways
