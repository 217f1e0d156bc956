"""The collections that the gateway watches; the platform's plug-in provides them."""

from attrs import frozen

from chivewall.gateway.collections import CollectionSource


@frozen
class Sources:
    """The collections of routing configurations and of endpoint descriptions."""

    catalogue: CollectionSource  # items with a ``Catalogue``
    endpoints: CollectionSource  # items with an ``EndpointInfo``
