"""Command line of the soak test: ``python -m soak``."""

import time
from concurrent.futures import ProcessPoolExecutor, as_completed

import click

from soak.seed import run_seed
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
    first_seed = int(time.time()) % 1_000_000 if first is None else first
    deadline = time.monotonic() + minutes * 60 if minutes else float("inf")
    failed_count = finished_count = 0
    with ProcessPoolExecutor(max_workers=jobs) as pool:
        seed_numbers = iter(range(first_seed, first_seed + seeds))
        pending = {
            pool.submit(run_seed, one, variant)
            for _, one in zip(range(jobs), seed_numbers, strict=False)
        }
        while pending:
            done = next(as_completed(pending))
            pending.remove(done)
            result = done.result()
            click.echo(str(result))
            finished_count += 1
            failed_count += bool(result.violations)
            if time.monotonic() < deadline and (next_seed := next(seed_numbers, None)) is not None:
                pending.add(pool.submit(run_seed, next_seed, variant))
    click.echo(f"{finished_count} seeds, {failed_count} with a violated guarantee")
    raise SystemExit(1 if failed_count else 0)


if __name__ == "__main__":
    main()
