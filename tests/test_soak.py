"""The fault soak: a short run, and checks that can fail."""

import pytest
from attrs import evolve

from soak.checks import CHECKS, find_violations
from soak.records import Arrival, Disturbance, DrainStart, PublishedVersion, Records, RequestRecord
from soak.seed import run_seed
from soak.site import STREAM_BODY, gateway_ips
from soak.variants import VARIANTS

BASE = RequestRecord(
    id="r1",
    route="book",
    gateway="gateway-1",
    start_number=1,
    sent_at=100.0,
    ended_at=100.1,
    status=200,
    response_id="r1",
    answer_stamp="stamp-1",
    body=b"done by desk-1.",
)


def records(**fields):
    return Records(**({"requests": [BASE]} | fields))


VIOLATIONS = {
    "at_most_once": records(run_counts={"r1": 2}),
    "true_refusals": records(requests=[evolve(BASE, status=503)], run_counts={"r1": 1}),
    "whole_answers": records(requests=[evolve(BASE, response_id="r2")]),
    "leaving_is_kept": records(
        drain_starts=[DrainStart("desk-1", 90.0)], arrivals=[Arrival("r1", "desk-1", 100.0, None)]
    ),
    "changes_in_force": records(
        requests=[evolve(BASE, route="v2", status=404)],
        published_versions=[PublishedVersion(2, 90.0)],
    ),
    "changes_stay": records(
        requests=[
            evolve(BASE, route="v2"),
            evolve(BASE, route="v2", status=404, sent_at=101.0, ended_at=101.0),
        ]
    ),
    "in_time": records(requests=[evolve(BASE, ended_at=105.0)]),
    "graceful_shutdown": records(
        requests=[evolve(BASE, status=None, ended_at=102.0)],
        stops=[Disturbance("stop", 101.0, 102.0, "gateway-1")],
    ),
    "no_own_exit": records(unexpected_exits=["gateway-1: 3"]),
    "bounded": records(resource_peaks=[("gateway-1", 400_000, 20)]),
}


def test_every_check_has_a_case_and_a_broken_variant():
    """Guards checks that can't fail."""
    assert set(CHECKS) == set(VIOLATIONS) == set(VARIANTS) - {"whole"}


@pytest.mark.parametrize("name", VIOLATIONS)
def test_violation_is_found_by_its_check(name):
    assert name in {one.partition(":")[0] for one in find_violations(VIOLATIONS[name])}


def test_calm_records_break_nothing():
    assert find_violations(records(run_counts={"r1": 1})) == []
    stream = evolve(BASE, route="audit", body=STREAM_BODY)
    assert find_violations(records(requests=[stream])) == []


def test_time_that_a_paused_gateway_takes_is_allowed():
    late = evolve(BASE, ended_at=106.0)
    pause = Disturbance("pause", 101.0, 104.0, "gateway-1")
    assert find_violations(records(requests=[late], disturbances=[pause])) == []
    assert find_violations(
        records(requests=[late], disturbances=[evolve(pause, gateway="gateway-2")])
    )


def test_seeds_at_the_same_time_have_their_own_addresses():
    """Guards seeds that take each other's ports.

    Seeds 1046 and 1047 ran side by side and drew a common port: gateways of both ended at
    their start with status 1, and both passed alone.
    """
    first, second = gateway_ips(4000, 3), gateway_ips(4001, 3)
    assert len({*first, *second}) == 6


def test_seed_keeps_all_guarantees():
    """Guards the whole path under restarts, faulty responses, store faults and new routes."""
    verdict = run_seed(176, gateway_count=2)
    assert verdict.violations == ()
    assert verdict.served > 100
