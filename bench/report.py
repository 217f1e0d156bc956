"""Compares the results of ``make bench`` with their targets and writes tables, JSON and plots."""

import json
from pathlib import Path

import matplotlib as mpl
from attrs import frozen

from bench.measures import CellResult
from bench.policies import CHIVEWALL, NAIVE, POLICIES
from bench.workload import SCENARIOS, SITES, Scenario
from chivewall.work import Rank

mpl.use("Agg")
from matplotlib import pyplot as plt

MIN_WORTH_OVER_NAIVE = 1.5  # least worth relative to the naive policy
MIN_WORTH_OF_BOUND = 0.85  # least worth relative to the upper bound
MIN_URGENT_WITHIN_SHARE = 0.95  # least share of urgent requests within target
MAX_ROLE_CHANGES_PER_SWING = 2  # most role changes in a data centre
Results = dict[tuple[str, str, str], CellResult]  # by site, scenario and policy


@frozen
class Target:
    """A target and the measured value."""

    name: str
    measured: float
    bound: float
    at_least: bool = True  # whether the bound is a minimum; otherwise a maximum

    @property
    def met(self) -> bool:
        """Return whether the measured value is within the bound."""
        if self.at_least:
            return self.measured >= self.bound
        return self.measured <= self.bound


def targets(results: Results, seeds: int) -> list[Target]:
    """Return all targets with their results; section 8 of docs/design.md states them."""
    found: list[Target] = []
    for site in SITES:
        for scenario in SCENARIOS:
            cell = results[site.name, scenario.name, CHIVEWALL.name]
            naive = results[site.name, scenario.name, NAIVE.name]
            found += _scenario_targets(scenario, cell, naive, seeds * len(site.data_centres))
    return found


def _scenario_targets(
    scenario: Scenario, cell: CellResult, naive: CellResult, data_centre_runs: int
) -> list[Target]:
    prefix = f"{cell.site} {scenario.name}:"
    found = []
    if scenario.swings > 1:
        ratio = cell.worth / max(naive.worth, 1e-9)
        found.append(Target(f"{prefix} worth over naive", ratio, MIN_WORTH_OVER_NAIVE))
        share = cell.worth / cell.worth_bound
        found.append(Target(f"{prefix} worth of upper bound", share, MIN_WORTH_OF_BOUND))
    urgent = cell.ranks[Rank.URGENT]
    if any(one.rank is Rank.URGENT for one in scenario.floods):
        share = urgent.admitted_within / max(1, urgent.admitted)
        found.append(
            Target(f"{prefix} admitted urgent within target", share, MIN_URGENT_WITHIN_SHARE)
        )
    else:
        share = urgent.within / urgent.sent
        found.append(Target(f"{prefix} urgent within target", share, MIN_URGENT_WITHIN_SHARE))
    for rank, result in cell.ranks.items():
        if result.flood_share > 0:
            kept = result.flood_kept / result.flood_share
            found.append(Target(f"{prefix} {rank.value} keeps its share", kept, 1.0))
    found.append(
        Target(f"{prefix} accepted patient work lost", cell.patient_lost, 0, at_least=False)
    )
    if scenario.swings or scenario.name == "steady":
        bound = MAX_ROLE_CHANGES_PER_SWING * scenario.swings * data_centre_runs
        found.append(Target(f"{prefix} role changes", cell.role_changes, bound, at_least=False))
    return found


def print_cells(results: Results) -> None:
    """Print one line for each site, scenario and policy."""
    print(
        f"{'site':9}{'scenario':14}{'policy':17}{'worth':>7}{'bound':>7}{'good':>6}{'sent':>6}"
        f"{'retry':>6}{'hit%':>6}{'lost':>5}{'open':>5}{'twice':>6}{'false':>6}{'wrong':>6}{'roles':>6}"
    )
    for cell in results.values():
        hits = 100 * cell.cached_pieces / max(1, cell.prompt_pieces)
        print(
            f"{cell.site:9}{cell.scenario:14}{cell.policy:17}{cell.worth / cell.worth_sent:7.3f}"
            f"{cell.worth_bound / cell.worth_sent:7.3f}{cell.good:6}{cell.sent:6}"
            f"{cell.retries:6}{hits:6.1f}{cell.patient_lost:5}{cell.unfinished:5}"
            f"{cell.calls_twice:6}{cell.false_refusals:6}{cell.wrong_answers:6}{cell.role_changes:6}"
        )


