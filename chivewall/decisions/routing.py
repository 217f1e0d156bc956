"""Chooses the endpoint of an attempt from a small sample of candidates."""

import math
import random

from attrs import frozen

from chivewall.decisions.claims import claim_affinity_key, needs_claim
from chivewall.decisions.membership import Member, rendezvous
from chivewall.work import TOKENS_PER_PIECE, Completion, Rank, Request

RANDOM_CANDIDATES = 2  # endpoints drawn at random for each choice
DEFAULT_CALL_SECONDS = 0.05  # expected run time of a plain service call
BOUNDED_LOAD_FACTOR = 1.25  # largest ratio of the preferred endpoint's estimate to the lowest one
MIN_SPREAD_SECONDS = 0.03  # seconds; smaller differences hardly matter, even with fresh reports
SPREAD_WAIT_SHARE = 0.5  # share of the shortest wait that is added to the spread
SPREAD_PER_SECOND = 0.2  # seconds added to the spread for each second of a report's age
KEY_AFFINITY_SECONDS = 1.0  # extra seconds a call with a key may take to avoid a write conflict
LOSS_SECONDS = 3.0  # cost of a lost message: the time until the silence is detected
KV_SHORTAGE_SECONDS = 1.0  # wait per multiple by which the work exceeds the free KV cache
RANKS = tuple(Rank)


@frozen
class Candidate:
    """An endpoint with its estimated completion time in seconds from now."""

    endpoint: str
    estimate: float


@frozen
class Route:
    """The chosen endpoint, the reason and the rejected candidates."""

    endpoint: str
    incarnation: str
    estimate: float  # seconds until the request is complete
    service_seconds: float  # part of the estimate that occupies the endpoint
    reason: str
    rejected: tuple[Candidate, ...] = ()
    reused: bool = False  # whether it failed this request before and no other endpoint is left


def choose(
    request: Request,
    members: list[Member],
    excluded: frozenset[str],
    data_centre: str,
    rng: random.Random,
    expected_output: float | None = None,
    now: float = 0.0,
) -> Route | None:
    """Return the route of the next attempt, or ``None`` if no endpoint can take it.

    ``data_centre`` is that of the entry. Endpoints in ``excluded`` failed this
    request before and are used only if no other is left. ``expected_output`` is the
    learned output length in tokens, if any.
    """
    not_excluded = [one for one in members if one.instance.name not in excluded]
    usable = not_excluded or members
    if not usable:
        return None
    preferred = preferred_member(request, usable)
    scored = sorted(
        (
            (estimate_finish(request, one, expected_output), one)
            for one in sample(usable, preferred, data_centre, rng)
        ),
        key=lambda pair: pair[0],
    )
    estimate, best, reason = _choose_candidate(request, scored, preferred, rng, now)
    rejected = tuple(
        Candidate(endpoint=one.instance.name, estimate=round(other, 4))
        for other, one in scored
        if one is not best
    )
    return Route(
        endpoint=best.instance.name,
        incarnation=best.report.incarnation,
        estimate=round(estimate, 4),
        service_seconds=service_seconds(request, best, expected_output),
        reason=reason,
        rejected=rejected,
        reused=not not_excluded,
    )


def _choose_candidate(
    request: Request,
    scored: list[tuple[float, Member]],
    preferred: Member | None,
    rng: random.Random,
    now: float,
) -> tuple[float, Member, str]:
    lowest, best = scored[0]
    if best is preferred:
        return lowest, best, "lowest estimated finish, and preferred by hash"
    for estimate, member in scored[1:]:
        if member is not preferred:
            continue
        if request.idempotency_key is not None and estimate <= lowest + KEY_AFFINITY_SECONDS:
            return estimate, member, "preferred for the idempotency key"
        if request.idempotency_key is None and estimate <= lowest * BOUNDED_LOAD_FACTOR:
            return estimate, member, "prefix affinity within bounded load"
    return _draw_weighted(request.rank, scored, rng, now)


