"""The site of one seed: gateway processes, simulated endpoints and the platform store."""

import contextlib
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

from attrs import define, field

from chivewall.standins.platform_endpoint import EndpointHandler, PlatformEndpoint
from chivewall.standins.platform_store import PlatformStore
from chivewall.standins.template import instance_fields, render_settings
from soak.records import Arrival, Disturbance, DrainStart, PublishedVersion, Records, RequestRecord
from soak.relay import Relay

HOST = "desk.example"
TIMEOUT_SECONDS = 3.0  # timeoutMs of every route
DRAIN_SECONDS = 2.0  # drainMs of the gateways' settings
GRACE_SECONDS = 8.0  # graceS of the gateways' settings
START_SECONDS = 15.0  # limit for the start of a process on a busy computer
EVENT_COUNT = 8  # events in the stream of an engine
STREAM_BODY = b"".join(
    b"id: %d\ndata: token %d\n\n" % (one, one) for one in range(1, EVENT_COUNT + 1)
)
ENDPOINTS = (
    ("desk-1", "desk", None),
    ("desk-2", "desk", None),
    ("read-1", "engines", "prefill"),
    ("read-2", "engines", "prefill"),
    ("gen-1", "engines", "decode"),
    ("gen-2", "engines", "decode"),
    ("gen-3", "engines", "decode"),
)
ROUTES = (
    {"name": "read", "service": "desk", "kind": "safe", "attempts": 2},
    {"name": "book", "service": "desk", "kind": "unsafe", "attempts": 1},
    {"name": "brief", "service": "engines", "kind": "stream", "attempts": 1, "sticky": True},
    {
        "name": "audit",
        "service": "engines",
        "kind": "stream",
        "attempts": 2,
        "sticky": True,
        "resumable": True,
    },
)


@define(eq=False)
class RecordingEndpoint(PlatformEndpoint):
    """Simulated endpoint that records each request addressed to it."""

    records: Records = field(factory=Records)
    replaced: bool = False  # whether a fault replaces it

    def serve_request(self, handler: EndpointHandler) -> None:
        """Record a request and handle it."""
        stage = handler.headers.get("X-Stage")
        if handler.request_id and not handler.expects_another_endpoint():
            self.records.arrivals.append(
                Arrival(handler.request_id, self.id, time.monotonic(), stage)
            )
        super().serve_request(handler)


@define(eq=False)
class GatewayProcess:
    """A gateway; each restart uses the same name and addresses."""

    name: str
    folder: Path
    store_relay: Relay
    variant: str
    ip: str
    ports: dict[str, int]  # same on all gateways, as on the users' instances
    seeds: tuple[str, ...]
    start_count: int = 0  # number of starts
    process: subprocess.Popen | None = None
    _fault_lock: threading.Lock = field(factory=threading.Lock, init=False)

    def claim(self) -> bool:
        """Claim the process for a fault that ends or pauses it; return whether it was free."""
        return self._fault_lock.acquire(blocking=False)

    def release(self) -> None:
        """Release the process after a fault."""
        self._fault_lock.release()

    def start(self) -> None:
        """Start a process without waiting until it is ready."""
        settings = self.folder / f"{self.name}.jsonc"
        fields = instance_fields(
            self.name, self.ports, self.store_relay.address, self.ip, self.seeds
        )
        settings.write_text(render_settings(fields))
        self.start_count += 1
        with (self.folder / f"{self.name}.log").open("a") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "soak.variants", self.variant, str(settings)],
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        self.process.wait(10)

    def resource_peak(self) -> tuple[str, int, int] | None:
        """Return name, peak memory in KB and open descriptors; ``None`` after the process's end."""
        folder = Path(f"/proc/{self.process.pid}")
        try:
            status = (folder / "status").read_text()
            files = len(list((folder / "fd").iterdir()))
        except OSError:
            return None
        memory = next((one for one in status.splitlines() if one.startswith("VmHWM")), "VmHWM 0")
        return self.name, int(memory.split()[1]), files


