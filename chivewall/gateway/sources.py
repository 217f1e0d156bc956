"""The collections that the gateway follows; a plug-in for the platform offers them."""

from attrs import frozen

from chivewall.gateway.collections import CollectionSource


@frozen
class Sources:
    """What operators publish, and what endpoints say of themselves."""

    catalogue: CollectionSource  # items with a ``Catalogue``
    endpoints: CollectionSource  # items with an ``EndpointInfo``
