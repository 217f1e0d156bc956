"""The engines that may prefill a prompt, with the cost of each choice."""

from hashlib import blake2b

from attrs import define, frozen

from chivewall.decisions.endpoint_record import EndpointRecord, PrefixChain
from chivewall.decisions.placement_context import Placement, PlacementContext
from chivewall.decisions.prefix_sources import PrefixSource, PrefixSources, fetch_seconds
from chivewall.decisions.wait_estimates import (
    FAILURE_SECONDS,
    DecodeWaits,
    closed_seconds,
    decode_wait,
    round_trip_seconds,
)
from chivewall.gateway.http_dialect import RequestFields

# A decode engine prefills in chunks between the decode steps of its streams. A prefill backlog
# longer than this share of the largest pause allowed delays the streams for longer than that.
DECODE_BACKLOG_SHARE = 2 / 3
BACKLOG_EXCESS_WEIGHT = 4.0  # cost of each second above that limit; favours a busier prefill engine
STALL_WEIGHT = 0.05  # cost of each second by which a prefill delays a running stream
EARLY_WEIGHT = 0.25  # cost of a second of delay while the objective can still be met
SLACK_SHARE = 0.8  # usable share of the time to the objective; estimates are off by some tenths


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


def cheapest(
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


def prefill_at_decoder(
    fields: RequestFields,
    chain: PrefixChain,
    state: EndpointRecord,
    sources: PrefixSources,
    context: PlacementContext,
) -> PlacementOption:
    """Return the option that a decode engine prefills the prompt itself."""
    reading = _reading(fields, chain, state, sources, context)
    prefill_time = reading.reference_seconds * state.speed(context.now).scale
    wait = state.prefill_wait(context.now, context.rank)
    seconds = (
        decode_wait(state, context, wait, fetched=False) + prefill_time + reading.fetch_seconds
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


def prefill_and_hand_over(
    fields: RequestFields,
    chain: PrefixChain,
    state: EndpointRecord,
    waits: DecodeWaits,
    sources: PrefixSources,
    context: PlacementContext,
) -> PlacementOption:
    """Return the option that a prefill engine prefills the prompt for the best decode engine."""
    reading = _reading(fields, chain, state, sources, context)
    wait_to_decode, decoder = waits.best(state.info.data_centre)
    speed = state.speed(context.now)
    seconds = (
        closed_seconds(state, context)
        + state.prefill_wait(context.now, context.rank)
        + reading.fetch_seconds
        + reading.reference_seconds * speed.scale
        + speed.response_seconds
        + round_trip_seconds(state, context)
        + FAILURE_SECONDS * state.current_failure_share(context.now)
        + wait_to_decode
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


def _time_cost(seconds: float, context: PlacementContext) -> float:
    """Return the cost of the time to the first event, higher where the objective is at risk."""
    late = max(0.0, seconds - SLACK_SHARE * context.slack_seconds)
    return EARLY_WEIGHT * seconds + (1 - EARLY_WEIGHT) * late


def hash_preferred(shared: str | None, states: list[EndpointRecord]) -> EndpointRecord | None:
    """Return the endpoint that the shared part of a prompt maps to by rendezvous hashing."""
    if shared is None:
        return None
    return max(states, key=lambda one: _rendezvous_weight(shared, one.info.id))


def _rendezvous_weight(key: str, endpoint: str) -> bytes:
    return blake2b(f"{key}|{endpoint}".encode(), digest_size=8).digest()
