"""Runs one seed of the soak test and checks the guarantees."""

import random
import shutil
import tempfile
import threading
import time
from pathlib import Path

from attrs import frozen

from soak.callers import Caller
from soak.checks import find_violations
from soak.faults import FAULTS
from soak.site import Site

FAULT_PERIOD_SECONDS = 14.0  # period with faults; none starts in its last 5 seconds
RECOVERY_SECONDS = 5.0  # after the last fault; longer than until all time limits apply again
CALLER_COUNT = 8  # concurrent callers
GATEWAY_COUNT = 3  # gateway processes
FAULT_COUNT_RANGE = (4, 10)  # least and most number of faults


@frozen
class SeedResult:
    """Result of a seed."""

    seed: int
    requests: int
    served: int
    faults: tuple[str, ...]
    violations: tuple[str, ...]

    def __str__(self) -> str:
        """Return a summary line, and one more line for each violation."""
        state = "FAILED" if self.violations else "passed"
        head = (
            f"seed {self.seed}: {state}, {self.served} of {self.requests} requests served; "
            f"{', '.join(self.faults)}"
        )
        return "\n  ".join((head, *self.violations))


def log_folder(seed: int) -> Path:
    """Return the folder for the logs of a failed seed."""
    return Path(tempfile.gettempdir()) / f"chivewall-soak-{seed}"


def run_seed(seed: int, variant: str = "whole", gateway_count: int = GATEWAY_COUNT) -> SeedResult:
    """Run one seed and return its result; all processes that it started have then ended."""
    rng = random.Random(seed)
    chosen = rng.choices(list(FAULTS), k=rng.randint(*FAULT_COUNT_RANGE))
    schedule = sorted((rng.uniform(0.5, FAULT_PERIOD_SECONDS - 5), name) for name in chosen)
    with (
        tempfile.TemporaryDirectory(prefix="chivewall-soak-") as folder,
        Site(Path(folder), variant, gateway_count) as site,
    ):
        _run_callers_and_faults(site, schedule, seed)
        for gateway in site.gateways:
            if gateway.process.poll() is not None:
                site.records.unexpected_exits.append(
                    f"{gateway.name}: {gateway.process.returncode}"
                )
            elif (resource_peak := gateway.resource_peak()) is not None:
                site.records.resource_peaks.append(resource_peak)
        records = site.records
        for endpoint in site.endpoints.values():
            records.run_counts.update(endpoint.run_ids)
        violations = tuple(find_violations(records))
        if violations:
            shutil.copytree(folder, log_folder(seed), dirs_exist_ok=True)
    served = sum(one.status == 200 for one in records.requests)
    return SeedResult(
        seed, len(records.requests), served, tuple(n for _, n in schedule), violations
    )


def _run_callers_and_faults(site: Site, schedule: list[tuple[float, str]], seed: int) -> None:
    stop = threading.Event()
    callers = [
        Caller(site, one, random.Random(f"{seed}-{one}"), stop) for one in range(CALLER_COUNT)
    ]
    threads = [threading.Thread(target=one.run, daemon=True) for one in callers]
    for one in threads:
        one.start()
    started = time.monotonic()
    faults = []
    for number, (at, name) in enumerate(schedule):
        time.sleep(max(0.0, started + at - time.monotonic()))
        rng = random.Random(f"{seed}-fault-{number}")
        faults.append(threading.Thread(target=FAULTS[name], args=(site, rng), daemon=True))
        faults[-1].start()
    for one in faults:
        one.join()
    time.sleep(RECOVERY_SECONDS)
    stop.set()
    for one in threads:
        one.join()
