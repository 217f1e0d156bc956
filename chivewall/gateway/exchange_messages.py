"""Messages between the task that owns outgoing connections and those that use it."""

from enum import Enum

from attrs import define, field, frozen

from chivewall.addresses import Address
from chivewall.gateway.http_dialect import Headers, ResponseHead
from chivewall.gateway.routing_configuration import EndpointInfo
from chivewall.task import Inbox, Query


@frozen
class OutgoingRequest:
    """One HTTP request to send, and the inbox that receives the messages about it."""

    exchange: int  # number of the exchange, repeated in all messages about it
    address: Address
    method: bytes
    target: bytes
    headers: Headers
    reply_to: Inbox = field(repr=False, eq=False)
    body: bytes = field(default=b"", repr=False)
    has_body: bool = False
    request_id: str | None = None  # a response with another request id is skipped
    max_idle_seconds: float = 4.0  # maximum idle time of a reused connection, in seconds
    endpoint: EndpointInfo | None = None  # the only endpoint that may serve it; ``None``: any


@frozen
class SendRequest:
    """Ask the task to send a request."""

    request: OutgoingRequest


@frozen
class CancelExchange:
    """Ask the task to abort an exchange; no more messages about it follow."""

    exchange: int


class Reachability(Enum):
    """The outcome of an attempt to reach an address."""

    REACHABLE = "reachable"
    REFUSED = "refused"  # the instance is up, but nothing listens: the process has ended
    SILENT = "silent"


@define(eq=False)
class ProbeAddress(Query):
    """Ask whether an address is reachable; the reply is a ``Reachability``.

    The reply is immediate if bytes were received from the address a moment ago, unless
    ``connect`` is set; otherwise a connection is opened, and kept for the next request.
    """

    address: Address
    connect: bool = False  # bytes received before don't count


@frozen
class RequestWritten:
    """The request was written to a connection, so the endpoint may have received it."""

    exchange: int
    reused: bool  # whether the connection had carried an exchange before


@frozen
class ResponseStarted:
    """Status line and headers of the response were received."""

    exchange: int
    head: ResponseHead


@frozen
class ResponseData:
    """Bytes of the response body were received."""

    exchange: int
    data: bytes = field(repr=False)


@frozen
class ResponseEnded:
    """The response is complete."""

    exchange: int
    until_closed: bool = False  # only the end of the connection showed its end


@frozen
class ExchangeFailed:
    """The exchange failed without a complete response.

    ``sent`` is ``False`` only if no byte of the request can have reached the endpoint.
    """

    exchange: int
    sent: bool
    reason: str


ExchangeMessage = RequestWritten | ResponseStarted | ResponseData | ResponseEnded | ExchangeFailed
