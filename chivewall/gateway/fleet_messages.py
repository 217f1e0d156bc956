"""Messages to the ``Fleet`` task, which tracks the state of the endpoints."""

import math

from attrs import define, frozen

from chivewall.decisions.placement import PromptState
from chivewall.decisions.speeds import ServiceSpeed
from chivewall.decisions.stages import StageLoad
from chivewall.decisions.workspace_shares import ShareReport, WorkspaceUse
from chivewall.gateway.http_dialect import RequestFields
from chivewall.gateway.peer_codec import SharedWork
from chivewall.gateway.routing_configuration import EndpointInfo
from chivewall.task import Inbox, Query


@define(eq=False)
class FindPlacement(Query):
    """Ask for a placement; the reply is a ``Placement``, ``Overloaded`` or ``None``."""

    service: str
    fields: RequestFields
    excluded: frozenset[str]  # endpoint ids
    allowed: frozenset[str] | None  # endpoint ids; ``None`` allows every endpoint
    prompt: PromptState = PromptState.NOT_PREFILLED
    rank: int = 0  # rank of the route; 0 is served first
    slack_seconds: float = math.inf  # seconds until the objective is missed
    time_left_seconds: float = math.inf  # seconds until the deadline
    committed: bool = False  # it may have run, or a part of its response was sent
    pause_seconds: float = 0.3  # longest pause between events that the objective allows
    kv_data_centre: str | None = None  # data centre of the engine that keeps the KV cache
    last_resort: bool = True  # endpoints that had better get no work are chosen as a last resort
    spare: bool = False  # only endpoints with room for an extra attempt
    permits: frozenset[str] = frozenset()  # ids of endpoints for which the request has a permit
    workspace: str | None = None  # name of the caller's workspace


@define(eq=False)
class ExplainPlacement(Query):
    """Ask where a request would go; the reply is a ``PlacementExplanation``."""

    request: FindPlacement  # not sent; what the request's task would ask


@define(eq=False)
class AwaitEndpoint(Query):
    """Ask to be told when an endpoint of a service can answer requests.

    The reply is ``True`` then, and ``False`` once none of the allowed endpoints is left.
    """

    service: str
    allowed: frozenset[str] | None  # endpoint ids; ``None`` allows every endpoint


@frozen
class RequestReceived:
    """A caller sent a request that goes to this service."""

    service: str
    use: WorkspaceUse | None = None  # what it counts for its workspace


@define(eq=False)
class SpendRepeat(Query):
    """Ask for one repeat from the service's repeat budget; the reply is a ``bool``."""

    service: str
    share: float = 1.0  # of the budget that repeats of this sort may use


@frozen
class WorkSent:
    """An attempt was sent to an endpoint."""

    endpoint: str
    # Time of the prefill at the reference speed; 0 if the KV cache is fetched.
    reference_seconds: float
    fields: RequestFields
    counted_seconds: float  # time for which other gateways count it if its end isn't reported
    seconds_left: float  # seconds until the deadline of the request
    exchange: int
    rank: int = 0  # rank with which it was sent; 0 is served first
    use: WorkspaceUse | None = None  # what it counts for its workspace; only in its first attempt


@frozen
class PeerShares:
    """Another gateway told what the workspaces ask for and use."""

    reports: tuple[ShareReport, ...]


@frozen
class ShareReports:
    """What this gateway tells the others of the workspaces."""

    reports: tuple[ShareReport, ...]


@frozen
class FirstBytesReceived:
    """The first bytes of a response's body were received, or the response of a prefill."""

    endpoint: str
    exchange: int
    seconds: float  # since the request was written
    succeeded: bool  # the response is not an error
    prefilled: bool  # they show that the endpoint has prefilled the prompt


@define(eq=False)
class LearnedSpeeds(Query):
    """Ask for the learned speeds; the reply is a tuple of pairs of service and speed."""


@frozen
class PeerSpeeds:
    """Speeds that another gateway has learned, by service."""

    speeds: tuple[tuple[str, ServiceSpeed], ...]


@frozen
class SubscribeToWork:
    """Set the inbox that receives this gateway's work as ``SharedWork`` and ``WorkProgress``."""

    inbox: Inbox


@frozen
class LiveGateways:
    """The number of live gateways, including this one."""

    count: int


@frozen
class PeerWork:
    """Another gateway sent work to an endpoint."""

    gateway_ip: str
    work: SharedWork


@frozen
class PeerProgress:
    """Progress of another gateway's work, by the numbers that it assigned."""

    gateway_ip: str
    prefilled: tuple[int, ...]  # numbers of work whose prompts were prefilled
    ended: tuple[int, ...]  # numbers of work that ended


@frozen
class WorkEnded:
    """An attempt at an endpoint ended."""

    endpoint: str
    exchange: int
    # "answered", "failed", "refused", "missed" (not reached) or "left" (says nothing about the
    # endpoint).
    outcome: str


@frozen
class EndpointCrashed:
    """An endpoint refuses connections since its process has ended."""

    endpoint: str
    started_ms: int  # start of the process that has ended, as Unix time in ms; 0 if unknown


@define(eq=False)
class CountSoundEngines(Query):
    """Ask how many engines of a service can answer now; the reply is an ``int``."""

    service: str


@frozen
class KvCacheLost:
    """An engine no longer had a KV cache that it had promised to keep."""

    endpoint: str


@frozen
class EngineCooldown:
    """An engine is in cooldown: it gets no new work while other engines can take it.

    A cooldown of 0 seconds ends the current one.
    """

    endpoint: str
    seconds: float


@frozen
class PeerEngineCooldown:
    """Another gateway reported the cooldown of an engine."""

    endpoint: str
    seconds: float


@frozen
class ServiceLoad:
    """The load of one service's engines, and the endpoints by id."""

    service: str
    load: StageLoad
    endpoints: dict[str, EndpointInfo]


@define(eq=False)
class EngineLoads(Query):
    """Ask for the load of all engines; the reply is a list of ``ServiceLoad``."""

    settling: bool = False  # an engine has changed its stage a moment ago


@frozen
class EngineMemoryStated:
    """The routing configuration states the memory of each engine of these services."""

    tokens: dict[str, int]  # by service


@frozen
class FollowDemands:
    """Measure the demand for the endpoints of these services only."""

    windows: dict[str, float]  # seconds over which the demand is averaged, by service


@frozen
class ExpectEndpoints:
    """An order changes the number of a service's endpoints; its engines keep their stages."""

    service: str
    until: float


@define(eq=False)
class ServiceDemandQuery(Query):
    """Ask for the demand; the reply is a list of ``ServiceDemand``, one a followed service."""
