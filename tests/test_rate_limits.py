"""Gateways that keep the rate limits of endpoints together, on a simulated network."""

import pytest

from chivewall.decisions.peers import MAX_PEERS
from chivewall.decisions.permits import Ruling
from chivewall.events import Event
from chivewall.gateway.fleet_messages import EngineLoads, PeerWork
from chivewall.gateway.peer_codec import SharedWork
from chivewall.gateway.rate_limit_messages import (
    AcquirePermit,
    PeerRuling,
    PermitExpected,
    PermitNeed,
    ReleasePermit,
    SharedRuling,
)
from chivewall.gateway.rate_limits import (
    ANSWER_SECONDS,
    MAX_KEEPERS,
    MAX_UNANSWERED,
    SETTLED_SECONDS,
)
from chivewall.gateway.routing_configuration import Stage
from tests.utils.limited_gateways import (
    PATIENCE_SECONDS,
    WINDOW_SECONDS,
    LimitedSite,
    allowed,
    most_in_a_window,
)

DEMAND = 30.0  # asks a second of all gateways, far above the limit
PLAY_SECONDS = 20.0
MANY = MAX_PEERS + 5  # gateways, so that news have to be relayed
NEWS_SECONDS = 0.5  # after which the platform counts the requests to an endpoint with a limit


@pytest.mark.parametrize("count", [1, 5, 68])
def test_gateways_keep_a_limit_together(count):
    """Guards against a share for each gateway that adds up to more, or to less, than the limit."""
    site = LimitedSite(count)
    site.run(PLAY_SECONDS, asks_per_second=DEMAND)
    times = site.granted()
    assert most_in_a_window(times) <= 1.5 * site.rate * WINDOW_SECONDS
    assert len(times) >= 0.9 * site.rate * PLAY_SECONDS


@pytest.mark.parametrize("seed", range(3))
def test_lost_datagrams_neither_exceed_nor_waste_a_limit(seed):
    site = LimitedSite(5, seed=seed)
    site.network.loss = 0.2
    site.run(PLAY_SECONDS, asks_per_second=DEMAND)
    times = site.granted()
    assert most_in_a_window(times) <= allowed(site.rate)
    assert len(times) >= 0.5 * site.rate * PLAY_SECONDS


def test_gateway_that_stops_hands_its_limits_over_at_once():
    """Guards against an endpoint that gets nothing while its keeper's end is found out."""
    site = LimitedSite(5)
    site.run(2.0, asks_per_second=DEMAND)
    site.end(site.keeper(), goodbye=True)
    before = len(site.granted())
    site.run(4.0, asks_per_second=DEMAND)
    assert len(site.granted()) - before >= 0.9 * site.rate * 4.0
    assert most_in_a_window(site.granted()) <= allowed(site.rate)


def test_gateway_that_dies_is_passed_over():
    """Guards against requests that wait for a keeper that is gone."""
    site = LimitedSite(5)
    site.run(2.0, asks_per_second=DEMAND)
    keeper = site.keeper()
    site.end(keeper, goodbye=False)
    before = len(site.granted())
    site.run(4.0, asks_per_second=DEMAND)
    assert len(site.granted()) > before
    site.run(16.0, asks_per_second=DEMAND)
    last = [one for one in site.granted() if one > site.clock.seconds() - 8.0]
    assert len(last) >= 0.7 * site.rate * 8.0
    assert most_in_a_window(site.granted()) <= allowed(site.rate)


def test_frozen_keeper_does_not_grant_the_limit_twice():
    """Guards against two keepers that act at the same time, around a freeze."""
    site = LimitedSite(5)
    site.run(2.0, asks_per_second=DEMAND)
    keeper = site.keeper()
    for _ in range(3):
        site.network.frozen.add(keeper.host)
        site.run(3.0, asks_per_second=DEMAND)
        site.network.wake(keeper.host)
        site.run(3.0, asks_per_second=DEMAND)
    assert most_in_a_window(site.granted()) <= allowed(site.rate)


