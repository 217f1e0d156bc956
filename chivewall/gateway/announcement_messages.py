"""Messages about what endpoints say of themselves in the headers of their responses."""

from attrs import frozen

from chivewall.gateway.http_dialect import StatedLimit
from chivewall.gateway.routing_configuration import EndpointInfo
from chivewall.task import Inbox


@frozen
class SubscribeToAnnouncements:
    """Set the inbox that receives what endpoints announce in their responses."""

    inbox: Inbox


@frozen
class EndpointLeaving:
    """An endpoint said in a response that it leaves."""

    endpoint: EndpointInfo  # as known when the request was sent


@frozen
class EndpointLimit:
    """A response of an endpoint named a limit, or no longer does."""

    endpoint: EndpointInfo  # as known when the request was sent
    limit: StatedLimit | None  # ``None``: the response names none
    sent_at: float  # when the request was sent


@frozen
class EndpointPause:
    """An endpoint refused a request and asked for a pause."""

    endpoint: EndpointInfo  # as known when the request was sent
    seconds: float


@frozen
class FollowLimits:
    """Set the endpoints whose responses are reported also if they name no limit."""

    endpoints: frozenset[str]  # ids


@frozen
class LeavingNews:
    """The process of an endpoint leaves, as reported between gateways."""

    endpoint: str
    started_ms: int  # start of the process as Unix time in ms; 0 if unknown


@frozen
class PeerLeavingNews:
    """Another gateway reported that endpoints leave."""

    news: tuple[LeavingNews, ...]
