"""Tests of a follower of a store's collection during outages and after a lost history."""

import random
from io import StringIO

import pytest
from attrs import define, field
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from chivewall.environment import Environment
from chivewall.errors import HistoryLostError, StoreUnavailableError
from chivewall.events import EventLog
from chivewall.gateway.store_collections import (
    MAX_RETRY_SECONDS,
    RECHECK_SECONDS,
    WATCH_SECONDS,
    CollectionChanges,
    CollectionItem,
    CollectionSnapshot,
    CollectionUnavailable,
    CollectionWatcher,
    EndWatchAt,
)
from chivewall.gateway.store_eras import EraSeen, StoreEras
from chivewall.settings import CoreSettings, Role, Settings
from chivewall.task import Inbox


@define(eq=False)
class PendingCollection:
    """Stand-in for a collection of the store; the test completes its calls."""

    name: str = "servers"
    list_calls: list = field(factory=list)
    watch_calls: list = field(factory=list)  # (revision, Deferred)
    watch_deadlines: list = field(factory=list)

    def read_all(self):
        self.list_calls.append(Deferred())
        return self.list_calls[-1]

    def watch(self, revision, deadline):
        self.watch_calls.append((revision, Deferred()))
        self.watch_deadlines.append(deadline)
        return self.watch_calls[-1][1]


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def source():
    return PendingCollection()


@pytest.fixture
def sink():
    return Inbox()


@pytest.fixture
def env(clock):
    core = CoreSettings(role=Role.GATEWAY, instance="g", data_centre="north", plugins=("x",))
    return Environment(
        settings=Settings(core=core), clock=clock, random=random.Random(1), log=EventLog(StringIO())
    )


@pytest.fixture
def eras(env):
    task = StoreEras(env)
    task.start()
    return task


@pytest.fixture(autouse=True)
def follower(env, source, sink, eras):
    task = CollectionWatcher(env, source, sink, eras.inbox)
    task.start()
    return task


def received(sink):
    found = []
    while len(sink):
        sink.get().addCallback(found.append)
    return found


def test_watch_goes_on_from_the_revision_of_the_list(source, sink):
    """Guards against changes that are lost between the list and the first watch."""
    source.list_calls[0].callback(CollectionSnapshot("servers", (), 7))
    assert [revision for revision, _ in source.watch_calls] == [7]
    source.watch_calls[0][1].callback(CollectionChanges("servers", (), 9))
    assert [revision for revision, _ in source.watch_calls] == [7, 9]
    assert [type(one) for one in received(sink)] == [CollectionSnapshot, CollectionChanges]


def test_lost_history_is_listed_again(source, clock):
    """Guards against a follower that watches a revision which the store no longer has."""
    source.list_calls[0].callback(CollectionSnapshot("servers", (), 7))
    source.watch_calls[0][1].errback(HistoryLostError("410"))
    clock.advance(MAX_RETRY_SECONDS)
    assert len(source.list_calls) == 2


def test_cut_watch_goes_on_without_a_list(source, sink, clock):
    """Guards against a full list after every broken connection."""
    source.list_calls[0].callback(CollectionSnapshot("servers", (), 7))
    source.watch_calls[0][1].errback(StoreUnavailableError("cut"))
    clock.advance(MAX_RETRY_SECONDS)
    assert [revision for revision, _ in source.watch_calls] == [7, 7]
    assert len(source.list_calls) == 1
    assert CollectionUnavailable("servers") in received(sink)


def test_watch_after_a_failure_is_short(source, clock):
    """Guards against half a minute with old routes: the store was silent to a second watch too."""
    source.list_calls[0].callback(CollectionSnapshot("servers", (), 7))
    source.watch_calls[0][1].errback(StoreUnavailableError("silent"))
    clock.advance(MAX_RETRY_SECONDS)
    assert source.watch_deadlines[-1] - clock.seconds() <= RECHECK_SECONDS
    source.watch_calls[1][1].callback(CollectionChanges("servers", (), 7))
    assert source.watch_deadlines[-1] - clock.seconds() == WATCH_SECONDS


def test_outage_is_tried_often_enough_for_the_bound_of_a_change(source, clock):
    """Guards against a backoff longer than the 2 s in which a change must be in force."""
    for number in range(30):
        source.list_calls[number].errback(StoreUnavailableError("down"))
        clock.advance(MAX_RETRY_SECONDS)
        assert len(source.list_calls) == number + 2


