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
MAX_WINDOW_REQUESTS = 2000  # per rank; bounds the memory of a busy entry to some hundred KB
MAX_DECISIONS = 10  # decisions kept for the status
PERCENTILE = 0.95
MS_PER_SECOND = 1000
# Outcome that is not counted, because a caller that disconnects is not a failure to serve.
CANCELLED_OUTCOME = "CANCELLED"
# Decisions about single requests are left out: ``chivewall explain`` shows them.
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
)


@frozen
class RecordedEvent:
    """A log event and the time on the process's clock at which it was emitted."""

    event: Event
    fields: dict[str, Any]
    at: float


@frozen
class RequestSample:
    """A request that ended; ``None`` if it was refused before its first token."""

    at: float
    first_token_seconds: float | None


@frozen
class RankLatency:
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
class GetRankLatency(Query):
    """Query for the ``RankLatency`` of each rank; ``targets`` holds milliseconds by rank."""

    targets: dict[str, float]


@define(eq=False)
class GetDecisions(Query):
    """Query for the latest ``Decision`` values, newest first."""


def summarise_rank(samples: list[RequestSample], target_ms: float) -> RankLatency:
    """Return the share of requests whose first token met the target, and the p95 latency.

    A request without a first token counts as a miss and is left out of the p95.
    """
    if not samples:
        return RankLatency(requests=0, within=None, p95_ms=None)
    times = sorted(
        one.first_token_seconds * MS_PER_SECOND
        for one in samples
        if one.first_token_seconds is not None
    )
    within = sum(one <= target_ms for one in times) / len(samples)
    p95 = times[math.ceil(PERCENTILE * len(times)) - 1] if times else None
    return RankLatency(requests=len(samples), within=within, p95_ms=p95)


@define
class RequestWindows:
    """Samples of the latest ended requests, by rank."""

    samples_by_rank: dict[str, deque[RequestSample]] = field(factory=dict)

    def add(self, rank: str, sample: RequestSample) -> None:
        """Add the sample of a request that ended."""
        self.samples_by_rank.setdefault(rank, deque(maxlen=MAX_WINDOW_REQUESTS)).append(sample)

    def recent(self, rank: str, now: float) -> list[RequestSample]:
        """Return the samples of a rank that lie within the window."""
        return [one for one in self.samples_by_rank.get(rank, ()) if one.at > now - WINDOW_SECONDS]


class ActivityTask(Task):
    """Task that records ended requests and decisions and answers status queries."""

    def __init__(self, env: Environment) -> None:
        super().__init__()
        self.env = env
        self.request_windows = RequestWindows()
        self.decisions: deque[RecordedEvent] = deque(maxlen=MAX_DECISIONS)

    def observe(self, event: Event, fields: dict[str, Any]) -> None:
        """Send the events that the task records to its inbox; called for every log event."""
        if event is Event.REQUEST_ENDED or event in DECISION_EVENTS:
            self.send(RecordedEvent(event=event, fields=fields, at=self.env.now))

    @singledispatchmethod
    async def receive(self, message: object) -> None:
        """Handle one message."""
        raise TypeError(f"unexpected message {message!r}")

    @receive.register
    async def _(self, message: RecordedEvent) -> None:
        fields = message.fields
        if message.event in DECISION_EVENTS:
            self.decisions.appendleft(message)
        elif fields["outcome"] != CANCELLED_OUTCOME:
            sample = RequestSample(message.at, fields.get("first_token_seconds"))
            self.request_windows.add(fields["rank"], sample)

    @receive.register
    async def _(self, message: GetRankLatency) -> None:
        now = self.env.now
        message.reply(
            {
                rank: summarise_rank(self.request_windows.recent(rank, now), target_ms)
                for rank, target_ms in message.targets.items()
            }
        )

    @receive.register
    async def _(self, message: GetDecisions) -> None:
        now = self.env.now
        message.reply(
            tuple(
                Decision(one.event, one.fields, seconds_ago=now - one.at) for one in self.decisions
            )
        )
