"""Generates the load of ``make bench``: sites, scenarios and seeded arrivals."""

from enum import Enum

import numpy as np
from attrs import field, frozen

from bench.links import NetworkPath
from chivewall.standins.engine import EngineSpeed
from chivewall.work import TOKENS_PER_PIECE, Call, Completion, Message, Rank, Request

# With 8 sequences a step takes 46 ms and at most 26 ms of prefill, so a full batch
# meets the target of 77 ms between tokens. An urgent prompt with an uncached prefix
# takes 4 to 5 steps, so it meets the target of 0.34 s to the first token if it
# starts at once.
ENGINE_SPEED = EngineSpeed(
    prefill_rate=50_000.0,
    step_seconds=0.030,
    sequence_seconds=0.002,
    batch_slots=8,
    prefix_cache_pieces=24,
    step_prefill_tokens=1280,
    kv_tokens=160_000,
    tokens_per_callback=10,
)
PREFIX_COUNT = 32  # shared prompt prefixes of a site; their popularity follows a Zipf distribution
ZIPF_EXPONENT = 1.2
LENGTH_SIGMA = 0.6  # sigma of the lognormal distribution of prompt and output lengths
CALLS_PER_COMPLETION = 0.3  # service calls per completion
SLICE_SECONDS = 5.0  # in which the arrival rate is constant; arrivals are a Poisson process
URGENT_PROMPT_SCALE = 0.15  # length of urgent prompts relative to standard ones
URGENT_OUTPUT_SCALE = 0.35  # length of urgent outputs relative to standard ones
PATIENT_LENGTH_SCALE = 1.5  # length of patient prompts and outputs relative to standard ones
DEADLINE_SECONDS = {Rank.URGENT: 30.0, Rank.STANDARD: 60.0, Rank.PATIENT: 180.0}  # seconds by rank
# Mean prompt tokens without the shared prefix.
LONG_PROMPT_TOKENS, SHORT_PROMPT_TOKENS = 10_000, 1_000
LONG_OUTPUT_TOKENS, SHORT_OUTPUT_TOKENS = 300, 40  # mean output tokens
MAX_OUTPUT_TOKENS = 1500  # output tokens of a request
MAX_PROMPT_TOKENS = 32_000  # prompt tokens of a request


@frozen
class SiteSpec:
    """The data centres, endpoints and network delays of one site."""

    name: str
    data_centres: tuple[str, ...]
    model: str
    service: str
    engines: int
    services: int
    delays: dict[frozenset[str], float]  # seconds one way between two data centres
    client_delay: float  # seconds one way between caller and entry
    rank_mix: dict[Rank, float]  # share of the completions by rank

    def network_path(self, one: str, other: str) -> NetworkPath:
        """Return the network path between two data centres."""
        return NetworkPath(delay=self.delays.get(frozenset((one, other)), 0.0002))

    def entry_names(self) -> tuple[str, ...]:
        """Return the names of the entries, one in each data centre."""
        return tuple(f"entry-{one}" for one in self.data_centres)


PWANI = SiteSpec(
    name="pwani",
    data_centres=("Mombasa", "Malindi", "Diani"),
    model="rota-assistant",
    service="shift-booking",
    engines=6,
    services=3,
    delays={
        frozenset(("Mombasa", "Malindi")): 0.005,
        frozenset(("Mombasa", "Diani")): 0.004,
        frozenset(("Malindi", "Diani")): 0.005,
    },
    client_delay=0.003,
    rank_mix={Rank.URGENT: 0.45, Rank.STANDARD: 0.35, Rank.PATIENT: 0.20},
)
KAIROUAN = SiteSpec(
    name="kairouan",
    data_centres=("Medina", "Raqqada", "Sabra"),
    model="dossier-reader",
    service="commission-desk",
    engines=9,
    services=3,
    delays={
        frozenset(("Medina", "Raqqada")): 0.003,
        frozenset(("Medina", "Sabra")): 0.003,
        frozenset(("Raqqada", "Sabra")): 0.004,
    },
    client_delay=0.001,
    rank_mix={Rank.URGENT: 0.20, Rank.STANDARD: 0.25, Rank.PATIENT: 0.55},
)
SITES = (PWANI, KAIROUAN)


