"""What the bench sends: sites, scenarios and seeded arrivals."""

from enum import Enum

import numpy as np
from attrs import field, frozen

from bench.links import Distance
from chivewall.standins.engine import EngineSpeed
from chivewall.work import TOKENS_PER_PIECE, Call, Completion, Message, Rank, Request

# With 8 sequences a step takes 46 ms and at most 26 ms of prefill, so the 77 ms
# between tokens hold in a full batch. An urgent prompt with a cold prefix needs 4
# to 5 steps, so the 0.34 s to the first token hold if it runs at once.
SPEED = EngineSpeed(
    prefill_rate=50_000.0,
    step_seconds=0.030,
    sequence_seconds=0.002,
    batch_slots=8,
    prefix_cache_pieces=24,
    step_prefill_tokens=1280,
    kv_tokens=160_000,
    tokens_per_callback=10,
)
PREFIXES = 32  # shared prompt prefixes of a site, with Zipf popularity
ZIPF_EXPONENT = 1.2
LENGTH_SIGMA = 0.6  # of the lognormal lengths
CALL_RATE = 0.3  # service calls for each completion
SLICE_SECONDS = 5.0  # arrivals are Poisson with a constant rate in a slice
URGENT_PROMPT = 0.15  # length of urgent prompts in relation to standard ones
URGENT_OUTPUT = 0.35
PATIENT_LENGTHS = 1.5  # of prompts and outputs
DEADLINES = {Rank.URGENT: 30.0, Rank.STANDARD: 60.0, Rank.PATIENT: 180.0}  # seconds
PROMPT_HEAVY, PROMPT_LIGHT = 10_000, 1_000  # mean tokens apart from the shared prefix
OUTPUT_HEAVY, OUTPUT_LIGHT = 300, 40  # mean tokens
MAX_TOKENS = 1500
MAX_PROMPT = 32_000


@frozen
class SiteSpec:
    """The fleet of one user at its real size and delays."""

    name: str
    data_centres: tuple[str, ...]
    model: str
    service: str
    engines: int
    services: int
    delays: dict[frozenset[str], float]  # seconds one way between data centres
    client_delay: float  # seconds one way
    rank_mix: dict[Rank, float]

    def distance(self, one: str, other: str) -> Distance:
        """Return the path between two data centres."""
        return Distance(delay=self.delays.get(frozenset((one, other)), 0.0002))

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
    """What a scenario breaks."""

    NONE = "none"
    CHANGES = "changes"  # an engine crashes, one leaves, one is replaced
    LATE_REPORTS = "late_reports"
    LOSSY_LINK = "lossy_link"


@frozen
class Flood:
    """One rank arrives beyond the capacity of the fleet."""

    rank: Rank
    factor: float  # times the capacity for this rank alone
    start: float  # seconds
    end: float


@frozen
class Scenario:
    """One experiment."""

    name: str
    seconds: float
    load: float = 0.7  # of the capacity
    swings: int = 0  # changes from prompt-heavy to output-heavy and back
    floods: tuple[Flood, ...] = ()
    fault: FaultKind = FaultKind.NONE

    def output_heavy(self, now: float) -> float:
        """Return the mix: 0 is prompt-heavy, 1 is output-heavy."""
        if not self.swings:
            return 0.5
        place = now / self.seconds * self.swings % 1.0
        return float(np.clip((place - 0.3) / 0.2, 0.0, 1.0))


SWING_SECONDS = 120.0  # from prompt-heavy to output-heavy and back, within 3 minutes
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
    """A request with its place and time."""

    at: float  # seconds since the start of the scenario
    entry: str
    request: Request = field(repr=False)


def cost_seconds(request: Request, covered: int = 0) -> float:
    """Return the engine time of a completion in a full batch, in seconds."""
    work = request.work
    if not isinstance(work, Completion):
        return 0.0
    prefill = max(0, work.prompt_tokens - covered) / SPEED.prefill_rate
    return prefill + work.max_tokens * SPEED.full_step_seconds / SPEED.batch_slots


