"""Tests of which entries of endpoints are believed after a restore of the store."""

import pytest
from attrs import evolve

from chivewall.decisions.entry_history import (
    LEFT_MEMORY_SECONDS,
    MAX_LEFT,
    EntryHistory,
    EntryVerdict,
)
from chivewall.gateway.routing_configuration import Stage
from tests.utils.gateways import engine_info

OLD = evolve(engine_info("i-1", Stage.DECODE), started_ms=5000, updates=1)
NEW = evolve(OLD, updates=20)


@pytest.fixture
def history():
    one = EntryHistory()
    one.record(NEW, era=1)
    return one


def test_older_copy_is_no_news_after_a_restore(history):
    """Guards against an engine that gets back the stage it had before."""
    assert history.judge(OLD, 2, listed=True) is EntryVerdict.OUTDATED
    assert history.judge(NEW, 2, listed=True) is EntryVerdict.NEWS


def test_order_of_the_store_counts_within_an_era(history):
    """Guards against a live endpoint that is ignored on an ordinary day."""
    history.record_removed("i-1", era=1, now=0.0)
    assert history.judge(OLD, 1, listed=True) is EntryVerdict.NEWS
    assert history.judge(OLD, None, listed=True) is EntryVerdict.NEWS


def test_draining_is_final_for_a_run(history):
    """Guards against requests to a leaving endpoint whose older entry came back."""
    history.record(evolve(NEW, draining=True), era=1)
    assert history.record(NEW, era=2).draining
    assert not history.record(evolve(NEW, started_ms=6000), era=2).draining


def test_endpoint_that_left_is_not_brought_back_by_a_copy(history):
    """Guards against requests to an address that another endpoint may have by now."""
    history.record_removed("i-1", era=1, now=0.0)
    assert history.judge(NEW, 2, listed=True) is EntryVerdict.UNCONFIRMED
    history.record(evolve(NEW, draining=True), era=1)
    history.record_removed("i-1", era=1, now=0.0)
    assert history.judge(NEW, 2, listed=True) is EntryVerdict.LEFT


def test_live_endpoint_comes_back(history):
    """Guards against a live endpoint that is never used again after its entry expired."""
    history.record_removed("i-1", era=1, now=0.0)
    assert history.judge(NEW, 2, listed=False) is EntryVerdict.NEWS
    assert history.judge(evolve(OLD, started_ms=6000), 2, listed=True) is EntryVerdict.NEWS


def test_earlier_run_is_no_news(history):
    """Guards against an entry of a run that has ended."""
    earlier = evolve(NEW, started_ms=4000, updates=90)
    assert history.judge(earlier, 2, listed=True) is EntryVerdict.OUTDATED


def test_endpoints_that_left_are_forgotten(history):
    """Guards against memory that grows with each endpoint that ever left."""
    history.record_removed("i-1", era=1, now=0.0)
    for number in range(MAX_LEFT):
        history.record(evolve(NEW, id=f"n-{number}"), era=1)
        history.record_removed(f"n-{number}", era=1, now=1.0)
    assert history.judge(NEW, 2, listed=True) is EntryVerdict.NEWS
    assert history.judge(evolve(NEW, id="n-5"), 2, listed=True) is EntryVerdict.UNCONFIRMED
    history.record(evolve(NEW, id="n-9999"), era=1)
    history.record_removed("n-9999", era=1, now=1.0 + LEFT_MEMORY_SECONDS)
    assert history.judge(evolve(NEW, id="n-5"), 2, listed=True) is EntryVerdict.NEWS


@pytest.mark.parametrize(("known_start", "start"), [(None, None), (5000, None), (None, 5000)])
def test_count_of_updates_tells_the_older_entry_without_a_start_time(known_start, start):
    """Guards against a copy that replaces a later entry because a start time is missing."""
    history = EntryHistory()
    history.record(evolve(NEW, started_ms=known_start), era=1)
    old, new = evolve(OLD, started_ms=start), evolve(NEW, started_ms=start)
    assert history.judge(old, 2, listed=True) is EntryVerdict.OUTDATED
    assert history.judge(new, 2, listed=True) is EntryVerdict.NEWS
    assert history.judge(old, 2, listed=False) is EntryVerdict.NEWS


def test_endpoint_without_a_start_time_that_left_awaits_a_confirmation():
    """Guards against requests to an endpoint that ended and named no start time."""
    history = EntryHistory()
    history.record(evolve(NEW, started_ms=None), era=1)
    history.record_removed("i-1", era=1, now=0.0)
    assert history.judge(evolve(NEW, started_ms=None), 2, listed=True) is EntryVerdict.UNCONFIRMED


def test_earlier_start_that_was_just_written_is_news(history):
    """Guards against an endpoint that is kept out as its clock stepped back before its start."""
    earlier = evolve(OLD, started_ms=4000)
    assert history.judge(earlier, 2, listed=False) is EntryVerdict.NEWS
    assert history.judge(earlier, 2, listed=True) is EntryVerdict.OUTDATED
