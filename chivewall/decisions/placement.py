"""Chooses the endpoints of a forwarded request from what one gateway knows about them."""

import math
import random
from collections import OrderedDict
from collections.abc import Iterable
from enum import Enum
from hashlib import blake2b

from attrs import define, evolve, field, frozen

from chivewall.backoff import exponential_delay
from chivewall.decisions.sent_work import PrefillBudget, SentWork, WorkItem, WorkKey
from chivewall.gateway.http_dialect import RequestFields
from chivewall.gateway.routing_configuration import EndpointInfo, Stage

LOCAL_ROUND_TRIP_SECONDS = 0.0005  # round trip inside a data centre
REMOTE_ROUND_TRIP_SECONDS = 0.010  # round trip between data centres, plus a penalty for the traffic
# Cost of moving one token of a KV cache between data centres: the transfer takes twice as
# long as inside one, and traffic between data centres is more expensive.
REMOTE_KV_TOKEN_SECONDS = 1e-6
CALL_SECONDS = 0.045  # default time for a call of a plain service
PREFILL_TOKEN_SECONDS = 1 / 61_400  # time of a prefill engine for one prompt token
PREFILL_PAIR_SECONDS = 0.525e-9  # extra for each pair with an earlier token, for attention
DECODE_PREFILL_FACTOR = 2.0  # a decode engine prefills at half the speed
FIRST_EVENT_SECONDS = 0.1  # from the end of prefill to the arrival of the first event
HANDOVER_SECONDS = 0.04  # extra if the KV cache has to be fetched first
RUNNING_REQUEST_SECONDS = 0.002  # delay that each running request adds to a first event
FAILURE_SECONDS = 0.5  # cost added for a failure share of 1
FAILURE_WEIGHT = 0.25  # weight of the latest outcome in the failure share
FAILURE_HALF_LIFE_SECONDS = 4.0  # seconds in which a failure share decays by half
# Cooldown after a refusal, doubled with each further one. An engine that changes its stage
# refuses requests until its running work has ended and the change is done.
REFUSAL_COOLDOWN_SECONDS = 0.5
MAX_REFUSAL_COOLDOWN_SECONDS = 4.0  # seconds
AVOID_SECONDS = 1.0  # avoidance after a failed connection, doubled with each further one
MAX_AVOID_SECONDS = 8.0  # seconds
PREFIX_LIFETIME_SECONDS = 9.0  # a prefix is assumed to be evicted if unused for this long
PREFIX_KEY_BYTES = 5  # size of a prefix key; a collision causes just one wrong estimate
MAX_PREFIXES = 4096  # prefixes recorded for one endpoint
# A decode engine prefills in chunks between the decode steps of its streams. A longer prefill
# backlog than this delays the streams for longer than the largest pause allowed.
MAX_DECODE_BACKLOG_SECONDS = 0.2
BACKLOG_EXCESS_WEIGHT = 4.0  # cost of each second above that limit; favours a busier prefill engine
STALL_WEIGHT = 0.05  # cost of each second by which a prefill delays a running stream
EARLY_WEIGHT = 0.25  # cost of a second of delay while the objective can still be met
SLACK_SHARE = 0.8  # usable share of the time to the objective; estimates are off by some tenths
MAX_RANK = 9  # the least urgent rank
LATE_RANK_INCREASE = 3  # added to the rank of a request that misses its objective anyway
HASH_PREFERENCE_SECONDS = 0.15  # extra cost accepted at the endpoint that the prefix hashes to


