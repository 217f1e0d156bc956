"""Computes the measures of an experiment from what callers received and endpoints recorded."""

from collections import Counter
from collections.abc import Iterable

import numpy as np
from attrs import define, field, frozen

from bench.experiment import DRAIN_SECONDS, ExperimentRun, RequestOutcome, is_accepted_patient
from bench.workload import ENGINE_SPEED, Arrival, Flood, Scenario, SiteSpec, engine_seconds
from chivewall.configuration import RankPolicy, default_configuration
from chivewall.results import RunState
from chivewall.work import TOKENS_PER_PIECE, Answer, Completion, Rank, Refusal, Request

CALL_TARGET_FACTOR = 2.0  # time allowed to a call, relative to the first-token target of its rank
BOUND_SLICE_SECONDS = 20.0  # length of a slice in the upper bound
QUANTILES = (50, 95, 99)  # percent
POLICIES_BY_RANK = default_configuration().ranks


@define
class RankResult:
    """Measures of one rank, summed over one or several experiments."""

    sent: int = 0
    within: int = 0  # answered completely and within target
    admitted: int = 0  # queued by an agent, whatever the outcome
    admitted_within: int = 0  # admitted, answered completely and within target
    refused: int = 0
    first_tokens: list[float] = field(factory=list)  # seconds to the first token
    gaps: list[tuple[float, int]] = field(factory=list)  # seconds per token, tokens
    flood_kept: float = 0.0  # engine seconds used during floods of other ranks
    flood_share: float = 0.0  # engine seconds guaranteed in these floods, at most those requested

    def add(self, other: "RankResult") -> None:
        """Add the measures of another seed."""
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
    """Measures of one scenario under one policy at one site, summed over seeds."""

    site: str
    scenario: str
    policy: str
    worth: float = 0.0  # of requests answered within target
    worth_bound: float = 0.0  # most that any policy could reach
    worth_sent: float = 0.0  # of all requests
    ranks: dict[Rank, RankResult] = field(factory=lambda: {one: RankResult() for one in Rank})
    false_refusals: int = 0  # refused as not run, but seen by an endpoint
    wrong_answers: int = 0  # marked as complete, but with missing or wrong text
    calls_twice: int = 0  # service calls that ran more than once
    patient_lost: int = 0  # patient requests refused after an agent had queued them
    unfinished: int = 0  # no final part at the end of the experiment
    retries: int = 0  # attempts after the first
    role_changes: int = 0
    prompt_pieces: int = 0  # full prompt pieces of all attempts at engines
    cached_pieces: int = 0  # prompt pieces that were in the prefix cache

    def add(self, other: "CellResult") -> None:
        """Add the measures of another seed."""
        for name in SUMMED:
            setattr(self, name, getattr(self, name) + getattr(other, name))
        for rank, result in self.ranks.items():
            result.add(other.ranks[rank])

    @property
    def sent(self) -> int:
        """Return the number of requests."""
        return sum(one.sent for one in self.ranks.values())

    @property
    def good(self) -> int:
        """Return the number of requests answered completely and within target."""
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


def measure(run: ExperimentRun) -> CellResult:
    """Return the measures of one experiment."""
    result = CellResult(site=run.spec.name, scenario=run.scenario.name, policy=run.policy.name)
    for outcome in run.outcomes:
        _measure_outcome(result, outcome)
        result.false_refusals += is_false_refusal(outcome, run.endpoint_requests)
    for flood, tokens in zip(run.scenario.floods, run.flood_tokens, strict=True):
        _measure_shares(result, run, flood, tokens)
    result.calls_twice = sum(count > 1 for count in run.call_runs.values())
    result.role_changes = run.role_changes
    result.prompt_pieces, result.cached_pieces = run.prompt_pieces, run.cached_pieces
    result.worth_bound = upper_bound(run.spec, run.scenario, run.arrivals)
    return result


def is_false_refusal(outcome: RequestOutcome, seen: set[str]) -> bool:
    """Return whether a request was refused as not run although it reached an endpoint."""
    final = outcome.final
    refused = isinstance(final, Refusal) and final.run is RunState.NO
    return refused and outcome.request.id in seen


def is_wrong_answer(outcome: RequestOutcome) -> bool:
    """Return whether the caller got an incomplete or wrong response marked as complete."""
    final = outcome.final
    return final is not None and not isinstance(final, Refusal) and not outcome.is_complete()


def is_within_target(outcome: RequestOutcome, policy: RankPolicy) -> bool:
    """Return whether the response is complete and met the targets of its rank."""
    if not outcome.is_complete():
        return False
    if isinstance(outcome.final, Answer):
        return outcome.total_seconds * 1000 <= policy.first_token_ms * CALL_TARGET_FACTOR
    return (
        outcome.first_token_seconds * 1000 <= policy.first_token_ms
        and outcome.mean_token_gap_seconds() * 1000 <= policy.between_tokens_ms
    )


