"""What the bench measures of one experiment, with the endpoints as witnesses."""

from collections import Counter
from collections.abc import Iterable

import numpy as np
from attrs import define, field, frozen

from bench.experiment import DRAIN_SECONDS, Outcome, Run, accepted_patient
from bench.workload import SPEED, Arrival, Flood, Scenario, SiteSpec, cost_seconds
from chivewall.configuration import RankPolicy, default_configuration
from chivewall.results import RunState
from chivewall.work import TOKENS_PER_PIECE, Answer, Completion, Rank, Refusal, Request

CALL_FACTOR = 2.0  # a call may take this many times the first-token target of its rank
BOUND_SLICE_SECONDS = 20.0
QUANTILES = (50, 95, 99)
POLICIES_BY_RANK = default_configuration().ranks


@define
class RankResult:
    """One rank in one or several experiments."""

    sent: int = 0
    within: int = 0  # whole and within target
    admitted: int = 0  # accepted by an agent, whatever followed
    admitted_within: int = 0
    refused: int = 0
    first_tokens: list[float] = field(factory=list)  # seconds
    gaps: list[tuple[float, int]] = field(factory=list)  # seconds for a token, tokens
    flood_kept: float = 0.0  # engine seconds got in floods of other ranks
    flood_share: float = 0.0  # engine seconds guaranteed there, at most what was asked

    def add(self, other: "RankResult") -> None:
        """Add the result of another seed."""
        for name in ("sent", "within", "admitted", "admitted_within", "refused"):
            setattr(self, name, getattr(self, name) + getattr(other, name))
        self.first_tokens += other.first_tokens
        self.gaps += other.gaps
        self.flood_kept += other.flood_kept
        self.flood_share += other.flood_share

    def first_token_quantiles(self) -> list[float]:
        """Return p50, p95 and p99 in seconds."""
        if not self.first_tokens:
            return [0.0] * len(QUANTILES)
        return [float(one) for one in np.percentile(self.first_tokens, QUANTILES)]

    def gap_quantiles(self) -> list[float]:
        """Return p50, p95 and p99 of the time between tokens in seconds."""
        if not self.gaps:
            return [0.0] * len(QUANTILES)
        seconds = np.repeat([one for one, _ in self.gaps], [count for _, count in self.gaps])
        return [float(one) for one in np.percentile(seconds, QUANTILES)]


@define
class CellResult:
    """One scenario under one policy at one site; sums over seeds."""

    site: str
    scenario: str
    policy: str
    worth: float = 0.0
    worth_bound: float = 0.0
    worth_sent: float = 0.0
    ranks: dict[Rank, RankResult] = field(factory=lambda: {one: RankResult() for one in Rank})
    false_refusals: int = 0
    wrong_answers: int = 0  # complete for the caller, but not the whole text
    calls_twice: int = 0
    patient_lost: int = 0
    unfinished: int = 0  # no final part at the end of the experiment
    retries: int = 0
    role_changes: int = 0
    prompt_pieces: int = 0
    cached_pieces: int = 0

    def add(self, other: "CellResult") -> None:
        """Add the result of another seed."""
        for name in SUMMED:
            setattr(self, name, getattr(self, name) + getattr(other, name))
        for rank, result in self.ranks.items():
            result.add(other.ranks[rank])

    @property
    def sent(self) -> int:
        """Number of requests."""
        return sum(one.sent for one in self.ranks.values())

    @property
    def good(self) -> int:
        """Number of requests served within target."""
        return sum(one.within for one in self.ranks.values())


SUMMED = (
    "worth",
    "worth_bound",
    "worth_sent",
    "false_refusals",
    "wrong_answers",
    "calls_twice",
    "patient_lost",
    "unfinished",
    "retries",
    "role_changes",
    "prompt_pieces",
    "cached_pieces",
)


def measure(run: Run) -> CellResult:
    """Return the measures of one experiment."""
    result = CellResult(site=run.spec.name, scenario=run.scenario.name, policy=run.policy.name)
    for outcome in run.outcomes:
        _measure_outcome(result, outcome)
        result.false_refusals += false_refusal(outcome, run.seen)
    for flood, tokens in zip(run.scenario.floods, run.flood_tokens, strict=True):
        _measure_shares(result, run, flood, tokens)
    result.calls_twice = sum(count > 1 for count in run.calls_run.values())
    result.role_changes = run.role_changes
    result.prompt_pieces, result.cached_pieces = run.prompt_pieces, run.cached_pieces
    result.worth_bound = upper_bound(run.spec, run.scenario, run.arrivals)
    return result


def false_refusal(outcome: Outcome, seen: set[str]) -> bool:
    """Return whether the caller was told "not run" of work that an endpoint saw."""
    final = outcome.final
    refused = isinstance(final, Refusal) and final.run is RunState.NO
    return refused and outcome.request.id in seen