def test_sides_of_a_partition_keep_a_limit_together():
    """Guards against a keeper on each side of a partition that grants the whole limit."""
    site = LimitedSite(5)
    site.run(2.0, asks_per_second=DEMAND)
    for host, side in zip(site.network.gateways, "aabbb", strict=True):
        site.network.side_of[host] = side
    site.run(PLAY_SECONDS, asks_per_second=DEMAND)
    site.network.side_of.clear()
    site.run(PLAY_SECONDS, asks_per_second=DEMAND)
    assert most_in_a_window(site.granted()) <= allowed(site.rate)
    last = [one for one in site.granted() if one > site.clock.seconds() - 8.0]
    assert len(last) >= 0.9 * site.rate * 8.0


def test_restarts_one_after_the_other_keep_a_limit():
    site = LimitedSite(5)
    for host in list(site.network.gateways):
        site.end(site.network.gateways[host], goodbye=host.endswith(("1", "3")))
        site.run(1.0, asks_per_second=DEMAND)
        site.start(host)
        site.run(2.0, asks_per_second=DEMAND)
    site.run(SETTLED_SECONDS, asks_per_second=DEMAND)
    assert most_in_a_window(site.granted()) <= allowed(site.rate)


def test_ask_is_denied_when_no_gateway_answers():
    """Guards against requests that wait for ever for a permit."""
    site = LimitedSite(5)
    one = next(gateway for gateway in site.gateways if gateway is not site.keeper())
    site.network.side_of[one.host] = "alone"
    one.acquire(site.rate)
    site.run(MAX_KEEPERS * MAX_UNANSWERED * ANSWER_SECONDS + 0.1)
    assert (one.waiting, len(one.granted) + len(one.denied)) == (0, 1)


def test_every_ask_is_answered_while_gateways_come_and_go():
    """Guards against asks that are forgotten, and against memory that grows with their number."""
    site = LimitedSite(5)
    site.network.loss = 0.1
    site.run(5.0, asks_per_second=DEMAND)
    site.end(site.keeper(), goodbye=False)
    site.run(5.0, asks_per_second=DEMAND)
    site.run(2 * PATIENCE_SECONDS)
    for one in site.gateways:
        assert (one.waiting, one.limits.pending) == (0, {})


def test_permit_that_is_given_back_goes_to_another_request():
    site = LimitedSite(2)
    first, second = site.gateways
    permits = []
    need = PermitNeed("d1", site.rate, stated_at=first.env.now, rank=1, wait=0.0)
    first.limits.query(AcquirePermit(need, first.env.now + 1.0, None)).addCallback(permits.append)
    site.run(0.05)
    second.acquire(site.rate)
    site.run(0.05)
    assert (len(permits), second.granted) == (1, [])
    first.limits.send(ReleasePermit(permits[0]))
    site.run(0.05)
    assert len(second.granted) == 1


def test_limit_is_known_to_all_gateways_at_once_and_ends_everywhere():
    """Guards against gateways that exceed a limit until their own first response."""
    site = LimitedSite(MANY)
    first = site.gateways[0]
    first.name_limit(3.0)
    site.run(NEWS_SECONDS)
    assert {one.known_limit() for one in site.gateways} == {3.0}
    site.run(NEWS_SECONDS)
    site.gateways[5].name_limit(None)
    site.run(NEWS_SECONDS)
    assert {one.known_limit() for one in site.gateways} == {None}


def test_restarted_gateway_is_told_the_limits():
    """Guards against a gateway that exceeds every limit after its start."""
    site = LimitedSite(5)
    for name in ("d1", "d2"):
        site.gateways[0].name_limit(3.0, name)
    site.run(0.1)
    for host in list(site.network.gateways):
        site.end(site.network.gateways[host], goodbye=False)
        site.run(0.5)
        restarted = site.start(host)
        site.run(NEWS_SECONDS)
        assert [restarted.known_limit(name) for name in ("d1", "d2")] == [3.0, 3.0]


def test_free_endpoint_is_preferred_to_a_wait_for_a_permit():
    site = LimitedSite(1)
    (one,) = site.gateways
    one.name_limit(1.0, "d1")
    one.fleet.send(PermitExpected("d1", 1, one.env.now + 0.5))
    found = one.placement(rank=1)
    assert (found.endpoint.id, found.needs) == ("d2", ())


