"""Measures with ``tracemalloc`` the memory of objects that entries and agents keep."""

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

OBJECT_COUNT = 500  # objects of each kind
STREAM_DEADLINE_SECONDS = 600.0  # seconds
CACHED_PREFIX_COUNT = 24  # in each load report


def build_member(index: int) -> Member:
    """Return the record that a directory keeps of an endpoint."""
    name = f"engine-{index}"
    return Member(
        instance=Instance(name, InstanceKind.ENGINE, f"place-{index % 3}", "127.0.0.1", 1, ("m",)),
        report=LoadReport(
            endpoint=name,
            incarnation=f"{index:032x}",
            targets=("m",),
            parallel=8,
            prefill_rate=50_000.0,
            decode_rate=20.0,
            cached_prefixes=tuple(f"p{index}/{piece}" for piece in range(CACHED_PREFIX_COUNT)),
        ),
    )


def bytes_per_object(make: Callable[[], object]) -> float:
    """Return the bytes per object of ``OBJECT_COUNT`` objects that ``make`` returns."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    objects = make()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del objects
    return size / OBJECT_COUNT


def measure_memory() -> dict[str, float]:
    """Return the bytes per endpoint, instance, exception, running stream and queued attempt."""
    return {
        "endpoint": bytes_per_object(_build_fleet),
        "instance": bytes_per_object(_build_instances),
        "exception": bytes_per_object(_build_configuration),
        "stream": _attempt_bytes(parallel=OBJECT_COUNT),
        "queued": _attempt_bytes(parallel=1),
    }


def _build_fleet() -> Fleet:
    fleet = Fleet()
    for index in range(OBJECT_COUNT):
        one = build_member(index)
        fleet.members[one.instance.name] = one
    return fleet


def _build_instances() -> tuple[Instance, ...]:
    return tuple(
        Instance(f"engine-{one}", InstanceKind.ENGINE, f"place-{one % 3}", f"10.0.0.{one}", one)
        for one in range(OBJECT_COUNT)
    )


def _build_configuration() -> object:
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
        for one in range(OBJECT_COUNT)
    )
    return evolve(default_configuration(), exceptions=overrides)


def _attempt_bytes(parallel: int) -> float:
    site = Site(seed=1)
    speed = EngineSpeed(batch_slots=parallel, kv_tokens=OBJECT_COUNT * 1000)
    site.add_engine("engine-1", "Mombasa", targets=("m",), speed=speed)
    site.add_entry("entry-1", "Mombasa")
    site.settle()
    return bytes_per_object(lambda: _send_requests(site))


def _send_requests(site: Site) -> Site:
    for index in range(OBJECT_COUNT):
        work = Completion("m", (Message("user", "hello"),), prompt_tokens=100, max_tokens=50)
        deadline = site.clock.now + STREAM_DEADLINE_SECONDS
        request = Request(f"r{index}", "w", Rank.STANDARD, deadline=deadline, work=work)
        site.serve("entry-1", request)
    site.clock.run_until(site.clock.now + 0.5)
    return site
