"""Chooses the endpoints of a forwarded call from what one gateway knows of them."""

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
REMOTE_SECONDS = 0.010  # round trip between data centres, and the price of the bytes
# For a token of a KV cache that moves between data centres: its transfer takes twice as long,
# and moved bytes are priced higher there.
REMOTE_TOKEN_SECONDS = 1e-6
CALL_SECONDS = 0.045  # work of a plain service, until its own times are known
READ_TOKEN_SECONDS = 1 / 61_400  # of a prefill engine for a prompt token
READ_PAIR_SECONDS = 0.525e-9  # more for each token before it, which attention looks at
DECODE_READ_FACTOR = 2.0  # a decode engine reads prompts at half the speed
FIRST_EVENT_SECONDS = 0.1  # from the end of reading until the first event is here
HANDOVER_SECONDS = 0.04  # more for a KV cache that is fetched first
BUSY_SLOT_SECONDS = 0.002  # by which each running request delays a first event
FAILURE_SECONDS = 0.5  # added for a share of failures of 1
FAILURE_WEIGHT = 0.25  # of the newest outcome in the share of failures
FAILURE_HALF_LIFE = 4.0  # seconds after which an old share of failures counts half
# Without new work after a refusal, doubled each time: an engine that changes its stage
# refuses for the time of its running work and the change.
REFUSED_SECONDS = 0.5
REFUSED_LIMIT = 4.0
AVOID_SECONDS = 1.0  # after a connection that could not be opened, doubled each time
AVOID_LIMIT = 8.0  # seconds
PREFIX_SECONDS = 9.0  # an idle prefix is taken to be evicted after that
KEY_BYTES = 5  # of a prefix's key; a clash costs one wrong estimate
PREFIX_LIMIT = 4096  # remembered chains of one endpoint
# A decode engine reads a prompt in pieces between the steps of its streams. More than
# this waiting there holds up the streams longer than a pause may last.
DIRECT_SECONDS = 0.2
EXCESS_WEIGHT = 4.0  # of each second more; a prefill engine may be that much fuller
STALL_WEIGHT = 0.05  # of the time by which reading a prompt holds up each running stream
EARLY_WEIGHT = 0.25  # of a second that leaves the objective in reach
SLACK_SHARE = 0.8  # of the time to the objective; estimates are wrong by some tenths
MAX_RANK = 9  # the last one
LATE_STEPS = 3  # by which work that misses its objective anyway stands behind the rest
HOME_BONUS_SECONDS = 0.15  # by which the home of a prefix may be slower than the best


@define
class EndpointState:
    """What this gateway knows of one endpoint; stale as soon as another one sends."""

    info: EndpointInfo
    work: SentWork = field(factory=SentWork)  # of all gateways that are heard
    budget: ReadBudget = field(factory=ReadBudget)  # for prompts, of a decode engine
    failure_share: float = 0.0
    failed_at: float = 0.0
    avoid_until: float = 0.0
    rest_until: float = 0.0  # gets no new work: it is changing its stage or refused some
    refusals: int = 0  # in a row
    misses: int = 0  # connections in a row that could not be opened
    gone_at: float | None = None  # when the list dropped it; used only if nothing else is left
    _prefixes: OrderedDict = field(factory=OrderedDict, init=False)  # key -> time

    def add_work(self, key: WorkKey, item: WorkItem, now: float) -> None:
        """Count work that a gateway sent."""
        self.work.add(key, item, now)
        if self.info.stage is Stage.DECODE:
            self.budget.add(item.read_seconds, now)

    def read_wait(self, now: float, rank: int) -> float:
        """Return the seconds until a prompt that is sent now with this rank may be read."""
        wait = self.work.wait(now, rank)
        return max(self.budget.level(now), wait) if self.info.stage is Stage.DECODE else wait

    @property
    def in_flight(self) -> int:
        """Return the calls of all gateways, as of the last ``work.expire``."""
        return self.work.running

    def cached_tokens(self, chain: list[tuple[str, int]], now: float) -> int:
        """Return the leading prompt tokens that it probably keeps."""
        covered = 0
        for key, tokens in chain:
            seen = self._prefixes.get(key)
            if seen is None or now - seen > PREFIX_SECONDS:
                break
            covered += tokens
        return covered

    def remember(self, keys: Iterable[str], now: float) -> None:
        """Note that it reads these parts of a prompt."""
        for key in keys:
            self._prefixes[key] = now
            self._prefixes.move_to_end(key)
        while len(self._prefixes) > PREFIX_LIMIT:
            self._prefixes.popitem(last=False)

    def succeeded(self, now: float) -> None:
        """Take in a whole answer."""
        self.misses = self.refusals = 0
        self.avoid_until = 0.0
        self._weigh(0.0, now)

    def failed(self, now: float) -> None:
        """Take in a failed answer or a broken connection."""
        self._weigh(1.0, now)

    def refused(self) -> float:
        """Take in a refusal; return the seconds for which it should get no new work."""
        seconds = doubled(REFUSED_SECONDS, REFUSED_LIMIT, self.refusals)
        self.refusals += 1
        return seconds

    def missed(self, now: float) -> None:
        """Take in a connection that could not be opened."""
        self.avoid_until = now + doubled(AVOID_SECONDS, AVOID_LIMIT, self.misses)
        self.misses += 1

    def failures(self, now: float) -> float:
        """Return the share of failures, which fades with time."""
        return self.failure_share * 0.5 ** ((now - self.failed_at) / FAILURE_HALF_LIFE)

    def _weigh(self, outcome: float, now: float) -> None:
        self.failure_share = self.failures(now) * (1 - FAILURE_WEIGHT) + FAILURE_WEIGHT * outcome
        self.failed_at = now