def test_changes_of_a_pause_cost_one_call(follower, clock, source):
    """Guards against one call of each gateway for each change of an endpoint (pwani-rota-large)."""
    follower.pause_seconds = 1.0
    source.list_calls[0].callback(CollectionSnapshot("servers", (), 7))
    changed = CollectionItem("i-1", None, 8)
    source.watch_calls[0][1].callback(CollectionChanges("servers", (changed,), 8))
    assert len(source.watch_calls) == 1
    clock.advance(1.0)
    assert [revision for revision, _ in source.watch_calls] == [7, 8]
    source.watch_calls[1][1].callback(CollectionChanges("servers", (), 8))
    assert len(source.watch_calls) == 3


def history_lost(era):
    exc = HistoryLostError("410")
    exc.era = era
    return exc


def test_restored_store_is_listed_at_once(source):
    """Guards against a pause with old routes after the store came back from a copy."""
    source.list_calls[0].callback(CollectionSnapshot("servers", (), 7, era=1))
    source.watch_calls[0][1].errback(history_lost(2))
    assert len(source.list_calls) == 2


def test_changes_of_a_new_era_are_not_applied(source, sink):
    """Guards against missed changes: a revision of before the restore was given out again."""
    source.list_calls[0].callback(CollectionSnapshot("servers", (), 7, era=1))
    received(sink)
    changed = CollectionItem("i-1", None, 9)
    source.watch_calls[0][1].callback(CollectionChanges("servers", (changed,), 9, era=2))
    assert received(sink) == []
    assert len(source.list_calls) == 2
    source.list_calls[1].callback(CollectionSnapshot("servers", (changed,), 9, era=2))
    assert [one.era for one in received(sink)] == [2]
    assert [revision for revision, _ in source.watch_calls] == [7, 9]


def test_list_of_an_earlier_era_is_dropped(source, sink, eras, clock):
    """Guards against entries that a late answer brings back from before a restore."""
    eras.send(EraSeen(3))
    source.list_calls[0].callback(CollectionSnapshot("servers", (), 7, era=2))
    assert received(sink) == []
    assert source.watch_calls == []
    clock.advance(MAX_RETRY_SECONDS)
    assert len(source.list_calls) == 2


def test_silent_watch_ends_when_another_reader_sees_a_restore(source, sink, eras):
    """Guards against half a minute with old routes: the restore didn't end the watch."""
    source.list_calls[0].callback(CollectionSnapshot("servers", (), 7, era=1))
    received(sink)
    eras.send(EraSeen(2))
    assert len(source.list_calls) == 2
    source.watch_calls[0][1].callback(CollectionChanges("servers", (), 8, era=1))
    assert received(sink) == []


def test_restore_during_a_pause_is_listed_at_once(follower, clock, source, eras):
    """Guards against a second read beside the list when the pause ends."""
    follower.pause_seconds = 1.0
    source.list_calls[0].callback(CollectionSnapshot("servers", (), 7, era=1))
    changed = CollectionItem("i-1", None, 8)
    source.watch_calls[0][1].callback(CollectionChanges("servers", (changed,), 8, era=1))
    eras.send(EraSeen(2))
    assert len(source.list_calls) == 2
    clock.advance(2.0)
    assert len(source.list_calls) + len(source.watch_calls) == 3


def test_store_without_eras_is_followed(source, sink):
    """Guards against a store that names no era and is listed for ever."""
    source.list_calls[0].callback(CollectionSnapshot("servers", (), 7))
    source.watch_calls[0][1].callback(CollectionChanges("servers", (), 9))
    assert len(received(sink)) == 2
    assert len(source.list_calls) == 1


def test_silent_watch_ends_when_its_subscriber_needs_a_read(source, follower, clock):
    """Guards against half a minute until an entry that awaits a read is confirmed."""
    source.list_calls[0].callback(CollectionSnapshot("servers", (), 7))
    follower.send(EndWatchAt(clock.seconds() + 3.0))
    assert [revision for revision, _ in source.watch_calls] == [7, 7]
    assert source.watch_deadlines[-1] == clock.seconds() + 3.0
    follower.send(EndWatchAt(clock.seconds() + 3.0))
    assert len(source.watch_calls) == 2
    clock.advance(3.0)
    source.watch_calls[1][1].callback(CollectionChanges("servers", (), 7))
    assert source.watch_deadlines[-1] == clock.seconds() + WATCH_SECONDS