def test_request_is_refused_at_once_if_no_permit_comes_in_time():
    """Guards against requests that wait until their deadline, and against an untrue Retry-After."""
    site = LimitedSite(1)
    (one,) = site.gateways
    for name in ("d1", "d2"):
        one.name_limit(1.0, name)
        one.fleet.send(PermitExpected(name, 1, one.env.now + 4.0))
    refused = one.placement(rank=2, slack_seconds=0.5, time_left_seconds=6.0)
    assert refused.estimate >= 4.0
    assert refused.retry_after >= 0.75 * 4.0
    urgent = one.placement(rank=0, slack_seconds=0.5, time_left_seconds=6.0)
    assert urgent.needs[0].wait == 0.0


def test_permit_that_is_held_is_used():
    site = LimitedSite(1)
    (one,) = site.gateways
    for name in ("d1", "d2"):
        one.name_limit(1.0, name)
    found = one.placement(permits=frozenset({"d2"}))
    assert (found.endpoint.id, found.needs) == ("d2", ())


def test_limited_decoders_are_reported_to_the_stage_changer():
    """Guards against free prefill engines while every decode engine limits its requests."""
    site = LimitedSite(1)
    (one,) = site.gateways
    for name in ("d1", "d2"):
        one.name_limit(1.0, name)
        one.fleet.send(PermitExpected(name, 2, one.env.now + 1.0))
    found = []
    for _ in range(2):
        one.fleet.query(EngineLoads()).addCallback(found.extend)
    assert found[-1].load.limited_samples == 2
    assert [view.limited for view in found[-1].load.engines] == [True, True]
    assert {view.stage for view in found[-1].load.engines} == {Stage.DECODE}


def test_news_of_an_ended_limit_come_to_rest():
    """Guards against gateways that tell each other an ended limit over and over.

    On a large site the datagrams took all the time of the gateways for three seconds.
    """
    site = LimitedSite(MANY)
    keeper = site.keeper()
    keeper.name_limit(3.0)
    site.run(1.0)
    others = [one for one in site.gateways if one is not keeper]
    changes = []
    for one in others:
        one.env.log.subscribe(
            lambda event, _: changes.append(event) if event is Event.ENDPOINT_LIMIT else None
        )
    site.network.side_of[keeper.host] = "alone"
    others[0].name_limit(None)
    site.run(1.0)
    site.network.side_of.clear()
    site.run(5.0)  # the keeper still tells the limit in its hellos
    assert {one.known_limit() for one in others} == {None}
    assert len(changes) == len(others)
    keeper.name_limit(None)
    site.run(2 * NEWS_SECONDS)
    others[1].name_limit(2.0)
    site.run(1.0)
    assert {one.known_limit() for one in site.gateways} == {2.0}


def test_work_of_other_gateways_spares_asks():
    """Guards against a round of asks for each request while many endpoints are limited."""
    site = LimitedSite(2)
    first, second = site.gateways
    for one in (first, second):
        one.name_limit(1.0, "d1")
        one.name_limit(1.0, "d2")
    work = SharedWork(
        number=7, endpoint="d1", reference_seconds=0.1, counted_seconds=6.0, rank=0, prefixes=()
    )
    second.fleet.send(PeerWork(first.host, work))
    assert [need.endpoint for need in second.placement().needs] == ["d2"]
    assert second.fleet.states["d1"].permit_wait(second.env.now, 5) == pytest.approx(1.0)
    site.run(1.1)
    assert second.fleet.states["d1"].permit_wait(second.env.now, 5) == 0.0


def test_asks_of_a_restarted_gateway_are_new_ones():
    """Guards against a permit that is granted again to a process that counts from 1 once more."""
    site = LimitedSite(2, rate=0.25)
    host = next(one.host for one in site.gateways if one is not site.keeper())
    for _ in range(3):
        site.network.gateways[host].acquire(site.rate)
        site.run(0.05)
        site.end(site.network.gateways[host], goodbye=False)
        site.start(host)
        site.run(0.4)
    assert len(site.granted()) == 1


def test_second_answer_to_an_ask_gives_no_permit_back():
    """Guards against a permit that is used and counts as unused: its answer came twice."""
    site = LimitedSite(2)
    first, second = site.gateways
    asking, keeper = (first, second) if site.keeper() is second else (second, first)
    asking.acquire(site.rate)
    site.run(0.05)
    (number,) = asking.limits._granted
    twice = SharedRuling(number, "d1", Ruling.GRANTED, 0.0)
    asking.limits.send(PeerRuling(keeper.host, twice))
    site.run(0.05)
    keeper.acquire(site.rate)
    site.run(0.05)
    assert len(site.granted()) == 1
