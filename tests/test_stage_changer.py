"""Orders to engines: one order per lock, and none from a process that was suspended."""

import random
from io import StringIO

import pytest
from attrs import define, evolve, field
from twisted.internet.defer import fail, succeed
from twisted.internet.task import Clock

from chivewall.decisions.locks import CALLS_IN_ERA_BITS
from chivewall.decisions.stages import (
    LIMITED_SAMPLES,
    SETTLE_SECONDS,
    EngineView,
    OrderLock,
    StageLoad,
)
from chivewall.environment import Environment
from chivewall.errors import EndpointError, OrderRefusedError, VersionConflictError
from chivewall.events import EventLog
from chivewall.gateway.engine_control import EngineReport, StoredOrderLock
from chivewall.gateway.fleet_messages import EngineCooldown, ServiceLoad
from chivewall.gateway.routing_configuration import Stage
from chivewall.gateway.stage_changer import (
    CHANGE_COOLDOWN_SECONDS,
    ORDER_COOLDOWN_SECONDS,
    StageChanger,
    StageChangerSettings,
)
from chivewall.gateway.store_eras import EraSeen, StoreEras
from chivewall.settings import CoreSettings, Role, Settings
from tests.utils.gateways import engine_info

pytestmark = pytest.mark.usefixtures("changer")

OTHER_LOCK = OrderLock(4, "gateway-2", "d1", Stage.PREFILL, taken_at=1000.0)


def busy_load():
    """Return the load of a service whose prefill engine is too busy."""
    stages = {"p1": Stage.PREFILL, "d1": Stage.DECODE, "d2": Stage.DECODE, "d3": Stage.DECODE}
    engines = tuple(EngineView(name, stage, 1, usable=True) for name, stage in stages.items())
    endpoints = {name: engine_info(name, stage) for name, stage in stages.items()}
    return ServiceLoad("engines", StageLoad(engines, prefill_load=3.0), endpoints)


def limited_load():
    """Return the load of a service whose decode engines all limit their requests."""
    engines = tuple(
        EngineView(name, stage, 1, usable=True, limited=stage is Stage.DECODE)
        for name, stage in (("p1", Stage.PREFILL), ("p2", Stage.PREFILL), ("d1", Stage.DECODE))
    )
    load = StageLoad(engines, prefill_load=0.0, limited_samples=LIMITED_SAMPLES)
    return ServiceLoad("engines", load, {one.id: engine_info(one.id, one.stage) for one in engines})


@define(eq=False)
class FakeSurroundings:
    """Stands in for the fleet, the peers, the store and the engines."""

    load: ServiceLoad = field(factory=busy_load)
    now: float = 500.0  # seconds on a clock that also counts suspensions
    has_lowest_address: bool = True
    lock: OrderLock | None = None
    revision: int = 0
    era: int | None = None  # of the store
    restored_by_write: bool = False  # the store is restored as an order lock is written
    orders: list = field(factory=list)
    messages: list = field(factory=list)
    order_result: Exception | None = None
    write_seconds: float = 0.0
    read_seconds: float = 0.0
    conflict: bool = False
    messages_before_order: list = field(factory=list)

    def query(self, query):
        return succeed(
            self.has_lowest_address if type(query).__name__ == "IsFirstGateway" else [self.load]
        )

    def send(self, message):
        self.messages.append(message)

    def read(self, service):
        self.now += self.read_seconds
        return succeed(StoredOrderLock(self.lock, self.revision, self.era))

    def acquire(self, service, lock, revision):
        if self.conflict or revision != self.revision:
            return fail(VersionConflictError("another lock"))
        self.now += self.write_seconds
        if self.restored_by_write:
            self.era += 1
        self.lock, self.revision = lock, self.revision + 1
        return succeed(self.era)

    def report(self, endpoint):
        return succeed(EngineReport(stage=endpoint.stage, changing=False, accepted_orders=2))

    def order(self, endpoint, lock, accepted_orders):
        self.messages_before_order = list(self.messages)
        self.orders.append((endpoint.id, lock.stage, lock.number, accepted_orders))
        return succeed(None) if self.order_result is None else fail(self.order_result)


