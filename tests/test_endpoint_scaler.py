"""Orders of endpoints by gateways that are lost, cut off or wrong about who decides."""

import pytest
from attrs import define, field
from twisted.internet.defer import succeed
from twisted.internet.task import Clock

from chivewall.decisions.endpoint_counts import LIST_SECONDS
from chivewall.decisions.endpoint_demand import DataCentreLoad, ServiceDemand
from chivewall.gateway.configuration_messages import ConfigurationInForce
from chivewall.gateway.duties import DutyHolder
from chivewall.gateway.endpoint_scaler import EndpointScaler
from chivewall.gateway.fleet_messages import ExpectEndpoints, FollowDemands
from chivewall.gateway.routing_configuration import (
    EndpointScale,
    IngressLimits,
    RoutingConfiguration,
)
from chivewall.gateway.store_eras import EraSeen, StoreEras
from tests.utils.duties import LEASE_SECONDS, FakeLockStore, FakePlatform, make_env

SCALE = EndpointScale("engines", minimum=2, maximum=12, start_seconds=6.0)
CONFIGURATION = RoutingConfiguration(1, (), IngressLimits(), scales=(SCALE,))
EFFECT_SECONDS = SCALE.start_seconds + LIST_SECONDS  # after which an order must have shown
ORDER = ("engines", "north", 5)


@define(eq=False)
class Surroundings:
    """Fleet and peers of one gateway; the load of the service needs a fifth endpoint."""

    first: bool = True
    messages: list = field(factory=list)
    queries: int = 0

    def query(self, query):
        self.queries += 1
        if type(query).__name__ == "IsFirstGateway":
            return succeed(self.first)
        north = DataCentreLoad("north", 4, 4, 2, ((0, 3.0),))
        return succeed([ServiceDemand("engines", (north,), 40.0)])

    def send(self, message):
        self.messages.append(message)


class Site:
    """Gateways that order endpoints through one store and one platform."""

    def __init__(self):
        self.clock = Clock()
        self.store = FakeLockStore(self.clock)
        self.platform = FakePlatform(self.clock)
        self.tasks = {}

    def start(self, name, **fields):
        env = make_env(self.clock, name)
        eras = StoreEras(env)
        eras.start()
        eras.send(EraSeen(1))
        holder = DutyHolder(
            env,
            "engines--north",
            LEASE_SECONDS,
            self.platform,
            self.store,
            eras.inbox,
            clock=self.clock.seconds,
        )
        holder.start()
        around = Surroundings(**fields)
        scaler = EndpointScaler(env, around, around, lambda _: holder)
        scaler.start()
        scaler.send(ConfigurationInForce(1, {}, CONFIGURATION))
        self.tasks[name] = scaler
        return around

    def run(self, seconds):
        self.clock.pump([1.0] * int(seconds))


@pytest.fixture
def site():
    return Site()


def test_endpoints_are_ordered_once_and_stages_are_kept(site):
    """Guards against repeated calls, and stage changes while the new endpoints start."""
    around = site.start("a")
    site.run(EFFECT_SECONDS + 2)
    assert site.platform.orders == [ORDER]
    (followed,) = [one for one in around.messages if isinstance(one, FollowDemands)]
    assert followed.windows == {"engines": SCALE.start_seconds}
    expected = [one for one in around.messages if isinstance(one, ExpectEndpoints)]
    (called_at, *_) = site.platform.calls[0]
    assert expected == [ExpectEndpoints("engines", called_at + EFFECT_SECONDS)]


def test_gateway_without_ranges_asks_nothing(site):
    """Guards against messages that deployments with fixed endpoints never sent."""
    around = site.start("a")
    scaler = site.tasks["a"]
    scaler.send(ConfigurationInForce(2, {}, RoutingConfiguration(2, (), IngressLimits())))
    site.run(30)
    assert around.queries == 0
    assert site.platform.calls == []


@pytest.mark.parametrize(
    ("fault", "orders"),
    [("refused", 1), ("lost", 2), ("unsent", 1)],
)
def test_order_that_failed_is_made_again(site, fault, orders):
    """Guards against an order that is given up; a repeated one names the same number.

    One without an answer is repeated only once its endpoints should serve.
    """
    site.platform.faults = [fault]
    site.start("a")
    site.run(SCALE.start_seconds + EFFECT_SECONDS + 2)
    assert site.platform.orders == [ORDER] * orders
    assert site.platform.problems == []


def test_holder_lost_between_lock_and_call(site):
    """Guards against endpoints that are missed for ever, and against two holders within a lease."""
    site.platform.faults = ["unsent"]
    first = site.start("a")
    second = site.start("b", first=False)
    site.run(EFFECT_SECONDS)
    assert site.store.locks["engines--north"][0].content == {"count": 5}
    assert site.platform.orders == []
    first.first, second.first = False, True  # the process of ``a`` has ended
    site.tasks["a"].stop()
    site.run(SCALE.start_seconds + EFFECT_SECONDS + 2 * LEASE_SECONDS + 2)
    assert site.platform.orders == [ORDER]
    assert site.platform.calls[-1][2] == "b"
    assert site.platform.problems == []


def test_two_gateways_that_both_decide_make_one_order(site):
    """Guards against the same missing endpoints ordered twice by two views of the live gateways."""
    site.start("a")
    site.start("b")
    site.run(EFFECT_SECONDS + 5)
    assert site.platform.orders == [ORDER]
    assert site.platform.problems == []


def test_store_that_is_down_delays_orders_only(site):
    """Guards against a task that ends with the store."""
    site.start("a")
    site.store.down = True
    site.run(30)
    assert site.platform.calls == []
    site.store.down = False
    site.run(4)
    assert site.platform.orders == [ORDER]
