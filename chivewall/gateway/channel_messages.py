"""Messages between the task that owns outgoing connections and those that use it."""

from attrs import define, field, frozen

from chivewall.addresses import Address
from chivewall.gateway.calls import AnswerHead, Headers
from chivewall.task import Inbox, Query


@frozen
class OutgoingCall:
    """One HTTP request to send, with where its answer goes."""

    exchange: int  # names the answer's messages
    address: Address
    method: bytes
    target: bytes
    headers: Headers
    sink: Inbox = field(repr=False, eq=False)
    body: bytes = field(default=b"", repr=False)
    has_body: bool = False
    request_id: str | None = None  # the answer must echo it
    longest_idle: float = 4.0  # seconds that a reused connection may have been idle


@frozen
class SendCall:
    """Ask the task to send a call."""

    call: OutgoingCall


@frozen
class CancelCall:
    """Ask the task to break off an exchange; nothing more of it follows."""

    exchange: int


@define(eq=False)
class ProbeAddress(Query):
    """Ask whether an address is reachable; answered with ``bool``.

    Bytes that came from it a moment ago answer at once; else a connection is
    opened, and kept for the next call.
    """

    address: Address


@frozen
class CallWritten:
    """The request was handed to a connection, so the endpoint may have it."""

    exchange: int
    reused: bool


@frozen
class AnswerStarted:
    """The head of the answer."""

    exchange: int
    head: AnswerHead


@frozen
class AnswerData:
    """Bytes of the answer's body."""

    exchange: int
    data: bytes = field(repr=False)


@frozen
class AnswerEnded:
    """The answer is complete."""

    exchange: int


@frozen
class ExchangeFailed:
    """No whole answer follows.

    ``sent`` is ``False`` only if no byte of the request can have reached the peer.
    """

    exchange: int
    sent: bool
    reason: str


ExchangeMessage = CallWritten | AnswerStarted | AnswerData | AnswerEnded | ExchangeFailed
