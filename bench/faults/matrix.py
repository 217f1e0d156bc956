"""Selects the cells to run: all single faults, sampled pairs of faults and random walks."""

import random
from itertools import chain

from bench.faults.cells import WALK, Cell, possible_faults
from bench.faults.faults import FAULTS, Fault
from bench.faults.steps import STEPS, Step

PAIR_COUNT = 270  # a sample; all 17,000 triples of step, fault and second fault take half an hour
WALK_COUNT = 200  # random walks
CANDIDATES_PER_PAIR = 12  # candidates compared for each pair
# The quick subset has every 21st single fault.
QUICK_STRIDE = 21
QUICK_PAIR_COUNT = 3
QUICK_WALK_COUNT = 3


def single_cells(seed: int) -> list[Cell]:
    """Return a cell for every step with every fault that can happen there."""
    return [
        Cell(step=step.name, fault=fault.name, seed=seed)
        for step in STEPS
        for fault in possible_faults(step)
    ]


def pair_cells(seed: int, count: int = PAIR_COUNT) -> list[Cell]:
    """Return cells with two faults, chosen greedily to cover the most new combinations.

    Three kinds of combinations count: step and first fault, step and second
    fault, first and second fault. Other seeds sample other pairs.
    """
    rng = random.Random(seed)
    single_faults = [(step, fault) for step in STEPS for fault in possible_faults(step)]
    covered: set[tuple[str, str, str]] = set()
    cells = []
    for number in range(count):
        candidates = [
            (*rng.choice(single_faults), rng.choice(FAULTS)) for _ in range(CANDIDATES_PER_PAIR)
        ]
        step, first, second = max(candidates, key=lambda one: len(_combinations(*one) - covered))
        covered |= _combinations(step, first, second)
        name = f"{first.name}+{second.name}"
        cells.append(Cell(step=step.name, fault=name, seed=seed + number))
    return cells


def walk_cells(seed: int, count: int = WALK_COUNT) -> list[Cell]:
    """Return cells that inject random faults at random times."""
    return [Cell(step=WALK, fault="random", seed=seed + number) for number in range(count)]


def all_cells(seed: int) -> list[Cell]:
    """Return the cells that ``make faults`` runs."""
    return list(chain(single_cells(seed), pair_cells(seed), walk_cells(seed)))


def quick_cells(seed: int) -> list[Cell]:
    """Return the subset that the tests run."""
    single = single_cells(seed)[::QUICK_STRIDE]
    return [*single, *pair_cells(seed, QUICK_PAIR_COUNT), *walk_cells(seed, QUICK_WALK_COUNT)]


def _combinations(step: Step, first: Fault, second: Fault) -> set[tuple[str, str, str]]:
    return {
        ("step", step.name, first.name),
        ("step, second", step.name, second.name),
        ("faults", first.name, second.name),
    }
