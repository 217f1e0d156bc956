"""Messages to the task that owns what is known of the endpoints."""

import math

from attrs import define, frozen

from chivewall.decisions.placement import PromptState
from chivewall.decisions.stages import StageLoad
from chivewall.gateway.calls import CallFields
from chivewall.gateway.catalogue import EndpointInfo
from chivewall.gateway.peer_codec import SharedWork
from chivewall.task import Inbox, Query


@define(eq=False)
class Place(Query):
    """Ask for a placement; answered with ``Placement`` or ``None``."""

    service: str
    fields: CallFields
    excluded: frozenset[str]
    allowed: frozenset[str] | None  # ids; ``None`` allows every endpoint
    prompt: PromptState = PromptState.NOT_PREFILLED
    rank: int = 0  # of the route, 0 first
    slack: float = math.inf  # seconds until the objective is missed
    kv_home: str | None = None  # data centre of the engine that keeps the read prompt


@frozen
class RequestSeen:
    """A caller sent a request to the service."""

    service: str


@define(eq=False)
class SpendRepeat(Query):
    """Ask for one repeated arrival; answered with ``bool``."""

    service: str


@frozen
class WorkSent:
    """An attempt was sent to an endpoint."""

    endpoint: str
    read_seconds: float  # for the prompt; 0 if it fetches the KV cache
    fields: CallFields
    seconds: float  # that other gateways count it if they don't hear of its end
    time_left: float  # seconds until it ends at the latest
    exchange: int
    rank: int = 0  # with which it was sent


@frozen
class PromptRead:
    """An endpoint has read the prompt of an attempt."""

    endpoint: str
    exchange: int


@frozen
class ShareWorkWith:
    """Tell this inbox of work as ``SharedWork`` and ``WorkProgress``."""

    inbox: Inbox


@frozen
class GatewaysLive:
    """How many gateways are live, with this one."""

    count: int


@frozen
class PeerWork:
    """Another gateway sent work to an endpoint."""

    host: str
    work: SharedWork


@frozen
class PeerProgress:
    """What became of another gateway's work, by the numbers that it gave."""

    host: str
    read: tuple[int, ...]
    over: tuple[int, ...]


@frozen
class WorkOver:
    """An attempt at an endpoint ended."""

    endpoint: str
    exchange: int
    outcome: str  # "answered", "failed", "missed", "refused" or "left"


@frozen
class KvCacheLost:
    """An engine no longer had the KV cache that it had promised to keep."""

    endpoint: str


@frozen
class EngineRests:
    """An engine gets no new work for so long, while others can take it; 0 ends that."""

    endpoint: str
    seconds: float


@frozen
class PeerEngineRests:
    """Another gateway says that an engine gets no new work for so long."""

    endpoint: str
    seconds: float


@frozen
class ServiceLoad:
    """The load of one service's engines."""

    service: str
    load: StageLoad
    endpoints: dict[str, EndpointInfo]


@define(eq=False)
class EngineLoads(Query):
    """Ask for the load of all engines; answered with a list of ``ServiceLoad``."""
