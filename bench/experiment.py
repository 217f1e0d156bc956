"""Runs one experiment: a site, a scenario, a policy and a seed."""

import itertools
import random
from collections import Counter
from typing import Any

from attrs import define, evolve, field
from twisted.internet.defer import ensureDeferred

from bench.clock import VirtualClock
from bench.fakes import EngineEndpoint, ServiceEndpoint
from bench.links import Distance
from bench.policies import Policy
from bench.site import Site
from bench.workload import SPEED, Arrival, FaultKind, Scenario, SiteSpec
from chivewall.configuration import default_configuration
from chivewall.events import Event
from chivewall.standins.engine import token_text
from chivewall.work import Answer, Completion, End, Part, Rank, Refusal, Request, Tokens

DRAIN_SECONDS = 190.0  # past the last deadline, so that every request has an outcome
REPORT_LAG = 5.0  # seconds
DRAIN_STEP_SECONDS = 5.0
LOSSY = Distance(delay=0.008, loss=0.03)
CRASH_AT, LEAVE_AT, REPLACE_AT = 0.35, 0.42, 0.5  # of the scenario, within the swing
DOWN_SECONDS = 20.0


@define(eq=False)
class Outcome:
    """What the caller saw of one request; stands for its sink."""

    clock: VirtualClock
    request: Request
    sent_at: float
    client_delay: float
    texts: list[str] = field(factory=list)
    first_token: float | None = None  # seconds since the caller sent the request
    last_token: float = 0.0
    gaps: list[tuple[float, int]] = field(factory=list)  # seconds for a token, tokens
    ended_at: float | None = None
    final: End | Answer | Refusal | None = None
    accepted: bool = False  # an agent queued it
    attempts: int = 0
    indices_fit: bool = True

    def put(self, message: Part) -> None:
        """Take one part."""
        body = message.body
        now = self.clock.now
        if isinstance(body, Tokens):
            self._take_tokens(body, now)
        elif isinstance(body, End | Answer | Refusal):
            self.final = body
            self.ended_at = now - self.sent_at + 2 * self.client_delay

    def whole(self) -> bool:
        """Return whether the answer is complete and is the one of this request."""
        work = self.request.work
        if not isinstance(work, Completion):
            return isinstance(self.final, Answer)
        expected = [token_text(work, place) for place in range(work.max_tokens)]
        return isinstance(self.final, End) and self.indices_fit and self.texts == expected

    def between_tokens(self) -> float:
        """Return the mean time between tokens in seconds."""
        tokens = sum(count for _, count in self.gaps)
        return sum(gap * count for gap, count in self.gaps) / tokens if tokens else 0.0

    def _take_tokens(self, body: Tokens, now: float) -> None:
        self.indices_fit &= body.index == len(self.texts)
        self.texts.extend(body.texts)
        if self.first_token is None:
            self.first_token = now - self.sent_at + 2 * self.client_delay
        else:
            self.gaps.append(((now - self.last_token) / len(body.texts), len(body.texts)))
        self.last_token = now


@define(eq=False)
class Run:
    """Everything that the measures need of one experiment."""

    spec: SiteSpec
    scenario: Scenario
    policy: Policy
    outcomes: list[Outcome]
    arrivals: list[Arrival]
    seen: set[str] = field(factory=set)  # requests that reached an endpoint
    calls_run: Counter[bytes] = field(factory=Counter)
    prompt_pieces: int = 0
    cached_pieces: int = 0
    role_changes: int = 0
    targets: dict[Rank, float] = field(
        factory=lambda: {
            rank: one.first_token_ms / 1000 for rank, one in default_configuration().ranks.items()
        }
    )  # seconds to the first token
    flood_tokens: list[Counter[Rank]] = field(factory=list)  # generated during each flood


@define(eq=False)
class Watcher:
    """Counts what the event log says of each request."""

    outcomes: dict[str, Outcome] = field(factory=dict)

    def observe(self, event: Event, fields: dict[str, Any]) -> None:
        """Take one event."""
        if event is Event.WORK_QUEUED:
            outcome = self.outcomes.get(fields["request"])
            if outcome is not None:
                outcome.accepted = True
        elif event is Event.REQUEST_ENDED:
            outcome = self.outcomes.get(fields["request"])
            if outcome is not None:
                outcome.attempts = fields["attempts"]


def run(spec: SiteSpec, scenario: Scenario, policy: Policy, work: list[Arrival], seed: int) -> Run:
    """Run one experiment on a virtual clock."""
    with policy.in_force():
        return _run(spec, scenario, policy, work, seed)


