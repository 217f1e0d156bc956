"""``make bench-cost``: what the path adds to a direct call, as ratios in one run."""

import functools
import json
import random
import statistics
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import treq
from attrs import define, field
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import deferLater

from bench.memory import measure_memory, member
from chivewall.daemon import Daemon, install_reactor
from chivewall.decisions.membership import Fleet
from chivewall.decisions.routing import choose
from chivewall.environment import Environment
from chivewall.kernel import Application
from chivewall.settings import parse
from chivewall.standins.engine import EngineSpeed
from chivewall.work import Completion, Message, Rank, Request

PAIRS = 150  # direct calls and calls through the path, in turn
STREAM_PAIRS = 25
SHORT, LONG = 4, 104  # tokens of streams; their difference is the cost of tokens
STEP_SECONDS = 0.002  # of the stand-in, short so that the path is seen
CHOICES = 300
ROUNDS = 15
FLEETS = (9, 60, 600)
ROUTING_BOUND = 1.5  # 600 endpoints in relation to 9
READY_TRIES = 200
SETTINGS = """
{"role": "embedded", "instance": "cost", "data_centre": "Mombasa", "plugins": ["embedded"],
 "embedded": {"port": 0, "models": ["m"], "services": ["booking"],
  "data_centres": [{"name": "Mombasa", "engines": 1, "services": 1}]}}
"""


@define
class Samples:
    """Wall and CPU seconds of one kind of call."""

    wall: list[float] = field(factory=list)
    cpu: list[float] = field(factory=list)

    def median(self, name: str) -> float:
        """Return the median in seconds."""
        return statistics.median(getattr(self, name))


@define(eq=False)
class PathCost:
    """Sends the same work directly to a stand-in and through entry and agent."""

    env: Environment
    entry: str
    engine: str
    service: str
    samples: dict[str, Samples] = field(factory=dict)

    async def measure(self) -> None:
        """Run all pairs."""
        for place in range(PAIRS):
            await self._sample("call direct", self._call, f"{self.service}/x", place)
            await self._sample("call path", self._call, f"{self.entry}/services/booking/x", place)
        for place in range(STREAM_PAIRS):
            for tokens in (SHORT, LONG):
                await self._sample(
                    f"stream{tokens} direct", self._stream, self.engine, tokens, place
                )
                await self._sample(f"stream{tokens} path", self._stream, self.entry, tokens, place)

    async def _sample(self, kind: str, send: Callable[..., Any], *args: Any) -> None:
        wall, cpu = time.perf_counter(), time.process_time()
        await send(*args)
        samples = self.samples.setdefault(kind, Samples())
        samples.wall.append(time.perf_counter() - wall)
        samples.cpu.append(time.process_time() - cpu)

    async def _call(self, url: str, place: int) -> None:
        response = await treq.post(url, data=b'{"guard": "g%d"}' % place)
        await treq.content(response)
        if response.code >= 300:
            raise RuntimeError(f"{url} answered {response.code}")

    async def _stream(self, base: str, tokens: int, place: int) -> None:
        body = {
            "model": "m",
            "messages": [{"role": "user", "content": f"question {place}"}],
            "max_tokens": tokens,
            "prompt_tokens": 10,
            "request_id": f"direct-{place}-{tokens}",
            "stream": True,
        }
        if base == self.entry:
            del body["prompt_tokens"], body["request_id"]
        response = await treq.post(f"{base}/v1/chat/completions", json=body)
        content = await treq.content(response)
        if content.count(b"data: ") < tokens:
            raise RuntimeError(f"{base} answered {response.code}: {content[:200]!r}")


def path_rows(samples: dict[str, Samples]) -> dict[str, dict[str, float]]:
    """Return direct and path costs in microseconds with their ratio."""
    rows = {}
    for name in ("wall", "cpu"):
        values = {kind: one.median(name) * 1e6 for kind, one in samples.items()}
        spans = LONG - SHORT
        for place in ("direct", "path"):
            long, short = values[f"stream{LONG} {place}"], values[f"stream{SHORT} {place}"]
            values[f"token {place}"] = (long - short) / spans
        for kind in ("call", f"stream{SHORT}", "token"):
            direct, path = values[f"{kind} direct"], values[f"{kind} path"]
            rows[f"{kind} {name}"] = {"direct_us": direct, "path_us": path, "ratio": path / direct}
    return rows


