"""Chooses the endpoints of a forwarded request from what one gateway knows about them.

A choice looks at each endpoint once: the waits of the decode engines are worked out first, and
each prefill engine is combined with the best of them only.
"""

import math
import random
from enum import Enum
from hashlib import blake2b

from attrs import define, evolve, frozen

from chivewall.decisions.availability import Availability
from chivewall.decisions.endpoint_record import EndpointRecord, PrefixChain, prefix_chain
from chivewall.decisions.overload import Overloaded, admit
from chivewall.decisions.prefix_sources import PrefixSource, PrefixSources, fetch_seconds
from chivewall.gateway.http_dialect import RequestFields
from chivewall.gateway.rate_limit_messages import PermitNeed
from chivewall.gateway.routing_configuration import EndpointInfo, Stage

LOCAL_ROUND_TRIP_SECONDS = 0.0005  # round trip inside a data centre
REMOTE_ROUND_TRIP_SECONDS = 0.010  # round trip between data centres, plus a penalty for the traffic
# Cost of moving one token of a KV cache between data centres: the transfer takes twice as
# long as inside one, and traffic between data centres is more expensive.
REMOTE_KV_TOKEN_SECONDS = 1e-6
FAILURE_SECONDS = 0.5  # cost added for a failure share of 1
# Share of a first event's time by which each request above the slots of an engine delays it.
EXCESS_REQUEST_SHARE = 0.45
# A decode engine prefills in chunks between the decode steps of its streams. A prefill backlog
# longer than this share of the largest pause allowed delays the streams for longer than that.
DECODE_BACKLOG_SHARE = 2 / 3
BACKLOG_EXCESS_WEIGHT = 4.0  # cost of each second above that limit; favours a busier prefill engine
STALL_WEIGHT = 0.05  # cost of each second by which a prefill delays a running stream
EARLY_WEIGHT = 0.25  # cost of a second of delay while the objective can still be met
# Cost of asking another gateway for a permit; it also keeps a request at an endpoint for which it
# has a permit.
ASK_SECONDS = 0.01
SLACK_SHARE = 0.8  # usable share of the time to the objective; estimates are off by some tenths
# A request whose estimate takes more than this share of the slack yields to others: with queues
# at the full slack, half of the requests would miss their objective by a little.
ON_TIME_SHARE = 0.7
# A request whose estimate at this rank takes at most this share of its slack is sent with the rank.
PATIENT_RANK = 2  # the least urgent rank of requests that meet their objective
PATIENT_SHARE = 0.35
MAX_RANK = 9  # the least urgent rank
LATE_RANK_INCREASE = 3  # added to the rank of a request that misses its objective anyway
# Largest extra cost accepted at the endpoint that the prefix hashes to, in seconds at the reference
# speed. It is at most the time to prefill the shared part: gateways that send short shared parts
# to one decode engine at the same moment hold up its streams.
HASH_PREFERENCE_SECONDS = 0.15


@frozen
class Placement:
    """The endpoints chosen for one attempt."""

    endpoint: EndpointInfo
    prefill_engine: EndpointInfo | None  # if set, prefills first and hands its KV cache over
    estimate: float  # seconds to the first event or the response
    uncached_tokens: int  # prompt tokens to prefill
    reason: str
    reference_seconds: float = 0.0  # prefill time of these tokens at the reference speed
    prefix_source: EndpointInfo | None = None  # engine from which the prompt's start is fetched
    decode_backlog_seconds: float = 0.0  # seconds of prefill that then wait at a decode engine
    rank: int = 0  # rank to send it with
    needs: tuple[PermitNeed, ...] = ()  # permits to acquire before it is sent
    not_before: float = -math.inf  # when the last pause of these endpoints ends


