"""Chooses the endpoints of a forwarded request from what one gateway knows about them."""

import math
import random
from collections import OrderedDict
from collections.abc import Iterable
from enum import Enum
from hashlib import blake2b

from attrs import define, evolve, field, frozen

from chivewall.backoff import doubled
from chivewall.decisions.sent_work import ReadBudget, SentWork, WorkItem, WorkKey
from chivewall.gateway.calls import CallFields
from chivewall.gateway.catalogue import EndpointInfo, Stage

LOCAL_SECONDS = 0.0005  # round trip inside a data centre
REMOTE_SECONDS = 0.010  # round trip between data centres, plus a penalty for the traffic
# Cost of moving one token of a KV cache between data centres: the transfer takes twice as
# long as inside one, and traffic between data centres is more expensive.
REMOTE_TOKEN_SECONDS = 1e-6
CALL_SECONDS = 0.045  # default time for a call of a plain service
READ_TOKEN_SECONDS = 1 / 61_400  # time of a prefill engine for one prompt token
READ_PAIR_SECONDS = 0.525e-9  # extra for each pair with an earlier token, for attention
DECODE_READ_FACTOR = 2.0  # a decode engine prefills at half the speed
FIRST_EVENT_SECONDS = 0.1  # from the end of prefill to the arrival of the first event
HANDOVER_SECONDS = 0.04  # extra if the KV cache has to be fetched first
BUSY_SLOT_SECONDS = 0.002  # delay that each running request adds to a first event
FAILURE_SECONDS = 0.5  # cost added for a failure share of 1
FAILURE_WEIGHT = 0.25  # weight of the latest outcome in the failure share
FAILURE_HALF_LIFE = 4.0  # seconds in which a failure share decays by half
# Cooldown after a refusal, doubled with each further one. An engine that changes its stage
# refuses requests until its running work has ended and the change is done.
REFUSED_SECONDS = 0.5
REFUSED_LIMIT = 4.0  # seconds
AVOID_SECONDS = 1.0  # avoidance after a failed connection, doubled with each further one
AVOID_LIMIT = 8.0  # seconds
PREFIX_SECONDS = 9.0  # a prefix is assumed to be evicted if unused for this long
KEY_BYTES = 5  # size of a prefix key; a collision causes just one wrong estimate
PREFIX_LIMIT = 4096  # prefixes recorded for one endpoint
# A decode engine prefills in chunks between the decode steps of its streams. A longer prefill
# backlog than this delays the streams for longer than the largest pause allowed.
DIRECT_SECONDS = 0.2
EXCESS_WEIGHT = 4.0  # cost of each second above that limit; favours a busier prefill engine
STALL_WEIGHT = 0.05  # cost of each second by which a prefill delays a running stream
EARLY_WEIGHT = 0.25  # cost of a second of delay while the objective can still be met
SLACK_SHARE = 0.8  # usable share of the time to the objective; estimates are off by some tenths
MAX_RANK = 9  # the least urgent rank
LATE_STEPS = 3  # added to the rank of a request that misses its objective anyway
HOME_BONUS_SECONDS = 0.15  # extra cost accepted at the endpoint that the prefix hashes to


