"""Recent requests by rank and the latest decisions, which operators see in the status."""

import math
from collections import deque
from functools import singledispatchmethod
from typing import Any

from attrs import define, field, frozen

from chivewall.environment import Environment
from chivewall.events import Event
from chivewall.task import Query, Task

WINDOW_SECONDS = 300.0  # requests that ended earlier are not counted
WINDOW_REQUESTS = 2000  # per rank; bounds the memory of a busy entry to some hundred KB
DECISIONS = 10  # number of decisions kept
PERCENTILE = 0.95
MS_PER_SECOND = 1000
CANCELLED = "CANCELLED"  # outcome that is not counted: a caller that leaves is no failure to serve
DECISION_EVENTS = frozenset(
    {
        Event.MEMBER_CHANGED,
        Event.EVICTION_HELD,
        Event.CONFIGURATION_APPLIED,
        Event.CONFIGURATION_IN_FORCE,
        Event.CONFIGURATION_REJECTED,
        Event.LEASE_TAKEN,
        Event.LEASE_LOST,
        Event.PLACEMENT_DECIDED,
    }
)  # decisions about single requests are shown by ``chivewall explain`` instead


@frozen
class EventSeen:
    """A log event and the time on the process's clock at which it was emitted."""

    event: Event
    fields: dict[str, Any]
    at: float


@frozen
class Sample:
    """A request that ended; ``None`` if it was refused before its first token."""

    at: float
    first_token_seconds: float | None


@frozen
class RankService:
    """Latency figures of one rank over the window.

    ``within`` is the share of requests whose first token met the target.
    ``within`` and ``p95_ms`` are ``None`` without requests.
    """

    requests: int
    within: float | None
    p95_ms: float | None


@frozen
class Decision:
    """A decision event and its age in seconds."""

    event: Event
    fields: dict[str, Any]
    seconds_ago: float


@define(eq=False)
class ShowService(Query):
    """Query for the ``RankService`` of each rank; ``targets`` holds milliseconds by rank."""

    targets: dict[str, float]


@define(eq=False)
class ShowDecisions(Query):
    """Query for the latest ``Decision`` values, newest first."""


def measure(samples: list[Sample], target_ms: float) -> RankService:
    """Return the share of requests whose first token met the target, and the p95 latency.

    A request without a first token counts as a miss and is left out of the p95.
    """
    if not samples:
        return RankService(requests=0, within=None, p95_ms=None)
    times = sorted(
        one.first_token_seconds * MS_PER_SECOND
        for one in samples
        if one.first_token_seconds is not None
    )
    within = sum(one <= target_ms for one in times) / len(samples)
    p95 = times[math.ceil(PERCENTILE * len(times)) - 1] if times else None
    return RankService(requests=len(samples), within=within, p95_ms=p95)


@define
class Windows:
    """Samples of the latest ended requests, by rank."""

    ranks: dict[str, deque[Sample]] = field(factory=dict)

    def add(self, rank: str, sample: Sample) -> None:
        """Add the sample of a request that ended."""
        self.ranks.setdefault(rank, deque(maxlen=WINDOW_REQUESTS)).append(sample)

    def recent(self, rank: str, now: float) -> list[Sample]:
        """Return the samples of a rank that lie within the window."""
        return [one for one in self.ranks.get(rank, ()) if one.at > now - WINDOW_SECONDS]


class Activity(Task):
    """Task that records ended requests and decisions and answers status queries."""

    def __init__(self, env: Environment) -> None:
        super().__init__()
        self.env = env
        self.windows = Windows()
        self.decisions: deque[EventSeen] = deque(maxlen=DECISIONS)

    def observe(self, event: Event, fields: dict[str, Any]) -> None:
        """Send the events that the task records to its inbox; called for every log event."""
        if event is Event.REQUEST_ENDED or event in DECISION_EVENTS:
            self.tell(EventSeen(event=event, fields=fields, at=self.env.now))

    @singledispatchmethod
    async def receive(self, message: object) -> None:
        """Handle one message."""
        raise TypeError(f"unexpected message {message!r}")

    @receive.register
    async def _(self, message: EventSeen) -> None:
        fields = message.fields
        if message.event in DECISION_EVENTS:
            self.decisions.appendleft(message)
        elif fields["outcome"] != CANCELLED:
            sample = Sample(message.at, fields.get("first_token_seconds"))
            self.windows.add(fields["rank"], sample)

    @receive.register
    async def _(self, message: ShowService) -> None:
        now = self.env.now
        message.answer(
            {
                rank: measure(self.windows.recent(rank, now), target_ms)
                for rank, target_ms in message.targets.items()
            }
        )

    @receive.register
    async def _(self, message: ShowDecisions) -> None:
        now = self.env.now
        message.answer(
            tuple(
                Decision(one.event, one.fields, seconds_ago=now - one.at) for one in self.decisions
            )
        )
