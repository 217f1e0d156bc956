"""Orders to engines: one turn, one order, and none from a process that was suspended."""

import random
from io import StringIO

import pytest
from attrs import define, evolve, field
from twisted.internet.defer import fail, succeed
from twisted.internet.task import Clock

from chivewall.decisions.stages import EngineView, OrderLock, StageLoad
from chivewall.environment import Environment
from chivewall.errors import EndpointError, OrderRefusedError, VersionConflictError
from chivewall.events import EventLog
from chivewall.gateway.engine_control import EngineReport
from chivewall.gateway.fleet_messages import EngineCooldown, ServiceLoad
from chivewall.gateway.routing_configuration import Stage
from chivewall.gateway.stage_changer import (
    CHANGE_COOLDOWN_SECONDS,
    ORDER_COOLDOWN_SECONDS,
    StageChanger,
    StageChangerSettings,
)
from chivewall.settings import CoreSettings, Role, Settings
from tests.utils.gateways import engine_info

pytestmark = pytest.mark.usefixtures("changer")

OTHER = OrderLock(4, "gateway-2", "d1", Stage.PREFILL, taken_at=1000.0)


def busy_load():
    stages = {"p1": Stage.PREFILL, "d1": Stage.DECODE, "d2": Stage.DECODE, "d3": Stage.DECODE}
    engines = tuple(EngineView(name, stage, 1, usable=True) for name, stage in stages.items())
    endpoints = {name: engine_info(name, stage) for name, stage in stages.items()}
    return ServiceLoad("engines", StageLoad(engines, prefill_load=3.0), endpoints)


@define(eq=False)
class World:
    """Stands in for the fleet, the peers, the store and the engines."""

    now: float = 500.0  # on the clock that counts suspensions
    first: bool = True
    turn: OrderLock | None = None
    revision: int = 0
    orders: list = field(factory=list)
    told: list = field(factory=list)
    order_result: Exception | None = None
    write_seconds: float = 0.0
    conflict: bool = False
    told_before_order: list = field(factory=list)

    def query(self, query):
        return succeed(self.first if type(query).__name__ == "IsFirstGateway" else [busy_load()])

    def send(self, message):
        self.told.append(message)

    def read(self, service):
        return succeed((self.turn, self.revision))

    def acquire(self, service, lock, revision):
        if self.conflict or revision != self.revision:
            return fail(VersionConflictError("another turn"))
        self.now += self.write_seconds
        self.turn, self.revision = lock, self.revision + 1
        return succeed(self.revision)

    def report(self, endpoint):
        return succeed(EngineReport(stage=endpoint.stage, changing=False, accepted_orders=2))

    def order(self, endpoint, lock, accepted_orders):
        self.told_before_order = list(self.told)
        self.orders.append((endpoint.id, lock.stage, lock.number, accepted_orders))
        return succeed(None) if self.order_result is None else fail(self.order_result)


@pytest.fixture
def world():
    return World()


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def changer(world, clock):
    core = CoreSettings(
        role=Role.GATEWAY, instance="gateway-1", data_centre="north", plugins=("x",)
    )
    env = Environment(
        settings=Settings(core=core),
        clock=clock,
        random=random.Random(1),
        log=EventLog(StringIO()),
        unix_time=lambda: 1001.0,
    )
    task = StageChanger(
        env,
        StageChangerSettings(lease_ms=3000),
        fleet=world,
        peers=world,
        control=world,
        locks=world,
        clock=lambda: world.now,
    )
    task.start()
    return task


def test_one_order_with_the_number_of_its_turn(world, clock):
    clock.advance(1.0)
    assert world.orders == [("d1", Stage.PREFILL, 1, 2)]
    # Guards a call that is sent to the engine while the order is on its way.
    assert world.told_before_order == [EngineCooldown("d1", ORDER_COOLDOWN_SECONDS)]
    clock.pump([1.0] * 5)
    assert len(world.orders) == 1  # the change settles first


def test_gateway_that_is_not_first_orders_nothing(world, clock):
    world.first = False
    clock.pump([1.0] * 20)
    assert world.orders == []


def test_lost_turn_gives_no_order(world, clock):
    world.conflict = True
    clock.advance(1.0)
    assert world.orders == []


def test_turn_of_another_machine_is_waited_out(world, clock):
    """Guards orders of two machines within one lease time."""
    world.turn, world.revision = OTHER, 9
    clock.advance(1.0)
    world.now += 5.9
    clock.advance(1.0)
    assert world.orders == []
    world.now += 0.2
    clock.advance(1.0)
    assert [number for _, _, number, _ in world.orders] == [5]


def test_newer_turn_of_another_machine_starts_the_wait_again(world, clock):
    world.turn, world.revision = OTHER, 9
    clock.advance(1.0)
    world.turn, world.revision = evolve(OTHER, number=5), 10
    world.now += 6.1
    clock.advance(1.0)
    assert world.orders == []


def test_process_that_was_suspended_after_its_turn_gives_no_order(world, clock):
    """Guards an old order of a machine that froze between the store and the engine."""
    world.write_seconds = 4.0
    clock.advance(1.0)
    assert world.turn.holder == "gateway-1"
    assert world.orders == []


@pytest.mark.parametrize(
    ("result", "rest"),
    [
        (OrderRefusedError("409"), 0.0),
        # Guards an engine that stands idle for an order that is carried out seconds later.
        (EndpointError("no answer"), 0.0),
        (None, CHANGE_COOLDOWN_SECONDS),
    ],
)
def test_order_is_sent_once_whatever_the_engine_says(world, clock, result, rest):
    """Guards a second order beside one that is carried out late."""
    world.order_result = result
    clock.pump([1.0] * 5)
    assert len(world.orders) == 1
    assert world.told == [EngineCooldown("d1", ORDER_COOLDOWN_SECONDS), EngineCooldown("d1", rest)]
