"""Runs the fault-injection matrix, which section 8 of docs/design.md describes."""

import argparse
import gc
import multiprocessing
import sys
from collections.abc import Iterable
from enum import IntEnum

from bench.faults.cells import Cell, CellOutcome, run_cell
from bench.faults.matrix import all_cells, quick_cells
from bench.faults.report import failure_text, invariant_table, known_commands, matrix_table

WORKER_PROCESSES = 6
GC_THRESHOLD_OBJECTS = 100_000  # objects; at the default of 700, collection takes 12% of a cell
CELLS_PER_TASK = 4  # cells sent to a worker process at a time


class ExitStatus(IntEnum):
    """Exit status of the command."""

    PASSED = 0
    FAILED = 1


def main(arguments: list[str] | None = None) -> ExitStatus:
    """Run all cells, a quick subset or, with ``--replay``, a single cell."""
    options = _parser().parse_args(arguments)
    if options.replay:
        step, fault, seed = options.replay
        outcome = run_cell(Cell(step=step, fault=fault, seed=int(seed)))
        print("\n".join(outcome.injected))
        return _report([outcome], table=False)
    cells = quick_cells(options.seed) if options.quick else all_cells(options.seed)
    return _report(list(_run(cells, options.processes)), table=True)


def _run(cells: list[Cell], processes: int) -> Iterable[CellOutcome]:
    context = multiprocessing.get_context("spawn")
    with context.Pool(processes, gc.set_threshold, (GC_THRESHOLD_OBJECTS,)) as pool:
        yield from pool.imap(run_cell, cells, chunksize=CELLS_PER_TASK)


def _report(outcomes: list[CellOutcome], *, table: bool) -> ExitStatus:
    known = known_commands()
    if table:
        print(matrix_table(outcomes))
        print()
    print(invariant_table(outcomes))
    failed = [one for one in outcomes if not one.passed]
    for outcome in failed:
        mark = "known failure" if outcome.cell.name in known else "FAILED"
        print(f"\n{mark}: {failure_text(outcome)}")
    print(f"\n{len(outcomes) - len(failed)} passed, {len(failed)} failed")
    unknown = [one for one in failed if one.cell.name not in known]
    return ExitStatus.FAILED if unknown else ExitStatus.PASSED


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="python -m bench.faults", description=__doc__)
    parser.add_argument(
        "--seed",
        type=int,
        default=1,
        help="seed of the cells, of the sampled pairs and of the random walks",
    )
    parser.add_argument(
        "--quick", action="store_true", help="run the small subset that the tests run"
    )
    parser.add_argument("--processes", type=int, default=WORKER_PROCESSES)
    parser.add_argument("--replay", nargs=3, metavar=("STEP", "FAULT", "SEED"))
    return parser


if __name__ == "__main__":
    sys.exit(main())