@define(eq=False)
class Site:
    """Platform store, endpoints behind relays, and gateways; ``stack`` stops them all."""

    folder: Path
    variant: str
    gateway_count: int
    records: Records = field(factory=Records)
    store: PlatformStore = field(factory=PlatformStore)
    endpoints: dict[str, RecordingEndpoint] = field(factory=dict)
    relays: dict[str, Relay] = field(factory=dict)
    gateways: list[GatewayProcess] = field(factory=list)
    stack: contextlib.ExitStack = field(factory=contextlib.ExitStack)
    version: int = 0  # latest published version of the routing configuration
    _lock: threading.Lock = field(factory=threading.Lock, init=False)

    def __enter__(self) -> "Site":
        """Start everything and wait until the gateways are ready."""
        self.publish()
        for name, service, stage in ENDPOINTS:
            self.add_endpoint(name, service, stage)
        store = self.stack.enter_context(self.store.serve())
        ips = gateway_ips(os.getpid(), self.gateway_count)
        ports = dict(
            zip(("front", "ready", "peer", "metrics"), _free_ports(ips[0], 4), strict=True)
        )
        seeds = tuple(f"{ip}:{ports['ready']}" for ip in ips[:3])
        for number, ip in enumerate(ips, start=1):
            relay = Relay(store)
            self.stack.callback(relay.stop)
            gateway = GatewayProcess(
                f"gateway-{number}", self.folder, relay, self.variant, ip, ports, seeds
            )
            self.stack.callback(gateway.kill)
            gateway.start()
            self.gateways.append(gateway)
        for gateway in self.gateways:
            wait_ready(gateway)
        return self

    def __exit__(self, *_: object) -> None:
        """Stop everything, paused processes as well."""
        for gateway in self.gateways:
            gateway.signal(signal.SIGCONT)
        self.stack.close()

    def publish(self) -> None:
        """Publish the next routing configuration, with one more route named after its version."""
        with self._lock:
            self.version += 1
            added = [
                {"name": f"v{one}", "service": "desk", "kind": "safe", "attempts": 2}
                for one in range(1, self.version + 1)
            ]
            common = {
                "host": HOST,
                "timeoutMs": TIMEOUT_SECONDS * 1000,
                "sloMs": 1000,
                "priority": 1,
            }
            routes = [
                {**common, **one, "pathPrefix": f"/{one['name']}/"} for one in (*ROUTES, *added)
            ]
            services = [{"name": "desk"}, {"name": "engines"}]
            document = {
                "version": self.version,
                "routes": routes,
                "services": services,
                "limits": {},
            }
            self.store.put("config", "main", document)
            self.records.published_versions.append(PublishedVersion(self.version, time.monotonic()))

    def drain_endpoint(self, name: str) -> None:
        """List an endpoint as draining."""
        endpoint = self.endpoints[name]
        self.store.put(
            "servers", name, endpoint.store_document(self.relays[name].address, state="draining")
        )
        self.records.drain_starts.append(DrainStart(name, time.monotonic()))

    def record_disturbance(self, kind: str, gateway: str = "") -> Disturbance:
        """Record the start of a disturbance."""
        disturbance = Disturbance(kind, time.monotonic(), gateway=gateway)
        self.records.disturbances.append(disturbance)
        return disturbance

    def record_request(self, request: RequestRecord) -> None:
        """Add the record of an ended request."""
        self.records.requests.append(request)

    def add_endpoint(self, name: str, service: str, stage: str | None) -> None:
        """Serve an endpoint behind a relay and list it in the store."""
        endpoint = RecordingEndpoint(
            name,
            service,
            stage=stage,
            event_count=0 if stage is None else EVENT_COUNT,
            event_interval_seconds=0.04,
            padding_bytes=1,
            records=self.records,
        )
        address = self.stack.enter_context(endpoint.serve())
        relay = Relay(address)
        self.stack.callback(relay.stop)
        self.endpoints[name], self.relays[name] = endpoint, relay
        self.store.put("servers", name, endpoint.store_document(relay.address))


def wait_ready(gateway: GatewayProcess) -> bool:
    """Wait until a gateway accepts connections; return whether it did."""
    deadline = time.monotonic() + START_SECONDS
    while time.monotonic() < deadline and gateway.process.poll() is None:
        with contextlib.suppress(OSError):
            socket.create_connection((gateway.ip, gateway.ports["front"]), timeout=1).close()
            return True
        time.sleep(0.05)
    return False


def gateway_ips(pid: int, count: int) -> list[str]:
    """Return loopback addresses that no other soak process uses.

    Otherwise parallel seeds that choose the same ports could take each other's addresses.
    """
    return [f"127.{1 + pid // 256 % 250}.{pid % 256}.{number + 2}" for number in range(count)]


def _free_ports(ip: str, count: int) -> list[int]:
    listeners = [socket.create_server((ip, 0)) for _ in range(count)]
    ports = [one.getsockname()[1] for one in listeners]
    for one in listeners:
        one.close()
    return ports
