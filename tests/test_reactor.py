"""Tests of the reactor's clock when the time of day is set."""

import random
import subprocess
import sys
import time
from io import StringIO

import pytest
from twisted.internet.base import ReactorBase
from twisted.internet.defer import Deferred

from chivewall.environment import Environment
from chivewall.events import EventLog
from chivewall.gateway.fleet import WATCH_PAUSE_SHARE
from chivewall.gateway.store_collections import (
    CollectionChanges,
    CollectionItem,
    CollectionWatcher,
)
from chivewall.reactor import BootTimeReactor
from chivewall.settings import CoreSettings, Role, Settings
from chivewall.task import Inbox

PAUSE_SECONDS = WATCH_PAUSE_SHARE * 2.0  # for a drain time of 2 s
STEP_SECONDS = 3.0
RUN_SECONDS = 30
# Prints by how much the clock of the reactor that the daemon installs is off the time since boot.
INSTALL_SCRIPT = """
import time
from chivewall.daemon import install_reactor
installed = install_reactor()
from twisted.internet import reactor
assert reactor is installed
print(reactor.seconds() - time.clock_gettime(time.CLOCK_BOOTTIME))
"""


class TimeOfDay:
    """Stands in for the system's time, which the tests set."""

    def __init__(self):
        self.now = 1_000_000.0

    def __call__(self):
        return self.now


class WatchedCollection:
    """Stand-in for a collection of the store: its watches are completed by the test."""

    name = "servers"

    def __init__(self):
        self.watches = []

    def watch(self, revision, deadline):
        self.watches.append(Deferred())
        return self.watches[-1]


@pytest.fixture
def time_of_day(monkeypatch):
    clock = TimeOfDay()
    monkeypatch.setattr(ReactorBase, "seconds", staticmethod(clock))
    return clock


@pytest.fixture
def reactor():
    built = BootTimeReactor()
    yield built
    for call in built.getDelayedCalls():
        call.cancel()
    built.disconnectAll()
    built._asyncioEventloop.close()


def test_calls_are_due_as_before_when_the_time_is_set_back(reactor, time_of_day):
    """Guards against timers that are late by the seconds by which the time is set back."""
    call = reactor.callLater(PAUSE_SECONDS, list)
    time_of_day.now -= STEP_SECONDS
    assert 0 < reactor.timeout() <= PAUSE_SECONDS
    assert call.getTime() - reactor.seconds() <= PAUSE_SECONDS


def test_calls_are_not_due_early_when_the_time_is_set_forward(reactor, time_of_day):
    """Guards against requests that time out early when the time is set forward."""
    called = []
    reactor.callLater(60.0, called.append, "early")
    time_of_day.now += 3600.0
    reactor.runUntilCurrent()
    assert not called
    assert reactor.timeout() > 50.0


def test_pause_between_watches_is_not_longer_when_the_time_is_set_back(reactor, time_of_day):
    """Guards against a gateway that learns too late that an endpoint is leaving.

    The time of two gateways was set back by 3 s during their pause between two watches; they
    read the entry 3 s later, and endpoints that were leaving got requests until then (DRAIN,
    rmsk-totems old-knowledge --vary --seed 46088460568).
    """
    core = CoreSettings(role=Role.GATEWAY, instance="g", data_centre="north", plugins=("x",))
    env = Environment(
        settings=Settings(core=core),
        clock=reactor,
        random=random.Random(1),
        log=EventLog(StringIO()),
    )
    source = WatchedCollection()
    watcher = CollectionWatcher(env, source, Inbox(), eras=Inbox(), pause_seconds=PAUSE_SECONDS)
    watcher.revision = 7
    watcher.start()
    source.watches[0].callback(CollectionChanges("servers", (CollectionItem("i", None, 8),), 8))
    time_of_day.now -= STEP_SECONDS
    (next_watch,) = reactor.getDelayedCalls()
    assert next_watch.getTime() - reactor.seconds() <= PAUSE_SECONDS


def test_daemon_installs_a_reactor_with_the_time_since_boot():
    """Guards against a daemon that runs on Twisted's own reactor, with the time of day."""
    run = subprocess.run(
        [sys.executable, "-c", INSTALL_SCRIPT],
        capture_output=True,
        text=True,
        timeout=RUN_SECONDS,
        check=True,
    )
    assert abs(float(run.stdout)) < RUN_SECONDS
    assert time.time() - time.clock_gettime(time.CLOCK_BOOTTIME) > 2 * RUN_SECONDS
