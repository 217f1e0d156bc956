"""``make bench``: compares serving policies in simulations on a virtual clock."""

import gc
import multiprocessing
import os
import sys
import time
from pathlib import Path

from attrs import frozen

from bench import report
from bench.experiment import run
from bench.measures import CellResult, measure
from bench.policies import CHIVEWALL, NAIVE, POLICIES, Policy
from bench.workload import SCENARIOS, SITES, generate_arrivals

WORKER_PROCESSES = 6
GC_THRESHOLD_OBJECTS = 100_000  # objects; at the default of 700, collection takes much of a run
FULL_SEEDS = (1, 2, 3)
QUICK_SEEDS = (1,)
# An ablation runs only in scenarios where the decision that it replaces matters;
# running it in all of them would exceed the time limit.
ABLATION_SCENARIOS = {
    "no-shares": ("flood-urgent",),
    "no-early-refusal": ("flood-urgent",),
    "no-retry-budget": ("changes", "flood-urgent"),
}
DEFAULT_ABLATION_SCENARIOS = ("swings",)


@frozen
class Experiment:
    """One experiment to run.

    Site, scenario and policy are given as indices, which are cheap to send to a
    worker process.
    """

    site: int
    scenario: int
    policy: int
    seed: int

    @property
    def estimated_cost(self) -> float:
        """Return a relative estimate of the time that the experiment takes."""
        scenario = SCENARIOS[self.scenario]
        return SITES[self.site].engines * (scenario.seconds + 100 * len(scenario.floods))


def main() -> int:
    """Run all experiments; missed targets are printed but don't change the exit status."""
    quick = os.environ.get("QUICK", "") not in ("", "0")
    seeds = QUICK_SEEDS if quick else FULL_SEEDS
    started = time.monotonic()
    experiments = sorted(list_experiments(seeds), key=lambda one: -one.estimated_cost)
    collected: dict[tuple[int, int, int], CellResult] = {}
    with multiprocessing.Pool(WORKER_PROCESSES) as pool:
        for done, (experiment, result) in enumerate(
            pool.imap_unordered(run_experiment, experiments), start=1
        ):
            key = (experiment.site, experiment.scenario, experiment.policy)
            if key in collected:
                collected[key].add(result)
            else:
                collected[key] = result
            show_progress(done, len(experiments))
    results = {(one.site, one.scenario, one.policy): one for _, one in sorted(collected.items())}
    found = report.targets(results, len(seeds))
    report.print_cells(results)
    report.print_ranks(results)
    report.print_targets(found)
    report.write_json(Path("build/bench.json"), results, found, len(seeds))
    report.plot(Path("build" if quick else "docs"), results)  # docs/ shows full runs
    print(
        f"\n{len(experiments)} experiments, {len(seeds)} seeds, {time.monotonic() - started:.0f} s"
    )
    met = sum(one.met for one in found)
    print(f"bench: {met} targets met, {len(found) - met} missed")
    return 0


def list_experiments(seeds: tuple[int, ...]) -> list[Experiment]:
    """Return the experiments to run."""
    return [
        Experiment(site=site, scenario=scenario, policy=policy, seed=seed)
        for site in range(len(SITES))
        for scenario, details in enumerate(SCENARIOS)
        for policy, choice in enumerate(POLICIES)
        for seed in seeds
        if runs_in_scenario(choice, details.name)
    ]


def runs_in_scenario(policy: Policy, scenario: str) -> bool:
    """Return whether a policy runs in a scenario."""
    if policy in (CHIVEWALL, NAIVE):
        return True
    return scenario in ABLATION_SCENARIOS.get(policy.name, DEFAULT_ABLATION_SCENARIOS)


def run_experiment(experiment: Experiment) -> tuple[Experiment, CellResult]:
    """Run one experiment in a worker process."""
    gc.set_threshold(GC_THRESHOLD_OBJECTS)
    spec, scenario = SITES[experiment.site], SCENARIOS[experiment.scenario]
    arrivals = generate_arrivals(spec, scenario, experiment.seed)
    return experiment, measure(
        run(spec, scenario, POLICIES[experiment.policy], arrivals, experiment.seed)
    )


def show_progress(done: int, total: int) -> None:
    """Print to stderr how many experiments are done."""
    if sys.stderr.isatty() or done in (total // 4, total // 2, total):
        end = "\n" if done == total or not sys.stderr.isatty() else "\r"
        print(f"{done}/{total} experiments", end=end, file=sys.stderr, flush=True)


if __name__ == "__main__":
    sys.exit(main())
