"""The fault soak: a short run, and checks that can fail."""

import pytest
from attrs import evolve

from soak.checks import CHECKS, judge
from soak.records import Answered, Arrival, Change, Disturbance, Leaving, Records
from soak.seed import play
from soak.site import EVENTS, gateway_ips
from soak.variants import VARIANTS

BASE = Answered(
    id="r1",
    route="book",
    gateway="gateway-1",
    boot=1,
    sent_at=100.0,
    ended_at=100.1,
    status=200,
    answer_id="r1",
    proof="stamp-1",
    body=b"done by desk-1.",
)


def records(**fields):
    return Records(**({"answers": [BASE]} | fields))


BROKEN = {
    "at_most_once": records(runs={"r1": 2}),
    "true_refusals": records(answers=[evolve(BASE, status=503)], runs={"r1": 1}),
    "whole_answers": records(answers=[evolve(BASE, answer_id="r2")]),
    "leaving_is_kept": records(
        leaving=[Leaving("desk-1", 90.0)], arrivals=[Arrival("r1", "desk-1", 100.0, None)]
    ),
    "changes_in_force": records(
        answers=[evolve(BASE, route="v2", status=404)], changes=[Change(2, 90.0)]
    ),
    "changes_stay": records(
        answers=[
            evolve(BASE, route="v2"),
            evolve(BASE, route="v2", status=404, sent_at=101.0, ended_at=101.0),
        ]
    ),
    "in_time": records(answers=[evolve(BASE, ended_at=105.0)]),
    "graceful_shutdown": records(
        answers=[evolve(BASE, status=None, ended_at=102.0)],
        stops=[Disturbance("stop", 101.0, 102.0, "gateway-1")],
    ),
    "no_own_exit": records(own_exits=["gateway-1: 3"]),
    "bounded": records(peaks=[("gateway-1", 400_000, 20)]),
}


def test_every_check_has_a_case_and_a_broken_variant():
    """Guards checks that can't fail."""
    assert set(CHECKS) == set(BROKEN) == set(VARIANTS) - {"whole"}


@pytest.mark.parametrize("name", BROKEN)
def test_broken_promise_is_found_by_its_check(name):
    assert name in {one.partition(":")[0] for one in judge(BROKEN[name])}


def test_calm_records_break_nothing():
    assert judge(records(runs={"r1": 1})) == []
    stream = evolve(BASE, route="audit", body=EVENTS)
    assert judge(records(answers=[stream])) == []


def test_time_that_a_paused_gateway_takes_is_allowed():
    late = evolve(BASE, ended_at=106.0)
    pause = Disturbance("pause", 101.0, 104.0, "gateway-1")
    assert judge(records(answers=[late], disturbances=[pause])) == []
    assert judge(records(answers=[late], disturbances=[evolve(pause, gateway="gateway-2")]))


def test_seeds_at_the_same_time_have_their_own_addresses():
    """Guards seeds that take each other's ports.

    Seeds 1046 and 1047 ran side by side and drew a common port: gateways of both ended at
    their start with status 1, and both passed alone.
    """
    first, second = gateway_ips(4000, 3), gateway_ips(4001, 3)
    assert len({*first, *second}) == 6


def test_seed_keeps_all_promises():
    """Guards the whole path under restarts, spoiled answers, store cuts and changes."""
    verdict = play(176, gateways=2)
    assert verdict.broken == ()
    assert verdict.served > 100