@frozen
class PlacementContext:
    """Circumstances of a choice: place, time and state of the request."""

    data_centre: str  # data centre of the gateway
    now: float
    rng: random.Random
    excluded: frozenset[str] = frozenset()  # ids of endpoints that must not get the request
    rank: int = 0  # of the request's route; 0 is the most urgent
    slack_seconds: float = math.inf  # seconds left to the route's objective
    time_left_seconds: float = math.inf  # seconds left to the request's deadline
    committed: bool = False  # it may have run, or a part of its response was sent
    pause_seconds: float = 0.3  # longest pause between events that the route's objective allows
    kv_data_centre: str | None = None  # data centre of the engine that keeps the KV cache
    last_resort: bool = True  # endpoints that had better get no work are chosen as a last resort
    permits: frozenset[str] = frozenset()  # ids of endpoints for which the request has a permit
    # Rank of its asks for permits. A late request doesn't yield here: unlike the time of an engine,
    # a permit costs the others the same whether the request is late or not.
    permit_rank: int = 0


class PromptState(Enum):
    """Where the prompt of a request is, or has to be, prefilled."""

    NOT_PREFILLED = "not prefilled"  # a prefill engine may prefill it first
    PREFILLED = "prefilled"  # an engine keeps its KV cache until it is fetched
    PREFILL_AT_DECODER = "prefill at decoder"  # the decode engine has to prefill it


def choose(
    fields: RequestFields,
    states: list[EndpointRecord],
    context: PlacementContext,
    prompt: PromptState = PromptState.NOT_PREFILLED,
) -> Placement | Overloaded | None:
    """Return the placement of the next attempt.

    ``None``: no endpoint can take it. ``Overloaded``: it would be answered too late.
    """
    usable = _usable(states, context)
    if not usable:
        return None
    found = _choose(fields, usable, context, prompt)
    if not isinstance(found, Placement):
        return found
    chosen = _chosen(found, usable)
    return evolve(
        found,
        needs=_permit_needs(chosen, context),
        not_before=max(one.paused_until for one in chosen),
    )


def _choose(
    fields: RequestFields,
    usable: list[EndpointRecord],
    context: PlacementContext,
    prompt: PromptState,
) -> Placement | Overloaded | None:
    if all(one.info.stage is Stage.NONE for one in usable):
        placement = _choose_service_endpoint(usable, context)
        return _admitted(placement, usable, context)
    if prompt is not PromptState.PREFILLED:
        patient = _choose_patiently(fields, usable, context, prompt)
        if patient is not None:
            return patient
    placement = _choose_at_rank(fields, usable, context, prompt)
    if placement is None or prompt is PromptState.PREFILLED:
        return placement  # once its prompt is prefilled, a request is finished soon
    if placement.estimate > ON_TIME_SHARE * context.slack_seconds:
        # It misses its objective anyway, so it yields to requests that can meet theirs.
        late_rank = min(MAX_RANK, context.rank + LATE_RANK_INCREASE)
        late = evolve(context, rank=late_rank)
        placement = _choose_at_rank(fields, usable, late, prompt)
        return _admitted(placement, usable, late, _overtaken_seconds(placement, usable, late))
    return _admitted(placement, usable, context)


def _choose_patiently(
    fields: RequestFields,
    usable: list[EndpointRecord],
    context: PlacementContext,
    prompt: PromptState,
) -> Placement | None:
    """Return the placement of a request that can wait its turn among less urgent ones, or ``None``.

    Without this, urgent requests that have seconds left overtake others that have not.
    """
    if context.rank >= PATIENT_RANK:
        return None
    found = _choose_at_rank(fields, usable, evolve(context, rank=PATIENT_RANK), prompt)
    in_time = found is not None and found.estimate <= PATIENT_SHARE * context.slack_seconds
    return found if in_time else None


def _chosen(placement: Placement, usable: list[EndpointRecord]) -> list[EndpointRecord]:
    """Return the records of a placement's endpoints, the one that runs the request first."""
    infos = (placement.endpoint, placement.prefill_engine)
    return [one for info in infos for one in usable if one.info is info]


def _permit_needs(
    chosen: list[EndpointRecord], context: PlacementContext
) -> tuple[PermitNeed, ...]:
    """Return the permits that the chosen endpoints need, in their order.

    Without one for a prefill engine, the decode engine can prefill the prompt itself.
    """
    return tuple(
        PermitNeed(
            endpoint=one.info.id,
            rate=one.rate_limit,
            stated_at=one.limit.received_at,
            rank=context.permit_rank,
            wait=one.permit_wait(context.now, context.permit_rank),
        )
        for one in chosen
        if one.rate_limit is not None and one.info.id not in context.permits
    )


