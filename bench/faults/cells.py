"""Runs one cell of the matrix: a scenario with injected faults, and all checks."""

import random
from collections.abc import Callable

from attrs import define, field, frozen

from bench.faults import faults, steps
from bench.faults.checks import CHECKS, MAX_CONFIGURATION_SECONDS, Finding
from bench.faults.faults import FAULTS, Fault
from bench.faults.faulty_site import FaultySite
from bench.faults.network import Effect, Envelope
from bench.faults.scenarios import (
    BACKGROUND_LEAD_SECONDS,
    DEADLINE_SECONDS,
    SCENARIOS,
    WAVE_TIMES_SECONDS,
    send_wave,
    start_background_requests,
)
from bench.faults.steps import STEPS, Step

WALK = "walk"  # name in place of a step: random scenarios and faults at random times
MAX_WALK_FAULTS = 4  # most faults in a random walk
MAX_SECOND_FAULT_SECONDS = 4.0  # longest time in seconds between the two faults of a pair
# Seconds that a run continues after the end of the last fault.
AFTER_FAULTS_SECONDS = MAX_CONFIGURATION_SECONDS + 0.5
AFTER_REQUESTS_SECONDS = 5.0  # that a run continues after the last deadline, to see late effects


@frozen
class Cell:
    """One run of the matrix: a step, one or two faults, and a seed."""

    step: str
    fault: str  # two names joined by "+" for a pair
    seed: int

    @property
    def name(self) -> str:
        """Return the arguments that replay the cell."""
        return f"{self.step} {self.fault} {self.seed}"

    @property
    def command(self) -> str:
        """Return the command that replays the cell."""
        return f"python -m bench.faults --replay {self.name}"


@define
class CellOutcome:
    """The results of one cell."""

    cell: Cell
    reached: bool = False  # whether the step occurred, so that the fault was injected
    injected: list[str] = field(factory=list)  # description of each injected fault
    findings: dict[str, Finding] = field(factory=dict)  # by check name

    @property
    def passed(self) -> bool:
        """Return whether the fault was injected and no check failed."""
        return self.reached and not self.violations

    @property
    def violations(self) -> list[str]:
        """Return the violations of all checks, and a note if the step was not reached."""
        found = [f"{name}: {one}" for name, f in self.findings.items() for one in f.violations]
        return found if self.reached else [*found, "the step was not reached"]


@define(eq=False)
class FaultInjector:
    """Injects a fault when a step is reached."""

    site: FaultySite
    step: Step
    fault: Fault
    armed_at: float  # seconds; earlier messages and events don't count
    remaining: int = field(init=False)  # matching messages or events until the step
    on_injected: Callable[[], None] = field(default=lambda: None)  # called after the injection
    done: bool = False

    def __attrs_post_init__(self) -> None:
        self.remaining = self.step.nth

    def intercept(self, envelope: Envelope) -> Effect:
        """Inject the fault if a message or event is the step; return the effect on the message."""
        if self.done or self.site.clock.now < self.armed_at or not self.step.matches(envelope):
            return Effect()
        self.remaining -= 1
        if self.remaining > 0:
            return Effect()
        self.done = True
        effect = _inject(self.site, self.fault, envelope)
        self.on_injected()
        return effect


def run_cell(cell: Cell) -> CellOutcome:
    """Run one cell and all checks."""
    site = FaultySite.build(cell.seed)
    rng = random.Random(f"{cell.seed}/{cell.step}/{cell.fault}")
    outcome = CellOutcome(cell)
    start_background_requests(site)
    site.clock.run_until(site.clock.now + BACKGROUND_LEAD_SECONDS)
    if cell.step == WALK:
        _run_walk(site, outcome, rng)
    else:
        _run_step(site, outcome, rng)
    _run_to_end(site)
    outcome.injected = site.injected
    for check in CHECKS:
        outcome.findings[check.name] = finding = Finding()
        check.run(site, finding)
    return outcome


def possible_faults(step: Step) -> list[Fault]:
    """Return the faults that can happen at a step."""
    return [one for one in FAULTS if one.is_possible(step)]


