"""What the site does while a fault is injected."""

from collections.abc import Callable

from twisted.internet.defer import ensureDeferred
from twisted.internet.task import deferLater

from bench.faults.network import OBJECT_API, ProcessStore
from bench.faults.processes import ProcessClock
from bench.faults.witnesses import WitnessEngine
from bench.faults.world import ENTRIES, HOME, MODEL, SERVICE, World
from chivewall.configuration import Configuration
from chivewall.configuration_changes import decode_archive, encode_archive
from chivewall.errors import StoreError
from chivewall.interfaces import InstanceKind
from chivewall.plan import DesiredState
from chivewall.plugins.builtin.configuration import (
    CONFIGURATION_KEY,
)
from chivewall.work import Call, Completion, EngineRole, Message, Rank, Request

DEADLINE_SECONDS = 10.0  # of each request
BEFORE_SECONDS = 0.5  # background work runs that long when the scenario begins
WAVES = (1.5, 4.5, 8.0)  # seconds after the scenario began, when more work arrives
FLOOD_REQUESTS = 60
LEAVING_TOKENS = 300  # 6 s, so that an agent still drains when its bound for new work is over
EXCHANGE_CUT = 12.0  # seconds for which an agent learns versions only from entries
RECOVERY_SECONDS = 1.0  # between tries of an operator's write


def completion(
    world: World, name: str, *, tokens: int, rank: Rank = Rank.STANDARD, workspace: str = "w"
) -> Request:
    """Return a completion whose text depends only on its name and the index."""
    work = Completion(
        model=MODEL, messages=(Message("user", name),), prompt_tokens=100, max_tokens=tokens
    )
    deadline = world.clock.now + DEADLINE_SECONDS
    return Request(id=name, workspace=workspace, rank=rank, deadline=deadline, work=work)


def booking(world: World, name: str, key: str | None = None) -> Request:
    """Return a booking, keyed or not."""
    work = Call(service=SERVICE, method="POST", path="/x", body=(key or name).encode())
    deadline = world.clock.now + DEADLINE_SECONDS
    return Request(
        id=name, workspace="w", rank=Rank.URGENT, deadline=deadline, work=work, idempotency_key=key
    )


def flood(world: World, rank: Rank) -> None:
    """Send far more completions of one rank than there is capacity."""
    for number in range(FLOOD_REQUESTS):
        name = world.unique(f"flood-{rank.value}")
        request = completion(world, name, tokens=20, rank=rank, workspace=f"f{number % 3}")
        world.call(ENTRIES[number % len(ENTRIES)], request)


def background(world: World) -> None:
    """Start work that is under way when the scenario begins."""
    world.call("entry-1", completion(world, "before-stream", tokens=120))
    world.call("entry-2", completion(world, "before-patient", tokens=150, rank=Rank.PATIENT))
    world.call("entry-1", booking(world, "before-call"))


def wave(world: World, number: int) -> None:
    """Send one request of each kind to each entry; both send the same booking."""
    for entry in ENTRIES:
        name = f"wave-{number}-{entry}"
        world.call(entry, completion(world, f"{name}-urgent", tokens=10, rank=Rank.URGENT))
        world.call(entry, completion(world, f"{name}-patient", tokens=20, rank=Rank.PATIENT))
        world.call(entry, booking(world, f"{name}-keyed", key=f"wave-{number}"))
        world.call(entry, booking(world, f"{name}-call"))


def _plain(world: World) -> None:
    world.call("entry-1", completion(world, "main", tokens=8, rank=Rank.URGENT))


def _stream(world: World) -> None:
    world.call("entry-1", completion(world, "main", tokens=100))


def _keyed(world: World) -> None:
    world.call("entry-1", booking(world, "main", key="main"))
    for seconds, entry in ((0.01, "entry-2"), (4.0, "entry-2"), (9.0, "entry-1")):
        _later(world, seconds, lambda entry=entry: _repeat(world, entry))


def _repeat(world: World, entry: str) -> None:
    world.call(entry, booking(world, world.unique("again"), key="main"))


def _unkeyed(world: World) -> None:
    world.call("entry-1", booking(world, "main"))


def _role(world: World) -> None:
    _busy(world)
    for place, name in enumerate(("engine-1", "engine-2")):
        _later(world, place * 1.0, lambda name=name: _want(world, name, EngineRole.DECODE))
        _later(world, 5.0 + place, lambda name=name: _want(world, name, EngineRole.PREFILL))


def _want(world: World, name: str, role: EngineRole) -> None:
    world.wanted[name] = DesiredState(role=role, targets=(MODEL,))


def _busy(world: World, tokens: int = 120) -> None:
    for number in range(4):
        world.call(ENTRIES[number % 2], completion(world, world.unique("long"), tokens=tokens))


def _config(world: World) -> None:
    ensureDeferred(_apply_change(world))
    _later(world, 3.0, lambda: ensureDeferred(_apply_change(world)))


async def _apply_change(world: World) -> None:
    """Change the configuration as an operator does: read, write, read back when in doubt."""
    clock = ProcessClock(world.outside)
    store = ProcessStore(world.outside, clock, world.network, world.store, world.api)
    mine: Configuration | None = None
    while True:
        try:
            stored = await store.get(CONFIGURATION_KEY)
            archive = decode_archive(stored.value)
            found = archive.current
            if mine is not None and found.reason == mine.reason:
                return
            mine = found.successor(reason=f"change of {clock.seconds():.3f}")
            value = encode_archive(archive.with_current(mine))
            await store.update(CONFIGURATION_KEY, value, stored.version)
        except StoreError:
            await deferLater(clock, RECOVERY_SECONDS, lambda: None)
        else:
            return


def _exchange(world: World) -> None:
    """Change the configuration while one agent and one entry can't read it themselves."""
    for name in ("engine-1", "entry-2"):
        world.network.cuts.add((name, OBJECT_API))
        world.network.cuts.add((OBJECT_API, name))
        world.heal_later(EXCHANGE_CUT, world.network.cuts.discard, (name, OBJECT_API))
        world.heal_later(EXCHANGE_CUT, world.network.cuts.discard, (OBJECT_API, name))
    _config(world)


def _join(world: World) -> None:
    engine = WitnessEngine(clock=world.clock, targets=(MODEL,), name="engine-4")
    world.add("engine-4", HOME, InstanceKind.ENGINE, engine)


def _leave(world: World) -> None:
    _busy(world, tokens=LEAVING_TOKENS)
    for place, name in enumerate(("engine-1", "booking-1")):
        _later(world, 0.3 + place, lambda name=name: world.shut_down(name))
        _later(world, 3.0 + place, lambda name=name: world.change_instance(name, leaving=True))


def _stop_entry(world: World) -> None:
    _busy(world)
    world.call("entry-1", booking(world, world.unique("long-keyed"), key="long"))
    _later(world, 0.3, lambda: world.shut_down("entry-1"))


def _takeover(world: World) -> None:
    holder = world.processes[world.holder()]
    _want(world, "engine-1", EngineRole.DECODE)
    _later(world, 1.7, lambda: _freeze(world, holder))
    _later(world, 12.0, lambda: _want(world, "engine-1", EngineRole.PREFILL))


def _freeze(world: World, process: object) -> None:
    process.pause()
    world.heal_later(20.0, process.resume)


def _later(world: World, seconds: float, function: Callable[[], object]) -> None:
    world.clock.callLater(seconds, function)


SCENARIOS: dict[str, Callable[[World], None]] = {
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