def _draw_weighted(
    rank: Rank, scored: list[tuple[float, Member]], rng: random.Random, now: float
) -> tuple[float, Member, str]:
    """Draw a random candidate, weighted by its estimate and the reliability of its report.

    Other entries use the same reports. If every entry took the lowest estimate,
    an endpoint that was idle in a report some seconds old would get the work of
    all of them. Queues change faster than reports arrive, so estimates count for
    less the older a report is and the longer the wait at every candidate.
    """
    lowest = scored[0][0]
    wait = min(member.report.waits[RANKS.index(rank)] for _, member in scored)
    weights = []
    for estimate, member in scored:
        age = max(0.0, now - member.reported_at)
        spread = MIN_SPREAD_SECONDS + SPREAD_PER_SECOND * age + SPREAD_WAIT_SHARE * wait
        weights.append(math.exp(-(estimate - lowest) / spread))
    estimate, member = rng.choices(scored, weights)[0]
    is_lowest = estimate <= lowest
    return estimate, member, "lowest estimated finish" if is_lowest else "drawn to avoid herding"


def sample(
    members: list[Member], preferred: Member | None, data_centre: str, rng: random.Random
) -> list[Member]:
    """Return the preferred endpoint and random ones, mostly from the entry's data centre."""
    local = [one for one in members if one.instance.data_centre == data_centre]
    pool = local if len(local) >= RANDOM_CANDIDATES else members
    chosen = rng.sample(pool, min(RANDOM_CANDIDATES, len(pool)))
    if pool is local and len(local) < len(members):
        chosen.append(rng.choice(members))
    unique = {id(one): one for one in (*chosen, *([preferred] if preferred else []))}
    return list(unique.values())


def preferred_member(request: Request, members: list[Member]) -> Member | None:
    """Return the endpoint that the claims shard or prefix maps to by rendezvous hashing.

    ``None`` if the request has neither.
    """
    work = request.work
    token = None
    if needs_claim(request):
        token = claim_affinity_key(request)
    elif isinstance(work, Completion) and work.prefix_hashes:
        token = work.prefix_hashes[0]
    if token is None:
        return None
    return max(members, key=lambda one: rendezvous(token, one.instance.name))


def estimate_finish(
    request: Request, member: Member, expected_output: float | None = None
) -> float:
    """Return the estimated seconds until the request is complete at the endpoint."""
    report = member.report
    unreported_wait = member.unreported_seconds / max(1, report.parallel)
    wait = report.waits[RANKS.index(request.rank)]
    network_seconds = member.round_trip + member.loss * LOSS_SECONDS
    service = service_seconds(request, member, expected_output)
    return (
        network_seconds
        + wait
        + unreported_wait
        + _kv_wait(request, member, expected_output)
        + service
    )


def service_seconds(
    request: Request, member: Member, expected_output: float | None = None
) -> float:
    """Return the estimated seconds that the request occupies the endpoint."""
    work = request.work
    if not isinstance(work, Completion):
        return DEFAULT_CALL_SECONDS
    report = member.report
    left = uncached_tokens(work, member)
    prefill = left / report.prefill_rate if report.prefill_rate else 0.0
    output = _output_tokens(work, expected_output)
    return prefill + (output / report.decode_rate if report.decode_rate else 0.0)


def uncached_tokens(work: Completion, member: Member) -> int:
    """Return the number of prompt tokens that the endpoint's prefix cache doesn't cover."""
    covered = 0
    for place, prefix in enumerate(work.prefix_hashes, start=1):
        if not member.has_prefix(prefix):
            break  # hashes are chained: later blocks can't be used without this one
        covered = place * TOKENS_PER_PIECE
    return max(0, work.prompt_tokens - covered)


def _output_tokens(work: Completion, expected_output: float | None) -> float:
    return work.max_tokens if expected_output is None else min(work.max_tokens, expected_output)


def _kv_wait(request: Request, member: Member, expected_output: float | None) -> float:
    work = request.work
    free = member.report.kv_free_tokens
    if not isinstance(work, Completion) or free <= 0:
        return 0.0  # 0 free tokens means that the engine doesn't report them
    need = work.prompt_tokens + _output_tokens(work, expected_output)
    return KV_SHORTAGE_SECONDS * max(0.0, need / free - 1)
