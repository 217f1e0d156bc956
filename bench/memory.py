"""Memory of what entries and agents hold, by ``tracemalloc``."""

import gc
import tracemalloc
from collections.abc import Callable

from attrs import evolve

from bench.site import Site
from chivewall.configuration import LimitName, LimitOverride, default_configuration
from chivewall.decisions.membership import Fleet, Member
from chivewall.interfaces import Instance, InstanceKind
from chivewall.standins.engine import EngineSpeed
from chivewall.work import Completion, LoadReport, Message, Rank, Request

COUNT = 500  # things of each kind
STREAM_DEADLINE = 600.0  # seconds
CACHED_PREFIXES = 24


def member(place: int) -> Member:
    """Return an endpoint as a directory knows it."""
    name = f"engine-{place}"
    return Member(
        instance=Instance(name, InstanceKind.ENGINE, f"place-{place % 3}", "127.0.0.1", 1, ("m",)),
        report=LoadReport(
            endpoint=name,
            incarnation=f"{place:032x}",
            targets=("m",),
            parallel=8,
            prefill_rate=50_000.0,
            decode_rate=20.0,
            cached_prefixes=tuple(f"p{place}/{piece}" for piece in range(CACHED_PREFIXES)),
        ),
    )


def held(make: Callable[[], object]) -> float:
    """Return the bytes for each of ``COUNT`` things that ``make`` returns together."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = make()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del kept
    return size / COUNT


def measure_memory() -> dict[str, float]:
    """Return bytes for each endpoint, instance, exception, running stream and queued attempt."""
    return {
        "endpoint": held(_endpoints),
        "instance": held(_instances),
        "exception": held(_exceptions),
        "stream": _attempt_bytes(parallel=COUNT),
        "queued": _attempt_bytes(parallel=1),
    }


def _endpoints() -> Fleet:
    fleet = Fleet()
    for place in range(COUNT):
        one = member(place)
        fleet.members[one.instance.name] = one
    return fleet


def _instances() -> tuple[Instance, ...]:
    return tuple(
        Instance(f"engine-{one}", InstanceKind.ENGINE, f"place-{one % 3}", f"10.0.0.{one}", one)
        for one in range(COUNT)
    )


def _exceptions() -> object:
    overrides = tuple(
        LimitOverride(
            id=f"exception-{one}",
            limit=LimitName.OUTPUT_TOKENS,
            value=float(one + 1),
            reason=f"voted in meeting {one}",
            author=f"operator-{one}",
            expires_at=1e9,
            workspace=f"workspace-{one}",
        )
        for one in range(COUNT)
    )
    return evolve(default_configuration(), exceptions=overrides)


def _attempt_bytes(parallel: int) -> float:
    site = Site(seed=1)
    speed = EngineSpeed(batch_slots=parallel, kv_tokens=COUNT * 1000)
    site.add_engine("engine-1", "Mombasa", targets=("m",), speed=speed)
    site.add_entry("entry-1", "Mombasa")
    site.settle()
    return held(lambda: _send_requests(site))


def _send_requests(site: Site) -> Site:
    for place in range(COUNT):
        work = Completion("m", (Message("user", "hello"),), prompt_tokens=100, max_tokens=50)
        deadline = site.clock.now + STREAM_DEADLINE
        request = Request(f"r{place}", "w", Rank.STANDARD, deadline=deadline, work=work)
        site.serve("entry-1", request)
    site.clock.run_until(site.clock.now + 0.5)
    return site
