"""A small deployment on loopback addresses: gateways, runners and the platform's store."""

import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

from chivewall.standins.platform_store import PlatformStore, ThreadedServer  # noqa: E402
from chivewall.standins.template import instance_fields, render_settings  # noqa: E402

HOST = "desk.example"
HEARTBEAT_SECONDS = 1.2
REMOVED_AFTER_SECONDS = 3 * HEARTBEAT_SECONDS  # of silence, by the page "Service discovery"
START_SECONDS = 20.0
RUNNER = Path(__file__).with_name("runner.py")


def own_address(number: int) -> str:
    """Return a loopback address that no other case uses, so that none takes another's ports."""
    pid = os.getpid()
    return f"127.{1 + pid // 256 % 250}.{pid % 256}.{number}"


def free_port(host: str) -> int:
    """Return a port that is free now."""
    with socket.create_server((host, 0)) as one:
        return one.getsockname()[1]


RUNNER_HOST = own_address(200)


@dataclass
class RunnerProcess:
    """A runner that is started again some seconds after a crash, under a new id."""

    site: "Site"
    name: str
    service: str
    options: dict
    port: int
    boots: int = 0
    keeps_id: bool = False  # over its starts
    listed_at: tuple[str, int] | None = None  # None: where it listens
    process: subprocess.Popen | None = None
    crashed_at: list[float] = field(default_factory=list)
    born: int = 0  # Unix time of its present start, ms

    @property
    def id(self) -> str:
        """Return the id of its present start."""
        return self.name if self.keeps_id else f"{self.name}-{self.boots}"

    def start(self) -> None:
        """Start the process, and list it in the store once it listens."""
        self.start_process()
        self.register()

    def start_process(self) -> None:
        """Start the process, and wait until it listens."""
        self.boots += 1
        self.born = int(time.time() * 1000)
        options = {
            "id": self.id,
            "host": RUNNER_HOST,
            "port": self.port,
            "log": str(self.site.folder / "runners.log"),
            "born": self.born,
            **self.options,
        }
        command = [sys.executable, str(RUNNER), json.dumps(options)]
        self.process = subprocess.Popen(command)  # noqa: S603
        wait_for(lambda: can_connect(RUNNER_HOST, self.port), 10.0, 0.01)

    def register(self) -> None:
        """List the runner in the store, as it does itself."""
        host, port = self.listed_at or (RUNNER_HOST, self.port)
        document = {
            "service": self.service,
            "addr": f"{host}:{port}",
            "zone": "north",
            "version": "v1",
            "slots": 64 if self.options.get("stage") else 6,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": 1,
            "born": self.born,
        }
        if self.options.get("stage"):
            document["stage"] = self.options["stage"]
        self.site.store.put("servers", self.id, document)

    def supervise(self, down_seconds: float) -> None:
        """Start it again after each crash, until the site stops."""
        while not self.site.stopping.wait(0.02):
            if self.process.poll() is None:
                continue
            self.crashed_at.append(time.time())
            old = self.id
            threading.Timer(REMOVED_AFTER_SECONDS, self.site.remove_entry, (old,)).start()
            if self.site.stopping.wait(down_seconds):
                return
            self.start()


