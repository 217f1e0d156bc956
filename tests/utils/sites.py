"""Helpers that run a site of separate processes with copies of ``examples/site``'s settings."""

import json
import os
import secrets
import signal
import socket
import subprocess
import sys
import time
from contextlib import suppress
from pathlib import Path

import httpx
import json5
from attrs import define, field

EXAMPLES = Path(__file__).parents[2] / "examples"
SITE_SETTINGS = EXAMPLES / "site"
MODEL = "rota-assistant"
MESSAGES = [{"role": "user", "content": "Who guards tower 4?"}]
# Below the ephemeral range of the system: an outgoing connection could otherwise take a port
# after its choice and before the process for which it was chosen listens on it.
PORT_RANGE = range(10_000, 30_000)
# Each worker of pytest chooses from its own part of the range: another one could choose a port
# before the process for which it was chosen listens on it.
MAX_WORKERS = 32
SHOWN_LOG_LINES = 5  # last lines shown of the log of a process that ended early
POLL_SECONDS = 0.02  # pause between two checks of a condition
TIMEOUT_SECONDS = 20.0  # time in which a condition must hold or a process must end


def wait_until(condition, description, timeout_seconds=TIMEOUT_SECONDS):
    """Poll a condition until its value is true, and return that value."""
    deadline = time.monotonic() + timeout_seconds
    while time.monotonic() < deadline:
        with suppress(httpx.TransportError):
            if value := condition():
                return value
        time.sleep(POLL_SECONDS)
    raise AssertionError(f"within {timeout_seconds} s not seen: {description}")


def free_port(taken):
    """Return a loopback port that is free now and not in ``taken``."""
    worker = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw")) % MAX_WORKERS
    ports = PORT_RANGE[worker::MAX_WORKERS]
    while True:
        port = secrets.choice(ports)
        if port in taken:
            continue
        with socket.socket() as probe, suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port


@define(eq=False)
class Daemon:
    """One process of a site and its log file."""

    module: str
    settings: Path
    log: Path
    process: subprocess.Popen | None = None

    def start(self):
        with self.log.open("a") as stream:
            self.process = subprocess.Popen(
                [sys.executable, "-m", self.module, str(self.settings)],
                stdout=stream,
                stderr=subprocess.STDOUT,
            )
        return self

    def send_signal(self, signal_number):
        self.process.send_signal(signal_number)

    def kill(self):
        self.process.kill()
        self.process.wait(TIMEOUT_SECONDS)

    def wait(self):
        return self.process.wait(TIMEOUT_SECONDS)

    def events(self, name, **fields):
        """Return the logged events with this name and these field values."""
        lines = [json.loads(one) for one in self.log.read_text().splitlines() if one[:1] == "{"]
        return [one for one in lines if one.get("name") == name and fields.items() <= one.items()]

    def wait_for_event(self, name, **fields):
        return wait_until(lambda: self.events(name, **fields), f"{name} {fields} in {self.log}")[-1]


