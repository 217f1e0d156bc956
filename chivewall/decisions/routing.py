"""Chooses the endpoint of an attempt from a few candidates."""

import hashlib
import random

from attrs import frozen

from chivewall.decisions.claims import affinity_of, needs_claim
from chivewall.decisions.membership import Member
from chivewall.work import TOKENS_PER_PIECE, Completion, Rank, Request

RANDOM_CANDIDATES = 2
DEFAULT_CALL_SECONDS = 0.05  # expected time of a plain service call
BOUNDED_LOAD = 1.25  # the affine endpoint may be this much worse than the best candidate
RANKS = tuple(Rank)


@frozen
class Candidate:
    """An endpoint with its estimated completion time in seconds from now."""

    endpoint: str
    estimate: float


@frozen
class Route:
    """The chosen endpoint, why it was chosen and which ones were not."""

    endpoint: str
    incarnation: str
    estimate: float  # seconds
    service_seconds: float  # of that, the part that occupies the endpoint
    reason: str
    rejected: tuple[Candidate, ...] = ()


def choose(
    request: Request,
    members: list[Member],
    excluded: frozenset[str],
    home: str,
    rng: random.Random,
) -> Route | None:
    """Return the route of the next attempt, or ``None`` if no endpoint can take it.

    ``home`` is the data centre of the entry. Endpoints in ``excluded`` failed
    this request before and are used only if no other is left.
    """
    usable = [one for one in members if one.instance.name not in excluded] or members
    if not usable:
        return None
    sampled = sample(request, usable, home, rng)
    scored = sorted(((estimate_finish(request, one), one) for one in sampled), key=lambda s: s[0])
    best_estimate, best = scored[0]
    reason = "lowest estimated finish"
    affine = affine_member(request, usable)
    for estimate, member in scored[1:]:
        if member is affine and estimate <= best_estimate * BOUNDED_LOAD:
            best_estimate, best, reason = estimate, member, "affinity within bounded load"
    rejected = tuple(
        Candidate(endpoint=one.instance.name, estimate=round(estimate, 4))
        for estimate, one in scored
        if one is not best
    )
    return Route(
        endpoint=best.instance.name,
        incarnation=best.report.incarnation,
        estimate=round(best_estimate, 4),
        service_seconds=service_seconds(request, best),
        reason=reason,
        rejected=rejected,
    )


def sample(request: Request, members: list[Member], home: str, rng: random.Random) -> list[Member]:
    """Return the affine endpoint and random ones, those of the home data centre first."""
    local = [one for one in members if one.instance.data_centre == home]
    pool = local if len(local) >= RANDOM_CANDIDATES else members
    chosen = rng.sample(pool, min(RANDOM_CANDIDATES, len(pool)))
    if pool is local and len(local) < len(members):
        chosen.append(rng.choice(members))
    affine = affine_member(request, members)
    unique = {id(one): one for one in (*chosen, *([affine] if affine else []))}
    return list(unique.values())


def affine_member(request: Request, members: list[Member]) -> Member | None:
    """Return the endpoint that rendezvous hashing gives to the request's prefix or shard."""
    if needs_claim(request):
        shard = affinity_of(request)
        return max(members, key=lambda one: _rendezvous(shard, one.instance.name))
    work = request.work
    if not isinstance(work, Completion) or not work.prefix_hashes:
        return None
    prefix = work.prefix_hashes[0]
    return max(members, key=lambda one: _rendezvous(prefix, one.instance.name))


def estimate_finish(request: Request, member: Member) -> float:
    """Return the estimated seconds until the request is complete at the endpoint."""
    report = member.report
    own = sum(member.sent_since_report.values()) / max(1, report.parallel)
    wait = report.waits[RANKS.index(request.rank)]
    return member.round_trip + wait + own + service_seconds(request, member)


def service_seconds(request: Request, member: Member) -> float:
    """Return the estimated seconds that the request occupies the endpoint."""
    work = request.work
    if not isinstance(work, Completion):
        return DEFAULT_CALL_SECONDS
    report = member.report
    left = prefill_left(work, report.cached_prefixes)
    prefill = left / report.prefill_rate if report.prefill_rate else 0.0
    decode = work.max_tokens / report.decode_rate if report.decode_rate else 0.0
    return prefill + decode


def prefill_left(work: Completion, cached: tuple[str, ...]) -> int:
    """Return the prompt tokens that a prefix cache doesn't cover."""
    covered = 0
    for place, prefix in enumerate(work.prefix_hashes, start=1):
        if prefix in cached:
            covered = place * TOKENS_PER_PIECE
    return max(0, work.prompt_tokens - covered)


def _rendezvous(prefix: str, name: str) -> bytes:
    return hashlib.blake2b(f"{prefix}/{name}".encode(), digest_size=8).digest()
