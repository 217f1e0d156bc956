"""``make bench-capacity``: measures CPU and memory use of entry and agent processes.

Reports what an idle process uses, and what each request and each token adds.
"""

import json
import os
import subprocess
import sys
import time
from pathlib import Path
from typing import Any, TextIO

import httpx
from attrs import define, frozen

from bench.capacity_child import IDLE_SECONDS
from bench.memory import measure_memory

REQUESTS = 100  # service calls that are measured together
STREAMS = 15  # streams of each length that are measured together
SHORT, LONG = 4, 104  # tokens per stream; the difference gives the cost of a token
READY_TRIES = 100  # one every 0.1 s
STOP_SECONDS = 10  # wait for a terminated child to exit
TICKS = os.sysconf("SC_CLK_TCK")  # per second; unit of CPU times in /proc
AGENT = ("credentials", "store_memory", "configuration", "{endpoint}", "admission", "gate")
ENTRY = (
    "credentials",
    "store_memory",
    "http_api",
    "configuration",
    "links_grpc",
    "directory",
    "dispatch",
    "caller_http",
)


@frozen
class Usage:
    """CPU time and resident memory of a process, read from ``/proc``."""

    cpu: float  # seconds
    rss: int  # bytes

    @classmethod
    def of(cls, pid: int) -> "Usage":
        """Return the present usage of a process."""
        fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
        cpu = (int(fields[11]) + int(fields[12])) / TICKS
        return cls(cpu=cpu, rss=pages * os.sysconf("SC_PAGE_SIZE"))


@define(eq=False)
class Child:
    """A process that the benchmark started."""

    name: str
    process: subprocess.Popen
    port: int

    def usage(self) -> Usage:
        """Return the present usage of the process."""
        return Usage.of(self.process.pid)


def start(name: str, options: dict[str, Any], log: TextIO) -> Child:
    """Start a child process and wait until it prints its port."""
    process = subprocess.Popen(  # noqa: S603 - runs a module of this package
        [sys.executable, "-m", "bench.capacity_child", json.dumps({"name": name, **options})],
        stdout=subprocess.PIPE,
        stderr=log,
        text=True,
    )
    line = process.stdout.readline()
    if not line:
        raise RuntimeError(f"{name} exited before it printed its port")
    return Child(name=name, process=process, port=json.loads(line)["port"])


def start_path(kind: str, children: list[Child], log: TextIO) -> tuple[Child, Child]:
    """Start a stand-in endpoint, its agent and an entry; return the entry and the agent."""
    standin = start(f"standin-{kind}", {}, log)
    children.append(standin)
    section: dict[str, Any] = {"host": "127.0.0.1", "port": standin.port}
    if kind == "service":
        section["name"] = "x"
    endpoint = f"{kind}_http"
    off = {"disabled": True}
    settings = {
        "role": "agent",
        "instance": "x-1",
        "plugins": [one.format(endpoint=endpoint) for one in AGENT],
        endpoint: section,
        "credentials": off,
        "admission": {"endpoint": "x-1"},
    }
    agent = start("agent", {"settings": settings}, log)
    children.append(agent)
    settings = {"role": "entry", "instance": "e-1", "plugins": ENTRY, "credentials": off}
    instances = [{"name": "x-1", "kind": kind, "port": agent.port}]
    entry = start("entry", {"settings": settings, "instances": instances}, log)
    children.append(entry)
    return entry, agent


def measure(kind: str, children: list[Child], log: TextIO) -> dict[str, dict[str, float]]:
    """Return what an entry and an agent use in front of one kind of endpoint."""
    path = dict(zip(("entry", "agent"), start_path(kind, children, log), strict=True))
    base = f"http://127.0.0.1:{path['entry'].port}"
    _wait_ready(base)
    rows: dict[str, dict[str, float]] = {
        name: {"rss_mb": one.usage().rss / 1e6} for name, one in path.items()
    }

    def cpu_of(work: Any) -> dict[str, float]:
        before = {name: one.usage().cpu for name, one in path.items()}
        work()
        return {name: one.usage().cpu - before[name] for name, one in path.items()}

    idle = cpu_of(lambda: time.sleep(IDLE_SECONDS))
    with httpx.Client(timeout=30) as client:
        if kind == "service":
            spent = cpu_of(lambda: [_call(client, base) for _ in range(REQUESTS)])
        else:
            short = cpu_of(lambda: [_stream(client, base, SHORT) for _ in range(STREAMS)])
            long = cpu_of(lambda: [_stream(client, base, LONG) for _ in range(STREAMS)])
    for name, row in rows.items():
        row["idle_cpu_percent"] = 100 * idle[name] / IDLE_SECONDS
        if kind == "service":
            row["request_cpu_us"] = 1e6 * spent[name] / REQUESTS
        else:
            tokens = STREAMS * (LONG - SHORT)
            row["token_cpu_us"] = 1e6 * (long[name] - short[name]) / tokens
        calls = json.loads(path[name].process.stdout.readline())
        row["object_api_calls_per_s"] = calls["calls_per_second"]
    return rows


def _wait_ready(base: str) -> None:
    for _ in range(READY_TRIES):
        if httpx.get(f"{base}/readyz", timeout=5).is_success:
            return
        time.sleep(0.1)
    raise RuntimeError("the entry did not become ready in time")


def _call(client: httpx.Client, base: str) -> None:
    client.post(f"{base}/services/x/shifts", json={"guard": "g"}).raise_for_status()


def _stream(client: httpx.Client, base: str, tokens: int) -> None:
    body = {
        "model": "x",
        "messages": [{"role": "user", "content": "q"}],
        "max_tokens": tokens,
        "stream": True,
    }
    answer = client.post(f"{base}/v1/chat/completions", json=body).raise_for_status()
    if answer.content.count(b"data: ") < tokens:
        raise RuntimeError(f"the stream ended early: {answer.content[-200:]!r}")


def main() -> int:
    """Measure both kinds of endpoint, print a table and write ``build/capacity.json``."""
    children: list[Child] = []
    Path("build").mkdir(exist_ok=True)
    with Path("build/capacity.log").open("w") as log:
        try:
            rows = {kind: measure(kind, children, log) for kind in ("service", "engine")}
        finally:
            for child in reversed(children):
                child.process.terminate()
                child.process.wait(STOP_SECONDS)
    memory = measure_memory()
    for kind, processes in rows.items():
        for name, row in processes.items():
            for measure_name, value in row.items():
                print(f"{kind:9}{name:7}{measure_name:26}{value:10.2f}")
    for name, size in memory.items():
        print(f"memory for each {name:10}{size:9.0f} bytes")
    document = {"processes": rows, "memory_bytes": memory}
    Path("build/capacity.json").write_text(json.dumps(document, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
