"""Chooses the endpoints of a forwarded request from what one gateway knows about them.

A choice looks at each endpoint once: the waits of the decode engines are worked out first, and
each prefill engine is combined with the best of them only.
"""

from attrs import evolve

from chivewall.decisions.availability import Availability
from chivewall.decisions.endpoint_record import EndpointRecord, prefix_chain
from chivewall.decisions.overload import Overloaded, admit
from chivewall.decisions.placement_context import Placement, PlacementContext, PromptState
from chivewall.decisions.placement_options import (
    cheapest,
    hash_preferred,
    prefill_and_hand_over,
    prefill_at_decoder,
)
from chivewall.decisions.prefix_sources import PrefixSources
from chivewall.decisions.wait_estimates import (
    FAILURE_SECONDS,
    DecodeWaits,
    closed_seconds,
    queue_seconds,
    round_trip_seconds,
)
from chivewall.gateway.http_dialect import RequestFields
from chivewall.gateway.rate_limit_messages import PermitNeed
from chivewall.gateway.routing_configuration import Stage

# A request whose estimate takes more than this share of the slack yields to others: with queues
# at the full slack, half of the requests would miss their objective by a little.
ON_TIME_SHARE = 0.7
# A request whose estimate at this rank takes at most this share of its slack is sent with the rank.
# It is the least urgent one where only routes have priorities, of 0 to 2; workspaces add others.
PATIENT_RANK = 2
PATIENT_SHARE = 0.35
MAX_RANK = 9  # the least urgent rank
LATE_RANK_INCREASE = 3  # added to the rank of a request that misses its objective anyway
# Largest extra cost accepted at the endpoint that the prefix hashes to, in seconds at the reference
# speed. It is at most the time to prefill the shared part: gateways that send short shared parts
# to one decode engine at the same moment hold up its streams.
HASH_PREFERENCE_SECONDS = 0.15


def choose(
    fields: RequestFields,
    states: list[EndpointRecord],
    context: PlacementContext,
    prompt: PromptState = PromptState.NOT_PREFILLED,
) -> Placement | Overloaded | None:
    """Return the placement of the next attempt.

    ``None``: no endpoint can take it. ``Overloaded``: it would be answered too late.
    """
    usable = usable_endpoints(states, context)
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
    yielded_seconds = _yielded_seconds(placement, usable, context)
    if placement.estimate + yielded_seconds > ON_TIME_SHARE * context.slack_seconds:
        # It misses its objective anyway, so it yields to requests that can meet theirs.
        late_rank = max(context.rank, min(MAX_RANK, context.rank + LATE_RANK_INCREASE))
        late = evolve(context, rank=late_rank)
        yields = placement.estimate <= ON_TIME_SHARE * context.slack_seconds
        placement = _choose_at_rank(fields, usable, late, prompt)
        overtaken_seconds = _overtaken_seconds(placement, usable, late)
        found = _admitted(placement, usable, late, overtaken_seconds)
        return evolve(found, yields=True) if yields else found
    return _admitted(placement, usable, context)


def _choose_patiently(
    fields: RequestFields,
    usable: list[EndpointRecord],
    context: PlacementContext,
    prompt: PromptState,
) -> Placement | None:
    """Return the placement of a request that can wait its turn among less urgent ones, or ``None``.

    Without this, urgent requests that have seconds left overtake others that have not. A request
    whose workspace is over its fair share yields as it would with its own rank.
    """
    if context.rank >= PATIENT_RANK:
        return None
    patient = evolve(context, rank=PATIENT_RANK)
    found = _choose_at_rank(fields, usable, patient, prompt)
    if found is None:
        return None
    seconds = found.estimate + _yielded_seconds(found, usable, patient)
    return found if seconds <= PATIENT_SHARE * context.slack_seconds else None


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
        closed_seconds=sum(closed_seconds(one, context) for one in chosen),
        yielded_seconds=_yielded_seconds(placement, usable, context),
    )
    return placement if refused is None else refused


def _yielded_seconds(
    placement: Placement, usable: list[EndpointRecord], context: PlacementContext
) -> float:
    """Return what is added to the estimate of a request whose workspace is over its fair share.

    The queue counts more for it, so that the others find a shorter one. Without a queue nothing is
    added: nobody waits for the room.
    """
    if context.queue_weight <= 1.0 or context.committed:
        return 0.0
    queues = (queue_seconds(one, context) for one in _chosen(placement, usable))
    return (context.queue_weight - 1.0) * sum(queues)


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


def usable_endpoints(
    states: list[EndpointRecord], context: PlacementContext
) -> list[EndpointRecord]:
    """Return the endpoints among which the choice is made."""
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
        call_seconds = state.call_seconds(context.now)
        return (
            round_trip_seconds(state, context)
            + closed_seconds(state, context)
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
    at_decoder = cheapest(
        [prefill_at_decoder(fields, chain, one, sources, context) for one in decoders],
        hash_preferred(shared, decoders),
        preference,
    )
    if not prefill_engines:
        return at_decoder.placement(context)
    waits = DecodeWaits(fields, decoders, context)
    handed_over = cheapest(
        [
            prefill_and_hand_over(fields, chain, one, waits, sources, context)
            for one in prefill_engines
        ],
        hash_preferred(shared, prefill_engines),
        preference,
    )
    return min((handed_over, at_decoder), key=lambda one: one.cost).placement(context)