def _closed_seconds(state: EndpointRecord, context: PlacementContext) -> float:
    """Return the expected time until an endpoint takes the request, by what it says of itself."""
    pause_seconds = max(0.0, state.paused_until - context.now)
    if state.rate_limit is None or state.info.id in context.permits:
        return pause_seconds
    return max(pause_seconds, ASK_SECONDS + state.permit_wait(context.now, context.permit_rank))


def _admitted(
    placement: Placement,
    usable: list[EndpointRecord],
    context: PlacementContext,
    overtaken_seconds: float = 0.0,
) -> Placement | Overloaded:
    if context.committed:
        return placement  # a refusal would not be true, or would cut its stream
    chosen = _chosen(placement, usable)
    # Failures make an endpoint less attractive, but callers don't wait for them.
    failure_seconds = FAILURE_SECONDS * sum(
        one.current_failure_share(context.now) for one in chosen
    )
    refused = admit(
        placement.estimate - failure_seconds + overtaken_seconds,
        context.slack_seconds,
        context.time_left_seconds,
        context.rng,
        closed_seconds=sum(_closed_seconds(one, context) for one in chosen),
    )
    return placement if refused is None else refused


def _overtaken_seconds(
    placement: Placement, usable: list[EndpointRecord], context: PlacementContext
) -> float:
    """Return the extra wait of a late prompt for more urgent ones that are yet to come.

    Without it a late request would be admitted, overtaken by all others and not served.
    """
    engine = placement.prefill_engine or placement.endpoint
    state = next(one for one in usable if one.info.id == engine.id)
    return state.overtaken_seconds(context.now, context.rank)


def _choose_at_rank(
    fields: RequestFields,
    usable: list[EndpointRecord],
    context: PlacementContext,
    prompt: PromptState,
) -> Placement | None:
    decoders = [one for one in usable if not one.prefills_first]
    if not decoders:
        return None
    if prompt is PromptState.PREFILLED:
        return _choose_decoder(fields, decoders, context)
    prefill_engines = (
        []
        if prompt is PromptState.PREFILL_AT_DECODER
        else [one for one in usable if one.prefills_first]
    )
    return _choose_engine(fields, decoders, prefill_engines, context)


def _usable(states: list[EndpointRecord], context: PlacementContext) -> list[EndpointRecord]:
    staying = [
        one
        for one in states
        if one.availability is not Availability.LEAVING and one.info.id not in context.excluded
    ]
    if not context.last_resort:
        return [one for one in staying if one.is_usable(context.now)]
    present = [one for one in staying if one.availability is Availability.OPEN] or staying
    steady = [one for one in present if one.cooldown_until <= context.now] or present
    return [one for one in steady if one.avoid_until <= context.now] or steady


def _choose_service_endpoint(states: list[EndpointRecord], context: PlacementContext) -> Placement:
    def cost(state: EndpointRecord) -> float:
        waiting = max(0, state.in_flight + 1 - state.info.slots) / state.info.slots
        call_seconds = state.service_speeds.current.call_seconds * state.slowness.factor(
            context.now
        )
        return (
            _round_trip_seconds(state, context)
            + _closed_seconds(state, context)
            + call_seconds * (1 + waiting + 0.5 * state.in_flight / state.info.slots)
            + FAILURE_SECONDS * state.current_failure_share(context.now)
            + state.info.warmup_left_ms * 1e-6
        )

    best = min(states, key=lambda one: (cost(one), context.rng.random()))
    return Placement(best.info, None, cost(best), 0, "lowest cost")


def _choose_decoder(
    fields: RequestFields, decoders: list[EndpointRecord], context: PlacementContext
) -> Placement:
    wait, best = DecodeWaits(fields, decoders, context).best(context.kv_data_centre)
    return Placement(best.info, None, wait, 0, "shortest wait to decode", rank=context.rank)


