"""Records of a seed: what callers and endpoints observed, and when faults were injected."""

from collections import Counter

from attrs import define, field, frozen


@frozen
class RequestRecord:
    """The end of a request as its caller saw it; times are monotonic, in seconds."""

    id: str
    route: str
    gateway: str
    start_number: int  # number of times that the gateway had been started
    sent_at: float
    ended_at: float
    status: int | None  # ``None`` if the connection ended without a complete response
    response_id: str | None = None  # request id in the response
    answer_stamp: str | None = None  # answer stamp of the endpoint
    body: bytes = field(default=b"", repr=False)


@frozen
class Arrival:
    """A request that reached an endpoint."""

    id: str
    endpoint: str
    at: float
    stage: str | None  # value of ``X-Stage``; "prefill" doesn't run the request


@define
class Disturbance:
    """An injected fault; ``gateway`` is empty if the fault affects all gateways."""

    kind: str
    started_at: float
    ended_at: float = float("inf")
    gateway: str = ""

    def affects(self, gateway: str, begin: float, end: float) -> bool:
        """Return whether it affects the gateway at any time from ``begin`` to ``end``."""
        same_gateway = self.gateway in ("", gateway)
        return same_gateway and self.started_at <= end and begin <= self.ended_at


@frozen
class PublishedVersion:
    """A version of the routing configuration, and when the store had acknowledged it."""

    version: int
    at: float


@frozen
class DrainStart:
    """An endpoint, and when the store began to list it as draining."""

    endpoint: str
    at: float


@define
class Records:
    """All records of one seed."""

    requests: list[RequestRecord] = field(factory=list)
    arrivals: list[Arrival] = field(factory=list)
    run_counts: Counter[str] = field(factory=Counter)  # number of runs by request id
    disturbances: list[Disturbance] = field(factory=list)
    published_versions: list[PublishedVersion] = field(factory=list)
    drain_starts: list[DrainStart] = field(factory=list)
    stops: list[Disturbance] = field(factory=list)  # each from SIGTERM until the process had ended
    unexpected_exits: list[str] = field(factory=list)  # unexpected ends and failed restarts
    # Each: gateway, memory in KB, descriptors.
    resource_peaks: list[tuple[str, int, int]] = field(factory=list)

    def was_disturbed(
        self, gateway: str, begin: float, end: float, kinds: frozenset[str] | None = None
    ) -> bool:
        """Return whether a disturbance affects the gateway at any time from ``begin`` to ``end``.

        ``kinds`` limits the disturbances to those kinds.
        """
        return any(
            one.affects(gateway, begin, end)
            for one in self.disturbances
            if kinds is None or one.kind in kinds
        )