class FaultKind(Enum):
    """The fault of a scenario."""

    NONE = "none"
    CHANGES = "changes"  # an engine crashes, one leaves, one is replaced
    LATE_REPORTS = "late_reports"
    LOSSY_LINK = "lossy_link"


@frozen
class Flood:
    """A period in which requests of one rank exceed the capacity of the fleet."""

    rank: Rank
    factor: float  # arrival rate relative to what all engines could serve of this rank alone
    start: float  # seconds since the start of the scenario
    end: float  # seconds since the start of the scenario


@frozen
class Scenario:
    """The load and the fault of an experiment."""

    name: str
    seconds: float
    load: float = 0.7  # share of the capacity of all engines
    swings: int = 0  # shifts from prompt-heavy to output-heavy load and back
    floods: tuple[Flood, ...] = ()
    fault: FaultKind = FaultKind.NONE

    def output_share(self, now: float) -> float:
        """Return the mix of the load at a time, from 0 (prompt-heavy) to 1 (output-heavy)."""
        if not self.swings:
            return 0.5
        position = now / self.seconds * self.swings % 1.0
        return float(np.clip((position - 0.3) / 0.2, 0.0, 1.0))


SWING_SECONDS = 120.0  # a shift from prompt-heavy to output-heavy load and back, within 3 minutes
SCENARIOS = (
    Scenario("steady", seconds=75.0),
    Scenario("swings", seconds=2 * SWING_SECONDS, swings=2, load=0.85),
    Scenario("flood-patient", seconds=70.0, floods=(Flood(Rank.PATIENT, 5.0, 15.0, 35.0),)),
    Scenario("flood-urgent", seconds=70.0, floods=(Flood(Rank.URGENT, 3.0, 15.0, 35.0),)),
    Scenario(
        "flood-both",
        seconds=80.0,
        floods=(Flood(Rank.PATIENT, 5.0, 15.0, 35.0), Flood(Rank.URGENT, 3.0, 40.0, 60.0)),
    ),
    Scenario("changes", seconds=SWING_SECONDS, swings=1, fault=FaultKind.CHANGES),
    Scenario("late-reports", seconds=75.0, fault=FaultKind.LATE_REPORTS),
    Scenario("lossy-link", seconds=75.0, fault=FaultKind.LOSSY_LINK),
)


@frozen
class Arrival:
    """A request with its entry and time of arrival."""

    at: float  # seconds since the start of the scenario
    entry: str
    request: Request = field(repr=False)


def engine_seconds(request: Request, cached_tokens: int = 0) -> float:
    """Return the engine seconds of a completion in a full batch; 0 for a service call.

    ``covered`` is the number of prompt tokens that are cached.
    """
    work = request.work
    if not isinstance(work, Completion):
        return 0.0
    prefill = max(0, work.prompt_tokens - cached_tokens) / ENGINE_SPEED.prefill_rate
    return prefill + work.max_tokens * ENGINE_SPEED.full_step_seconds / ENGINE_SPEED.batch_slots


def generate_arrivals(spec: SiteSpec, scenario: Scenario, seed: int) -> list[Arrival]:
    """Return all requests of an experiment by time; they don't depend on the policy."""
    rng = np.random.default_rng((seed, len(spec.name), len(scenario.name)))
    generator = RequestGenerator(spec=spec, scenario=scenario, rng=rng)
    base = scenario.load * spec.engines / mean_engine_seconds(spec, scenario, None)
    found: list[Arrival] = []
    for start in np.arange(0.0, scenario.seconds, SLICE_SECONDS):
        found += generator.draw_completions(float(start), base, None)
        for flood in scenario.floods:
            if flood.start <= start < flood.end:
                rate = flood.factor * spec.engines / mean_engine_seconds(spec, scenario, flood.rank)
                found += generator.draw_completions(float(start), rate, flood.rank)
        found += generator.draw_calls(float(start), base * CALLS_PER_COMPLETION)
    return sorted(found, key=lambda one: one.at)


def mean_engine_seconds(spec: SiteSpec, scenario: Scenario, rank: Rank | None) -> float:
    """Return the mean engine seconds of a completion of a rank, or of the usual mix of ranks."""
    rng = np.random.default_rng(0)
    generator = RequestGenerator(spec=spec, scenario=scenario, rng=rng)
    times = rng.uniform(0, scenario.seconds, 400)
    return float(np.mean([engine_seconds(generator.draw_completion(at, rank)) for at in times]))