@define
class EndpointRecord:
    """State of one endpoint as this gateway knows it; lags behind what other gateways send."""

    info: EndpointInfo
    work: SentWork = field(factory=SentWork)  # of all gateways that share theirs
    prefill_budget: PrefillBudget = field(factory=PrefillBudget)  # of a decode engine
    failure_share: float = 0.0  # smoothed, as of ``last_outcome_at``
    last_outcome_at: float = 0.0  # time of the latest outcome, good or bad
    avoid_until: float = 0.0  # time until which it is avoided after failed connections
    cooldown_until: float = 0.0  # no new work before, after a refusal or for a stage change
    consecutive_refusals: int = 0  # refusals in a row
    failed_connections: int = 0  # failed connections in a row
    unlisted_at: float | None = None  # when it left the list; it is then only a last resort
    # Prefix key to the time of its last use.
    _prefixes: OrderedDict = field(factory=OrderedDict, init=False)

    def add_work(self, key: WorkKey, item: WorkItem, now: float) -> None:
        """Record work that a gateway sent to the endpoint."""
        self.work.add(key, item, now)
        if self.info.stage is Stage.DECODE:
            self.prefill_budget.add(item.prefill_seconds, now)

    def prefill_wait(self, now: float, rank: int) -> float:
        """Return the seconds until the prefill of a prompt that is sent now with this rank."""
        wait = self.work.prefill_wait(now, rank)
        return (
            max(self.prefill_budget.pending_seconds(now), wait)
            if self.info.stage is Stage.DECODE
            else wait
        )

    @property
    def in_flight(self) -> int:
        """Return the number of requests of all gateways, as of the last ``work.expire``."""
        return self.work.running

    def cached_tokens(self, chain: list[tuple[str, int]], now: float) -> int:
        """Return the number of leading prompt tokens that are probably in its prefix cache."""
        covered = 0
        for key, tokens in chain:
            seen = self._prefixes.get(key)
            if seen is None or now - seen > PREFIX_LIFETIME_SECONDS:
                break
            covered += tokens
        return covered

    def record_prefixes(self, keys: Iterable[str], now: float) -> None:
        """Record prefixes that the endpoint prefills and then caches."""
        for key in keys:
            self._prefixes[key] = now
            self._prefixes.move_to_end(key)
        while len(self._prefixes) > MAX_PREFIXES:
            self._prefixes.popitem(last=False)

    def record_success(self, now: float) -> None:
        """Record a complete response."""
        self.failed_connections = self.consecutive_refusals = 0
        self.avoid_until = 0.0
        self._update_failure_share(0.0, now)

    def record_failure(self, now: float) -> None:
        """Record a failed response or a broken connection."""
        self._update_failure_share(1.0, now)

    def record_refusal(self) -> float:
        """Record a refusal; return the seconds of the cooldown that should follow."""
        seconds = exponential_delay(
            REFUSAL_COOLDOWN_SECONDS, MAX_REFUSAL_COOLDOWN_SECONDS, self.consecutive_refusals
        )
        self.consecutive_refusals += 1
        return seconds

    def record_failed_connection(self, now: float) -> None:
        """Record a failed connection."""
        self.avoid_until = now + exponential_delay(
            AVOID_SECONDS, MAX_AVOID_SECONDS, self.failed_connections
        )
        self.failed_connections += 1

    def current_failure_share(self, now: float) -> float:
        """Return the failure share, decayed since the latest outcome."""
        return self.failure_share * 0.5 ** (
            (now - self.last_outcome_at) / FAILURE_HALF_LIFE_SECONDS
        )

    def _update_failure_share(self, outcome: float, now: float) -> None:
        self.failure_share = (
            self.current_failure_share(now) * (1 - FAILURE_WEIGHT) + FAILURE_WEIGHT * outcome
        )
        self.last_outcome_at = now


@frozen
class Placement:
    """The endpoints chosen for one attempt."""

    endpoint: EndpointInfo
    prefill_engine: EndpointInfo | None  # hands the KV cache over to ``endpoint``
    estimate: float  # seconds to the first event or the response
    uncached_tokens: int  # prompt tokens to prefill
    reason: str
    prefill_seconds: float = 0.0  # prefill time of these tokens
    decode_backlog_seconds: float = 0.0  # seconds of prefill that then wait at a decode engine
    rank: int = 0  # rank to send it with


@frozen
class PlacementContext:
    """Circumstances of a choice: place, time and state of the request."""

    data_centre: str  # data centre of the gateway
    now: float
    rng: random.Random
    excluded: frozenset[str] = frozenset()  # ids of endpoints that must not get it
    rank: int = 0  # of the request's route; 0 is the most urgent
    slack_seconds: float = math.inf  # seconds left to the route's objective
    kv_data_centre: str | None = None  # data centre of the engine that keeps the KV cache


class PromptState(Enum):
    """Where the prompt of a request is, or has to be, prefilled."""

    NOT_PREFILLED = "not prefilled"  # not yet; a prefill engine may do it first
    PREFILLED = "prefilled"  # done; a KV cache waits to be fetched
    PREFILL_AT_DECODER = "prefill at decoder"  # not yet; the decode engine has to do it


def choose(
    fields: RequestFields,
    states: list[EndpointRecord],
    context: PlacementContext,
    prompt: PromptState = PromptState.NOT_PREFILLED,
) -> Placement | None:
    """Return the placement of the next attempt, or ``None`` if no endpoint can take it."""
    usable = _usable(states, context)
    if not usable:
        return None
    if all(one.info.stage is Stage.NONE for one in usable):
        return _choose_service_endpoint(usable, context)
    placement = _choose_at_rank(fields, usable, context, prompt)
    if placement is not None and placement.estimate > context.slack_seconds:
        # It misses its objective anyway, so it yields to requests that can meet theirs.
        late = evolve(context, rank=min(MAX_RANK, context.rank + LATE_RANK_INCREASE))
        placement = _choose_at_rank(fields, usable, late, prompt)
    return placement


