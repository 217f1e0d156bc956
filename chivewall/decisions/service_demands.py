"""The demand for the endpoints of those services whose number of endpoints is ordered."""

import math
from collections.abc import Iterable, Mapping

from attrs import define, field

from chivewall.decisions.availability import Availability
from chivewall.decisions.endpoint_demand import (
    DataCentreLoad,
    EndpointDemand,
    EndpointSet,
    ServiceDemand,
)
from chivewall.decisions.endpoint_record import MAX_REFUSAL_COOLDOWN_SECONDS, EndpointRecord
from chivewall.decisions.placement import MAX_RANK
from chivewall.decisions.sent_work import WorkItem
from chivewall.decisions.stages import CROWDED_DECODE_REQUESTS
from chivewall.gateway.http_dialect import RequestFields
from chivewall.gateway.routing_configuration import Stage


@define
class ServiceDemands:
    """Measures the services that are followed; work of others is not recorded."""

    windows: dict[str, float] = field(factory=dict)  # seconds of averaging, by service
    _demands: dict[str, EndpointDemand] = field(factory=dict, init=False)
    _sets: dict[str, EndpointSet] = field(factory=dict, init=False)
    _awaited_until: dict[str, float] = field(factory=dict, init=False)

    def follow(self, windows: Mapping[str, float]) -> None:
        """Follow these services only."""
        self.windows = dict(windows)
        for known in (self._demands, self._sets, self._awaited_until):
            for service in known.keys() - self.windows.keys():
                del known[service]

    def expect_change(self, service: str, until: float) -> None:
        """Record that an order changes the number of a service's endpoints."""
        self._awaited_until[service] = until

    def add_work(self, state: EndpointRecord, item: WorkItem, seconds: float, now: float) -> None:
        """Record the prefill time, in engine seconds, of work that a gateway sent."""
        if state.info.service in self.windows:
            demand = self._demands.setdefault(state.info.service, EndpointDemand())
            demand.add(state.info.data_centre, item.rank, seconds, now)

    def add_prompt(
        self, state: EndpointRecord, fields: RequestFields, reference_seconds: float, now: float
    ) -> None:
        """Record how much of an own prompt is probably cached."""
        if state.info.service in self.windows and reference_seconds:
            whole = state.reference_prefill_seconds(fields.prompt_tokens, 0)
            demand = self._demands.setdefault(state.info.service, EndpointDemand())
            demand.add_prompt(reference_seconds, whole, now)

    def endpoints_settled(self, service: str, states: Iterable[EndpointRecord], now: float) -> bool:
        """Return whether no endpoint of a service starts or leaves because of an order."""
        if service not in self.windows:
            return True
        staying = self._update_set(service, states, now)
        return staying.settled(now) and self._awaited_until.get(service, -math.inf) <= now

    def measure(self, states: Iterable[EndpointRecord], now: float) -> list[ServiceDemand]:
        """Return the demand of each followed service that has endpoints."""
        by_service: dict[str, list[EndpointRecord]] = {}
        for one in states:
            if one.info.service in self.windows:
                by_service.setdefault(one.info.service, []).append(one)
        return [self._measure(one, by_service[one], now) for one in sorted(by_service)]

    def _measure(self, service: str, states: list[EndpointRecord], now: float) -> ServiceDemand:
        for one in states:
            one.work.expire(now)
        demand = self._demands.setdefault(service, EndpointDemand())
        places = sorted({one.info.data_centre for one in states})
        waits = [
            one.work.prefill_wait(now, MAX_RANK, one.speed(now))
            for one in states
            if one.prefills_first and one.is_usable(now)
        ]
        # Refusals end in shorter cooldowns than a change of stage.
        changing = any(one.cooldown_until > now + MAX_REFUSAL_COOLDOWN_SECONDS for one in states)
        settled = self._update_set(service, states, now).stages_settled(now)
        return ServiceDemand(
            service=service,
            data_centres=tuple(
                self._measure_place(
                    place, [one for one in states if one.info.data_centre == place], demand, now
                )
                for place in places
            ),
            requests_per_endpoint=max(1, min(_room(one) for one in states)),
            queue_seconds=min(waits, default=0.0),
            cached_share=demand.cached_share,
            stage_changing=changing or not settled,
        )

    def _measure_place(
        self, place: str, states: list[EndpointRecord], demand: EndpointDemand, now: float
    ) -> DataCentreLoad:
        staying = [one for one in states if one.availability is Availability.OPEN]
        usable = [one for one in staying if one.is_usable(now)]
        return DataCentreLoad(
            data_centre=place,
            endpoints=len(staying),
            usable=len(usable),
            prefill_engines=sum(one.prefills_first for one in usable),
            prefill=demand.prefill(place, self.windows[states[0].info.service], now),
            running=sum(one.in_flight for one in states if not one.prefills_first),
            leaving=sum(one.availability is Availability.LEAVING for one in states),
        )

    def _update_set(
        self, service: str, states: Iterable[EndpointRecord], now: float
    ) -> EndpointSet:
        staying = self._sets.setdefault(service, EndpointSet())
        staying.update(
            {
                one.info.id: one.info.stage
                for one in states
                if one.availability is Availability.OPEN
            },
            now,
        )
        return staying


def _room(state: EndpointRecord) -> int:
    """Return the requests that an endpoint answers at once without becoming slow."""
    if state.info.stage is Stage.NONE:
        return state.info.slots
    return min(state.info.slots, CROWDED_DECODE_REQUESTS)