class RequestGenerator:
    """Draws requests from Poisson, lognormal and Zipf distributions."""

    def __init__(self, spec: SiteSpec, scenario: Scenario, rng: np.random.Generator) -> None:
        self.spec = spec
        self.scenario = scenario
        self.rng = rng
        self.request_count = 0
        weights = 1 / np.arange(1, PREFIX_COUNT + 1) ** ZIPF_EXPONENT
        self.popularity = weights / weights.sum()

    def draw_completions(self, start: float, rate: float, rank: Rank | None) -> list[Arrival]:
        """Return the completions of one slice; ``rate`` is in requests per second."""
        return [
            self._draw_entry(self.draw_completion(at, rank), at)
            for at in self._draw_times(start, rate)
        ]

    def draw_calls(self, start: float, rate: float) -> list[Arrival]:
        """Return the service calls of one slice; ``rate`` is in calls per second."""
        return [self._draw_entry(self._draw_call(at), at) for at in self._draw_times(start, rate)]

    def draw_completion(self, at: float, rank: Rank | None) -> Request:
        """Return a completion that arrives at the given time; ``None`` draws a rank."""
        if rank is None:
            index = self.rng.choice(len(Rank), p=[self.spec.rank_mix[one] for one in Rank])
            rank = list(Rank)[int(index)]
        output_share = self.scenario.output_share(at)
        patient_scale = PATIENT_LENGTH_SCALE if rank is Rank.PATIENT else 1.0
        prompt_scale = URGENT_PROMPT_SCALE if rank is Rank.URGENT else patient_scale
        output_scale = URGENT_OUTPUT_SCALE if rank is Rank.URGENT else patient_scale
        own_tokens = self._draw_length(
            (LONG_PROMPT_TOKENS * (1 - output_share) + SHORT_PROMPT_TOKENS * output_share)
            * prompt_scale
        )
        output_tokens = self._draw_length(
            (SHORT_OUTPUT_TOKENS * (1 - output_share) + LONG_OUTPUT_TOKENS * output_share)
            * output_scale
        )
        output_tokens = min(MAX_OUTPUT_TOKENS, output_tokens)
        prefix = int(self.rng.choice(PREFIX_COUNT, p=self.popularity))
        prefix_pieces = 1 if rank is Rank.URGENT else 1 + prefix % 3
        prompt_tokens = min(MAX_PROMPT_TOKENS, prefix_pieces * TOKENS_PER_PIECE + own_tokens)
        name = self._next_id()
        work = Completion(
            model=self.spec.model,
            messages=(Message("user", name),),
            prompt_tokens=prompt_tokens,
            max_tokens=max(4, output_tokens),
            prefix_hashes=tuple(f"p{prefix}/{place}" for place in range(prefix_pieces)),
        )
        workspace = f"workspace-{prefix % 8}"
        return Request(name, workspace, rank, deadline=at + DEADLINE_SECONDS[rank], work=work)

    def _draw_call(self, at: float) -> Request:
        name = self._next_id()
        work = Call(self.spec.service, method="POST", path="/book", body=name.encode())
        deadline = at + DEADLINE_SECONDS[Rank.URGENT]
        return Request(
            name, "workspace-0", Rank.URGENT, deadline=deadline, work=work, idempotency_key=name
        )

    def _draw_times(self, start: float, rate: float) -> list[float]:
        number = self.rng.poisson(rate * SLICE_SECONDS)
        return [float(one) for one in start + self.rng.uniform(0, SLICE_SECONDS, number)]

    def _draw_length(self, mean: float) -> int:
        mu = np.log(mean) - LENGTH_SIGMA**2 / 2
        return int(self.rng.lognormal(mu, LENGTH_SIGMA))

    def _draw_entry(self, request: Request, at: float) -> Arrival:
        entry = self.spec.entry_names()[int(self.rng.integers(len(self.spec.data_centres)))]
        return Arrival(at=at, entry=entry, request=request)

    def _next_id(self) -> str:
        self.request_count += 1
        return f"{self.spec.name}-{self.request_count}"
