"""The scenarios: what the site does while faults are injected."""

from collections.abc import Callable

from twisted.internet.defer import ensureDeferred
from twisted.internet.task import deferLater

from bench.faults.faulty_site import ENTRIES, FIRST_DATA_CENTRE, MODEL, SERVICE, FaultySite
from bench.faults.network import OBJECT_API, ObjectApiClient
from bench.faults.processes import ProcessClock
from bench.faults.recording_endpoints import RecordingEngine
from chivewall.configuration import Configuration
from chivewall.configuration_changes import decode_archive, encode_archive
from chivewall.errors import StoreError
from chivewall.interfaces import InstanceKind
from chivewall.plan import DesiredState
from chivewall.plugins.builtin.configuration import (
    CONFIGURATION_KEY,
)
from chivewall.work import Call, Completion, EngineRole, Message, Rank, Request

DEADLINE_SECONDS = 10.0  # from the send of a request to its deadline
BACKGROUND_LEAD_SECONDS = 0.5  # between the start of the background requests and the scenario
# Times after the start of the scenario at which more requests arrive.
WAVE_TIMES_SECONDS = (1.5, 4.5, 8.0)
FLOOD_REQUESTS = 60  # beyond the capacity of the site
LEAVING_TOKENS = 300  # 6 s of output; an agent still drains when it must get no new requests
EXCHANGE_CUT_SECONDS = 12.0  # seconds in which an agent learns versions only from entries
WRITE_RETRY_SECONDS = 1.0  # between attempts of an operator's write


def completion(
    site: FaultySite, name: str, *, tokens: int, rank: Rank = Rank.STANDARD, workspace: str = "w"
) -> Request:
    """Return a completion whose tokens depend only on its name and their index."""
    work = Completion(
        model=MODEL, messages=(Message("user", name),), prompt_tokens=100, max_tokens=tokens
    )
    deadline = site.clock.now + DEADLINE_SECONDS
    return Request(id=name, workspace=workspace, rank=rank, deadline=deadline, work=work)


def booking(site: FaultySite, name: str, key: str | None = None) -> Request:
    """Return a booking, with an idempotency key or without."""
    work = Call(service=SERVICE, method="POST", path="/x", body=(key or name).encode())
    deadline = site.clock.now + DEADLINE_SECONDS
    return Request(
        id=name, workspace="w", rank=Rank.URGENT, deadline=deadline, work=work, idempotency_key=key
    )


def send_flood(site: FaultySite, rank: Rank) -> None:
    """Send far more completions of one rank than the site has capacity for."""
    for number in range(FLOOD_REQUESTS):
        name = site.unique_id(f"flood-{rank.value}")
        request = completion(site, name, tokens=20, rank=rank, workspace=f"f{number % 3}")
        site.send_request(ENTRIES[number % len(ENTRIES)], request)


def start_background_requests(site: FaultySite) -> None:
    """Send requests that are running when the scenario begins."""
    site.send_request("entry-1", completion(site, "before-stream", tokens=120))
    site.send_request("entry-2", completion(site, "before-patient", tokens=150, rank=Rank.PATIENT))
    site.send_request("entry-1", booking(site, "before-call"))


def send_wave(site: FaultySite, number: int) -> None:
    """Send one request of each kind to each entry; the keyed booking is the same at both."""
    for entry in ENTRIES:
        name = f"wave-{number}-{entry}"
        site.send_request(entry, completion(site, f"{name}-urgent", tokens=10, rank=Rank.URGENT))
        site.send_request(entry, completion(site, f"{name}-patient", tokens=20, rank=Rank.PATIENT))
        site.send_request(entry, booking(site, f"{name}-keyed", key=f"wave-{number}"))
        site.send_request(entry, booking(site, f"{name}-call"))


def _plain(site: FaultySite) -> None:
    site.send_request("entry-1", completion(site, "main", tokens=8, rank=Rank.URGENT))


def _stream(site: FaultySite) -> None:
    site.send_request("entry-1", completion(site, "main", tokens=100))


def _keyed(site: FaultySite) -> None:
    site.send_request("entry-1", booking(site, "main", key="main"))
    for seconds, entry in ((0.01, "entry-2"), (4.0, "entry-2"), (9.0, "entry-1")):
        _call_later(site, seconds, lambda entry=entry: _repeat_booking(site, entry))


def _repeat_booking(site: FaultySite, entry: str) -> None:
    site.send_request(entry, booking(site, site.unique_id("again"), key="main"))