def _choose_engine(
    fields: RequestFields,
    decoders: list[EndpointRecord],
    prefill_engines: list[EndpointRecord],
    context: PlacementContext,
) -> Placement:
    chain = prefix_chain(fields)
    shared = chain[max(0, len(chain) - 2)][0] if chain else None
    saved_seconds = decoders[0].service_speeds.priors.prefill_seconds(
        sum(tokens for _, tokens in chain[:-1]), cached=0
    )
    preference = min(HASH_PREFERENCE_SECONDS, saved_seconds)
    sources = PrefixSources(chain, [*decoders, *prefill_engines], context.now)
    at_decoder = _cheapest(
        [_prefill_at_decoder(fields, chain, one, sources, context) for one in decoders],
        _hash_preferred(shared, decoders),
        preference,
    )
    if not prefill_engines:
        return at_decoder.placement(context)
    waits = DecodeWaits(fields, decoders, context)
    handed_over = _cheapest(
        [
            _prefill_and_hand_over(fields, chain, one, waits, sources, context)
            for one in prefill_engines
        ],
        _hash_preferred(shared, prefill_engines),
        preference,
    )
    return min((handed_over, at_decoder), key=lambda one: one.cost).placement(context)


@define
class PlacementOption:
    """A possible placement with its cost."""

    cost: float  # seconds; of the time to the first event and the delay of other requests
    engine: EndpointRecord  # prefills the prompt
    decoder: EndpointRecord
    estimate: float  # seconds to the first event
    uncached_tokens: int
    reference_seconds: float  # prefill time at the reference speed
    source: PrefixSource | None
    decode_backlog_seconds: float = 0.0

    def placement(self, context: PlacementContext) -> Placement:
        """Return the placement."""
        handed_over = self.engine is not self.decoder
        return Placement(
            endpoint=self.decoder.info,
            prefill_engine=self.engine.info if handed_over else None,
            estimate=self.estimate,
            uncached_tokens=self.uncached_tokens,
            reason="KV cache handed over from a prefill engine"
            if handed_over
            else "prefill at the decode engine",
            reference_seconds=self.reference_seconds,
            prefix_source=None if self.source is None else self.source.record.info,
            decode_backlog_seconds=self.decode_backlog_seconds,
            rank=context.rank,
        )


def _cheapest(
    options: list[PlacementOption], preferred: EndpointRecord | None, preference: float
) -> PlacementOption:
    """Return the cheapest option; the endpoint that the prefix hashes to gets a bonus.

    ``preference``: the bonus, in seconds at the reference speed.
    """

    def cost(option: PlacementOption) -> float:
        if option.engine is not preferred:
            return option.cost
        scale = preferred.service_speeds.current.prefill_scale
        return option.cost - preference * scale

    return min(options, key=cost)


@frozen
class Reading:
    """How an engine gets the KV cache of a prompt."""

    uncached_tokens: int  # tokens that it prefills
    reference_seconds: float  # time in which it does so at the reference speed
    source: PrefixSource | None  # engine from which it fetches those before
    fetch_seconds: float = 0.0
    # Time to read again what the fetched tokens displace in the engine's memory.
    displaced_seconds: float = 0.0


def _reading(
    fields: RequestFields,
    chain: PrefixChain,
    state: EndpointRecord,
    sources: PrefixSources,
    context: PlacementContext,
) -> Reading:
    cached = state.cached_tokens(chain, context.now)
    source = sources.best(state, cached, fields.prompt_tokens)
    reference = state.reference_prefill_seconds(fields.prompt_tokens, cached)
    if source is None:
        return Reading(fields.prompt_tokens - cached, reference, None)
    left = state.reference_prefill_seconds(fields.prompt_tokens, source.tokens)
    return Reading(
        uncached_tokens=fields.prompt_tokens - source.tokens,
        reference_seconds=left,
        source=source,
        fetch_seconds=fetch_seconds(source.tokens - cached, source.record, state),
        displaced_seconds=(reference - left) * state.speed(context.now).scale,
    )


