"""Which cells to run: all single faults, sampled pairs and random walks."""

import random
from itertools import chain

from bench.faults.cells import WALK, Cell, possible_faults
from bench.faults.faults import FAULTS, Fault
from bench.faults.steps import STEPS, Step

PAIRS = 270  # sampled; all 17,000 triples of step, fault and second fault take half an hour
WALKS = 200
TRIES = 12  # candidates compared for each pair
QUICK_STRIDE = 21  # of the single faults in the quick subset
QUICK_PAIRS = 3
QUICK_WALKS = 3


def single_cells(seed: int) -> list[Cell]:
    """Return every step with every fault that can happen there."""
    return [
        Cell(step=step.name, fault=fault.name, seed=seed)
        for step in STEPS
        for fault in possible_faults(step)
    ]


def pair_cells(seed: int, count: int = PAIRS) -> list[Cell]:
    """Return pairs of faults, chosen greedily for what they newly cover.

    Counted are three kinds of combinations: step and first fault, step and
    second fault, first and second fault. Another seed samples other pairs.
    """
    rng = random.Random(seed)
    single = [(step, fault) for step in STEPS for fault in possible_faults(step)]
    covered: set[tuple[str, str, str]] = set()
    cells = []
    for number in range(count):
        tries = [(*rng.choice(single), rng.choice(FAULTS)) for _ in range(TRIES)]
        step, first, second = max(tries, key=lambda one: len(_combinations(*one) - covered))
        covered |= _combinations(step, first, second)
        name = f"{first.name}+{second.name}"
        cells.append(Cell(step=step.name, fault=name, seed=seed + number))
    return cells


def walk_cells(seed: int, count: int = WALKS) -> list[Cell]:
    """Return random walks."""
    return [Cell(step=WALK, fault="random", seed=seed + number) for number in range(count)]


def all_cells(seed: int) -> list[Cell]:
    """Return what ``make faults`` runs."""
    return list(chain(single_cells(seed), pair_cells(seed), walk_cells(seed)))


def quick_cells(seed: int) -> list[Cell]:
    """Return the subset that runs with the tests."""
    single = single_cells(seed)[::QUICK_STRIDE]
    return [*single, *pair_cells(seed, QUICK_PAIRS), *walk_cells(seed, QUICK_WALKS)]


def _combinations(step: Step, first: Fault, second: Fault) -> set[tuple[str, str, str]]:
    return {
        ("step", step.name, first.name),
        ("step, second", step.name, second.name),
        ("faults", first.name, second.name),
    }