def wrong_answer(outcome: Outcome) -> bool:
    """Return whether the caller was given an incomplete or wrong answer as complete."""
    final = outcome.final
    return final is not None and not isinstance(final, Refusal) and not outcome.whole()


def within_target(outcome: Outcome, policy: RankPolicy) -> bool:
    """Return whether the answer is whole and met the targets of its rank."""
    if not outcome.whole():
        return False
    if isinstance(outcome.final, Answer):
        return outcome.ended_at * 1000 <= policy.first_token_ms * CALL_FACTOR
    return (
        outcome.first_token * 1000 <= policy.first_token_ms
        and outcome.between_tokens() * 1000 <= policy.between_tokens_ms
    )


def upper_bound(spec: SiteSpec, scenario: Scenario, arrivals: Iterable[Arrival]) -> float:
    """Return the worth that no policy can exceed: work over speed with perfect knowledge.

    Every shared prefix is cached, every step runs a full batch, and the engines
    choose the work with the most worth for its time: first for each rank among
    the arrivals of a slice, which must end within their targets, then overall.
    """
    worth = 0.0
    slices: dict[tuple[Rank, float, float], list[Request]] = {}
    for one in arrivals:
        if isinstance(one.request.work, Completion):
            start, end = _slice(scenario, one.at)
            slices.setdefault((one.request.rank, start, end), []).append(one.request)
        else:
            worth += _worth(one.request)
    feasible: list[Job] = []
    for (rank, start, end), requests in slices.items():
        policy = POLICIES_BY_RANK[rank]
        longest = max(one.work.max_tokens for one in requests)
        allowed = (policy.first_token_ms + longest * policy.between_tokens_ms) / 1000
        jobs = [Job(cost=_cached_cost(one), worth=_worth(one)) for one in requests]
        feasible += best_jobs(jobs, spec.engines * (end - start + allowed))
    whole = spec.engines * (scenario.seconds + DRAIN_SECONDS)
    return worth + sum(one.worth for one in best_jobs(feasible, whole))


@frozen
class Job:
    """Work of the upper bound; may be a part of a request."""

    cost: float  # engine seconds
    worth: float


def best_jobs(jobs: list[Job], capacity: float) -> list[Job]:
    """Return the jobs with the most worth for their cost that fit, the last one in part."""
    chosen = []
    for job in sorted(jobs, key=lambda one: one.cost / one.worth):
        if job.cost >= capacity:
            part = capacity / job.cost
            return [*chosen, Job(cost=capacity, worth=job.worth * part)]
        chosen.append(job)
        capacity -= job.cost
    return chosen


def _measure_outcome(result: CellResult, outcome: Outcome) -> None:
    policy = POLICIES_BY_RANK[outcome.request.rank]
    rank = result.ranks[outcome.request.rank]
    good = within_target(outcome, policy)
    rank.sent += 1
    rank.within += good
    rank.admitted += outcome.accepted
    rank.admitted_within += outcome.accepted and good
    rank.refused += isinstance(outcome.final, Refusal)
    if outcome.first_token is not None:
        rank.first_tokens.append(outcome.first_token)
    rank.gaps += outcome.gaps
    result.worth += policy.worth * good
    result.worth_sent += policy.worth
    result.wrong_answers += wrong_answer(outcome)
    result.unfinished += outcome.final is None
    result.retries += max(0, outcome.attempts - 1)
    lost = isinstance(outcome.final, Refusal) and accepted_patient(outcome)
    result.patient_lost += lost


def _measure_shares(result: CellResult, run: Run, flood: Flood, tokens: Counter[Rank]) -> None:
    """Compare what other ranks got with their share.

    A rank got the work of its arrivals in the flood that were answered whole, or
    what the engines generated for it during the flood if an older backlog made
    that more.
    """
    capacity = run.spec.engines * (flood.end - flood.start)
    for rank in Rank:
        if rank is flood.rank:
            continue
        asked = kept = 0.0
        for arrival, outcome in zip(run.arrivals, run.outcomes, strict=True):
            if arrival.request.rank is rank and flood.start <= arrival.at < flood.end:
                cost = cost_seconds(arrival.request)
                asked += cost
                kept += cost * outcome.whole()
        share = POLICIES_BY_RANK[rank].share * capacity
        served = tokens[rank] * SPEED.full_step_seconds / SPEED.batch_slots
        result.ranks[rank].flood_kept += max(kept, served)
        result.ranks[rank].flood_share += min(asked, share)


def _slice(scenario: Scenario, at: float) -> tuple[float, float]:
    for flood in scenario.floods:
        if flood.start <= at < flood.end:
            return flood.start, flood.end
    start = at // BOUND_SLICE_SECONDS * BOUND_SLICE_SECONDS
    return start, start + BOUND_SLICE_SECONDS


def _cached_cost(request: Request) -> float:
    return cost_seconds(request, covered=len(request.work.prefix_hashes) * TOKENS_PER_PIECE)


def _worth(request: Request) -> float:
    return POLICIES_BY_RANK[request.rank].worth
