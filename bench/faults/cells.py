"""Runs one cell of the matrix: a scenario with injected faults, and all checks."""

import random
from collections.abc import Callable

from attrs import define, field, frozen

from bench.faults import faults, steps
from bench.faults.checks import CHECKS, CONFIGURATION_SECONDS, Finding
from bench.faults.faults import FAULTS, Fault
from bench.faults.network import Crossing, Effect
from bench.faults.scenarios import (
    BEFORE_SECONDS,
    DEADLINE_SECONDS,
    SCENARIOS,
    WAVES,
    background,
    wave,
)
from bench.faults.steps import STEPS, Step
from bench.faults.world import World

WALK = "walk"  # name in place of a step: random scenarios and faults at random times
WALK_FAULTS = 4  # most faults in a random walk
SECOND_SPREAD = 4.0  # longest time in seconds between the two faults of a pair
# Seconds that a run continues after the end of the last fault.
AFTER_FAULTS = CONFIGURATION_SECONDS + 0.5
AFTER_REQUESTS = 5.0  # seconds that a run continues after the last deadline, to see late effects


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
class Outcome:
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
class Trap:
    """Injects a fault when a step is reached."""

    world: World
    step: Step
    fault: Fault
    armed_at: float  # seconds; earlier messages and events don't count
    left: int = field(init=False)  # matching messages or events until the step
    sprung: Callable[[], None] = field(default=lambda: None)  # called after the injection
    done: bool = False

    def __attrs_post_init__(self) -> None:
        self.left = self.step.nth

    def see(self, crossing: Crossing) -> Effect:
        """Inject the fault if a message or event is the step; return the effect on the message."""
        if self.done or self.world.clock.now < self.armed_at or not self.step.matches(crossing):
            return Effect()
        self.left -= 1
        if self.left > 0:
            return Effect()
        self.done = True
        effect = _inject(self.world, self.fault, crossing)
        self.sprung()
        return effect


def run_cell(cell: Cell) -> Outcome:
    """Run one cell and all checks."""
    world = World.build(cell.seed)
    rng = random.Random(f"{cell.seed}/{cell.step}/{cell.fault}")
    outcome = Outcome(cell)
    background(world)
    world.clock.run_until(world.clock.now + BEFORE_SECONDS)
    if cell.step == WALK:
        _walk(world, outcome, rng)
    else:
        _trap(world, outcome, rng)
    _run_out(world)
    outcome.injected = world.injected
    for check in CHECKS:
        outcome.findings[check.name] = finding = Finding()
        check.run(world, finding)
    return outcome


def possible_faults(step: Step) -> list[Fault]:
    """Return the faults that can happen at a step."""
    return [one for one in FAULTS if one.possible(step)]


def _trap(world: World, outcome: Outcome, rng: random.Random) -> None:
    step = steps.BY_NAME[outcome.cell.step]
    first, _, second = outcome.cell.fault.partition("+")
    trap = Trap(
        world=world,
        step=step,
        fault=faults.BY_NAME[first],
        armed_at=world.clock.now + step.after,
    )

    def sprung() -> None:
        outcome.reached = True
        if second:
            world.clock.callLater(rng.uniform(0, SECOND_SPREAD), _strike, world, rng, second)

    trap.sprung = sprung
    world.hook = trap.see
    _begin(world, step.scenario)
    world.clock.run_until(world.clock.now + max(WAVES) + DEADLINE_SECONDS)


def _strike(world: World, rng: random.Random, fault: str) -> None:
    """Inject a fault at the next message or event of a randomly drawn kind that allows it."""
    chosen = faults.BY_NAME[fault]
    usable = [one for one in STEPS if chosen.possible(one)]
    former = world.hook
    kind = rng.choice(sorted({one.kind for one in usable}))
    tries = [one for one in usable if one.kind == kind] or usable
    wanted = [_any_of(one) for one in (tries, usable)]
    began = world.clock.now

    def see(crossing: Crossing) -> Effect:
        effect = former(crossing)
        # If the drawn kind doesn't occur within a second, accept every kind.
        matches = wanted[0] if world.clock.now < began + 1.0 else wanted[1]
        if see.struck or not matches(crossing):
            return effect
        see.struck = True
        added = _inject(world, chosen, crossing)
        return Effect(
            delay=effect.delay + added.delay,
            copies=max(effect.copies, added.copies),
            lose_reply=effect.lose_reply or added.lose_reply,
        )

    see.struck = False
    world.hook = see


def _inject(world: World, fault: Fault, crossing: Crossing) -> Effect:
    text = f"{crossing.kind} {crossing.about}: {crossing.sender.name} to {crossing.receiver.name}"
    world.injected.append(f"{world.clock.now:.3f} s {fault.name} at {text}")
    return fault.inject(world, crossing)


def _any_of(found: list[Step]) -> Callable[[Crossing], bool]:
    loose = [Step(one.name, one.scenario, one.kind, one.sender, one.receiver) for one in found]
    return lambda crossing: any(one.matches(crossing) for one in loose)


def _walk(world: World, outcome: Outcome, rng: random.Random) -> None:
    names = sorted(SCENARIOS)
    # Two scenarios at once. The second must not be one of those that name their request
    # "main", such as "plain" and "stream".
    first = rng.choice(names)
    second = rng.choice([one for one in names if one in ("role", "config", "join", "takeover")])
    _begin(world, first)
    if second != first:
        world.clock.callLater(rng.uniform(0, 3), SCENARIOS[second], world)
    for _ in range(rng.randint(1, WALK_FAULTS)):
        fault = rng.choice(FAULTS).name
        world.clock.callLater(rng.uniform(0, 10), _strike, world, rng, fault)
    outcome.reached = True
    world.clock.run_until(world.clock.now + max(WAVES) + DEADLINE_SECONDS)


def _begin(world: World, scenario: str) -> None:
    for number, seconds in enumerate(WAVES):
        world.clock.callLater(seconds, wave, world, number)
    SCENARIOS[scenario](world)


def _run_out(world: World) -> None:
    """Run until all faults and requests have ended and their effects must have appeared."""
    while True:
        last = max((one.request.deadline for one in world.callers), default=0.0)
        until = max(world.healed_at + AFTER_FAULTS, last + AFTER_REQUESTS)
        if world.clock.now >= until:
            return
        world.clock.run_until(until)