def arrivals(spec: SiteSpec, scenario: Scenario, seed: int) -> list[Arrival]:
    """Return all requests of one experiment in order; the same for every policy."""
    rng = np.random.default_rng((seed, len(spec.name), len(scenario.name)))
    maker = RequestMaker(spec=spec, scenario=scenario, rng=rng)
    base = scenario.load * spec.engines / mean_cost(spec, scenario, None)
    found: list[Arrival] = []
    for start in np.arange(0.0, scenario.seconds, SLICE_SECONDS):
        found += maker.slice(float(start), base, None)
        for flood in scenario.floods:
            if flood.start <= start < flood.end:
                rate = flood.factor * spec.engines / mean_cost(spec, scenario, flood.rank)
                found += maker.slice(float(start), rate, flood.rank)
        found += maker.calls(float(start), base * CALL_RATE)
    return sorted(found, key=lambda one: one.at)


def mean_cost(spec: SiteSpec, scenario: Scenario, rank: Rank | None) -> float:
    """Return the mean engine time of the work of a rank, or of the usual mix, in seconds."""
    rng = np.random.default_rng(0)
    maker = RequestMaker(spec=spec, scenario=scenario, rng=rng)
    times = rng.uniform(0, scenario.seconds, 400)
    return float(np.mean([cost_seconds(maker.completion(at, rank)) for at in times]))


class RequestMaker:
    """Draws requests from well-known distributions."""

    def __init__(self, spec: SiteSpec, scenario: Scenario, rng: np.random.Generator) -> None:
        self.spec = spec
        self.scenario = scenario
        self.rng = rng
        self.count = 0
        weights = 1 / np.arange(1, PREFIXES + 1) ** ZIPF_EXPONENT
        self.popularity = weights / weights.sum()

    def slice(self, start: float, rate: float, rank: Rank | None) -> list[Arrival]:
        """Return the completions of one slice at a rate in requests a second."""
        return [self._place(self.completion(at, rank), at) for at in self._times(start, rate)]

    def calls(self, start: float, rate: float) -> list[Arrival]:
        """Return the calls of the plain service in one slice."""
        return [self._place(self._call(at), at) for at in self._times(start, rate)]

    def completion(self, at: float, rank: Rank | None) -> Request:
        """Return one completion that arrives at a time."""
        if rank is None:
            place = self.rng.choice(len(Rank), p=[self.spec.rank_mix[one] for one in Rank])
            rank = list(Rank)[int(place)]
        heavy = self.scenario.output_heavy(at)
        patient = PATIENT_LENGTHS if rank is Rank.PATIENT else 1.0
        prompt_scale = URGENT_PROMPT if rank is Rank.URGENT else patient
        output_scale = URGENT_OUTPUT if rank is Rank.URGENT else patient
        own = self._length((PROMPT_HEAVY * (1 - heavy) + PROMPT_LIGHT * heavy) * prompt_scale)
        output = self._length((OUTPUT_LIGHT * (1 - heavy) + OUTPUT_HEAVY * heavy) * output_scale)
        output = min(MAX_TOKENS, output)
        prefix = int(self.rng.choice(PREFIXES, p=self.popularity))
        pieces = 1 if rank is Rank.URGENT else 1 + prefix % 3
        prompt = min(MAX_PROMPT, pieces * TOKENS_PER_PIECE + own)
        name = self._name()
        work = Completion(
            model=self.spec.model,
            messages=(Message("user", name),),
            prompt_tokens=prompt,
            max_tokens=max(4, output),
            prefix_hashes=tuple(f"p{prefix}/{place}" for place in range(pieces)),
        )
        workspace = f"workspace-{prefix % 8}"
        return Request(name, workspace, rank, deadline=at + DEADLINES[rank], work=work)

    def _call(self, at: float) -> Request:
        name = self._name()
        work = Call(self.spec.service, method="POST", path="/book", body=name.encode())
        deadline = at + DEADLINES[Rank.URGENT]
        return Request(
            name, "workspace-0", Rank.URGENT, deadline=deadline, work=work, idempotency_key=name
        )

    def _times(self, start: float, rate: float) -> list[float]:
        number = self.rng.poisson(rate * SLICE_SECONDS)
        return [float(one) for one in start + self.rng.uniform(0, SLICE_SECONDS, number)]

    def _length(self, mean: float) -> int:
        mu = np.log(mean) - LENGTH_SIGMA**2 / 2
        return int(self.rng.lognormal(mu, LENGTH_SIGMA))

    def _place(self, request: Request, at: float) -> Arrival:
        entry = self.spec.entry_names()[int(self.rng.integers(len(self.spec.data_centres)))]
        return Arrival(at=at, entry=entry, request=request)

    def _name(self) -> str:
        self.count += 1
        return f"{self.spec.name}-{self.count}"