@pytest.fixture
def fakes():
    return FakeSurroundings()


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def env(clock):
    core = CoreSettings(
        role=Role.GATEWAY, instance="gateway-1", data_centre="north", plugins=("x",)
    )
    return Environment(
        settings=Settings(core=core),
        clock=clock,
        random=random.Random(1),
        log=EventLog(StringIO()),
        unix_time=lambda: 1001.0,
    )


@pytest.fixture
def eras(env):
    task = StoreEras(env)
    task.start()
    return task


@pytest.fixture
def changer(env, fakes, eras):
    task = StageChanger(
        env,
        StageChangerSettings(lease_ms=3000),
        fleet=fakes,
        peers=fakes,
        control=fakes,
        locks=fakes,
        eras=eras.inbox,
        clock=lambda: fakes.now,
    )
    task.start()
    return task


def test_one_order_with_the_number_of_its_lock(fakes, clock):
    """Guards against a second order under one lock, and requests sent during the order."""
    clock.advance(1.0)
    assert fakes.orders == [("d1", Stage.PREFILL, 1, 2)]
    # Guards against a request that is sent to the engine while the order is on its way.
    assert fakes.messages_before_order == [EngineCooldown("d1", ORDER_COOLDOWN_SECONDS)]
    clock.pump([1.0] * 5)
    assert len(fakes.orders) == 1  # the first change must take effect before the next order


def test_rate_limits_are_not_held_up_by_a_change_that_was_made_for_the_load(fakes, clock):
    """Guards against 9 s of refusals while a prefill engine without a limit is free."""
    clock.advance(1.0)
    fakes.load = limited_load()
    clock.advance(1.0)
    assert [(engine, stage) for engine, stage, *_ in fakes.orders] == [
        ("d1", Stage.PREFILL),
        ("p1", Stage.DECODE),
    ]
    clock.pump([1.0] * int(SETTLE_SECONDS - 1))
    assert len(fakes.orders) == 2


def test_only_the_gateway_with_the_lowest_address_gives_orders(fakes, clock):
    """Guards against several gateways that give orders at the same time."""
    fakes.has_lowest_address = False
    clock.pump([1.0] * 20)
    assert fakes.orders == []


def test_lost_lock_gives_no_order(fakes, clock):
    """Guards against an order without the lock after its conditional write has failed."""
    fakes.conflict = True
    clock.advance(1.0)
    assert fakes.orders == []


def test_lock_of_another_instance_is_waited_out(fakes, clock):
    """Guards against orders of two instances within one lease time."""
    fakes.lock, fakes.revision = OTHER_LOCK, 9
    clock.advance(1.0)
    fakes.now += 5.9
    clock.advance(1.0)
    assert fakes.orders == []
    fakes.now += 0.2
    clock.advance(1.0)
    assert [number for _, _, number, _ in fakes.orders] == [5]


def test_newer_lock_of_another_instance_restarts_the_wait(fakes, clock):
    """Guards against an order within the lease time of a lock that was renewed meanwhile."""
    fakes.lock, fakes.revision = OTHER_LOCK, 9
    clock.advance(1.0)
    fakes.lock, fakes.revision = evolve(OTHER_LOCK, number=5), 10
    fakes.now += 6.1
    clock.advance(1.0)
    assert fakes.orders == []


def test_process_that_was_suspended_after_taking_its_lock_gives_no_order(fakes, clock):
    """Guards against a late order of an instance that froze between the store and the engine."""
    fakes.write_seconds = 4.0
    clock.advance(1.0)
    assert fakes.lock.holder == "gateway-1"
    assert fakes.orders == []


@pytest.mark.parametrize(
    ("result", "cooldown_seconds"),
    [
        (OrderRefusedError("409"), 0.0),
        # Guards against an engine left idle for an order that it carries out seconds later.
        (EndpointError("no answer"), 0.0),
        (None, CHANGE_COOLDOWN_SECONDS),
    ],
)
def test_order_is_sent_once_for_any_engine_response(fakes, clock, result, cooldown_seconds):
    """Guards against a second order while the first is carried out late."""
    fakes.order_result = result
    clock.pump([1.0] * 5)
    assert len(fakes.orders) == 1
    assert fakes.messages == [
        EngineCooldown("d1", ORDER_COOLDOWN_SECONDS),
        EngineCooldown("d1", cooldown_seconds),
    ]


def first_number(era):
    return (era << CALLS_IN_ERA_BITS) + 1


