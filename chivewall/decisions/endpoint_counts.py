"""Decides how many endpoints of a service to order in each data centre.

A missing endpoint makes requests late or refused, which can't be made up for later; a spare one
costs its time. More are therefore ordered as soon as the average demand over the time that a start
takes leaves too little room, and fewer only after the demand of a whole holding time would have fit
in them.
"""

import math
from collections import deque

from attrs import define, evolve, field, frozen

from chivewall.decisions.endpoint_demand import (
    MAX_WINDOW_SECONDS,
    DataCentreLoad,
    ServiceDemand,
)
from chivewall.decisions.stages import MIN_DECODERS, QUEUED_PREFILL_SECONDS, QUEUED_SAMPLES
from chivewall.gateway.routing_configuration import EndpointScale

# Share of the endpoints' time that demand may use. The rest is what callers need so as not to wait
# for each other, and for more demand while an endpoint starts. Ranks from ``PATIENT_RANK`` on can
# wait for a gap between more urgent requests, so they fill more of the time.
URGENT_SHARE = 0.6
PATIENT_SHARE = 0.8
PATIENT_RANK = 2
MIN_WINDOW_SECONDS = 3.0  # shortest time over which the demand is averaged
# Time of an endpoint that a removal costs beside its next start: it drains, and the prompts that it
# had cached are prefilled again elsewhere.
REMOVAL_SECONDS = 10.0
LIST_SECONDS = 4.0  # from the start of an endpoint until the gateways know it, at most
RETRY_SECONDS = 2.0  # pause after an order that the platform did not accept
# Consecutive samples with a queue before an endpoint is ordered for it: a change of stage, which
# takes effect earlier, is proposed after fewer.
LASTING_QUEUE_SAMPLES = 2 * QUEUED_SAMPLES
SPARE_MARGIN = 0.25  # endpoints by which the remaining ones must exceed the demand


@frozen
class CountOrder:
    """The number of endpoints to order in a data centre."""

    data_centre: str
    count: int
    reason: str


@frozen
class KnownOrder:
    """The latest order for a data centre that this process knows of."""

    count: int
    at: float  # when it was made or learned of


def window_seconds(scale: EndpointScale) -> float:
    """Return the time over which the demand is averaged.

    A burst that is shorter than the start of an endpoint has ended when the endpoint serves, so it
    counts only by its part of this time.
    """
    return min(MAX_WINDOW_SECONDS, max(MIN_WINDOW_SECONDS, scale.start_seconds))


def holding_seconds(scale: EndpointScale) -> float:
    """Return the time for which endpoints must have been spare before one is removed.

    It is what the removal costs if the endpoint is needed again, in time of an endpoint. Keeping a
    spare endpoint then costs at most as much as a removal that was made too early.
    """
    return window_seconds(scale) + scale.start_seconds + REMOVAL_SECONDS


@frozen
class Need:
    """Endpoints that the demand needs, as a fraction of an endpoint's time."""

    prefill: float = 0.0
    answering: float = 0.0

    @property
    def total(self) -> float:
        """Return the number of endpoints."""
        return self.prefill + self.answering

    def __add__(self, other: "Need") -> "Need":
        return Need(self.prefill + other.prefill, self.answering + other.answering)


def needed(load: DataCentreLoad, requests_per_endpoint: float) -> Need:
    """Return the endpoints that the demand of a data centre needs."""
    prefill = sum(
        seconds / (URGENT_SHARE if rank < PATIENT_RANK else PATIENT_SHARE)
        for rank, seconds in load.prefill
    )
    return Need(prefill, load.running / (requests_per_endpoint * URGENT_SHARE))