def _prefill_at_decoder(
    fields: RequestFields,
    chain: PrefixChain,
    state: EndpointRecord,
    sources: PrefixSources,
    context: PlacementContext,
) -> PlacementOption:
    reading = _reading(fields, chain, state, sources, context)
    prefill_time = reading.reference_seconds * state.speed(context.now).scale
    wait = state.prefill_wait(context.now, context.rank)
    seconds = (
        _decode_wait(state, context, wait, fetched=False) + prefill_time + reading.fetch_seconds
    )
    stall = STALL_WEIGHT * state.in_flight * prefill_time
    debt = max(0.0, state.prefill_debt(context.now) - wait)
    backlog = prefill_time + wait + debt
    excess = max(0.0, backlog - DECODE_BACKLOG_SHARE * context.pause_seconds)
    return PlacementOption(
        cost=_time_cost(seconds + debt, context)
        + EARLY_WEIGHT * reading.displaced_seconds
        + stall
        + BACKLOG_EXCESS_WEIGHT * excess,
        engine=state,
        decoder=state,
        estimate=seconds,
        uncached_tokens=reading.uncached_tokens,
        reference_seconds=reading.reference_seconds,
        source=reading.source,
        decode_backlog_seconds=backlog,
    )


def _time_cost(seconds: float, context: PlacementContext) -> float:
    """Return the cost of the time to the first event, higher where the objective is at risk."""
    late = max(0.0, seconds - SLACK_SHARE * context.slack_seconds)
    return EARLY_WEIGHT * seconds + (1 - EARLY_WEIGHT) * late


def _prefill_and_hand_over(
    fields: RequestFields,
    chain: PrefixChain,
    state: EndpointRecord,
    waits: "DecodeWaits",
    sources: PrefixSources,
    context: PlacementContext,
) -> PlacementOption:
    reading = _reading(fields, chain, state, sources, context)
    decode_wait, decoder = waits.best(state.info.data_centre)
    speed = state.speed(context.now)
    seconds = (
        _closed_seconds(state, context)
        + state.prefill_wait(context.now, context.rank)
        + reading.fetch_seconds
        + reading.reference_seconds * speed.scale
        + speed.response_seconds
        + _round_trip_seconds(state, context)
        + FAILURE_SECONDS * state.current_failure_share(context.now)
        + decode_wait
    )
    return PlacementOption(
        cost=_time_cost(seconds, context) + EARLY_WEIGHT * reading.displaced_seconds,
        engine=state,
        decoder=decoder,
        estimate=seconds,
        uncached_tokens=reading.uncached_tokens,
        reference_seconds=reading.reference_seconds,
        source=reading.source,
    )


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
            wait = _decode_wait(one, context, prefill_wait, fetched=True)
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


def _decode_wait(
    state: EndpointRecord, context: PlacementContext, prefill_wait: float, *, fetched: bool
) -> float:
    excess_requests = max(0, state.in_flight + 1 - state.info.slots)
    first_event = state.first_event_seconds(context.now, fetched=fetched)
    return (
        _round_trip_seconds(state, context)
        + _closed_seconds(state, context)
        + prefill_wait
        + first_event * (1 + EXCESS_REQUEST_SHARE * excess_requests)
        + FAILURE_SECONDS * state.current_failure_share(context.now)
    )


def _round_trip_seconds(state: EndpointRecord, context: PlacementContext) -> float:
    return (
        LOCAL_ROUND_TRIP_SECONDS
        if state.info.data_centre == context.data_centre
        else REMOTE_ROUND_TRIP_SECONDS
    )


def _hash_preferred(shared: str | None, states: list[EndpointRecord]) -> EndpointRecord | None:
    """Return the endpoint that the shared part of a prompt maps to by rendezvous hashing."""
    if shared is None:
        return None
    return max(states, key=lambda one: _rendezvous_weight(shared, one.info.id))


def _rendezvous_weight(key: str, endpoint: str) -> bytes:
    return blake2b(f"{key}|{endpoint}".encode(), digest_size=8).digest()