def _unkeyed(site: FaultySite) -> None:
    site.send_request("entry-1", booking(site, "main"))


def _role(site: FaultySite) -> None:
    _send_long_requests(site)
    for index, name in enumerate(("engine-1", "engine-2")):
        _call_later(
            site, index * 1.0, lambda name=name: _set_wanted_role(site, name, EngineRole.DECODE)
        )
        _call_later(
            site, 5.0 + index, lambda name=name: _set_wanted_role(site, name, EngineRole.PREFILL)
        )


def _set_wanted_role(site: FaultySite, name: str, role: EngineRole) -> None:
    site.wanted_states[name] = DesiredState(role=role, targets=(MODEL,))


def _send_long_requests(site: FaultySite, tokens: int = 120) -> None:
    for number in range(4):
        site.send_request(
            ENTRIES[number % 2], completion(site, site.unique_id("long"), tokens=tokens)
        )


def _config(site: FaultySite) -> None:
    ensureDeferred(_apply_change(site))
    _call_later(site, 3.0, lambda: ensureDeferred(_apply_change(site)))


async def _apply_change(site: FaultySite) -> None:
    """Change the configuration as an operator does: read, write and, if unsure, read back."""
    clock = ProcessClock(site.outside)
    store = ObjectApiClient(site.outside, clock, site.network, site.store, site.api)
    proposed: Configuration | None = None
    while True:
        try:
            stored = await store.get(CONFIGURATION_KEY)
            archive = decode_archive(stored.value)
            current = archive.current
            if proposed is not None and current.reason == proposed.reason:
                return
            proposed = current.successor(reason=f"change of {clock.seconds():.3f}")
            value = encode_archive(archive.with_current(proposed))
            await store.update(CONFIGURATION_KEY, value, stored.version)
        except StoreError:
            await deferLater(clock, WRITE_RETRY_SECONDS, lambda: None)
        else:
            return


def _exchange(site: FaultySite) -> None:
    """Change the configuration while one agent and one entry can't reach the object API."""
    for name in ("engine-1", "entry-2"):
        site.network.partitions.add((name, OBJECT_API))
        site.network.partitions.add((OBJECT_API, name))
        site.schedule_recovery(
            EXCHANGE_CUT_SECONDS, site.network.partitions.discard, (name, OBJECT_API)
        )
        site.schedule_recovery(
            EXCHANGE_CUT_SECONDS, site.network.partitions.discard, (OBJECT_API, name)
        )
    _config(site)


def _join(site: FaultySite) -> None:
    engine = RecordingEngine(clock=site.clock, targets=(MODEL,), name="engine-4")
    site.add("engine-4", FIRST_DATA_CENTRE, InstanceKind.ENGINE, engine)


def _leave(site: FaultySite) -> None:
    _send_long_requests(site, tokens=LEAVING_TOKENS)
    for index, name in enumerate(("engine-1", "booking-1")):
        _call_later(site, 0.3 + index, lambda name=name: site.shut_down(name))
        _call_later(site, 3.0 + index, lambda name=name: site.change_instance(name, leaving=True))


def _stop_entry(site: FaultySite) -> None:
    _send_long_requests(site)
    site.send_request("entry-1", booking(site, site.unique_id("long-keyed"), key="long"))
    _call_later(site, 0.3, lambda: site.shut_down("entry-1"))


def _takeover(site: FaultySite) -> None:
    holder = site.processes[site.lease_holder()]
    _set_wanted_role(site, "engine-1", EngineRole.DECODE)
    _call_later(site, 1.7, lambda: _pause_for_takeover(site, holder))
    _call_later(site, 12.0, lambda: _set_wanted_role(site, "engine-1", EngineRole.PREFILL))


def _pause_for_takeover(site: FaultySite, process: object) -> None:
    process.pause()
    site.schedule_recovery(20.0, process.resume)


def _call_later(site: FaultySite, seconds: float, function: Callable[[], object]) -> None:
    site.clock.callLater(seconds, function)


SCENARIOS: dict[str, Callable[[FaultySite], None]] = {
    "plain": _plain,
    "stream": _stream,
    "keyed": _keyed,
    "unkeyed": _unkeyed,
    "role": _role,
    "config": _config,
    "exchange": _exchange,
    "join": _join,
    "leave": _leave,
    "stop-entry": _stop_entry,
    "takeover": _takeover,
}