def _choose_at_rank(
    fields: RequestFields,
    usable: list[EndpointRecord],
    context: PlacementContext,
    prompt: PromptState,
) -> Placement | None:
    if prompt is PromptState.PREFILLED:
        return _choose_decoder(fields, usable, context)
    if prompt is PromptState.PREFILL_AT_DECODER:
        usable = [one for one in usable if one.info.stage is not Stage.PREFILL]
    return _choose_engine(fields, usable, context)


def prefix_chain(fields: RequestFields) -> list[tuple[str, int]]:
    """Return the key of each prefix of the prompt, with the tokens that its last part adds."""
    chain, key = [], ""
    for part in fields.prompt_parts:
        key = blake2b(f"{key}/{part.id}".encode(), digest_size=PREFIX_KEY_BYTES).hexdigest()
        chain.append((key, part.tokens))
    return chain


def _usable(states: list[EndpointRecord], context: PlacementContext) -> list[EndpointRecord]:
    listed = [
        one for one in states if not one.info.draining and one.info.id not in context.excluded
    ]
    present = [one for one in listed if one.unlisted_at is None] or listed
    steady = [one for one in present if one.cooldown_until <= context.now] or present
    return [one for one in steady if one.avoid_until <= context.now] or steady


def _choose_service_endpoint(states: list[EndpointRecord], context: PlacementContext) -> Placement:
    def cost(state: EndpointRecord) -> float:
        waiting = max(0, state.in_flight + 1 - state.info.slots) / state.info.slots
        return (
            _round_trip_seconds(state, context)
            + CALL_SECONDS * (1 + waiting + 0.5 * state.in_flight / state.info.slots)
            + FAILURE_SECONDS * state.current_failure_share(context.now)
            + state.info.warmup_left_ms * 1e-6
        )

    best = min(states, key=lambda one: (cost(one), context.rng.random()))
    return Placement(best.info, None, cost(best), 0, "lowest cost")


def _choose_decoder(
    fields: RequestFields, states: list[EndpointRecord], context: PlacementContext
) -> Placement | None:
    decoders = [one for one in states if one.info.stage is not Stage.PREFILL]
    if not decoders:
        return None
    waits = [
        _decode_wait(one, context) + _kv_fetch_seconds(fields, context.kv_data_centre, one)
        for one in decoders
    ]
    wait, _, best = min(zip(waits, (context.rng.random() for _ in waits), decoders, strict=True))
    return Placement(best.info, None, wait, 0, "shortest wait to decode", rank=context.rank)


def _choose_engine(
    fields: RequestFields, states: list[EndpointRecord], context: PlacementContext
) -> Placement | None:
    chain = prefix_chain(fields)
    decoders = [one for one in states if one.info.stage is not Stage.PREFILL]
    prefill_engines = [one for one in states if one.info.stage is Stage.PREFILL]
    if not decoders:
        return None
    preferred = _hash_preferred(chain, decoders)
    at_decoders = [_prefill_at_decoder(fields, chain, one, context) for one in decoders]
    if not prefill_engines:
        return _cheapest(at_decoders, preferred).placement
    with_handover = [
        _prefill_and_hand_over(fields, chain, one, decoders, context) for one in prefill_engines
    ]
    options = (
        _cheapest(with_handover, _hash_preferred(chain, prefill_engines)),
        _cheapest(at_decoders, preferred),
    )
    return min(options, key=lambda one: one.cost).placement


@frozen
class PlacementOption:
    """A possible placement with its cost; ``prefill_engine`` prefills the prompt."""

    cost: float  # seconds; of the time to the first event and the delay of other requests
    prefill_engine: EndpointRecord
    placement: Placement


def _cheapest(options: list[PlacementOption], preferred: EndpointRecord) -> PlacementOption:
    """Return the cheapest option; the endpoint that the prefix hashes to gets a bonus."""

    def cost(option: PlacementOption) -> float:
        return option.cost - (
            HASH_PREFERENCE_SECONDS if option.prefill_engine is preferred else 0.0
        )

    return min(options, key=cost)


def prefill_seconds(prompt: int, cached: int, stage: Stage) -> float:
    """Return the seconds that an engine takes to prefill the uncached part of a prompt."""
    uncached = max(1, prompt - cached)
    pairs = uncached * (cached + uncached / 2)
    seconds = uncached * PREFILL_TOKEN_SECONDS + pairs * PREFILL_PAIR_SECONDS
    return seconds if stage is Stage.PREFILL else seconds * DECODE_PREFILL_FACTOR


