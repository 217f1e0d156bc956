"""Formats the results of the matrix as tables and reads the list of known failures."""

from collections import Counter
from pathlib import Path

from bench.faults.cells import WALK, CellOutcome
from bench.faults.checks import CHECKS
from bench.faults.faults import FAULTS
from bench.faults.steps import STEPS

KNOWN_FAILURES_PATH = Path(__file__).parents[2] / "KNOWN-RED.txt"
MAX_SHOWN_VIOLATIONS = 3  # most violations printed for a cell


def known_commands(path: Path = KNOWN_FAILURES_PATH) -> frozenset[str]:
    """Return the ``--replay`` arguments of the cells that are known to fail."""
    if not path.exists():
        return frozenset()
    found = []
    for line in path.read_text(encoding="utf-8").splitlines():
        _, marker, rest = line.partition("python -m bench.faults --replay ")
        if marker:
            found.append(" ".join(rest.split()[:3]))
    return frozenset(found)


def matrix_table(outcomes: list[CellOutcome]) -> str:
    """Return a table of steps by faults with the numbers of cells passed and run."""
    passed: Counter[tuple[str, str]] = Counter()
    tried: Counter[tuple[str, str]] = Counter()
    for outcome in outcomes:
        key = (outcome.cell.step, outcome.cell.fault.partition("+")[0])
        tried[key] += 1
        passed[key] += outcome.passed
    lines = [f"{number:2d} {fault.name}" for number, fault in enumerate(FAULTS, 1)]
    lines.append(" " * 20 + "".join(f"{number:>6}" for number in range(1, len(FAULTS) + 1)))
    for step in STEPS:
        keys = [(step.name, fault.name) for fault in FAULTS]
        shown = [f"{passed[one]}/{tried[one]}" if tried[one] else "-" for one in keys]
        lines.append(f"{step.name:20}" + "".join(f"{one:>6}" for one in shown))
    walks = (WALK, "random")
    lines.append(f"random walks: {passed[walks]}/{tried[walks]}")
    return "\n".join(lines)


def invariant_table(outcomes: list[CellOutcome]) -> str:
    """Return a table of checks with cells run, cells with violations and worst time."""
    lines = [f"{'check':22}{'inv.':>6}{'cells':>7}{'violated':>10}{'worst s':>9}{'bound s':>9}"]
    for check in CHECKS:
        findings = [one.findings[check.name] for one in outcomes]
        violated = sum(bool(one.violations) for one in findings)
        times = [one.worst_seconds for one in findings if one.worst_seconds is not None]
        worst = f"{max(times):.2f}" if times else "-"
        bound = f"{check.bound:g}" if check.bound is not None else "-"
        lines.append(
            f"{check.name:22}{check.invariant:>6}{len(findings):>7}{violated:>10}"
            f"{worst:>9}{bound:>9}"
        )
    return "\n".join(lines)


def failure_text(outcome: CellOutcome) -> str:
    """Return the command that replays a cell and the first violations in it."""
    shown = outcome.violations[:MAX_SHOWN_VIOLATIONS]
    more = len(outcome.violations) - len(shown)
    tail = [f"  and {more} more"] if more else []
    return "\n".join([outcome.cell.command, *(f"  {one}" for one in shown), *tail])
