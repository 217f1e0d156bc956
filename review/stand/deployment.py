"""A small deployment on loopback: gateways as the deploy file starts them, store and runners."""

import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from collections.abc import Callable
from pathlib import Path
from typing import Any

from chivewall.standins.platform_store import PlatformStore
from chivewall.standins.template import instance_fields, render_settings

ROOT = Path(__file__).parents[2]
GATEWAY = ("python3", "-m", "chivewall.daemon")  # ``run`` of the deploy file
HOST = "desk.example"
START_S = 20.0
GRACE_S = 8.0  # graceS of the settings
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit statuses of a case


class CaseError(Exception):
    """The case couldn't run."""


class Record:
    """The file ``record.txt`` of a case."""

    def __init__(self, case: Path) -> None:
        self._began = time.monotonic()
        self._path = case / "record.txt"
        self._file = self._path.open("w", encoding="utf-8")

    def write(self, text: str, at: float | None = None) -> None:
        """Write a line with the seconds since the start."""
        seconds = (time.monotonic() if at is None else at) - self._began
        self._file.write(f"{seconds:8.3f} {text}\n")
        self._file.flush()

    def sort(self) -> None:
        """Put all lines into the order of their times."""
        lines = self._path.read_text(encoding="utf-8").splitlines(keepends=True)
        lines.sort(key=lambda one: float(one.split()[0]))
        self._path.write_text("".join(lines), encoding="utf-8")


