"""``make bench-cost``: measures what entry and agent add to a direct call of an endpoint.

Direct calls and calls through entry and agent alternate in one run, so that their
ratio depends little on the machine.
"""

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

from bench.memory import build_member, measure_memory
from bench.placement_cost import placement_seconds
from chivewall.daemon import Daemon
from chivewall.decisions.membership import Fleet
from chivewall.decisions.routing import choose
from chivewall.environment import Environment
from chivewall.kernel import Application
from chivewall.reactor import install_reactor
from chivewall.settings import parse
from chivewall.standins.engine import EngineSpeed
from chivewall.work import Completion, Message, Rank, Request

CALL_PAIRS = 150  # pairs of a direct call and one through entry and agent
STREAM_PAIRS = 25  # of each stream length
# The difference between short and long streams gives the cost of a token.
SHORT_STREAM_TOKENS, LONG_STREAM_TOKENS = 4, 104
STEP_SECONDS = 0.002  # per token of the stand-in engine; short, so that the added time shows
CHOICES_PER_ROUND = 300  # routing choices timed together in a round
ROUNDS = 15
FLEET_SIZES = (9, 60, 600)  # endpoints
MAX_ROUTING_RATIO = 1.5  # most time of a choice among 600 endpoints relative to one among 9
MAX_READY_CHECKS = 200  # one every 0.1 s
SETTINGS = """
{"role": "embedded", "instance": "cost", "data_centre": "Mombasa", "plugins": ["embedded"],
 "embedded": {"port": 0, "models": ["m"], "services": ["booking"],
  "data_centres": [{"name": "Mombasa", "engines": 1, "services": 1}]}}
"""


@define
class Samples:
    """Wall and CPU times of one kind of call, in seconds."""

    wall: list[float] = field(factory=list)
    cpu: list[float] = field(factory=list)

    def median(self, name: str) -> float:
        """Return the median of the ``wall`` or ``cpu`` times in seconds."""
        return statistics.median(getattr(self, name))


@define(eq=False)
class PathCost:
    """Times the same requests sent directly to a stand-in and through entry and agent."""

    env: Environment
    entry_url: str
    engine_url: str
    service_url: str
    samples: dict[str, Samples] = field(factory=dict)

    async def measure(self) -> None:
        """Run all pairs of calls and streams."""
        for index in range(CALL_PAIRS):
            await self._sample("call direct", self._call, f"{self.service_url}/x", index)
            await self._sample(
                "call path", self._call, f"{self.entry_url}/services/booking/x", index
            )
        for index in range(STREAM_PAIRS):
            for tokens in (SHORT_STREAM_TOKENS, LONG_STREAM_TOKENS):
                await self._sample(
                    f"stream{tokens} direct", self._stream, self.engine_url, tokens, index
                )
                await self._sample(
                    f"stream{tokens} path", self._stream, self.entry_url, tokens, index
                )

    async def _sample(self, kind: str, send: Callable[..., Any], *args: Any) -> None:
        wall, cpu = time.perf_counter(), time.process_time()
        await send(*args)
        samples = self.samples.setdefault(kind, Samples())
        samples.wall.append(time.perf_counter() - wall)
        samples.cpu.append(time.process_time() - cpu)

    async def _call(self, url: str, index: int) -> None:
        response = await treq.post(url, data=b'{"guard": "g%d"}' % index)
        await treq.content(response)
        if response.code >= 300:
            raise RuntimeError(f"{url} answered {response.code}")

    async def _stream(self, base_url: str, tokens: int, index: int) -> None:
        body = {
            "model": "m",
            "messages": [{"role": "user", "content": f"question {index}"}],
            "max_tokens": tokens,
            "prompt_tokens": 10,
            "request_id": f"direct-{index}-{tokens}",
            "stream": True,
        }
        if base_url == self.entry_url:
            del body["prompt_tokens"], body["request_id"]
        response = await treq.post(f"{base_url}/v1/chat/completions", json=body)
        content = await treq.content(response)
        if content.count(b"data: ") < tokens:
            raise RuntimeError(f"{base_url} answered {response.code}: {content[:200]!r}")


