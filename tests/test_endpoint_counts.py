"""Numbers of endpoints to order: who waits, what is billed, and what a failed order does."""

import math

import pytest

from chivewall.decisions.endpoint_counts import (
    LIST_SECONDS,
    EndpointCounts,
    holding_seconds,
)
from chivewall.decisions.endpoint_demand import DataCentreLoad, ServiceDemand
from chivewall.decisions.stages import EngineView, StageLoad, propose
from chivewall.gateway.routing_configuration import EndpointScale, Stage
from tests.utils.scaled_services import ScaledService

SCALE = EndpointScale("engines", minimum=2, maximum=12, start_seconds=6.0)


def make_site(work, endpoints=8, scale=SCALE, **fields):
    return ScaledService(scale, work, endpoints, **fields)


def test_steady_load_orders_nothing():
    """Guards against orders that the load doesn't need."""
    assert make_site(lambda _: 2.2).run(120.0).orders == []


def test_lasting_rise_is_met_before_callers_wait():
    """Guards against endpoints that are ordered only once requests wait.

    The demand rises by a half over half a minute; the first endpoints have no room for its peak.
    """
    site = make_site(lambda now: 2.0 + 2.5 * min(1.0, max(0.0, now - 30.0) / 30.0))
    site.run(90.0)
    assert site.endpoints == SCALE.maximum
    assert site.late == 0.0
    fixed = make_site(site.work, scale=EndpointScale("engines", 8, 8, 6.0)).run(90.0)
    assert fixed.orders == []
    assert fixed.late > 0.0  # engine seconds of work waited, in sum over the steps


@pytest.mark.parametrize("burst_seconds", [1.0, 2.0])
def test_burst_shorter_than_a_start_orders_nothing(burst_seconds):
    """Guards against endpoints that serve only after the burst for which they were ordered."""
    site = make_site(lambda now: 3.0 if 40.0 <= now < 40.0 + burst_seconds else 2.0)
    assert site.run(100.0).orders == []


def test_swing_takes_no_endpoint_away():
    """Guards against endpoints that are removed in each trough and missing at each peak."""
    site = make_site(lambda now: 1.8 + 0.5 * math.sin(2 * math.pi * now / 11.0))
    assert site.run(200.0).orders == []


def test_lasting_fall_takes_endpoints_away_one_by_one():
    """Guards against spare endpoints that are billed for ever, and against many that leave at once.

    What remains is still enough: nobody waits.
    """
    site = make_site(lambda now: 2.2 if now < 60.0 else 0.6).run(300.0)
    counts = [count for _, count in site.orders]
    assert counts == [7, 6, 5, 4]
    assert site.orders[0][0] >= 60.0 + holding_seconds(SCALE)
    assert site.late == 0.0
    assert site.billed < 8 * 300.0


@pytest.mark.parametrize("work", [0.0, 9.0])
def test_orders_stay_in_the_range(work):
    """Guards against a number outside of the range, which the platform would change silently."""
    site = make_site(lambda _: work).run(400.0)
    assert {count for _, count in site.orders} <= set(range(2, 13))
    assert site.endpoints == (12 if work else 4)  # one decode engine less would be too few


def orders_of(counts, load, until):
    """Return the times and counts of the orders that are made under an unchanged load."""
    found = []
    for now in range(until):
        order = counts.sample(ServiceDemand("engines", (load,), 40.0), float(now))
        if order is not None:
            counts.record_order(order.data_centre, order.count, float(now))
            found.append((now, order.count))
    return found


def test_order_without_effect_is_repeated():
    """Guards against callers that wait for ever for an order that was lost."""
    pause = int(SCALE.start_seconds + LIST_SECONDS)
    found = orders_of(EndpointCounts(SCALE), place("north", 4, 3.0), 30)
    assert found == [(6, 5), (6 + pause, 5), (6 + 2 * pause, 5)]


def test_refused_order_is_repeated_soon():
    """Guards against an order that counts as made although the platform did not accept it."""
    counts, load = EndpointCounts(SCALE), place("north", 4, 3.0)
    assert orders_of(counts, load, 8) == [(6, 5)]
    counts.record_refused("north", 8.0)
    demand = ServiceDemand("engines", (load,), 40.0)
    assert counts.sample(demand, 9.0) is None
    assert counts.sample(demand, 10.0).count == 5