def test_no_order_until_the_lost_lock_of_a_restored_store_is_old(fakes, clock, eras):
    """Guards against two instances' orders in one lease: the copy has lost the later lock."""
    fakes.era = 1
    eras.send(EraSeen(1))
    fakes.now += 100.0
    fakes.era = 2
    clock.advance(1.0)
    fakes.now += 5.9
    clock.advance(1.0)
    assert fakes.orders == []
    fakes.now += 0.2
    clock.advance(1.0)
    assert [number for _, _, number, _ in fakes.orders] == [first_number(2)]


def test_late_write_of_an_own_lock_permits_no_order_at_once(fakes, clock, eras):
    """Guards against two instances' orders in one lease: the late write hid the other's lock."""
    fakes.era, fakes.lock = 2, evolve(OTHER_LOCK, number=first_number(2), era=2)
    eras.send(EraSeen(2))
    fakes.now += 6.1
    # The write got no answer before the restore, and names the revision of the other's lock.
    fakes.lock = evolve(OTHER_LOCK, number=first_number(1), holder="gateway-1", era=1)
    clock.advance(1.0)
    fakes.now += 5.9
    clock.advance(1.0)
    assert fakes.orders == []
    fakes.now += 0.2
    clock.advance(1.0)
    assert [number for _, _, number, _ in fakes.orders] == [first_number(2)]


def test_own_lock_of_the_copy_permits_no_order(fakes, clock, eras):
    """Guards against an order beside that of the holder whose later lock was lost."""
    fakes.lock, fakes.revision = evolve(OTHER_LOCK, holder="gateway-1"), 9
    fakes.era = 2
    eras.send(EraSeen(2))
    clock.pump([1.0] * 5)
    assert fakes.orders == []


def test_fencing_numbers_grow_over_a_restore(fakes, clock):
    """Guards against a number that an engine has seen before, or a smaller one."""
    fakes.era = 1
    clock.advance(1.0)
    fakes.now += 6.1
    clock.advance(1.0)
    fakes.lock, fakes.era = None, 2
    fakes.now += 100.0
    clock.pump([1.0] * 9)
    fakes.now += 6.1
    clock.advance(1.0)
    numbers = [number for _, _, number, _ in fakes.orders]
    assert numbers == [first_number(1), first_number(2)]
    assert numbers[-1] < 2**53


def test_restore_while_a_lock_is_acquired_gives_no_order(fakes, clock):
    """Guards against an order whose lock was written over a lost one at the same revision."""
    fakes.era, fakes.restored_by_write = 1, True
    clock.advance(1.0)
    fakes.now += 6.1
    clock.advance(1.0)
    assert fakes.lock is not None
    assert fakes.orders == []


@pytest.mark.parametrize("era", [None, 1])
def test_own_lock_of_the_same_era_permits_the_next_order(fakes, clock, era):
    """Guards against an instance that waits for its own lock to become old."""
    fakes.era = era
    fakes.lock, fakes.revision = evolve(OTHER_LOCK, holder="gateway-1", era=era), 9
    clock.advance(1.0)
    fakes.now += 6.1
    fakes.lock = evolve(fakes.lock, number=5)
    clock.advance(1.0)
    assert len(fakes.orders) == 1


def many_decoders():
    """Return the load of a service that lacks several prefill engines."""
    names = {"p1": Stage.PREFILL} | {f"d{one:02}": Stage.DECODE for one in range(12)}
    engines = tuple(EngineView(name, stage, 1, usable=True) for name, stage in names.items())
    load = StageLoad(engines, prefill_load=9.0, recent_load=9.0)
    return ServiceLoad("engines", load, {one: engine_info(one, names[one]) for one in names})


@pytest.mark.parametrize(("read_seconds", "expected"), [(0.0, 4), (1.5, 2), (30.0, 1)])
def test_several_orders_are_given_while_their_load_is_new(fakes, clock, read_seconds, expected):
    """Guards against orders for a load of long ago: by a slow store, or by a suspended process."""
    fakes.load = many_decoders()
    fakes.read_seconds = read_seconds
    clock.advance(1.0)
    numbers = [number for *_, number, _ in fakes.orders]
    assert len({engine for engine, *_ in fakes.orders}) == len(numbers) == expected
    assert numbers == sorted(set(numbers))