@define
class EndpointState:
    """State of one endpoint as this gateway knows it; lags behind what other gateways send."""

    info: EndpointInfo
    work: SentWork = field(factory=SentWork)  # of all gateways that share theirs
    budget: ReadBudget = field(factory=ReadBudget)  # prefill sent to it if it is a decode engine
    failure_share: float = 0.0  # smoothed, as of ``failed_at``
    failed_at: float = 0.0  # time of the latest outcome, good or bad
    avoid_until: float = 0.0  # time until which it is avoided after failed connections
    rest_until: float = 0.0  # time until which it gets no new work, for a stage change or a refusal
    refusals: int = 0  # refusals in a row
    misses: int = 0  # failed connections in a row
    gone_at: float | None = None  # when it left the list; it is then only a last resort
    # Prefix key to the time of its last use.
    _prefixes: OrderedDict = field(factory=OrderedDict, init=False)

    def add_work(self, key: WorkKey, item: WorkItem, now: float) -> None:
        """Record work that a gateway sent to the endpoint."""
        self.work.add(key, item, now)
        if self.info.stage is Stage.DECODE:
            self.budget.add(item.read_seconds, now)

    def read_wait(self, now: float, rank: int) -> float:
        """Return the seconds until the prefill of a prompt that is sent now with this rank."""
        wait = self.work.wait(now, rank)
        return max(self.budget.level(now), wait) if self.info.stage is Stage.DECODE else wait

    @property
    def in_flight(self) -> int:
        """Return the number of requests of all gateways, as of the last ``work.expire``."""
        return self.work.running

    def cached_tokens(self, chain: list[tuple[str, int]], now: float) -> int:
        """Return the number of leading prompt tokens that are probably in its prefix cache."""
        covered = 0
        for key, tokens in chain:
            seen = self._prefixes.get(key)
            if seen is None or now - seen > PREFIX_SECONDS:
                break
            covered += tokens
        return covered

    def remember(self, keys: Iterable[str], now: float) -> None:
        """Record prefixes that the endpoint prefills and then caches."""
        for key in keys:
            self._prefixes[key] = now
            self._prefixes.move_to_end(key)
        while len(self._prefixes) > PREFIX_LIMIT:
            self._prefixes.popitem(last=False)

    def succeeded(self, now: float) -> None:
        """Record a complete response."""
        self.misses = self.refusals = 0
        self.avoid_until = 0.0
        self._weigh(0.0, now)

    def failed(self, now: float) -> None:
        """Record a failed response or a broken connection."""
        self._weigh(1.0, now)

    def refused(self) -> float:
        """Record a refusal; return the seconds of the cooldown that should follow."""
        seconds = doubled(REFUSED_SECONDS, REFUSED_LIMIT, self.refusals)
        self.refusals += 1
        return seconds

    def missed(self, now: float) -> None:
        """Record a failed connection."""
        self.avoid_until = now + doubled(AVOID_SECONDS, AVOID_LIMIT, self.misses)
        self.misses += 1

    def failures(self, now: float) -> float:
        """Return the failure share, decayed since the latest outcome."""
        return self.failure_share * 0.5 ** ((now - self.failed_at) / FAILURE_HALF_LIFE)

    def _weigh(self, outcome: float, now: float) -> None:
        self.failure_share = self.failures(now) * (1 - FAILURE_WEIGHT) + FAILURE_WEIGHT * outcome
        self.failed_at = now


@frozen
class Placement:
    """The endpoints chosen for one attempt."""

    endpoint: EndpointInfo
    prefill: EndpointInfo | None  # engine that prefills and hands its KV cache over to ``endpoint``
    estimate: float  # seconds to the first event or the response
    uncached: int  # prompt tokens to prefill
    reason: str
    read_seconds: float = 0.0  # prefill time of these tokens
    backlog: float = 0.0  # seconds of prefill that then wait at a decode engine
    rank: int = 0  # rank to send it with


@frozen
class Surroundings:
    """Circumstances of a choice: place, time and state of the request."""

    home: str  # data centre of the gateway
    now: float
    rng: random.Random
    excluded: frozenset[str] = frozenset()  # ids of endpoints that must not get it
    rank: int = 0  # of the request's route; 0 is the most urgent
    slack: float = math.inf  # seconds left to the route's objective
    kv_home: str | None = None  # data centre of the engine that keeps the KV cache


class Prompt(Enum):
    """Where the prompt of a request is, or has to be, prefilled."""

    UNREAD = "unread"  # not yet; a prefill engine may do it first
    READ = "read"  # done; a KV cache waits to be fetched
    DIRECT = "direct"  # not yet; the decode engine has to do it