def build_site(spec: SiteSpec, scenario: Scenario, policy: Policy, seed: int) -> Site:
    """Return a site of the real size, settled."""
    lossy = spec.data_centres[-1] if scenario.fault is FaultKind.LOSSY_LINK else None

    def distance(one: str, other: str) -> Distance:
        if one != other and lossy in (one, other):
            return LOSSY
        return spec.distance(one, other)

    site = Site(
        seed=seed, distance=distance, configuration=policy.configure(default_configuration())
    )
    lag = REPORT_LAG if scenario.fault is FaultKind.LATE_REPORTS else 0.0
    places = itertools.cycle(spec.data_centres)
    for place in range(1, spec.engines + 1):
        site.add_engine(
            f"engine-{place}",
            next(places),
            targets=(spec.model,),
            speed=SPEED,
            report_lag=lag,
            priorities=policy.priorities,
        )
    for place in range(1, spec.services + 1):
        site.add_service(f"service-{place}", next(places), spec.service)
    for name, data_centre in zip(spec.entry_names(), spec.data_centres, strict=True):
        site.add_entry(name, data_centre)
    site.settle()
    site.clock.run_until(site.clock.now + lag + site_settle_seconds(lag))
    return site


def site_settle_seconds(lag: float) -> float:
    """Return how long endpoints with late reports need until entries have probed them again."""
    return 20.0 if lag else 1.0


def _run(spec: SiteSpec, scenario: Scenario, policy: Policy, work: list[Arrival], seed: int) -> Run:
    site = build_site(spec, scenario, policy, seed)
    start = site.clock.now
    watcher = Watcher()
    site.log.subscribe(watcher.observe)
    result = Run(spec=spec, scenario=scenario, policy=policy, outcomes=[], arrivals=work)
    for arrival in work:
        target = result.targets[arrival.request.rank]
        request = evolve(
            arrival.request,
            deadline=start + arrival.request.deadline,
            first_token_deadline=start + arrival.at + target,
        )
        outcome = Outcome(site.clock, request, start + arrival.at, spec.client_delay)
        watcher.outcomes[request.id] = outcome
        result.outcomes.append(outcome)
        site.clock.callLater(arrival.at, site.serve_into, arrival.entry, request, outcome)
    if scenario.fault is FaultKind.CHANGES:
        _plan_changes(site, scenario.seconds, random.Random(seed))
    for flood in scenario.floods:
        counted: Counter[Rank] = Counter()
        result.flood_tokens.append(counted)
        site.clock.callLater(flood.start, _count_tokens, site, counted, -1)
        site.clock.callLater(flood.end, _count_tokens, site, counted, 1)
    site.clock.run_until(start + scenario.seconds)
    end = start + scenario.seconds + DRAIN_SECONDS
    while site.clock.now < end and any(one.final is None for one in result.outcomes):
        site.clock.run_until(min(end, site.clock.now + DRAIN_STEP_SECONDS))
    for endpoint in site.all_endpoints:
        _collect(result, endpoint)
    return result


def _collect(result: Run, endpoint: EngineEndpoint | ServiceEndpoint) -> None:
    if isinstance(endpoint, ServiceEndpoint):
        result.calls_run.update(endpoint.runs)
        result.seen.update(endpoint.seen)
        return
    result.seen |= endpoint.seen
    result.prompt_pieces += endpoint.prompt_pieces
    result.cached_pieces += endpoint.cached_pieces
    result.role_changes += len(endpoint.orders)


def _count_tokens(site: Site, counted: Counter[Rank], sign: int) -> None:
    for endpoint in site.all_endpoints:
        if isinstance(endpoint, EngineEndpoint):
            for rank, tokens in endpoint.generated.items():
                counted[rank] += sign * tokens


def _plan_changes(site: Site, seconds: float, rng: random.Random) -> None:
    engines = [name for name in site.endpoints if name.startswith("engine")]
    crashed, leaving, replaced = rng.sample(engines, 3)
    clock = site.clock
    clock.callLater(CRASH_AT * seconds, site.endpoints[crashed].crash)
    clock.callLater(CRASH_AT * seconds + DOWN_SECONDS, site.endpoints[crashed].recover)
    clock.callLater(LEAVE_AT * seconds, _leave, site, leaving)
    clock.callLater(REPLACE_AT * seconds, site.kill_agent, replaced)
    clock.callLater(REPLACE_AT * seconds + 1.0, _restart, site, replaced)


def _leave(site: Site, name: str) -> None:
    site.store.instance_list = tuple(
        evolve(one, leaving=True) if one.name == name else one for one in site.store.instance_list
    )
    ensureDeferred(site.apps[name].shut_down())


def _restart(site: Site, name: str) -> None:
    """Start an empty engine with its agent in the place of the killed ones."""
    old = site.endpoints[name]
    fresh = EngineEndpoint(
        clock=site.clock, targets=old.targets, speed=old.speed, priorities=old.priorities
    )
    old.crash()
    site.endpoints[name] = fresh
    site.all_endpoints.append(fresh)
    site.start_agent(name)


def accepted_patient(outcome: Outcome) -> bool:
    """Return whether it is patient work that an agent had accepted."""
    return outcome.accepted and outcome.request.rank is Rank.PATIENT