def routing_seconds() -> dict[int, float]:
    """Return the median CPU time of a routing choice by the size of the fleet."""
    fleets = {size: _fleet(size) for size in FLEETS}
    work = Completion("m", (Message("user", "q"),), 5000, 100, prefix_hashes=("p1/0",))
    request = Request("r", "w", Rank.URGENT, deadline=1e9, work=work)
    rng = random.Random(1)
    times: dict[int, list[float]] = {size: [] for size in FLEETS}
    for _ in range(ROUNDS):
        for size, fleet in fleets.items():
            started = time.process_time()
            for _ in range(CHOICES):
                route = choose(request, fleet.selectable("m"), frozenset(), "place-0", rng)
                if route is None:
                    raise RuntimeError("no route was chosen, so nothing was measured")
            times[size].append((time.process_time() - started) / CHOICES)
    return {size: statistics.median(one) for size, one in times.items()}


def _fleet(size: int) -> Fleet:
    """Return a fleet that has learned of its endpoints as a directory does."""
    fleet = Fleet(observer="entry-1", data_centre="place-0")
    known = [member(place) for place in range(size)]
    fleet.merge_list(tuple(one.instance for one in known), now=0.0)
    for one in known:
        fleet.merge_report(one.report, round_trip=0.005, now=0.0)
    return fleet


def main() -> int:
    """Measure, print and write ``build/cost.json``."""
    routing = routing_seconds()
    memory = measure_memory()
    reactor = install_reactor()
    from chivewall.plugins.builtin import embedded  # noqa: PLC0415 - needs the reactor

    speed = EngineSpeed(step_seconds=STEP_SECONDS)
    embedded.EngineServer = functools.partial(embedded.EngineServer, speed=speed)
    with Path("/dev/null").open("w") as null:
        env = Environment.build(parse(SETTINGS), reactor, stdout=sys.stdout, stderr=null)
        daemon = Daemon(Application(env), reactor)
        failures: list[object] = []
        costs: list[PathCost] = []
        reactor.callWhenRunning(
            lambda: ensureDeferred(_measure(daemon, env, costs)).addErrback(failures.append)
        )
        reactor.callLater(120, daemon.shut_down)
        daemon.run()
    if failures or not costs:
        print(f"bench-cost failed: {failures or 'the site was not ready'}")
        return 1
    _print(path_rows(costs[0].samples), routing, memory)
    return 0


async def _measure(daemon: Daemon, env: Environment, costs: list[PathCost]) -> None:
    from chivewall.plugins.builtin.embedded import EmbeddedPlugin  # noqa: PLC0415
    from chivewall.plugins.builtin.http_api import HttpApiPlugin  # noqa: PLC0415

    try:
        for _ in range(READY_TRIES):
            if env.find(HttpApiPlugin) is not None and daemon.app.ready():
                break
            await deferLater(env.clock, 0.1, lambda: None)
        ports = daemon.app.find(EmbeddedPlugin).listeners
        engine, service = (f"http://127.0.0.1:{one.getHost().port}" for one in ports[:2])
        entry = f"http://127.0.0.1:{env.require(HttpApiPlugin).port}"
        cost = PathCost(env=env, entry=entry, engine=engine, service=service)
        await cost.measure()
        costs.append(cost)
    finally:
        daemon.shut_down()


def _print(
    rows: dict[str, dict[str, float]], routing: dict[int, float], memory: dict[str, float]
) -> None:
    print(f"{'median':18}{'direct us':>11}{'path us':>11}{'added us':>11}{'ratio':>8}")
    for name, row in rows.items():
        added = row["path_us"] - row["direct_us"]
        print(
            f"{name:18}{row['direct_us']:11.0f}{row['path_us']:11.0f}{added:11.0f}"
            f"{row['ratio']:8.2f}"
        )
    smallest = routing[FLEETS[0]]
    for size, seconds in routing.items():
        ratio = seconds / smallest
        print(f"routing choice, {size:3} endpoints: {seconds * 1e6:8.1f} us {ratio:7.2f}x")
    verdict = "met" if routing[FLEETS[-1]] <= ROUTING_BOUND * smallest else "MISSED"
    print(f"{verdict}: routing at {FLEETS[-1]} endpoints <= {ROUTING_BOUND}x of {FLEETS[0]}")
    for name, size in memory.items():
        print(f"memory for each {name:10}{size:9.0f} bytes")
    document = {
        "path": rows,
        "routing_us": {size: seconds * 1e6 for size, seconds in routing.items()},
        "memory_bytes": memory,
    }
    path = Path("build/cost.json")
    path.parent.mkdir(exist_ok=True)
    path.write_text(json.dumps(document, indent=1) + "\n")


if __name__ == "__main__":
    sys.exit(main())