def choose(
    fields: CallFields,
    states: list[EndpointState],
    at: Surroundings,
    prompt: Prompt = Prompt.UNREAD,
) -> Placement | None:
    """Return the placement of the next attempt, or ``None`` if no endpoint can take it."""
    usable = _usable(states, at)
    if not usable:
        return None
    if all(one.info.stage is Stage.NONE for one in usable):
        return _choose_plain(usable, at)
    found = _choose_ranked(fields, usable, at, prompt)
    if found is not None and found.estimate > at.slack:
        # It misses its objective anyway, so it yields to requests that can meet theirs.
        late = evolve(at, rank=min(MAX_RANK, at.rank + LATE_STEPS))
        found = _choose_ranked(fields, usable, late, prompt)
    return found


def _choose_ranked(
    fields: CallFields, usable: list[EndpointState], at: Surroundings, prompt: Prompt
) -> Placement | None:
    if prompt is Prompt.READ:
        return _choose_decoder(fields, usable, at)
    if prompt is Prompt.DIRECT:
        usable = [one for one in usable if one.info.stage is not Stage.PREFILL]
    return _choose_engine(fields, usable, at)


def prefix_chain(fields: CallFields) -> list[tuple[str, int]]:
    """Return the key of each prefix of the prompt, with the tokens that its last part adds."""
    chain, key = [], ""
    for part in fields.parts:
        key = blake2b(f"{key}/{part.id}".encode(), digest_size=KEY_BYTES).hexdigest()
        chain.append((key, part.tokens))
    return chain


def _usable(states: list[EndpointState], at: Surroundings) -> list[EndpointState]:
    listed = [one for one in states if not one.info.draining and one.info.id not in at.excluded]
    present = [one for one in listed if one.gone_at is None] or listed
    steady = [one for one in present if one.rest_until <= at.now] or present
    return [one for one in steady if one.avoid_until <= at.now] or steady


def _choose_plain(states: list[EndpointState], at: Surroundings) -> Placement:
    def cost(state: EndpointState) -> float:
        waiting = max(0, state.in_flight + 1 - state.info.slots) / state.info.slots
        return (
            _distance(state, at)
            + CALL_SECONDS * (1 + waiting + 0.5 * state.in_flight / state.info.slots)
            + FAILURE_SECONDS * state.failures(at.now)
            + state.info.cold_ms * 1e-6
        )

    best = min(states, key=lambda one: (cost(one), at.rng.random()))
    return Placement(best.info, None, cost(best), 0, "lowest cost")


def _choose_decoder(
    fields: CallFields, states: list[EndpointState], at: Surroundings
) -> Placement | None:
    decoders = [one for one in states if one.info.stage is not Stage.PREFILL]
    if not decoders:
        return None
    waits = [_decode_wait(one, at) + _fetch_seconds(fields, at.kv_home, one) for one in decoders]
    wait, _, best = min(zip(waits, (at.rng.random() for _ in waits), decoders, strict=True))
    return Placement(best.info, None, wait, 0, "shortest wait to decode", rank=at.rank)


def _choose_engine(
    fields: CallFields, states: list[EndpointState], at: Surroundings
) -> Placement | None:
    chain = prefix_chain(fields)
    decoders = [one for one in states if one.info.stage is not Stage.PREFILL]
    readers = [one for one in states if one.info.stage is Stage.PREFILL]
    if not decoders:
        return None
    home = _home(chain, decoders)
    direct = [_direct(fields, chain, one, at) for one in decoders]
    if not readers:
        return _cheapest(direct, home).placement
    handed_over = [_handed_over(fields, chain, one, decoders, at) for one in readers]
    options = (_cheapest(handed_over, _home(chain, readers)), _cheapest(direct, home))
    return min(options, key=lambda one: one.cost).placement


@frozen
class Option:
    """A possible placement with its cost; the endpoint ``reader`` prefills."""

    cost: float  # seconds; of the time to the first event and the delay of other requests
    reader: EndpointState
    placement: Placement


def _cheapest(options: list[Option], home: EndpointState) -> Option:
    """Return the cheapest option; the endpoint that the prefix hashes to gets a bonus."""

    def cost(option: Option) -> float:
        return option.cost - (HOME_BONUS_SECONDS if option.reader is home else 0.0)

    return min(options, key=cost)


