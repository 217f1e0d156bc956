"""Command line of the soak test: ``python -m soak``."""

import time
from concurrent.futures import ProcessPoolExecutor, as_completed

import click

from soak.seed import play
from soak.variants import VARIANTS


@click.command()
@click.option("--seeds", default=50, show_default=True, help="Number of seeds to run.")
@click.option("--first", default=None, type=int, help="First seed; default: from the clock.")
@click.option("--minutes", default=0.0, help="Start no seed after so many minutes; 0 for no limit.")
@click.option("--jobs", default=3, show_default=True, help="Seeds that run in parallel.")
@click.option("--variant", default="whole", type=click.Choice(sorted(VARIANTS)), show_default=True)
def main(seeds: int, first: int | None, minutes: float, jobs: int, variant: str) -> None:
    """Run seeds against real gateway processes; exit with status 1 if a guarantee was violated.

    Example: python -m soak --seeds 1 --first 1207 repeats one seed.
    """
    start = int(time.time()) % 1_000_000 if first is None else first
    deadline = time.monotonic() + minutes * 60 if minutes else float("inf")
    broken = played = 0
    with ProcessPoolExecutor(max_workers=jobs) as pool:
        numbers = iter(range(start, start + seeds))
        waiting = {
            pool.submit(play, one, variant) for _, one in zip(range(jobs), numbers, strict=False)
        }
        while waiting:
            done = next(as_completed(waiting))
            waiting.remove(done)
            verdict = done.result()
            click.echo(str(verdict))
            played += 1
            broken += bool(verdict.broken)
            if time.monotonic() < deadline and (following := next(numbers, None)) is not None:
                waiting.add(pool.submit(play, following, variant))
    click.echo(f"{played} seeds, {broken} with a violated guarantee")
    raise SystemExit(1 if broken else 0)


if __name__ == "__main__":
    main()