def cost_rows(samples: dict[str, Samples]) -> dict[str, dict[str, float]]:
    """Return the times of direct and full-path calls in microseconds, with their ratio."""
    rows = {}
    for name in ("wall", "cpu"):
        values = {kind: one.median(name) * 1e6 for kind, one in samples.items()}
        extra_tokens = LONG_STREAM_TOKENS - SHORT_STREAM_TOKENS
        for variant in ("direct", "path"):
            long, short = (
                values[f"stream{LONG_STREAM_TOKENS} {variant}"],
                values[f"stream{SHORT_STREAM_TOKENS} {variant}"],
            )
            values[f"token {variant}"] = (long - short) / extra_tokens
        for kind in ("call", f"stream{SHORT_STREAM_TOKENS}", "token"):
            direct, path = values[f"{kind} direct"], values[f"{kind} path"]
            rows[f"{kind} {name}"] = {"direct_us": direct, "path_us": path, "ratio": path / direct}
    return rows


def routing_seconds() -> dict[int, float]:
    """Return the median CPU time of a routing choice in seconds by fleet size."""
    fleets = {size: _build_fleet(size) for size in FLEET_SIZES}
    completion = Completion("m", (Message("user", "q"),), 5000, 100, prefix_hashes=("p1/0",))
    request = Request("r", "w", Rank.URGENT, deadline=1e9, work=completion)
    rng = random.Random(1)
    times: dict[int, list[float]] = {size: [] for size in FLEET_SIZES}
    for _ in range(ROUNDS):
        for size, fleet in fleets.items():
            started = time.process_time()
            for _ in range(CHOICES_PER_ROUND):
                route = choose(request, fleet.selectable("m"), frozenset(), "place-0", rng)
                if route is None:
                    raise RuntimeError("routing chose no endpoint, so its time can't be measured")
            times[size].append((time.process_time() - started) / CHOICES_PER_ROUND)
    return {size: statistics.median(one) for size, one in times.items()}


def _build_fleet(size: int) -> Fleet:
    """Return a fleet filled from an instance list and load reports, as the directory does it."""
    fleet = Fleet(observer="entry-1", data_centre="place-0")
    members = [build_member(index) for index in range(size)]
    fleet.merge_list(tuple(one.instance for one in members), now=0.0)
    for one in members:
        fleet.merge_report(one.report, round_trip=0.005, now=0.0)
    return fleet


def main() -> int:
    """Run all measurements, print them and write ``build/cost.json``."""
    routing = routing_seconds()
    for engines, seconds in placement_seconds().items():
        print(f"gateway's choice, {engines:3} engines: {seconds * 1e3:8.3f} ms")
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
    _print_results(cost_rows(costs[0].samples), routing, memory)
    return 0


async def _measure(daemon: Daemon, env: Environment, costs: list[PathCost]) -> None:
    from chivewall.plugins.builtin.embedded import EmbeddedPlugin  # noqa: PLC0415
    from chivewall.plugins.builtin.http_api import HttpApiPlugin  # noqa: PLC0415

    try:
        for _ in range(MAX_READY_CHECKS):
            if env.find(HttpApiPlugin) is not None and daemon.app.ready():
                break
            await deferLater(env.clock, 0.1, lambda: None)
        ports = daemon.app.find(EmbeddedPlugin).listeners
        engine, service = (f"http://127.0.0.1:{one.getHost().port}" for one in ports[:2])
        entry = f"http://127.0.0.1:{env.require(HttpApiPlugin).port}"
        cost = PathCost(env=env, entry_url=entry, engine_url=engine, service_url=service)
        await cost.measure()
        costs.append(cost)
    finally:
        daemon.shut_down()


def _print_results(
    rows: dict[str, dict[str, float]], routing: dict[int, float], memory: dict[str, float]
) -> None:
    print(f"{'median':18}{'direct us':>11}{'path us':>11}{'added us':>11}{'ratio':>8}")
    for name, row in rows.items():
        added = row["path_us"] - row["direct_us"]
        print(
            f"{name:18}{row['direct_us']:11.0f}{row['path_us']:11.0f}{added:11.0f}"
            f"{row['ratio']:8.2f}"
        )
    smallest = routing[FLEET_SIZES[0]]
    for size, seconds in routing.items():
        ratio = seconds / smallest
        print(f"routing choice, {size:3} endpoints: {seconds * 1e6:8.1f} us {ratio:7.2f}x")
    verdict = "met" if routing[FLEET_SIZES[-1]] <= MAX_ROUTING_RATIO * smallest else "MISSED"
    print(
        f"{verdict}: routing at {FLEET_SIZES[-1]} endpoints "
        f"<= {MAX_ROUTING_RATIO}x of {FLEET_SIZES[0]}"
    )
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