def test_order_of_a_former_holder_is_not_made_again():
    """Guards against two holders that each order the endpoints that both find missing."""
    site = make_site(lambda _: 3.5, obeys=False)
    site.counts.record_order("north", 12, 5.0)
    assert site.run(5.0 + SCALE.start_seconds + LIST_SECONDS - 1.0).orders == []
    assert site.run(site.now + 2.0).orders


def test_new_holder_takes_nothing_away_before_it_has_seen_the_load():
    """Guards against a holder without a history that takes a trough for the whole load."""
    site = make_site(lambda _: 0.3).run(holding_seconds(SCALE) - 1.0)
    assert site.orders == []


def place(name, endpoints, prefill=0.0, *, prefill_engines=0, usable=None):
    return DataCentreLoad(
        name,
        endpoints,
        endpoints if usable is None else usable,
        prefill_engines,
        ((0, prefill),),
    )


def decide(*places, seconds=60, scale=SCALE, **fields):
    """Return the order after a minute of unchanged load."""
    counts, found = EndpointCounts(scale), None
    for now in range(seconds):
        found = counts.sample(ServiceDemand("engines", places, 40.0, **fields), float(now))
    return found


def test_busiest_data_centre_gets_more_and_idlest_loses_one():
    """Guards against endpoints far from their callers."""
    busy, idle = place("north", 4, 3.4, prefill_engines=2), place("south", 4, 1.6)
    assert decide(busy, idle).data_centre == "north"
    quiet = place("north", 4, 0.5, prefill_engines=2), place("south", 4, 0.1)
    assert (decide(*quiet).data_centre, decide(*quiet).count) == ("south", 3)


def test_full_data_centre_leaves_the_rest_to_others():
    """Guards against a demand that is never met since its own data centre is at its maximum."""
    found = decide(place("north", 12, 9.0, prefill_engines=4), place("south", 2, 0.5))
    assert found.data_centre == "south"


@pytest.mark.parametrize(
    ("places", "fields"),
    [
        ((place("north", 4, 1.0, prefill_engines=2),), {}),  # one prefill engine is too few
        ((place("north", 2),), {}),  # the minimum
        ((place("north", 6, 0.1, prefill_engines=2),), {"stage_changing": True}),
        ((place("north", 6, 0.1, prefill_engines=2, usable=5),), {}),
        # The prompts that an endpoint had cached would have to be read again.
        ((place("north", 5, 1.5, prefill_engines=4),), {"cached_share": 0.8}),
    ],
)
def test_endpoint_that_will_be_missed_stays(places, fields):
    """Guards against a removal that unbalances the stages, cools hot prefixes or hits a change."""
    assert decide(*places, **fields) is None


def test_engine_that_stays_away_is_replaced():
    """Guards against a lost endpoint that the list still names, and against a short crash."""
    crashed = place("north", 8, 4.6, prefill_engines=4, usable=7)
    assert decide(crashed, seconds=10) is None
    assert decide(crashed).count == 9


def test_urgent_work_needs_more_room_than_patient_work():
    """Guards against patient work that is given the room which only urgent work needs."""
    counts = []
    for rank in (0, 2):
        load = DataCentreLoad("north", 4, 4, 2, ((rank, 2.8),))
        counts.append(decide(load))
    assert counts[0].count == 5
    assert counts[1] is None


def test_no_stage_changes_while_endpoints_start_or_leave():
    """Guards against an engine that changes its stage for load that new endpoints will take."""
    stages = {"p": Stage.PREFILL, "d1": Stage.DECODE, "d2": Stage.DECODE, "d3": Stage.DECODE}
    engines = tuple(EngineView(name, stage, 1, usable=True) for name, stage in stages.items())
    assert propose(StageLoad(engines, prefill_load=3.0)) is not None
    assert propose(StageLoad(engines, prefill_load=3.0, endpoints_settled=False)) is None


@pytest.mark.parametrize(("stage_changing", "count"), [(False, 5), (True, None)])
def test_lasting_queue_orders_an_endpoint(stage_changing, count):
    """Guards against callers that wait at engines which are slower than they were learned to be.

    During a change of stage the queue is that of before.
    """
    load = place("north", 4, 1.0, prefill_engines=2)
    found = decide(load, seconds=12, queue_seconds=2.0, stage_changing=stage_changing)
    assert getattr(found, "count", None) == count
