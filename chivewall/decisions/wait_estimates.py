"""Estimates the times for which a request waits at an endpoint besides its prefill."""

from chivewall.decisions.endpoint_record import EndpointRecord
from chivewall.decisions.placement_context import PlacementContext
from chivewall.gateway.http_dialect import RequestFields
from chivewall.gateway.routing_configuration import Stage

LOCAL_ROUND_TRIP_SECONDS = 0.0005  # round trip inside a data centre
REMOTE_ROUND_TRIP_SECONDS = 0.010  # round trip between data centres, plus a penalty for the traffic
# Cost of moving one token of a KV cache between data centres: the transfer takes twice as
# long as inside one, and traffic between data centres is more expensive.
REMOTE_KV_TOKEN_SECONDS = 1e-6
FAILURE_SECONDS = 0.5  # cost added for a failure share of 1
# Share of a first event's time by which each request above the slots of an engine delays it.
EXCESS_REQUEST_SHARE = 0.45
# Cost of asking another gateway for a permit; it also keeps a request at an endpoint for which it
# has a permit.
ASK_SECONDS = 0.01


class DecodeWaits:
    """The best decode engine in each data centre for a request that fetches its KV cache."""

    def __init__(
        self, fields: RequestFields, decoders: list[EndpointRecord], context: PlacementContext
    ) -> None:
        self._fetch_seconds = fields.prompt_tokens * REMOTE_KV_TOKEN_SECONDS
        # Wait, a random number that decides between equal engines, and the engine.
        self._best: dict[str, tuple[float, float, EndpointRecord]] = {}
        for one in decoders:
            prefill_wait = one.prefill_wait(context.now, context.rank)
            wait = decode_wait(one, context, prefill_wait, fetched=True)
            found = (wait, context.rng.random(), one)
            place = one.info.data_centre
            if place not in self._best or found[:2] < self._best[place][:2]:
                self._best[place] = found

    def best(self, kv_data_centre: str | None) -> tuple[float, EndpointRecord]:
        """Return the shortest wait for a KV cache that is kept in a data centre, and the engine."""
        wait, _, state = min(
            (wait + self._fetch_cost(kv_data_centre, place), chance, one)
            for place, (wait, chance, one) in self._best.items()
        )
        return wait, state

    def _fetch_cost(self, kv_data_centre: str | None, place: str) -> float:
        return 0.0 if kv_data_centre in (None, place) else self._fetch_seconds


def decode_wait(
    state: EndpointRecord, context: PlacementContext, prefill_wait: float, *, fetched: bool
) -> float:
    """Return the time from the send of a request to a decode engine to its first event.

    The prefill of its own prompt isn't included.
    """
    excess_requests = max(0, state.in_flight + 1 - state.info.slots)
    first_event = state.first_event_seconds(context.now, fetched=fetched)
    return (
        round_trip_seconds(state, context)
        + closed_seconds(state, context)
        + prefill_wait
        + first_event * (1 + EXCESS_REQUEST_SHARE * excess_requests)
        + FAILURE_SECONDS * state.current_failure_share(context.now)
    )


def queue_seconds(state: EndpointRecord, context: PlacementContext) -> float:
    """Return the part of a request's estimate in which others are before it."""
    excess_requests = max(0, state.in_flight + 1 - state.info.slots)
    if state.info.stage is Stage.NONE:
        waiting = state.call_seconds(context.now) * excess_requests / state.info.slots
    else:
        waiting = state.prefill_wait(context.now, context.rank)
        if not state.prefills_first:
            first_event = state.first_event_seconds(context.now, fetched=True)
            waiting += first_event * EXCESS_REQUEST_SHARE * excess_requests
    return waiting + closed_seconds(state, context)


def closed_seconds(state: EndpointRecord, context: PlacementContext) -> float:
    """Return the expected time until an endpoint takes the request, by what it says of itself."""
    pause_seconds = max(0.0, state.paused_until - context.now)
    if state.rate_limit is None or state.info.id in context.permits:
        return pause_seconds
    return max(pause_seconds, ASK_SECONDS + state.permit_wait(context.now, context.permit_rank))


def round_trip_seconds(state: EndpointRecord, context: PlacementContext) -> float:
    """Return the round trip to an endpoint, with a penalty for the traffic."""
    return (
        LOCAL_ROUND_TRIP_SECONDS
        if state.info.data_centre == context.data_centre
        else REMOTE_ROUND_TRIP_SECONDS
    )