def read_seconds(prompt: int, cached: int, stage: Stage) -> float:
    """Return the seconds that an engine takes to prefill the uncached part of a prompt."""
    uncached = max(1, prompt - cached)
    pairs = uncached * (cached + uncached / 2)
    seconds = uncached * READ_TOKEN_SECONDS + pairs * READ_PAIR_SECONDS
    return seconds if stage is Stage.PREFILL else seconds * DECODE_READ_FACTOR


def _direct(
    fields: CallFields, chain: list[tuple[str, int]], state: EndpointState, at: Surroundings
) -> Option:
    cached = state.cached_tokens(chain, at.now)
    reading = read_seconds(fields.prompt_tokens, cached, Stage.DECODE)
    seconds = _decode_wait(state, at) + reading
    placement = Placement(
        endpoint=state.info,
        prefill=None,
        estimate=seconds,
        uncached=fields.prompt_tokens - cached,
        reason="prefill at the decode engine",
        read_seconds=reading,
        backlog=reading + state.read_wait(at.now, at.rank),
        rank=at.rank,
    )
    stall = STALL_WEIGHT * state.in_flight * reading
    excess = EXCESS_WEIGHT * max(0.0, placement.backlog - DIRECT_SECONDS)
    return Option(_cost(seconds, at) + stall + excess, state, placement)


def _cost(seconds: float, at: Surroundings) -> float:
    """Return the cost of the time to the first event, higher where the objective is at risk."""
    late = max(0.0, seconds - SLACK_SHARE * at.slack)
    return EARLY_WEIGHT * seconds + (1 - EARLY_WEIGHT) * late


def _handed_over(
    fields: CallFields,
    chain: list[tuple[str, int]],
    reader: EndpointState,
    decoders: list[EndpointState],
    at: Surroundings,
) -> Option:
    cached = reader.cached_tokens(chain, at.now)
    reading = read_seconds(fields.prompt_tokens, cached, Stage.PREFILL)
    home = reader.info.data_centre
    decode_wait, target = min(
        ((_decode_wait(one, at) + _fetch_seconds(fields, home, one), one) for one in decoders),
        key=lambda pair: pair[0],
    )
    seconds = (
        reader.read_wait(at.now, at.rank)
        + reading
        + _distance(reader, at)
        + FAILURE_SECONDS * reader.failures(at.now)
        + decode_wait
        + HANDOVER_SECONDS
    )
    placement = Placement(
        endpoint=target.info,
        prefill=reader.info,
        estimate=seconds,
        uncached=fields.prompt_tokens - cached,
        reason="KV cache handed over from a prefill engine",
        read_seconds=reading,
        rank=at.rank,
    )
    return Option(_cost(seconds, at), reader, placement)


def _decode_wait(state: EndpointState, at: Surroundings) -> float:
    over = max(0, state.in_flight + 1 - state.info.slots)
    return (
        _distance(state, at)
        + state.read_wait(at.now, at.rank)
        + BUSY_SLOT_SECONDS * state.in_flight
        + over * CALL_SECONDS
        + FAILURE_SECONDS * state.failures(at.now)
        + FIRST_EVENT_SECONDS
    )


def _fetch_seconds(fields: CallFields, kv_home: str | None, decoder: EndpointState) -> float:
    """Return the cost of fetching a KV cache from another data centre, in seconds."""
    if kv_home is None or kv_home == decoder.info.data_centre:
        return 0.0
    return fields.prompt_tokens * REMOTE_TOKEN_SECONDS


def _distance(state: EndpointState, at: Surroundings) -> float:
    return LOCAL_SECONDS if state.info.data_centre == at.home else REMOTE_SECONDS


def _home(chain: list[tuple[str, int]], states: list[EndpointState]) -> EndpointState:
    """Return the endpoint that the shared part of a prompt maps to by rendezvous hashing."""
    shared = chain[-2][0] if len(chain) > 1 else (chain[0][0] if chain else "")
    return max(states, key=lambda one: _weight(shared, one.info.id))


def _weight(key: str, endpoint: str) -> bytes:
    return blake2b(f"{key}|{endpoint}".encode(), digest_size=8).digest()
