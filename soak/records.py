"""What callers and back ends saw, and when the harness disturbed what."""

from collections import Counter

from attrs import define, field, frozen


@frozen
class Answered:
    """One request, as its caller saw it end; times are of the harness's clock."""

    id: str
    route: str
    gateway: str
    boot: int  # how often the gateway had been started
    sent_at: float
    ended_at: float
    status: int | None  # ``None``: the connection ended without a whole answer
    answer_id: str | None = None  # request id that the answer names
    proof: str | None = None
    body: bytes = field(default=b"", repr=False)


@frozen
class Arrival:
    """A request that reached a back end."""

    id: str
    runner: str
    at: float
    stage: str | None  # "prefill" reads the prompt only


@define
class Disturbance:
    """Something that the harness did; ``gateway`` is empty if it concerns all."""

    kind: str
    started_at: float
    ended_at: float = float("inf")
    gateway: str = ""

    def touches(self, gateway: str, begin: float, end: float) -> bool:
        """Return whether it concerns the gateway at some time of a span."""
        mine = self.gateway in ("", gateway)
        return mine and self.started_at <= end and begin <= self.ended_at


@frozen
class Change:
    """A version of the routes that the store acknowledged."""

    version: int
    at: float


@frozen
class Leaving:
    """A back end that the store lists as leaving since then."""

    runner: str
    at: float


@define
class Records:
    """All that one seed collects."""

    answers: list[Answered] = field(factory=list)
    arrivals: list[Arrival] = field(factory=list)
    runs: Counter[str] = field(factory=Counter)  # by request id
    disturbances: list[Disturbance] = field(factory=list)
    changes: list[Change] = field(factory=list)
    leaving: list[Leaving] = field(factory=list)
    stops: list[Disturbance] = field(factory=list)  # SIGTERM until the process was gone
    own_exits: list[str] = field(factory=list)
    peaks: list[tuple[str, int, int]] = field(factory=list)  # gateway, memory KB, descriptors

    def disturbed(
        self, gateway: str, begin: float, end: float, kinds: frozenset[str] | None = None
    ) -> bool:
        """Return whether a disturbance, of these kinds, touches the gateway in a span."""
        return any(
            one.touches(gateway, begin, end)
            for one in self.disturbances
            if kinds is None or one.kind in kinds
        )
