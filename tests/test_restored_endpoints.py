"""Tests of a gateway's endpoints when the store comes back from a copy."""

import pytest
from attrs import evolve
from twisted.internet.task import Clock

from chivewall.gateway.endpoint_list import CONFIRMING_HEARTBEATS
from chivewall.gateway.routing_configuration import Stage
from chivewall.gateway.store_collections import (
    CollectionChanges,
    CollectionItem,
    CollectionSnapshot,
    CollectionUnavailable,
    EndWatchAt,
)
from tests.utils.fleets import make_fleet, query_placement
from tests.utils.gateways import engine_info

READY = evolve(engine_info("d1", Stage.DECODE), started_ms=5000, updates=1)
DRAINING = evolve(READY, updates=20, draining=True)


def snapshot(era, *infos):
    return CollectionSnapshot(
        "servers", tuple(CollectionItem(one.id, one, 2) for one in infos), 2, era
    )


def changes(era, *items):
    return CollectionChanges("servers", items, 3, era)


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def fleet(clock):
    one = make_fleet(clock)
    one.send(snapshot(1, READY))
    return one


def pass_confirming_time(clock, fleet):
    clock.advance(CONFIRMING_HEARTBEATS * fleet.cfg.heartbeat_ms / 1000)


def confirm(clock, fleet):
    pass_confirming_time(clock, fleet)
    fleet.send(changes(2))


def leave(clock, fleet):
    fleet.send(changes(1, CollectionItem("d1", None, 3)))
    clock.advance(fleet.cfg.drain_ms / 1000)
    assert query_placement(fleet) is None


def test_draining_endpoint_gets_nothing_after_a_restore(fleet):
    """Guards against requests to a leaving endpoint that the copy shows as ready."""
    fleet.send(changes(1, CollectionItem("d1", DRAINING, 3)))
    fleet.send(snapshot(2, READY))
    assert query_placement(fleet) is None


def test_endpoint_that_left_gets_nothing_after_a_restore(fleet, clock):
    """Guards against requests to an endpoint that ended, until its entry expires again."""
    fleet.send(changes(1, CollectionItem("d1", None, 3)))
    clock.advance(fleet.cfg.drain_ms / 1000)
    fleet.send(snapshot(2, READY))
    assert query_placement(fleet) is None
    fleet.send(changes(2, CollectionItem("d1", None, 4)))
    confirm(clock, fleet)
    assert query_placement(fleet) is None


def test_live_endpoint_whose_entry_had_expired_comes_back(fleet, clock):
    """Guards against a live endpoint that is never used again: its entry doesn't change."""
    fleet.send(changes(1, CollectionItem("d1", None, 3)))
    clock.advance(fleet.cfg.drain_ms / 1000)
    fleet.send(snapshot(2, READY))
    confirm(clock, fleet)
    assert query_placement(fleet).endpoint.id == "d1"


def test_entry_that_is_written_again_is_used_at_once(fleet, clock):
    """Guards against seconds without a live endpoint whose entry was written after a restore."""
    fleet.send(changes(1, CollectionItem("d1", None, 3)))
    clock.advance(fleet.cfg.drain_ms / 1000)
    fleet.send(snapshot(2))
    fleet.send(changes(2, CollectionItem("d1", READY, 3)))
    assert query_placement(fleet).endpoint.id == "d1"


def test_endpoint_that_registered_after_the_copy_is_used_on(fleet, clock):
    """Guards against a live endpoint that gets nothing while the others are overloaded."""
    other = evolve(READY, id="d2")
    fleet.send(changes(1, CollectionItem("d2", other, 3)))
    fleet.send(snapshot(2, READY))
    assert fleet.states["d2"].unlisted_at is None
    clock.advance(fleet.cfg.drain_ms / 1000)
    query_placement(fleet)
    assert "d2" not in fleet.states
    fleet.send(changes(2, CollectionItem("d2", other, 3)))
    assert "d2" in fleet.states


def test_entry_that_no_read_confirms_gets_no_requests(clock, fleet):
    """Guards against requests to an endpoint that ended: time passed, but no read followed."""
    leave(clock, fleet)
    fleet.send(snapshot(2, READY))
    pass_confirming_time(clock, fleet)
    clock.advance(5)
    assert query_placement(fleet) is None
    fleet.send(changes(2))
    assert query_placement(fleet).endpoint.id == "d1"


