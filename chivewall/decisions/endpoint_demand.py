"""Measures how much work arrives for the endpoints of one service, by data centre and rank."""

import math

from attrs import define, field, frozen

from chivewall.gateway.routing_configuration import Stage

BUCKET_SECONDS = 0.5  # work is summed over this time, so that a busy service costs little memory
# Longest time over which the work is averaged.
MAX_WINDOW_SECONDS = 15.0
# Time after which a set of endpoints that has not changed counts as settled: an endpoint that has
# just started has no work yet, and the load of one that has left moves to the others.
SETTLED_SECONDS = 5.0


@frozen
class DataCentreLoad:
    """The endpoints of a service in one data centre, and the work that is sent to them."""

    data_centre: str
    endpoints: int  # listed ones that are not leaving
    usable: int  # of these, those that may get work now
    prefill_engines: int  # of the usable ones
    # Seconds of an engine's time for prefill that are sent in a second, by rank.
    prefill: tuple[tuple[int, float], ...] = ()
    running: float = 0.0  # requests in flight at endpoints that answer them
    leaving: int = 0

    @property
    def answering(self) -> int:
        """Return the number of usable endpoints that answer requests: all but prefill engines."""
        return self.usable - self.prefill_engines


@frozen
class ServiceDemand:
    """The load of a service in all its data centres, at one moment."""

    service: str
    data_centres: tuple[DataCentreLoad, ...]
    requests_per_endpoint: float  # that an endpoint answers at once without becoming slow
    queue_seconds: float = 0.0  # wait at the least loaded prefill engine
    cached_share: float = 0.0  # share of the prompts' prefill time that prefix caches save
    stage_changing: bool = False  # an engine is changing between prefill and decode


@define
class EndpointDemand:
    """Sums the prefill work of one service in buckets, and averages it over a window."""

    # Start of a bucket to the engine seconds sent in it, by data centre and rank.
    _buckets: dict[float, dict[tuple[str, int], float]] = field(factory=dict, init=False)
    _sent_seconds: float = field(default=0.0, init=False)  # of own prompts, decaying
    _saved_seconds: float = field(default=0.0, init=False)  # by prefix caches, decaying
    _decayed_at: float = field(default=0.0, init=False)

    def add(self, data_centre: str, rank: int, seconds: float, now: float) -> None:
        """Record the prefill time, in engine seconds, of a prompt that was sent."""
        start = math.floor(now / BUCKET_SECONDS) * BUCKET_SECONDS
        if start not in self._buckets:
            self._drop_old(now)
        bucket = self._buckets.setdefault(start, {})
        bucket[data_centre, rank] = bucket.get((data_centre, rank), 0.0) + seconds

    def add_prompt(self, sent_seconds: float, whole_seconds: float, now: float) -> None:
        """Record the prefill time of a prompt with the expected cached prefix, and without."""
        factor = math.exp((self._decayed_at - now) / MAX_WINDOW_SECONDS)
        saved = max(0.0, whole_seconds - sent_seconds)
        self._sent_seconds = self._sent_seconds * factor + sent_seconds
        self._saved_seconds = self._saved_seconds * factor + saved
        self._decayed_at = now

    @property
    def cached_share(self) -> float:
        """Return the share of the prompts' prefill time that prefix caches save."""
        whole = self._sent_seconds + self._saved_seconds
        return self._saved_seconds / whole if whole else 0.0

    def prefill(self, data_centre: str, window: float, now: float) -> tuple[tuple[int, float], ...]:
        """Return the engine seconds that were sent in a second of the window, by rank."""
        window = min(window, MAX_WINDOW_SECONDS)
        since = now - window
        sums: dict[int, float] = {}
        for start, bucket in self._buckets.items():
            if start < since:
                continue
            for (place, rank), seconds in bucket.items():
                if place == data_centre:
                    sums[rank] = sums.get(rank, 0.0) + seconds
        return tuple((rank, one / window) for rank, one in sorted(sums.items()))

    def _drop_old(self, now: float) -> None:
        limit = now - MAX_WINDOW_SECONDS - BUCKET_SECONDS
        for start in [one for one in self._buckets if one < limit]:
            del self._buckets[start]


@define
class EndpointSet:
    """The endpoints of a service that stay, and when they last changed."""

    _stages: dict[str, Stage] | None = field(default=None, init=False)  # by endpoint id
    _changed_at: float = field(default=-math.inf, init=False)
    _stage_changed_at: float = field(default=-math.inf, init=False)

    def update(self, stages: dict[str, Stage], now: float) -> None:
        """Record the endpoints that are listed and not leaving."""
        known, self._stages = self._stages, stages
        if known is None:
            return
        if known.keys() != stages.keys():
            self._changed_at = now
        if any(stages.get(one, stage) is not stage for one, stage in known.items()):
            self._stage_changed_at = now

    def settled(self, now: float) -> bool:
        """Return whether no endpoint has come or left for a while."""
        return now - self._changed_at >= SETTLED_SECONDS

    def stages_settled(self, now: float) -> bool:
        """Return whether no endpoint has changed its stage for a while."""
        return now - self._stage_changed_at >= SETTLED_SECONDS
