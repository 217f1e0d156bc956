"""A task that follows the event log: service by rank and the latest decisions, for operators."""

import math
from collections import deque
from functools import singledispatchmethod
from typing import Any

from attrs import define, field, frozen

from chivewall.environment import Environment
from chivewall.events import Event
from chivewall.task import Query, Task

WINDOW_SECONDS = 300.0  # requests that ended earlier are not shown
WINDOW_REQUESTS = 2000  # by rank; bounds the memory of a busy entry to some hundred KB
DECISIONS = 10
PERCENTILE = 0.95
MS_PER_SECOND = 1000
CANCELLED = "CANCELLED"  # a caller that leaves says nothing about the service
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
)  # those about single requests are in ``explain``


@frozen
class EventSeen:
    """An event was written at this time."""

    event: Event
    fields: dict[str, Any]
    at: float


@frozen
class Sample:
    """A request that ended; without a first token if it was refused before one."""

    at: float
    first_token_seconds: float | None


@frozen
class RankService:
    """What a rank got in the window; ``within`` and ``p95_ms`` are ``None`` without requests."""

    requests: int
    within: float | None
    p95_ms: float | None


@frozen
class Decision:
    """A decision and how long ago it was made."""

    event: Event
    fields: dict[str, Any]
    seconds_ago: float


@define(eq=False)
class ShowService(Query):
    """Ask for ``RankService`` by rank; the targets are in milliseconds by rank."""

    targets: dict[str, float]


@define(eq=False)
class ShowDecisions(Query):
    """Ask for the latest ``Decision`` values, newest first."""


def measure(samples: list[Sample], target_ms: float) -> RankService:
    """Return the share of requests whose first token came in time, and its p95.

    A request without a first token missed the target; it has no latency.
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
    """The latest ended requests by rank."""

    ranks: dict[str, deque[Sample]] = field(factory=dict)

    def add(self, rank: str, sample: Sample) -> None:
        """Add a request that ended."""
        self.ranks.setdefault(rank, deque(maxlen=WINDOW_REQUESTS)).append(sample)

    def recent(self, rank: str, now: float) -> list[Sample]:
        """Return the requests of a rank that ended within the window."""
        return [one for one in self.ranks.get(rank, ()) if one.at > now - WINDOW_SECONDS]


class Activity(Task):
    """Owns what operators are shown of the recent past."""

    def __init__(self, env: Environment) -> None:
        super().__init__()
        self.env = env
        self.windows = Windows()
        self.decisions: deque[EventSeen] = deque(maxlen=DECISIONS)

    def observe(self, event: Event, fields: dict[str, Any]) -> None:
        """Observe the event log: forward what the task keeps."""
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
