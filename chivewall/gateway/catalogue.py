"""What operators publish (routes and limits) and what endpoints say of themselves."""

from enum import Enum

from attrs import frozen

MS_PER_SECOND = 1000.0


class Kind(Enum):
    """What may be repeated of a route's requests."""

    SAFE = "safe"  # any number of times
    UNSAFE = "unsafe"  # at most once
    STREAM = "stream"  # at most once, unless the route is resumable


class Stage(Enum):
    """Which part of a generation an engine does."""

    PREFILL = "prefill"
    DECODE = "decode"
    NONE = "none"  # a plain service


@frozen
class WeightedService:
    """A service with its share of a route's requests."""

    service: str
    weight: float


@frozen
class Route:
    """How requests of one host and path prefix are handled."""

    name: str
    host: str
    path_prefix: str
    kind: Kind
    services: tuple[WeightedService, ...]
    attempts: int  # endpoints that one request may be sent to
    timeout_ms: float  # longest time without a final answer
    objective_ms: float  # to the first event of a stream, or to the answer
    priority: int  # 0 is the most urgent
    resumable: bool = False
    prefix_affinity: bool = False  # requests name the parts of their prompts

    @property
    def idempotent(self) -> bool:
        """Return whether a request may run again after it may have run."""
        return self.kind is Kind.SAFE or (self.kind is Kind.STREAM and self.resumable)


@frozen
class IngressLimits:
    """What a caller may send, and how long it may take or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


@frozen
class Catalogue:
    """One version of what operators publish."""

    version: int
    routes: tuple[Route, ...]
    limits: IngressLimits


@frozen
class EndpointInfo:
    """What an endpoint says of itself in the platform's list."""

    id: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    draining: bool
    stage: Stage
    started_ms: int | None = None  # Unix time of its start; tells two lives of one id apart
    cold_ms: float = 0.0  # how much longer it is slow after its start

    @property
    def address(self) -> tuple[str, int]:
        """Host and port."""
        return self.host, self.port