def _run_step(site: FaultySite, outcome: CellOutcome, rng: random.Random) -> None:
    step = steps.STEPS_BY_NAME[outcome.cell.step]
    first, _, second = outcome.cell.fault.partition("+")
    injector = FaultInjector(
        site=site,
        step=step,
        fault=faults.FAULTS_BY_NAME[first],
        armed_at=site.clock.now + step.after_seconds,
    )

    def on_injected() -> None:
        outcome.reached = True
        if second:
            site.clock.callLater(
                rng.uniform(0, MAX_SECOND_FAULT_SECONDS), _inject_at_random, site, rng, second
            )

    injector.on_injected = on_injected
    site.hook = injector.intercept
    _start_scenario(site, step.scenario)
    site.clock.run_until(site.clock.now + max(WAVE_TIMES_SECONDS) + DEADLINE_SECONDS)


def _inject_at_random(site: FaultySite, rng: random.Random, fault: str) -> None:
    """Inject a fault at the next message or event of a randomly drawn kind that allows it."""
    chosen = faults.FAULTS_BY_NAME[fault]
    usable = [one for one in STEPS if chosen.is_possible(one)]
    previous_hook = site.hook
    kind = rng.choice(sorted({one.kind for one in usable}))
    preferred = [one for one in usable if one.kind == kind] or usable
    matchers = [_any_matcher(one) for one in (preferred, usable)]
    started_at = site.clock.now

    def intercept(envelope: Envelope) -> Effect:
        effect = previous_hook(envelope)
        # If the drawn kind doesn't occur within a second, accept every kind.
        matches = matchers[0] if site.clock.now < started_at + 1.0 else matchers[1]
        if intercept.injected or not matches(envelope):
            return effect
        intercept.injected = True
        added = _inject(site, chosen, envelope)
        return Effect(
            delay=effect.delay + added.delay,
            copies=max(effect.copies, added.copies),
            lose_reply=effect.lose_reply or added.lose_reply,
        )

    intercept.injected = False
    site.hook = intercept


def _inject(site: FaultySite, fault: Fault, envelope: Envelope) -> Effect:
    text = f"{envelope.kind} {envelope.subject}: {envelope.sender.name} to {envelope.receiver.name}"
    site.injected.append(f"{site.clock.now:.3f} s {fault.name} at {text}")
    return fault.inject(site, envelope)


def _any_matcher(found: list[Step]) -> Callable[[Envelope], bool]:
    any_number = [Step(one.name, one.scenario, one.kind, one.sender, one.receiver) for one in found]
    return lambda envelope: any(one.matches(envelope) for one in any_number)


def _run_walk(site: FaultySite, outcome: CellOutcome, rng: random.Random) -> None:
    names = sorted(SCENARIOS)
    # Two scenarios at once. The second must not be one of those that name their request
    # "main", such as "plain" and "stream".
    first = rng.choice(names)
    second = rng.choice([one for one in names if one in ("role", "config", "join", "takeover")])
    _start_scenario(site, first)
    if second != first:
        site.clock.callLater(rng.uniform(0, 3), SCENARIOS[second], site)
    for _ in range(rng.randint(1, MAX_WALK_FAULTS)):
        fault = rng.choice(FAULTS).name
        site.clock.callLater(rng.uniform(0, 10), _inject_at_random, site, rng, fault)
    outcome.reached = True
    site.clock.run_until(site.clock.now + max(WAVE_TIMES_SECONDS) + DEADLINE_SECONDS)


def _start_scenario(site: FaultySite, scenario: str) -> None:
    for number, seconds in enumerate(WAVE_TIMES_SECONDS):
        site.clock.callLater(seconds, send_wave, site, number)
    SCENARIOS[scenario](site)


def _run_to_end(site: FaultySite) -> None:
    """Run until all faults and requests have ended and their effects must have appeared."""
    while True:
        last = max((one.request.deadline for one in site.callers), default=0.0)
        until = max(site.last_recovery_at + AFTER_FAULTS_SECONDS, last + AFTER_REQUESTS_SECONDS)
        if site.clock.now >= until:
            return
        site.clock.run_until(until)