def _prefill_at_decoder(
    fields: RequestFields,
    chain: list[tuple[str, int]],
    state: EndpointRecord,
    context: PlacementContext,
) -> PlacementOption:
    cached = state.cached_tokens(chain, context.now)
    prefill_time = prefill_seconds(fields.prompt_tokens, cached, Stage.DECODE)
    seconds = _decode_wait(state, context) + prefill_time
    placement = Placement(
        endpoint=state.info,
        prefill_engine=None,
        estimate=seconds,
        uncached_tokens=fields.prompt_tokens - cached,
        reason="prefill at the decode engine",
        prefill_seconds=prefill_time,
        decode_backlog_seconds=prefill_time + state.prefill_wait(context.now, context.rank),
        rank=context.rank,
    )
    stall = STALL_WEIGHT * state.in_flight * prefill_time
    excess = BACKLOG_EXCESS_WEIGHT * max(
        0.0, placement.decode_backlog_seconds - MAX_DECODE_BACKLOG_SECONDS
    )
    return PlacementOption(_time_cost(seconds, context) + stall + excess, state, placement)


def _time_cost(seconds: float, context: PlacementContext) -> float:
    """Return the cost of the time to the first event, higher where the objective is at risk."""
    late = max(0.0, seconds - SLACK_SHARE * context.slack_seconds)
    return EARLY_WEIGHT * seconds + (1 - EARLY_WEIGHT) * late


def _prefill_and_hand_over(
    fields: RequestFields,
    chain: list[tuple[str, int]],
    prefill_engine: EndpointRecord,
    decoders: list[EndpointRecord],
    context: PlacementContext,
) -> PlacementOption:
    cached = prefill_engine.cached_tokens(chain, context.now)
    prefill_time = prefill_seconds(fields.prompt_tokens, cached, Stage.PREFILL)
    kv_data_centre = prefill_engine.info.data_centre
    decode_wait, target = min(
        (
            (_decode_wait(one, context) + _kv_fetch_seconds(fields, kv_data_centre, one), one)
            for one in decoders
        ),
        key=lambda pair: pair[0],
    )
    seconds = (
        prefill_engine.prefill_wait(context.now, context.rank)
        + prefill_time
        + _round_trip_seconds(prefill_engine, context)
        + FAILURE_SECONDS * prefill_engine.current_failure_share(context.now)
        + decode_wait
        + HANDOVER_SECONDS
    )
    placement = Placement(
        endpoint=target.info,
        prefill_engine=prefill_engine.info,
        estimate=seconds,
        uncached_tokens=fields.prompt_tokens - cached,
        reason="KV cache handed over from a prefill engine",
        prefill_seconds=prefill_time,
        rank=context.rank,
    )
    return PlacementOption(_time_cost(seconds, context), prefill_engine, placement)


def _decode_wait(state: EndpointRecord, context: PlacementContext) -> float:
    excess_requests = max(0, state.in_flight + 1 - state.info.slots)
    return (
        _round_trip_seconds(state, context)
        + state.prefill_wait(context.now, context.rank)
        + RUNNING_REQUEST_SECONDS * state.in_flight
        + excess_requests * CALL_SECONDS
        + FAILURE_SECONDS * state.current_failure_share(context.now)
        + FIRST_EVENT_SECONDS
    )


def _kv_fetch_seconds(
    fields: RequestFields, kv_data_centre: str | None, decoder: EndpointRecord
) -> float:
    """Return the cost of fetching a KV cache from another data centre, in seconds."""
    if kv_data_centre is None or kv_data_centre == decoder.info.data_centre:
        return 0.0
    return fields.prompt_tokens * REMOTE_KV_TOKEN_SECONDS


def _round_trip_seconds(state: EndpointRecord, context: PlacementContext) -> float:
    return (
        LOCAL_ROUND_TRIP_SECONDS
        if state.info.data_centre == context.data_centre
        else REMOTE_ROUND_TRIP_SECONDS
    )


def _hash_preferred(chain: list[tuple[str, int]], states: list[EndpointRecord]) -> EndpointRecord:
    """Return the endpoint that the shared part of a prompt maps to by rendezvous hashing."""
    shared = chain[-2][0] if len(chain) > 1 else (chain[0][0] if chain else "")
    return max(states, key=lambda one: _rendezvous_weight(shared, one.info.id))


def _rendezvous_weight(key: str, endpoint: str) -> bytes:
    return blake2b(f"{key}|{endpoint}".encode(), digest_size=8).digest()
