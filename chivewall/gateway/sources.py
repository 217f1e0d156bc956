"""The collections that the gateway watches; the platform's plug-in provides them."""

from attrs import frozen

from chivewall.gateway.store_collections import CollectionSource
from chivewall.task import Inbox


@frozen
class CollectionSources:
    """The collections of routing configurations and of endpoint descriptions, and the eras."""

    routing_configuration: CollectionSource  # items with a ``RoutingConfiguration``
    endpoints: CollectionSource  # items with an ``EndpointInfo``
    eras: Inbox  # of the ``StoreEras`` task