@dataclass
class Site:
    """The processes of a case; all of them end with it."""

    gateways: int = 2
    store: PlatformStore = field(default_factory=PlatformStore)
    runners: list[RunnerProcess] = field(default_factory=list)
    processes: list[subprocess.Popen] = field(default_factory=list)
    ips: list[str] = field(default_factory=list)
    # Addresses at which single gateways reach the store, by their number; the others as usual.
    store_paths: dict[int, tuple[str, int]] = field(default_factory=dict)
    store_address: tuple[str, int] | None = None
    stopping: threading.Event = field(default_factory=threading.Event)
    _serving: ThreadedServer | None = field(default=None, init=False)
    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp(prefix="review-")))

    def add_runner(self, name: str, service: str, **options: object) -> RunnerProcess:
        """Add a runner; it starts with the site."""
        port = free_port(RUNNER_HOST)
        self.runners.append(RunnerProcess(self, name, service, options, port))
        return self.runners[-1]

    def remove_entry(self, name: str) -> None:
        """Remove a runner's entry, as the platform does after some silence."""
        with contextlib.suppress(KeyError):
            self.store.delete("servers", name)

    def open_store(self) -> None:
        """Serve the store."""
        self._serving = self.store.serve()
        self.store_address = self._serving.__enter__()

    def start(self, routes: list[dict], down_seconds: float | None = 2.0) -> None:
        """Start everything, and wait until the gateways are ready.

        ``down_seconds``: from a runner's crash to its next start; ``None``: it isn't started again.
        """
        self.put_manifest(1, routes)
        if self._serving is None:
            self.open_store()
        for one in self.runners:
            one.start()
            if one.process.poll() is not None:
                raise OSError(f"{one.id} ended at its start")
            if down_seconds is not None:
                threading.Thread(target=one.supervise, args=(down_seconds,), daemon=True).start()
        self.ips = [own_address(number + 2) for number in range(self.gateways)]
        names = ("front", "ready", "peer", "metrics")
        self.ports = {one: free_port(self.ips[0]) for one in names}
        for number in range(self.gateways):
            self.processes.append(self.start_gateway(number))
        for number in range(self.gateways):
            wait_for(lambda number=number: self.is_ready(number), START_SECONDS)

    def put_manifest(self, version: int, routes: list[dict]) -> None:
        """Write the operator's manifest."""
        common = {"host": HOST, "priority": 1}
        document = {
            "version": version,
            "routes": [{**common, "pathPrefix": f"/{one['name']}/", **one} for one in routes],
            "services": [{"name": one} for one in sorted({one["service"] for one in routes})],
            "limits": {},
        }
        self.store.put("config", "main", document)

    def start_gateway(self, number: int) -> subprocess.Popen:
        """Start a gateway with the command of the deploy file."""
        ip = self.ips[number]
        seeds = tuple(f"{one}:{self.ports['ready']}" for one in self.ips[:3])
        store = self.store_paths.get(number, self.store_address)
        fields = instance_fields(f"gateway-{number + 1}", self.ports, store, ip, seeds)
        settings = self.folder / f"gateway-{number + 1}.jsonc"
        settings.write_text(render_settings(fields))
        env = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "CHIVEWALL_SETTINGS": str(settings),
        }
        with (self.folder / f"gateway-{number + 1}.log").open("a") as log:
            return subprocess.Popen(  # noqa: S603
                [sys.executable, "-m", "chivewall.daemon", str(settings)],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def is_ready(self, number: int, seconds: float = 1.0) -> bool:
        """Return whether a gateway says that it is ready."""
        connection = HTTPConnection(self.ips[number], self.ports["ready"], timeout=seconds)
        try:
            connection.request("GET", "/readyz")
            return connection.getresponse().status == 200
        except (OSError, HTTPException):
            return False
        finally:
            connection.close()

    def runner_log(self) -> list[dict]:
        """Return what the runners have noted."""
        file = self.folder / "runners.log"
        return [json.loads(line) for line in file.read_text().splitlines()] if file.exists() else []

    def stop(self) -> None:
        """End all processes and remove the folder."""
        self.stopping.set()
        time.sleep(0.1)
        for one in [*self.processes, *(one.process for one in self.runners)]:
            if one is not None and one.poll() is None:
                one.send_signal(signal.SIGCONT)
                one.kill()
                one.wait(10)
        if self._serving is not None:
            self._serving.__exit__(None, None, None)
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


@dataclass
class Answer:
    """What a client got for one request."""

    id: str
    route: str
    sent_at: float
    seconds: float
    status: int | None  # None: no answer
    body: bytes = b""
    complete: bool = False
    error: str = ""
    gateway: int = 0
    first_after: float | None = None  # seconds until the first byte of the body


def send(
    site: Site,
    gateway: int,
    route: str,
    request_id: str,
    *,
    deadline_ms: int,
    headers: dict[str, str] | None = None,
    method: str = "POST",
) -> Answer:
    """Send a request as a client does, which leaves when its deadline has passed."""
    began = time.time()
    answer = Answer(request_id, route, began, 0.0, None, gateway=gateway)
    connection = HTTPConnection(site.ips[gateway], site.ports["front"], timeout=deadline_ms / 1000)
    fields = {
        "Host": HOST,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": str(deadline_ms),
        **(headers or {}),
    }
    try:
        connection.request(method, f"/{route}/x", body=b"{}", headers=fields)
        response = connection.getresponse()
        answer.status = response.status
        while piece := response.read1(65_536):
            if answer.first_after is None:
                answer.first_after = time.time() - began
            answer.body = (answer.body + piece)[-4096:]
            left = began + deadline_ms / 1000 - time.time()
            if connection.sock is not None:
                connection.sock.settimeout(max(0.001, left))
            if left < 0:
                raise TimeoutError("the client's deadline")
        answer.complete = True
    except (OSError, HTTPException) as exc:
        answer.error = repr(exc)[:100]
    finally:
        connection.close()
        answer.seconds = time.time() - began
    return answer


def can_be_reached_in(site: Site, gateway: int) -> float:
    """Return how many seconds a gateway takes to answer the question for readiness; 3 at most."""
    began = time.time()
    site.is_ready(gateway, seconds=3.0)
    return time.time() - began


def can_connect(host: str, port: int) -> bool:
    """Return whether something listens there."""
    try:
        socket.create_connection((host, port), timeout=0.5).close()
    except OSError:
        return False
    return True


def wait_for(condition: object, seconds: float, pause: float = 0.05) -> None:
    """Wait until a condition holds; raise ``TimeoutError`` if it doesn't in time."""
    until = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > until:
            raise TimeoutError("the site did not start")
        time.sleep(pause)
