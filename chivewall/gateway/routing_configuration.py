"""The routing configuration (routes, services, limits) and the endpoints' descriptions."""

from enum import Enum

from attrs import field, frozen

MS_PER_SECOND = 1000.0


class RouteKind(Enum):
    """How often the requests of a route may run."""

    SAFE = "safe"  # any number of times
    UNSAFE = "unsafe"  # at most once
    STREAM = "stream"  # at most once, unless the route is resumable


class Stage(Enum):
    """Whether an engine prefills or decodes."""

    PREFILL = "prefill"
    DECODE = "decode"
    NONE = "none"  # a plain service, not an engine


@frozen
class WeightedService:
    """A service and the weight of its share of a route's requests."""

    service: str
    weight: float


@frozen
class Route:
    """How requests with one host name and path prefix are handled."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    attempts: int  # maximum number of endpoints that one request may be sent to
    timeout_ms: float  # maximum time until the response is complete
    objective_ms: float  # target time to the first event of a stream, or to the response
    priority: int  # 0 is the most urgent
    pause_ms: float = 300.0  # target for the longest pause between two events of a stream
    resumable: bool = False  # a broken stream may be continued by another endpoint
    prefix_affinity: bool = False  # requests name the parts of their prompts in a header
    public: bool = False  # served without a workspace key

    @property
    def idempotent(self) -> bool:
        """Return whether a request that may have run already may be sent again."""
        return self.kind is RouteKind.SAFE or (self.kind is RouteKind.STREAM and self.resumable)


@frozen
class IngressLimits:
    """Limits on the size of callers' requests and on how long they take to arrive."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


@frozen
class Workspace:
    """A workspace, and the keys that its callers send."""

    name: str
    keys: tuple[str, ...] = field(repr=False)
    priority: int | None = None  # goes before that of the route; ``None``: the route's holds


@frozen
class EndpointScale:
    """The range in which the number of a service's endpoints may be ordered."""

    service: str
    minimum: int  # endpoints in each data centre
    maximum: int
    start_seconds: float  # from the order of an endpoint until it serves


@frozen
class EngineMemory:
    """The memory of each engine of a service, which its requests and cached prompts share."""

    service: str
    tokens: int


@frozen
class RoutingConfiguration:
    """One version of the routing configuration.

    Unless ``keys_required``, requests need no key. A service without an ``EndpointScale`` has a
    fixed number of endpoints.
    """

    version: int
    routes: tuple[Route, ...]
    limits: IngressLimits
    workspaces: tuple[Workspace, ...] = ()
    scales: tuple[EndpointScale, ...] = ()
    engine_memory: tuple[EngineMemory, ...] = ()
    keys_required: bool = False  # it has a list of workspaces, which may be empty
    odd_workspaces: int = 0  # entries of workspaces that can't be read, or not all of them


@frozen
class EndpointInfo:
    """An endpoint's own description of itself in the platform's list."""

    id: str
    service: str
    ip: str
    port: int
    data_centre: str
    slots: int  # number of requests that it runs at once
    draining: bool
    stage: Stage
    started_ms: int | None = None  # Unix time of its start, ms; differs after a restart
    updates: int = 0  # updates of the entry since its start; an older entry has a smaller number
    warmup_left_ms: float = 0.0  # remaining time for which it is slow after its start, ms

    @property
    def address(self) -> tuple[str, int]:
        """Return the IP address and port."""
        return self.ip, self.port
