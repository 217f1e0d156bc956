"""Helpers that run a gateway process against stand-ins of the users' platform."""

import json
import socket
import subprocess
import sys
from contextlib import ExitStack
from pathlib import Path

import httpx
from attrs import define, field

from chivewall.gateway.routing_configuration import EndpointInfo
from chivewall.standins.platform_endpoint import PlatformEndpoint
from chivewall.standins.platform_store import PlatformStore
from chivewall.standins.template import instance_fields, render_settings
from tests.utils.sites import SHOWN_LOG_LINES, free_port, wait_until

ROOT = Path(__file__).parents[2]
CALLER_HOST = "desk.example"


def route(name, service, kind="safe", **fields):
    """Return a route in the form of the manifest."""
    return {
        "name": name,
        "host": CALLER_HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 3000,
        "sloMs": 500,
        "priority": 1,
        "service": service,
        "attempts": 2,
        **fields,
    }


def engine_info(name, stage):
    """Return an engine in the form in which a gateway reads it from the store's list."""
    return EndpointInfo(
        id=name,
        service="engines",
        ip="10.0.0.1",
        port=80,
        data_centre="north",
        slots=4,
        draining=False,
        stage=stage,
    )


def manifest(version, *routes):
    """Return a manifest with the given routes and their services."""
    services = [{"name": one} for one in sorted({one["service"] for one in routes})]
    return {"version": version, "routes": list(routes), "services": services, "limits": {}}


@define(eq=False)
class GatewaySite:
    """One gateway process with a stand-in store and stand-in endpoints."""

    folder: Path
    store: PlatformStore = field(factory=PlatformStore)
    process: subprocess.Popen | None = None
    ports: dict[str, int] = field(factory=dict)
    exit_stack: ExitStack = field(factory=ExitStack)
    addresses: dict[str, tuple[str, int]] = field(factory=dict)
    store_address: tuple[str, int] | None = None
    more_fields: dict = field(factory=dict)  # of the instance, beside those of every one

    def __enter__(self):
        taken = set()
        for name in ("front", "ready", "peer", "metrics"):
            self.ports[name] = free_port(taken)
            taken.add(self.ports[name])
        self.store_address = self.exit_stack.enter_context(self.store.serve())
        return self

    def __exit__(self, *_):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait(10)
        self.exit_stack.close()

    @property
    def settings(self):
        return self.folder / "node.jsonc"

    @property
    def log(self):
        return self.folder / "gateway.log"

    def write_settings(self, **bounds):
        fields = instance_fields("gateway-1", self.ports, self.store_address)
        fields["bounds"] |= bounds
        fields |= self.more_fields
        self.settings.write_text(render_settings(fields))

    def start(self, *, wait_ready=True):
        self.write_settings()
        with self.log.open("w") as stream:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "chivewall.daemon", str(self.settings)],
                stdout=stream,
                stderr=subprocess.STDOUT,
                cwd=ROOT,
            )
        if wait_ready:
            try:
                wait_until(self.is_ready, "gateway is ready")
            except AssertionError as exc:
                raise AssertionError(f"{exc}; its log ends with:\n{self.last_log_lines()}") from exc
        return self

    def last_log_lines(self):
        """Return the end of the log, which says why a gateway isn't ready."""
        return "\n".join(self.log.read_text().splitlines()[-SHOWN_LOG_LINES:])

    def is_ready(self):
        if self.process.poll() is not None:
            raise AssertionError("the gateway has ended")
        answer = httpx.get(f"http://127.0.0.1:{self.ports['ready']}/readyz", timeout=2)
        return answer.status_code == 200

    def add(self, endpoint: PlatformEndpoint):
        """Start a stand-in endpoint and list it in the store."""
        address = self.exit_stack.enter_context(endpoint.serve())
        self.addresses[endpoint.id] = address
        self.store.put("servers", endpoint.id, endpoint.store_document(address))
        return endpoint

    def url(self, path):
        return f"http://127.0.0.1:{self.ports['front']}{path}"

    def send(self, method, path, request_id="r1", **options):
        headers = self._headers(request_id) | options.pop("headers", {})
        return httpx.request(method, self.url(path), headers=headers, timeout=8, **options)

    def stream(self, method, path, request_id="r1"):
        """Return a context manager of a response that is read bit by bit."""
        headers = self._headers(request_id)
        return httpx.stream(method, self.url(path), headers=headers, timeout=8, content=b"{}")

    @staticmethod
    def _headers(request_id):
        return {"Host": CALLER_HOST, "X-Request-Id": request_id, "X-Deadline-Ms": "5000"}

    def connect(self):
        """Return a TCP connection to the port that serves callers."""
        return socket.create_connection(("127.0.0.1", self.ports["front"]), timeout=8)

    def events(self, name, **fields):
        """Return the logged events with this name and these field values."""
        found = []
        for line in self.log.read_text().splitlines():
            if line.startswith("{"):
                one = json.loads(line)
                if one["name"] == name and fields.items() <= one.items():
                    found.append(one)
        return found