def test_entry_of_the_copy_is_not_believed_while_the_store_is_away(clock, fleet):
    """Guards against requests to an endpoint that ended, as nothing confirms its entry."""
    leave(clock, fleet)
    fleet.send(snapshot(2, READY))
    fleet.send(CollectionUnavailable("servers"))
    pass_confirming_time(clock, fleet)
    clock.advance(5)
    assert query_placement(fleet) is None


def test_outage_restarts_the_confirmation(clock, fleet):
    """Guards against requests to an endpoint that ended: the store couldn't remove its entry."""
    leave(clock, fleet)
    fleet.send(snapshot(2, READY))
    fleet.send(CollectionUnavailable("servers"))
    confirm(clock, fleet)
    assert query_placement(fleet) is None
    confirm(clock, fleet)
    assert query_placement(fleet).endpoint.id == "d1"


def test_second_restore_restarts_the_confirmation(clock, fleet):
    """Guards against requests to an endpoint that ended, whose entry a second copy brought back."""
    leave(clock, fleet)
    fleet.send(snapshot(2, READY))
    clock.advance((CONFIRMING_HEARTBEATS - 1) * fleet.cfg.heartbeat_ms / 1000)
    fleet.send(snapshot(3, READY))
    clock.advance(1.5 * fleet.cfg.heartbeat_ms / 1000)
    fleet.send(changes(3))
    assert query_placement(fleet) is None


def test_removal_that_waits_in_a_pause_between_watches_counts(clock, fleet):
    """Guards against an entry that is believed while its removal waits for the next watch."""
    leave(clock, fleet)
    fleet.send(snapshot(2, READY))
    pass_confirming_time(clock, fleet)
    clock.advance(fleet.watcher.pause_seconds)
    assert query_placement(fleet) is None
    fleet.send(changes(2, CollectionItem("d1", None, 4)))
    assert query_placement(fleet) is None


def test_withheld_entry_is_read_again_in_time(clock, fleet):
    """Guards against a live endpoint that stays unused until a silent watch ends."""
    leave(clock, fleet)
    sent = []
    fleet.watcher.send = sent.append
    fleet.send(snapshot(2, READY))
    seconds = CONFIRMING_HEARTBEATS * fleet.cfg.heartbeat_ms / 1000
    assert sent == [EndWatchAt(clock.seconds() + seconds)]


def test_confirmation_outlasts_the_pause_between_watches(fleet):
    """Guards against a read that comes before the news of a removal has left the pause."""
    spare_ms = (CONFIRMING_HEARTBEATS - 3) * fleet.cfg.heartbeat_ms
    assert spare_ms / 1000 > fleet.watcher.pause_seconds


def test_draining_endpoint_without_a_start_time_gets_nothing_after_a_restore(clock):
    """Guards against requests to a leaving endpoint whose older entry names no start time."""
    ready = evolve(READY, started_ms=None)
    fleet = make_fleet(clock)
    fleet.send(snapshot(1, ready))
    fleet.send(changes(1, CollectionItem("d1", evolve(DRAINING, started_ms=None), 3)))
    fleet.send(snapshot(2, ready))
    assert query_placement(fleet) is None


def test_endpoint_whose_clock_stepped_back_comes_back(clock, fleet):
    """Guards against a live endpoint that is kept out, as its start time is the smaller one."""
    fleet.send(changes(1, CollectionItem("d1", DRAINING, 3)))
    again = evolve(READY, started_ms=4000)
    fleet.send(snapshot(2, again))
    assert query_placement(fleet) is None
    confirm(clock, fleet)
    assert query_placement(fleet).endpoint.started_ms == 4000


def test_entry_with_an_earlier_start_that_is_written_again_is_used_at_once(fleet):
    """Guards against a live endpoint that is kept out after its clock stepped back."""
    fleet.send(changes(1, CollectionItem("d1", None, 3)))
    fleet.send(snapshot(2))
    fleet.send(changes(2, CollectionItem("d1", evolve(READY, started_ms=4000), 4)))
    assert fleet.states["d1"].unlisted_at is None


@pytest.mark.parametrize("updates", [0, 2])
def test_entry_of_an_earlier_run_is_dropped_when_the_later_one_is_written(clock, fleet, updates):
    """Guards against a live endpoint that is replaced by an earlier run of the copy."""
    fleet.send(snapshot(2, evolve(READY, started_ms=4000)))
    assert query_placement(fleet).endpoint.started_ms == 5000
    fleet.send(changes(2, CollectionItem("d1", evolve(READY, updates=updates), 3)))
    confirm(clock, fleet)
    assert query_placement(fleet).endpoint.started_ms == 5000