@frozen
class Placement:
    """The endpoints of one attempt."""

    endpoint: EndpointInfo
    prefill: EndpointInfo | None  # reads the prompt first and hands its KV cache over
    estimate: float  # seconds to the first event or the answer
    uncached: int  # prompt tokens that are read for it
    reason: str
    read_seconds: float = 0.0  # that reading them takes
    backlog: float = 0.0  # seconds of reading that a decode engine then has before it
    rank: int = 0  # with which it is sent


@frozen
class Surroundings:
    """Where and when the choice is made."""

    home: str  # data centre of the gateway
    now: float
    rng: random.Random
    excluded: frozenset[str] = frozenset()  # ids that failed the call or may not get it
    rank: int = 0  # of the call's route, 0 first
    slack: float = math.inf  # seconds until its objective is missed
    kv_home: str | None = None  # data centre of the engine that keeps the read prompt


class Prompt(Enum):
    """What has become of a call's prompt."""

    UNREAD = "unread"  # a prefill engine may read it first
    READ = "read"  # a KV cache waits to be fetched
    DIRECT = "direct"  # the engine that decodes has to read it


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
        # It misses its objective anyway and lets the others pass.
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
    """Return a key for each leading run of prompt parts, with the part's tokens."""
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
    """A placement with its cost; ``reader`` reads the prompt."""

    cost: float  # of the time to the first event, and what it delays others, in seconds
    reader: EndpointState
    placement: Placement


def _cheapest(options: list[Option], home: EndpointState) -> Option:
    """Return the cheapest option; the home of the prefix may cost a little more."""

    def cost(option: Option) -> float:
        return option.cost - (HOME_BONUS_SECONDS if option.reader is home else 0.0)

    return min(options, key=cost)


def read_seconds(prompt: int, cached: int, stage: Stage) -> float:
    """Return how long an engine reads the part of a prompt that it doesn't keep."""
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
        reason="prompt read where it decodes",
        read_seconds=reading,
        backlog=reading + state.read_wait(at.now, at.rank),
        rank=at.rank,
    )
    stall = STALL_WEIGHT * state.in_flight * reading
    excess = EXCESS_WEIGHT * max(0.0, placement.backlog - DIRECT_SECONDS)
    return Option(_cost(seconds, at) + stall + excess, state, placement)


def _cost(seconds: float, at: Surroundings) -> float:
    """Return what the time to the first event costs: little, unless the objective is near."""
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
        reason="prompt handed over",
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
    """Return what it costs to fetch a KV cache from another data centre."""
    if kv_home is None or kv_home == decoder.info.data_centre:
        return 0.0
    return fields.prompt_tokens * REMOTE_TOKEN_SECONDS


def _distance(state: EndpointState, at: Surroundings) -> float:
    return LOCAL_SECONDS if state.info.data_centre == at.home else REMOTE_SECONDS


def _home(chain: list[tuple[str, int]], states: list[EndpointState]) -> EndpointState:
    """Return the endpoint that rendezvous hashing gives to the shared part of a prompt."""
    shared = chain[-2][0] if len(chain) > 1 else (chain[0][0] if chain else "")
    return max(states, key=lambda one: _weight(shared, one.info.id))


def _weight(key: str, endpoint: str) -> bytes:
    return blake2b(f"{key}|{endpoint}".encode(), digest_size=8).digest()
