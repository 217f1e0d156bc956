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

CALL_COUNT = 100  # service calls that are measured together
STREAM_COUNT = 15  # streams of each length that are measured together
# The difference between short and long streams gives the cost of a token.
SHORT_STREAM_TOKENS, LONG_STREAM_TOKENS = 4, 104
MAX_READY_CHECKS = 100  # one every 0.1 s
STOP_TIMEOUT_SECONDS = 10  # wait for a terminated child to exit
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")  # unit of CPU times in /proc
AGENT_PLUGINS = ("credentials", "store_memory", "configuration", "{endpoint}", "admission", "gate")
ENTRY_PLUGINS = (
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

    cpu_seconds: float  # seconds
    rss_bytes: int  # bytes

    @classmethod
    def of_process(cls, pid: int) -> "Usage":
        """Return the present usage of a process."""
        fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
        cpu = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND
        return cls(cpu_seconds=cpu, rss_bytes=pages * os.sysconf("SC_PAGE_SIZE"))


@define(eq=False)
class ChildProcess:
    """A process that the benchmark started."""

    name: str
    process: subprocess.Popen
    port: int

    def usage(self) -> Usage:
        """Return the present usage of the process."""
        return Usage.of_process(self.process.pid)


def start_child(name: str, options: dict[str, Any], log: TextIO) -> ChildProcess:
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
    return ChildProcess(name=name, process=process, port=json.loads(line)["port"])


def start_entry_and_agent(
    kind: str, children: list[ChildProcess], log: TextIO
) -> tuple[ChildProcess, ChildProcess]:
    """Start a stand-in endpoint, its agent and an entry; return the entry and the agent."""
    standin = start_child(f"standin-{kind}", {}, log)
    children.append(standin)
    section: dict[str, Any] = {"host": "127.0.0.1", "port": standin.port}
    if kind == "service":
        section["name"] = "x"
    endpoint = f"{kind}_http"
    disabled = {"disabled": True}
    settings = {
        "role": "agent",
        "instance": "x-1",
        "plugins": [one.format(endpoint=endpoint) for one in AGENT_PLUGINS],
        endpoint: section,
        "credentials": disabled,
        "admission": {"endpoint": "x-1"},
    }
    agent = start_child("agent", {"settings": settings}, log)
    children.append(agent)
    settings = {
        "role": "entry",
        "instance": "e-1",
        "plugins": ENTRY_PLUGINS,
        "credentials": disabled,
    }
    instances = [{"name": "x-1", "kind": kind, "port": agent.port}]
    entry = start_child("entry", {"settings": settings, "instances": instances}, log)
    children.append(entry)
    return entry, agent


def measure(kind: str, children: list[ChildProcess], log: TextIO) -> dict[str, dict[str, float]]:
    """Return what an entry and an agent use in front of one kind of endpoint."""
    gateways = dict(
        zip(("entry", "agent"), start_entry_and_agent(kind, children, log), strict=True)
    )
    base_url = f"http://127.0.0.1:{gateways['entry'].port}"
    _wait_ready(base_url)
    rows: dict[str, dict[str, float]] = {
        name: {"rss_mb": one.usage().rss_bytes / 1e6} for name, one in gateways.items()
    }

    def cpu_of(function: Any) -> dict[str, float]:
        before = {name: one.usage().cpu_seconds for name, one in gateways.items()}
        function()
        return {name: one.usage().cpu_seconds - before[name] for name, one in gateways.items()}

    idle = cpu_of(lambda: time.sleep(IDLE_SECONDS))
    with httpx.Client(timeout=30) as client:
        if kind == "service":
            call_cpu = cpu_of(lambda: [_call(client, base_url) for _ in range(CALL_COUNT)])
        else:
            short_cpu = cpu_of(
                lambda: [
                    _stream(client, base_url, SHORT_STREAM_TOKENS) for _ in range(STREAM_COUNT)
                ]
            )
            long_cpu = cpu_of(
                lambda: [_stream(client, base_url, LONG_STREAM_TOKENS) for _ in range(STREAM_COUNT)]
            )
    for name, row in rows.items():
        row["idle_cpu_percent"] = 100 * idle[name] / IDLE_SECONDS
        if kind == "service":
            row["request_cpu_us"] = 1e6 * call_cpu[name] / CALL_COUNT
        else:
            tokens = STREAM_COUNT * (LONG_STREAM_TOKENS - SHORT_STREAM_TOKENS)
            row["token_cpu_us"] = 1e6 * (long_cpu[name] - short_cpu[name]) / tokens
        report = json.loads(gateways[name].process.stdout.readline())
        row["object_api_calls_per_s"] = report["calls_per_second"]
    return rows


def _wait_ready(base_url: str) -> None:
    for _ in range(MAX_READY_CHECKS):
        if httpx.get(f"{base_url}/readyz", timeout=5).is_success:
            return
        time.sleep(0.1)
    raise RuntimeError("the entry did not become ready in time")


def _call(client: httpx.Client, base_url: str) -> None:
    client.post(f"{base_url}/services/x/shifts", json={"guard": "g"}).raise_for_status()


def _stream(client: httpx.Client, base_url: str, tokens: int) -> None:
    body = {
        "model": "x",
        "messages": [{"role": "user", "content": "q"}],
        "max_tokens": tokens,
        "stream": True,
    }
    response = client.post(f"{base_url}/v1/chat/completions", json=body).raise_for_status()
    if response.content.count(b"data: ") < tokens:
        raise RuntimeError(f"the stream ended early: {response.content[-200:]!r}")


def main() -> int:
    """Measure both kinds of endpoint, print a table and write ``build/capacity.json``."""
    children: list[ChildProcess] = []
    Path("build").mkdir(exist_ok=True)
    with Path("build/capacity.log").open("w") as log:
        try:
            rows = {kind: measure(kind, children, log) for kind in ("service", "engine")}
        finally:
            for child in reversed(children):
                child.process.terminate()
                child.process.wait(STOP_TIMEOUT_SECONDS)
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