def upper_bound(spec: SiteSpec, scenario: Scenario, arrivals: Iterable[Arrival]) -> float:
    """Return an upper bound of the worth that any policy can reach.

    It assumes that every shared prefix is cached, that every step runs a full
    batch, and that the engines run the work with the highest worth per engine
    second. The work is chosen in two passes: for each rank among the arrivals of
    a slice, which must end within their targets, then among all work chosen so far.
    """
    worth = 0.0
    slices: dict[tuple[Rank, float, float], list[Request]] = {}
    for one in arrivals:
        if isinstance(one.request.work, Completion):
            start, end = _slice_bounds(scenario, one.at)
            slices.setdefault((one.request.rank, start, end), []).append(one.request)
        else:
            worth += _worth(one.request)
    feasible: list[Job] = []
    for (rank, start, end), requests in slices.items():
        policy = POLICIES_BY_RANK[rank]
        longest = max(one.work.max_tokens for one in requests)
        target_seconds = (policy.first_token_ms + longest * policy.between_tokens_ms) / 1000
        jobs = [Job(cost=_cached_cost(one), worth=_worth(one)) for one in requests]
        feasible += best_jobs(jobs, spec.engines * (end - start + target_seconds))
    total_capacity = spec.engines * (scenario.seconds + DRAIN_SECONDS)
    return worth + sum(one.worth for one in best_jobs(feasible, total_capacity))


@frozen
class Job:
    """A request, or a fraction of one, in the computation of the upper bound."""

    cost: float  # engine seconds
    worth: float


def best_jobs(jobs: list[Job], capacity: float) -> list[Job]:
    """Return the jobs of highest worth per cost that fit; the last one may be cut to fit."""
    chosen = []
    for job in sorted(jobs, key=lambda one: one.cost / one.worth):
        if job.cost >= capacity:
            fraction = capacity / job.cost
            return [*chosen, Job(cost=capacity, worth=job.worth * fraction)]
        chosen.append(job)
        capacity -= job.cost
    return chosen


def _measure_outcome(result: CellResult, outcome: RequestOutcome) -> None:
    policy = POLICIES_BY_RANK[outcome.request.rank]
    rank = result.ranks[outcome.request.rank]
    good = is_within_target(outcome, policy)
    rank.sent += 1
    rank.within += good
    rank.admitted += outcome.accepted
    rank.admitted_within += outcome.accepted and good
    rank.refused += isinstance(outcome.final, Refusal)
    if outcome.first_token_seconds is not None:
        rank.first_tokens.append(outcome.first_token_seconds)
    rank.gaps += outcome.token_gaps
    result.worth += policy.worth * good
    result.worth_sent += policy.worth
    result.wrong_answers += is_wrong_answer(outcome)
    result.unfinished += outcome.final is None
    result.retries += max(0, outcome.attempts - 1)
    lost = isinstance(outcome.final, Refusal) and is_accepted_patient(outcome)
    result.patient_lost += lost


def _measure_shares(
    result: CellResult, run: ExperimentRun, flood: Flood, tokens: Counter[Rank]
) -> None:
    """Add the engine time that each other rank used in a flood, and its guaranteed share.

    A rank used the engine time of its requests that arrived in the flood and were
    answered completely, or the time of all tokens generated for it during the
    flood, if a backlog from before makes that more.
    """
    capacity = run.spec.engines * (flood.end - flood.start)
    for rank in Rank:
        if rank is flood.rank:
            continue
        requested = kept = 0.0
        for arrival, outcome in zip(run.arrivals, run.outcomes, strict=True):
            if arrival.request.rank is rank and flood.start <= arrival.at < flood.end:
                cost = engine_seconds(arrival.request)
                requested += cost
                kept += cost * outcome.is_complete()
        share = POLICIES_BY_RANK[rank].share * capacity
        served = tokens[rank] * ENGINE_SPEED.full_step_seconds / ENGINE_SPEED.batch_slots
        result.ranks[rank].flood_kept += max(kept, served)
        result.ranks[rank].flood_share += min(requested, share)


def _slice_bounds(scenario: Scenario, at: float) -> tuple[float, float]:
    for flood in scenario.floods:
        if flood.start <= at < flood.end:
            return flood.start, flood.end
    start = at // BOUND_SLICE_SECONDS * BOUND_SLICE_SECONDS
    return start, start + BOUND_SLICE_SECONDS


def _cached_cost(request: Request) -> float:
    return engine_seconds(request, cached_tokens=len(request.work.prefix_hashes) * TOKENS_PER_PIECE)


def _worth(request: Request) -> float:
    return POLICIES_BY_RANK[request.rank].worth
