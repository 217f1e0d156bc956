"""Messages about the rate limits that endpoints name, and the permits for requests to them."""

from attrs import define, frozen

from chivewall.decisions.permits import Ruling
from chivewall.task import Inbox, Query


@frozen
class PermitNeed:
    """An endpoint of a placement that takes a request only with a permit."""

    endpoint: str
    rate: float  # requests a second that it takes from all gateways together
    stated_at: float  # when it stated this
    rank: int  # of the request's route; 0 is served first
    wait: float  # seconds until a permit is expected, as far as is known


@frozen
class Permit:
    """The right to send one request to an endpoint."""

    endpoint: str
    number: int  # of the ask
    keeper: str  # IP address of the gateway that granted it
    use_by: float


@frozen
class PermitDenied:
    """No permit was granted in time."""

    endpoint: str
    wait: float  # seconds until one is expected


@define(eq=False)
class AcquirePermit(Query):
    """Ask for a permit; the reply is a ``Permit`` or ``PermitDenied``."""

    need: PermitNeed
    give_up_at: float  # time until which the request can wait for it
    request_id: str | None


@frozen
class ReleasePermit:
    """Give back a permit that was not used."""

    permit: Permit


@frozen
class PermitExpected:
    """A permit for an endpoint is not to be had before a time; sent to the ``Fleet``."""

    endpoint: str
    rank: int  # asks of this rank and less urgent ones
    at: float


@frozen
class SharedAsk:
    """An ask for a permit as it is sent to the gateway that keeps the endpoint's limit."""

    number: int
    endpoint: str
    rate: float  # limit that the sender knows, requests a second
    age: float  # seconds since the endpoint stated it
    rank: int
    seconds_left: float  # for which the request can wait


@frozen
class SharedRuling:
    """The answer to an ask of another gateway."""

    number: int
    endpoint: str
    ruling: Ruling
    wait: float  # seconds until a permit is expected


@frozen
class EndedAsk:
    """An ask whose request has ended, or whose permit was not used."""

    number: int
    endpoint: str


@frozen
class LimitNews:
    """An endpoint changed its limit, as reported between gateways."""

    endpoint: str
    started_ms: int  # start of its process as Unix time in ms; 0 if unknown
    rate: float | None  # requests a second; ``None``: it names no limit any more
    sent_age: float  # seconds since the request was sent whose response states it
    received_age: float  # seconds since that response was received


@frozen
class PeerLimitNews:
    """Another gateway reported limits of endpoints."""

    news: tuple[LimitNews, ...]
    relay: bool = False  # too many gateways for each to have it from its source


@define(eq=False)
class CurrentLimits(Query):
    """Ask for the limits that are known; the reply is a tuple of ``LimitNews``."""


@frozen
class SendAsk:
    """Send an ask to another gateway."""

    gateway: str  # IP address
    ask: SharedAsk


@frozen
class SendRuling:
    """Send the answer to an ask of another gateway."""

    gateway: str  # IP address
    ruling: SharedRuling


@frozen
class SendRelease:
    """Tell another gateway that an ask has ended or that its permit was not used."""

    gateway: str  # IP address
    ask: EndedAsk


@frozen
class PeerAsk:
    """Another gateway asks for a permit."""

    gateway: str  # IP address
    ask: SharedAsk


@frozen
class PeerRuling:
    """Another gateway has answered an ask."""

    gateway: str  # IP address
    ruling: SharedRuling


@frozen
class PeerRelease:
    """An ask of another gateway has ended, or its permit was not used."""

    gateway: str  # IP address
    ask: EndedAsk


@frozen
class GatewaysChanged:
    """The live gateways, and how many were live not long ago."""

    own: str  # IP address of this gateway
    live: tuple[str, ...]  # IP addresses, with the own one
    remembered: int  # live ones and those that fell silent lately


@frozen
class SubscribeToPermits:
    """Set the inbox that sends asks, rulings and releases to other gateways."""

    inbox: Inbox
