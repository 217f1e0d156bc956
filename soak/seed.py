"""Runs one seed of the soak test and checks the guarantees."""

import random
import shutil
import tempfile
import threading
import time
from pathlib import Path

from attrs import frozen

from soak.callers import Caller
from soak.checks import judge
from soak.faults import FAULTS
from soak.site import Site

PLAY_SECONDS = 14.0  # period with faults; none starts in its last 5 seconds
CALM_SECONDS = 5.0  # after the last fault; longer than it takes until all time limits apply again
CALLERS = 8  # concurrent callers
GATEWAYS = 3  # gateway processes
FAULTS_A_SEED = (4, 10)  # least and most number of faults


@frozen
class Verdict:
    """Result of a seed."""

    seed: int
    requests: int
    served: int
    faults: tuple[str, ...]
    broken: tuple[str, ...]

    def __str__(self) -> str:
        """Return a summary line, and one more line for each violation."""
        state = "FAILED" if self.broken else "passed"
        head = (
            f"seed {self.seed}: {state}, {self.served} of {self.requests} requests served; "
            f"{', '.join(self.faults)}"
        )
        return "\n  ".join((head, *self.broken))


def log_folder(seed: int) -> Path:
    """Return the folder for the logs of a failed seed."""
    return Path(tempfile.gettempdir()) / f"chivewall-soak-{seed}"


def play(seed: int, variant: str = "whole", gateways: int = GATEWAYS) -> Verdict:
    """Run one seed and return its result; all processes that it started have then ended."""
    rng = random.Random(seed)
    chosen = rng.choices(list(FAULTS), k=rng.randint(*FAULTS_A_SEED))
    plan = sorted((rng.uniform(0.5, PLAY_SECONDS - 5), name) for name in chosen)
    with (
        tempfile.TemporaryDirectory(prefix="chivewall-soak-") as folder,
        Site(Path(folder), variant, gateways) as site,
    ):
        _play(site, plan, seed)
        for gateway in site.gateways:
            if gateway.process.poll() is not None:
                site.records.own_exits.append(f"{gateway.name}: {gateway.process.returncode}")
            elif (peak := gateway.peak()) is not None:
                site.records.peaks.append(peak)
        records = site.records
        for runner in site.runners.values():
            records.runs.update(runner.ran)
        broken = tuple(judge(records))
        if broken:
            shutil.copytree(folder, log_folder(seed), dirs_exist_ok=True)
    served = sum(one.status == 200 for one in records.answers)
    return Verdict(seed, len(records.answers), served, tuple(n for _, n in plan), broken)


def _play(site: Site, plan: list[tuple[float, str]], seed: int) -> None:
    stop = threading.Event()
    callers = [Caller(site, one, random.Random(f"{seed}-{one}"), stop) for one in range(CALLERS)]
    threads = [threading.Thread(target=one.run, daemon=True) for one in callers]
    for one in threads:
        one.start()
    started = time.monotonic()
    faults = []
    for number, (at, name) in enumerate(plan):
        time.sleep(max(0.0, started + at - time.monotonic()))
        rng = random.Random(f"{seed}-fault-{number}")
        faults.append(threading.Thread(target=FAULTS[name], args=(site, rng), daemon=True))
        faults[-1].start()
    for one in faults:
        one.join()
    time.sleep(CALM_SECONDS)
    stop.set()
    for one in threads:
        one.join()
