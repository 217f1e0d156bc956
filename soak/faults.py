"""Faults that the soak test injects; each lasts as long as its function runs.

The decorator ``fault`` registers a fault. Several may run at the same time, each in a thread
of its own. A fault restores the normal state before it ends.
"""

import random
import signal
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from itertools import count

from chivewall.standins import platform_endpoint as behaviours
from soak.records import Disturbance
from soak.relay import Mode
from soak.site import DRAIN_SECONDS, GRACE_SECONDS, GatewayProcess, Site, wait_ready

Fault = Callable[[Site, random.Random], None]
FAULTS: dict[str, Fault] = {}
FAULTY_BEHAVIOURS = (
    behaviours.close_without_response,
    behaviours.truncate_body,
    behaviours.answer_twice,
    behaviours.answer_without_stamp,
    behaviours.refuse,
    behaviours.fail,
    behaviours.break_stream(3),
    behaviours.hang,
)
_new_endpoint_numbers = count(1)


def fault(function: Fault) -> Fault:
    """Register a fault under its function's name."""
    FAULTS[function.__name__] = function
    return function


def _pick_gateway(site: Site, rng: random.Random) -> GatewayProcess:
    return rng.choice(site.gateways)


@contextmanager
def _record_disturbance(site: Site, gateway: GatewayProcess, kind: str) -> Iterator[Disturbance]:
    """Record a disturbance of a gateway and release its process at the end.

    The caller has claimed the process, so that no other fault ends or pauses it meanwhile.
    """
    disturbance = site.record_disturbance(kind, gateway.name)
    try:
        yield disturbance
    finally:
        disturbance.ended_at = min(disturbance.ended_at, time.monotonic())
        gateway.release()


def _restart(site: Site, gateway: GatewayProcess) -> None:
    gateway.start()
    if not wait_ready(gateway):
        site.records.unexpected_exits.append(f"{gateway.name} didn't restart")


@fault
def stop(site: Site, rng: random.Random) -> None:
    """Stop a gateway with SIGTERM and restart it when its process has ended."""
    gateway = _pick_gateway(site, rng)
    if not gateway.claim():
        return
    with _record_disturbance(site, gateway, "stop") as disturbance:
        gateway.signal(signal.SIGTERM)
        gateway.process.wait(GRACE_SECONDS + 4)
        disturbance.ended_at = time.monotonic()
        site.records.stops.append(disturbance)
        _restart(site, gateway)


@fault
def kill(site: Site, rng: random.Random) -> None:
    """Kill a gateway with SIGKILL and restart it."""
    gateway = _pick_gateway(site, rng)
    if not gateway.claim():
        return
    with _record_disturbance(site, gateway, "kill"):
        gateway.kill()
        _restart(site, gateway)


@fault
def pause(site: Site, rng: random.Random) -> None:
    """Pause a gateway with SIGSTOP for some seconds; it resumes with an outdated state."""
    gateway = _pick_gateway(site, rng)
    if not gateway.claim():
        return
    with _record_disturbance(site, gateway, "pause"):
        gateway.signal(signal.SIGSTOP)
        time.sleep(rng.uniform(0.5, 4))
        gateway.signal(signal.SIGCONT)


@fault
def hangup(site: Site, rng: random.Random) -> None:
    """Send SIGHUP to a gateway, which reloads its settings."""
    _pick_gateway(site, rng).signal(signal.SIGHUP)


@fault
def store_down(site: Site, rng: random.Random) -> None:
    """Make the store refuse every request for a while."""
    disturbance = site.record_disturbance("store down")
    site.store.down = True
    time.sleep(rng.uniform(0.5, 4))
    site.store.down = False
    disturbance.ended_at = time.monotonic()


@fault
def store_slow(site: Site, rng: random.Random) -> None:
    """Discard the store's history and delay its responses for a while."""
    disturbance = site.record_disturbance("store slow")
    site.store.delay_seconds = rng.uniform(0.1, 1)
    site.store.compact()
    time.sleep(rng.uniform(0.5, 3))
    site.store.delay_seconds = 0.0
    disturbance.ended_at = time.monotonic()


@fault
def store_cut(site: Site, rng: random.Random) -> None:
    """Drop all data, or all responses, on one gateway's connections to the store."""
    gateway = _pick_gateway(site, rng)
    disturbance = site.record_disturbance("store cut", gateway.name)
    gateway.store_relay.mode = rng.choice((Mode.SILENT, Mode.ONE_WAY))
    time.sleep(rng.uniform(0.5, 4))
    gateway.store_relay.mode = Mode.OPEN
    gateway.store_relay.reset()
    disturbance.ended_at = time.monotonic()


@fault
def link(site: Site, rng: random.Random) -> None:
    """Reset, delay, silence or cut one way the connections to one endpoint."""
    relay = site.relays[rng.choice(list(site.relays))]
    disturbance = site.record_disturbance("link")
    action = rng.choice(("reset", "delay", *Mode))
    if action == "delay":
        relay.delay_seconds = rng.uniform(0.05, 0.5)
    elif isinstance(action, Mode):
        relay.mode = action
    time.sleep(rng.uniform(0.3, 3))
    relay.delay_seconds, relay.mode = 0.0, Mode.OPEN
    relay.reset()
    disturbance.ended_at = time.monotonic()


@fault
def spoil(site: Site, rng: random.Random) -> None:
    """Make endpoints lose, truncate or duplicate responses, refuse requests or fail."""
    for _ in range(rng.randint(3, 20)):
        endpoint = site.endpoints[rng.choice(list(site.endpoints))]
        endpoint.behaviours.append(rng.choice(FAULTY_BEHAVIOURS))
        time.sleep(rng.uniform(0, 0.1))


@fault
def change(site: Site, rng: random.Random) -> None:
    """Publish some versions of the routing configuration, one after the other."""
    for _ in range(rng.randint(1, 4)):
        site.publish()
        time.sleep(rng.uniform(0.05, 1.5))


@fault
def replace(site: Site, rng: random.Random) -> None:
    """Replace an endpoint: add another, list the old one as draining, then remove it."""
    name = rng.choice([one for one in site.endpoints if not site.endpoints[one].replaced])
    endpoint = site.endpoints[name]
    endpoint.replaced = True
    site.add_endpoint(f"new-{next(_new_endpoint_numbers)}", endpoint.service, endpoint.stage)
    time.sleep(1)
    site.drain_endpoint(name)
    time.sleep(DRAIN_SECONDS + 2)
    site.store.delete("servers", name)