class Deployment:
    """Starts everything, and ends all that it started when it is left."""

    def __init__(self, case: Path, gateways: int = 1) -> None:
        self.record = Record(case)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.log = self.folder / "runners.jsonl"
        self.store = PlatformStore()
        self.stack = contextlib.ExitStack()
        pid = os.getpid()
        self.ips = [f"127.{1 + pid // 256 % 250}.{pid % 256}.{n + 2}" for n in range(gateways)]
        self.runner_ip = f"127.{1 + pid // 256 % 250}.{pid % 256}.250"
        names = ("front", "ready", "peer", "metrics")
        self.ports = dict(zip(names, free_ports(self.ips[0], len(names)), strict=True))
        self.processes: dict[str, subprocess.Popen] = {}

    def __enter__(self) -> "Deployment":
        self.store_address = self.stack.enter_context(self.store.serve())
        return self

    def __exit__(self, *_: object) -> None:
        for one in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                one.send_signal(signal.SIGCONT)
                one.kill()
            one.wait(10)
        self.stack.close()
        self.record.sort()
        shutil.rmtree(self.folder, ignore_errors=True)

    def publish(self, version: int, routes: list[dict[str, Any]], **limits: int) -> None:
        """Write a manifest into the store; each route gets the path ``/NAME/``."""
        common = {"host": HOST, "timeoutMs": 8000, "sloMs": 1500, "priority": 1, "attempts": 2}
        document = {
            "version": version,
            "routes": [{**common, "pathPrefix": f"/{one['name']}/", **one} for one in routes],
            "services": [{"name": one} for one in sorted({one["service"] for one in routes})],
            "limits": limits,
        }
        self.store.put("config", "main", document)

    def list_runner(
        self, name: str, service: str, address: tuple[str, int], stage: str | None = None
    ) -> None:
        """Write a runner's entry into the store."""
        entry = {
            "service": service,
            "addr": f"{address[0]}:{address[1]}",
            "zone": "north",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": 1,
            "born": int(time.time() * 1000),
        }
        self.store.put("servers", name, entry if stage is None else {**entry, "stage": stage})

    def start_runner(self, name: str, port: int, **settings: Any) -> tuple[str, int]:
        """Start a runner's process and wait until it listens."""
        path = self.folder / f"{name}.json"
        cfg = {"id": name, "ip": self.runner_ip, "port": port, "log": str(self.log), **settings}
        path.write_text(json.dumps(cfg))
        self._start(name, sys.executable, "-m", "review.stand.runner", str(path))
        self._wait(self.processes[name], (self.runner_ip, port))
        self.record.write(f"runner {name} started")
        return self.runner_ip, port

    def free_runner_port(self) -> int:
        """Return a free port for a runner."""
        return free_ports(self.runner_ip, 1)[0]

    def start_gateway(self, number: int) -> None:
        """Start a gateway's process without waiting."""
        ip = self.ips[number]
        seeds = tuple(f"{one}:{self.ports['ready']}" for one in self.ips[:3])
        fields = instance_fields(f"front-{number}", self.ports, self.store_address, ip, seeds)
        path = self.folder / f"front-{number}.jsonc"
        path.write_text(render_settings(fields))
        self._start(f"front-{number}", *GATEWAY, str(path))

    def wait_gateway(self, number: int) -> None:
        """Wait until a gateway says that it is ready."""
        name, deadline = f"front-{number}", time.monotonic() + START_S
        while not self.is_ready(number):
            if time.monotonic() > deadline or self.processes[name].poll() is not None:
                raise CaseError(f"{name} isn't ready")
            time.sleep(0.1)
        self.record.write(f"gateway {name} is ready")

    def is_ready(self, number: int) -> bool:
        """Ask a gateway as the platform does."""
        try:
            with socket.create_connection(
                (self.ips[number], self.ports["ready"]), timeout=1
            ) as one:
                one.sendall(b"GET /readyz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                return b" 200 " in one.recv(200)
        except OSError:
            return False

    def front(self, number: int = 0) -> tuple[str, int]:
        """Return the address for clients."""
        return self.ips[number], self.ports["front"]

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process that was started here."""
        self.record.write(f"{signal.Signals(number).name} to {name}")
        self.processes[name].send_signal(number)

    def runner_events(self) -> list[dict[str, Any]]:
        """Return what the runners have written."""
        if not self.log.exists():
            return []
        return [json.loads(one) for one in self.log.read_text().splitlines() if one.endswith("}")]

    def busiest_runner(self) -> str:
        """Return the runner with the most requests so far."""
        runners = [one["runner"] for one in self.runner_events() if one["event"] == "run"]
        if not runners:
            raise CaseError("no runner got a request")
        return max(sorted(set(runners)), key=runners.count)

    def write_runner_events(self, requests: set[str] | None = None) -> None:
        """Copy what the runners have written into the record, for all or some requests."""
        for one in self.runner_events():
            if requests is not None and one.get("request", "") not in requests:
                continue
            fields = " ".join(f"{key}={one[key]}" for key in one if key not in ("t", "event"))
            self.record.write(f"runner: {one['event']} {fields}", at=one["t"])

    def _start(self, name: str, *command: str) -> None:
        variables = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": os.pathsep.join((str(ROOT), str(ROOT / "target" / "deps"))),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self.folder / f"{name}.log").open("a") as log:
            self.processes[name] = subprocess.Popen(  # noqa: S603 - the project's own programs
                command, cwd=ROOT, env=variables, stdout=log, stderr=subprocess.STDOUT
            )

    def _wait(self, process: subprocess.Popen, address: tuple[str, int]) -> None:
        deadline = time.monotonic() + START_S
        while time.monotonic() < deadline and process.poll() is None:
            with contextlib.suppress(OSError):
                socket.create_connection(address, timeout=1).close()
                return
            time.sleep(0.05)
        raise CaseError(f"nothing listens at {address}")


def free_ports(ip: str, count: int) -> list[int]:
    """Return free ports of an address."""
    listeners = [socket.create_server((ip, 0)) for _ in range(count)]
    ports = [one.getsockname()[1] for one in listeners]
    for one in listeners:
        one.close()
    return ports


def finish(check: Callable[[], bool]) -> None:
    """Run a case and exit with its status; SIGTERM ends it and all that it started."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        broken = check()
    except Exception:
        traceback.print_exc()
        sys.exit(NOT_RUN)
    sys.exit(BROKEN if broken else HELD)