@define
class EndpointCounts:
    """Decides the numbers of one service's endpoints from samples of its load."""

    scale: EndpointScale
    orders: dict[str, KnownOrder] = field(factory=dict, init=False)  # by data centre
    _not_before: dict[str, float] = field(factory=dict, init=False)  # by data centre
    # Time, need of the service, and endpoints that could get no work; over the holding time.
    _samples: deque[tuple[float, Need, int]] = field(factory=deque, init=False)
    _ordered_at: float = field(default=-math.inf, init=False)  # time of the latest order
    _began_at: float | None = field(default=None, init=False)
    _queued_samples: int = field(default=0, init=False)

    def record_order(self, data_centre: str, count: int, now: float) -> None:
        """Record an order that was made, or may have been, by this holder or a former one."""
        self.orders[data_centre] = KnownOrder(count, now)
        self._ordered_at = now

    def record_refused(self, data_centre: str, now: float) -> None:
        """Record that an order was not made."""
        self.orders.pop(data_centre, None)
        self._not_before[data_centre] = now + RETRY_SECONDS

    def record_held(self, data_centre: str, now: float) -> None:
        """Record that no order can be made now, though the latest one is known."""
        self._not_before[data_centre] = now + RETRY_SECONDS

    def pause(self) -> None:
        """Forget the load that was seen, as this process doesn't decide any more."""
        self._samples.clear()
        self._began_at, self._queued_samples = None, 0

    def sample(self, demand: ServiceDemand, now: float) -> CountOrder | None:
        """Record the load; return the next order, if there is one to make."""
        self._record(demand, now)
        more = self._more(demand, now)
        if more is not None or demand.stage_changing:
            return more
        return self._fewer(demand, now)

    def _record(self, demand: ServiceDemand, now: float) -> None:
        if self._began_at is None:
            self._began_at = now
        need = sum(
            (needed(one, demand.requests_per_endpoint) for one in demand.data_centres), Need()
        )
        unusable = sum(one.endpoints - one.usable for one in demand.data_centres)
        self._samples.append((now, need, unusable))
        while self._samples[0][0] < now - holding_seconds(self.scale):
            self._samples.popleft()
        # During a change of stage, a queue says nothing about the number of engines.
        queued = demand.queue_seconds > QUEUED_PREFILL_SECONDS and not demand.stage_changing
        self._queued_samples = self._queued_samples + 1 if queued else 0

    def _more(self, demand: ServiceDemand, now: float) -> CountOrder | None:
        if now - self._began_at < window_seconds(self.scale):
            return None
        need = self._average(now)
        has = self._serving(demand, now)
        wanted = math.ceil(need.total - SPARE_MARGIN)
        if self._queued_samples >= LASTING_QUEUE_SAMPLES and not self._awaited(demand, now):
            wanted = max(wanted, has + 1)  # the estimates of the engines' speed are too good
        if wanted <= has:
            return None
        open_places = [
            one
            for one in demand.data_centres
            if self._may_order(one, now) and self._count(one, now) < self.scale.maximum
        ]
        if not open_places:
            return None
        # The place with the most demand for each endpoint, of those where one may be ordered.
        place = max(open_places, key=lambda one: (self._load(one, demand, now), one.data_centre))
        count = self._count(place, now)
        # The others follow with the next samples, where each endpoint then has the most demand.
        part = math.ceil((wanted - has) / len(demand.data_centres))
        added = min(self.scale.maximum - count, part)
        reason = f"{need.total:.1f} endpoints needed, {has} serve or start"
        return CountOrder(place.data_centre, count + added, reason)

    def _fewer(self, demand: ServiceDemand, now: float) -> CountOrder | None:
        if self._began_at is None or now - self._began_at < holding_seconds(self.scale):
            return None
        if now - self._ordered_at < REMOVAL_SECONDS or self._awaited(demand, now):
            return None
        if any(one.leaving for one in demand.data_centres):
            return None  # one at a time, so that the others take over its work first
        peak = Need(
            max(one.prefill for _, one, _ in self._samples),
            max(one.answering for _, one, _ in self._samples),
        )
        left = sum(one.usable for one in demand.data_centres) - 1
        if left < 1:
            return None
        prefill = peak.prefill + self._reread(demand, peak.prefill, left)
        if prefill + peak.answering + SPARE_MARGIN > left:
            return None
        places = [
            one
            for one in demand.data_centres
            if self._may_order(one, now)
            and one.endpoints == one.usable
            and one.endpoints > max(self.scale.minimum, 1)
            and self._keeps_balance(one, demand, evolve(peak, prefill=prefill))
        ]
        if not places:
            return None
        place = min(places, key=lambda one: (self._load(one, demand, now), one.data_centre))
        reason = f"{prefill + peak.answering:.1f} endpoints needed at most, {left + 1} serve"
        return CountOrder(place.data_centre, place.endpoints - 1, reason)

    def _keeps_balance(self, place: DataCentreLoad, demand: ServiceDemand, peak: Need) -> bool:
        """Return whether the rest suffices whichever engine the platform takes away there."""
        prefill_engines = sum(one.prefill_engines for one in demand.data_centres)
        answering = sum(one.answering for one in demand.data_centres)
        if prefill_engines and place.prefill_engines and prefill_engines - 1 < peak.prefill:
            return False
        least = max(peak.answering, MIN_DECODERS if prefill_engines else 1)
        return not place.answering or answering - 1 >= least

    def _reread(self, demand: ServiceDemand, prefill: float, left: int) -> float:
        """Return the extra need while the prompts that one endpoint had cached are read again."""
        if not demand.cached_share:
            return 0.0
        saved = prefill * demand.cached_share / max(0.1, 1 - demand.cached_share)
        return saved / (left + 1)

    def _average(self, now: float) -> Need:
        """Return the need, with the requests in flight averaged over the window too."""
        since = now - window_seconds(self.scale)
        recent = [one for at, one, _ in self._samples if at >= since]
        answering = sum(one.answering for one in recent) / len(recent)
        return Need(recent[-1].prefill, answering)

    def _serving(self, demand: ServiceDemand, now: float) -> int:
        """Return the endpoints that serve or start.

        One that gets no work now is not counted as missing until it has been so for longer than
        the start of another one takes.
        """
        since = now - self.scale.start_seconds - LIST_SECONDS
        began_before = self._began_at is not None and self._began_at <= since
        unusable = min(one for at, _, one in self._samples if at >= since) if began_before else 0
        return sum(self._count(one, now) for one in demand.data_centres) - unusable

    def _count(self, place: DataCentreLoad, now: float) -> int:
        """Return the number that is ordered, or the listed one once the order must have shown."""
        order = self.orders.get(place.data_centre)
        if order is None or now >= order.at + self.scale.start_seconds + LIST_SECONDS:
            return place.endpoints
        return order.count

    def _may_order(self, place: DataCentreLoad, now: float) -> bool:
        return self._not_before.get(place.data_centre, -math.inf) <= now

    def _awaited(self, demand: ServiceDemand, now: float) -> bool:
        """Return whether an order has not had its effect yet."""
        return any(self._count(one, now) != one.endpoints for one in demand.data_centres)

    def _load(self, place: DataCentreLoad, demand: ServiceDemand, now: float) -> float:
        need = needed(place, demand.requests_per_endpoint).total
        return need / max(1, self._count(place, now))