def print_ranks(results: Results) -> None:
    """Print the measures by rank for chivewall and naive; the JSON file has all policies."""
    print(
        f"\n{'site':9}{'scenario':14}{'policy':11}{'rank':9}{'sent':>6}{'within':>7}{'refused':>8}"
        f"{'first token p50/p95/p99 s':>27}{'between p50/p95/p99 ms':>24}{'kept':>7}"
    )
    for cell in results.values():
        if cell.policy not in (CHIVEWALL.name, NAIVE.name):
            continue
        for rank, one in cell.ranks.items():
            first = "/".join(f"{value:.2f}" for value in one.first_token_quantiles())
            gaps = "/".join(f"{value * 1000:.0f}" for value in one.gap_quantiles())
            kept = f"{one.flood_kept / one.flood_share:.2f}" if one.flood_share else "-"
            print(
                f"{cell.site:9}{cell.scenario:14}{cell.policy:11}{rank.value:9}{one.sent:6}"
                f"{one.within / max(1, one.sent):7.3f}{one.refused:8}{first:>27}{gaps:>24}{kept:>7}"
            )


def print_targets(found: list[Target]) -> None:
    """Print every target with its measured value."""
    print()
    for one in found:
        sign = ">=" if one.at_least else "<="
        verdict = "met" if one.met else "MISSED"
        print(f"{verdict:7}{one.name:55}{one.measured:9.3f} {sign} {one.bound:g}")


def write_json(path: Path, results: Results, found: list[Target], seeds: int) -> None:
    """Write all measures and targets as JSON."""
    path.parent.mkdir(exist_ok=True)
    document = {
        "seeds": seeds,
        "cells": [_cell_document(one) for one in results.values()],
        "targets": [
            {"name": one.name, "measured": one.measured, "bound": one.bound, "met": one.met}
            for one in found
        ],
    }
    path.write_text(json.dumps(document, indent=1) + "\n")


def _cell_document(cell: CellResult) -> dict[str, object]:
    plain = {
        name: getattr(cell, name) for name in cell.__slots__ if name not in ("ranks", "__weakref__")
    }
    ranks = {}
    for rank, one in cell.ranks.items():
        ranks[rank.value] = {
            "sent": one.sent,
            "within": one.within,
            "admitted": one.admitted,
            "admitted_within": one.admitted_within,
            "refused": one.refused,
            "first_token_s": one.first_token_quantiles(),
            "between_tokens_s": one.gap_quantiles(),
            "flood_kept_engine_s": one.flood_kept,
            "flood_share_engine_s": one.flood_share,
        }
    return {**plain, "sent": cell.sent, "good": cell.good, "ranks": ranks}


def plot(folder: Path, results: Results) -> None:
    """Write a plot of goodput and of urgent requests within target for each site."""
    names = [one.name for one in SCENARIOS]
    for site in SITES:
        figure, (upper, lower) = plt.subplots(2, 1, figsize=(11, 8), sharex=True)
        width = 0.8 / len(POLICIES)
        for index, policy in enumerate(POLICIES):
            cells = [results.get((site.name, name, policy.name)) for name in names]
            positions = [one + index * width for one, cell in enumerate(cells) if cell]
            known = [cell for cell in cells if cell]
            upper.bar(
                positions, [one.worth / one.worth_bound for one in known], width, label=policy.name
            )
            urgent = [one.ranks[Rank.URGENT] for one in known]
            lower.bar(positions, [one.within / max(1, one.sent) for one in urgent], width)
        upper.axhline(MIN_WORTH_OF_BOUND, color="black", linewidth=0.8)
        lower.axhline(MIN_URGENT_WITHIN_SHARE, color="black", linewidth=0.8)
        upper.set_ylabel("worth within target / upper bound")
        lower.set_ylabel("share of urgent work within target")
        upper.set_title(f"Goodput by scenario and policy, {site.name}")
        lower.set_xticks([one + 0.35 for one in range(len(names))], names, rotation=20)
        upper.legend(fontsize="small")
        figure.tight_layout()
        figure.savefig(folder / f"bench-{site.name}.png", dpi=80, metadata={"Software": None})
        plt.close(figure)