@define(eq=False, slots=False)
class ProcessSite:
    """The processes of ``examples/site`` on free ports.

    Each endpoint uses three ports: one of its stand-in, one of its agent's gRPC server
    (section ``gate``) and one that its agent holds as an exclusive lock (section ``slot``).
    """

    folder: Path
    ports: dict = field(factory=dict)
    daemons: list = field(factory=list)
    instances: list = field(factory=list)

    def __attrs_post_init__(self):
        for token in SITE_SETTINGS.glob("*.token"):
            (self.folder / token.name).write_text(token.read_text())

    def port(self, name):
        if name not in self.ports:
            self.ports[name] = free_port(taken=self.ports.values())
        return self.ports[name]

    def start(self, engines=1, agent_ports=None, planner=None, **service):
        """Start the platform, the endpoints, their agents and one entry.

        ``gates`` replaces ports of agents in the instance list, for example by that of a relay.
        """
        names = [(f"engine-{index}", "engine") for index in range(1, engines + 1)]
        names.append(("booking-1", "service"))
        examples = json5.loads((SITE_SETTINGS / "standins/platform.json5").read_text())["instances"]
        for name, kind in names:
            port = (agent_ports or {}).get(name) or self.port(f"gate {name}")
            [example] = [one for one in examples if one["kind"] == kind]
            self.instances.append({**example, "name": name, "port": port})
        self.platform = self.start_standin("platform", "platform", instances=self.instances)
        for name, kind in names:
            self.start_standin(name, kind, **(service if kind == "service" else {}))
        self.wait_standins(["platform", *(name for name, _ in names)])
        self.agents = {name: self.start_agent(name, kind) for name, kind in names}
        self.entry = self.start_entry("entry-1", **({"planner": planner} if planner else {}))
        self.wait_live("entry-1", [name for name, _ in names])
        return self

    def stop(self):
        for daemon in reversed(self.daemons):
            with suppress(ProcessLookupError):
                daemon.send_signal(signal.SIGCONT)
                daemon.process.kill()
        for daemon in self.daemons:
            daemon.wait()

    def start_standin(self, name, kind, **changes):
        module = "platform" if kind == "platform" else "endpoint"
        settings = self.write_settings(f"standins/{kind}", name, port=self.port(name), **changes)
        return self.start_daemon(f"chivewall.standins.{module}", settings, name)

    def start_agent(self, name, kind, log=None):
        changes = {
            "instance": name,
            "store_http": {"host": "127.0.0.1", "port": self.port("platform")},
            "slot": {"port": self.port(f"slot {name}")},
            "admission": {"endpoint": name},
            "gate": {"port": self.port(f"gate {name}")},
        }
        section = f"{kind}_http"
        example = json5.loads((SITE_SETTINGS / f"{kind}-agent.jsonc").read_text())
        changes[section] = {**example[section], "port": self.port(name)}
        settings = self.write_settings(f"{kind}-agent", f"{name}-agent", **changes)
        return self.start_daemon("chivewall", settings, log or f"{name}-agent")

    def start_entry(self, name, **changes):
        sections = {
            "store_http": {"host": "127.0.0.1", "port": self.port("platform")},
            "http_api": {"port": self.port(name)},
        }
        settings = self.write_settings("entry", name, instance=name, **sections, **changes)
        return self.start_daemon("chivewall", settings, name)

    def write_settings(self, source, name, **changes):
        [example] = SITE_SETTINGS.glob(f"{source}.json*")
        settings = json5.loads(example.read_text())
        path = self.folder / f"{name}.jsonc"
        path.write_text(json.dumps({**settings, **changes}))
        return path

    def start_daemon(self, module, settings, name):
        daemon = Daemon(module=module, settings=settings, log=self.folder / f"{name}.log")
        self.daemons.append(daemon)
        return daemon.start()

    def base_url(self, name="entry-1"):
        return f"http://127.0.0.1:{self.port(name)}"

    def get(self, name, path):
        return httpx.get(f"{self.base_url(name)}{path}", headers=self.operator_headers(), timeout=2)

    def operator_headers(self):
        token = (self.folder / "operator.token").read_text().strip()
        return {"Authorization": f"Bearer {token}"}

    def get_states(self, entry="entry-1"):
        """Return the state of each endpoint from the view of an entry."""
        endpoints = self.get(entry, "/operator/status").json()["endpoints"]
        return {one["endpoint"]: one["state"] for one in endpoints}

    def get_runs(self, name):
        """Return the record of runs that a stand-in endpoint keeps."""
        return self.get(name, "/runs").json()

    def get_plan(self):
        return self.get("platform", "/objects/plan/Mombasa")

    def wait_standins(self, names):
        for name in names:
            wait_until(lambda name=name: self.get(name, "/readyz").is_success, f"{name} ready")

    def wait_live(self, entry, names):
        expected = dict.fromkeys(names, "live")
        wait_until(lambda: self.get(entry, "/readyz").is_success, f"{entry} ready")
        wait_until(lambda: self.has_states(entry, expected), f"{names} live at {entry}")

    def has_states(self, entry, expected):
        for daemon in self.daemons:
            if daemon.process.poll() not in (None, -signal.SIGKILL):
                lines = daemon.log.read_text().splitlines()[-SHOWN_LOG_LINES:]
                raise AssertionError("\n".join([f"{daemon.settings} ended early:", *lines]))
        return expected.items() <= self.get_states(entry).items()

    def book(self, key, entry="entry-1", timeout=30):
        return httpx.post(
            f"{self.base_url(entry)}/services/shift-booking/shifts",
            content=f"shift for {key}",
            headers={"Idempotency-Key": key, "X-Rank": "urgent"},
            timeout=timeout,
        )
