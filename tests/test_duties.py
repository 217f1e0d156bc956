"""Calls that are the duty of one gateway: who may make them after which failure."""

import random

import pytest
from attrs import evolve, frozen
from twisted.internet.task import Clock

from chivewall.decisions.locks import CALLS_IN_ERA_BITS
from chivewall.errors import StoreUnavailableError
from chivewall.gateway.duties import DutyHolder
from chivewall.gateway.duty_messages import DutyOutcome, PerformDuty, ReadDuty, ReleaseDuty
from chivewall.gateway.store_eras import StoreEras
from tests.utils.duties import LEASE_SECONDS, FakeLockStore, FakePlatform, make_env

SUBJECT = "engines north"


@frozen
class Order:
    """A call for a number of endpoints."""

    count: int

    def content(self):
        return {"count": self.count}

    def send(self, platform, lock):
        return platform.order_endpoints(lock, "engines", "north", self.count)


class Site:
    """Instances that compete for the lock of one subject."""

    def __init__(self):
        self.clock = Clock()
        self.store = FakeLockStore(self.clock)
        self.platform = FakePlatform(self.clock)
        self.holders = {}

    def start(self, name):
        """Start an instance, in place of the one of that name."""
        env = make_env(self.clock, name)
        eras = StoreEras(env)
        eras.start()
        self.holders[name] = DutyHolder(
            env,
            SUBJECT,
            LEASE_SECONDS,
            self.platform,
            self.store,
            eras.inbox,
            clock=self.clock.seconds,
        )
        self.holders[name].start()

    def read(self, name):
        found = []
        self.holders[name].query(ReadDuty()).addBoth(found.append)
        return found[0] if found and hasattr(found[0], "revision") else None

    def order(self, name, count=1):
        """Let an instance read the lock and order a number; return the outcome."""
        state = self.read(name)
        found = []
        if state is not None:
            self.holders[name].query(PerformDuty(Order(count), state)).addCallback(found.append)
        return found[0] if found else None

    def wait_for_era(self):
        """Let all instances see the era, and wait until every earlier lock is old."""
        for name in self.holders:
            self.read(name)
        self.clock.advance(2 * LEASE_SECONDS)


@pytest.fixture
def site():
    site = Site()
    for name in ("a", "b", "c"):
        site.start(name)
    site.wait_for_era()
    return site


def test_each_call_has_a_lock_with_its_own_number(site):
    """Guards against a number that stands for two calls, or one without the store's era."""
    assert [site.order("a", one) for one in (1, 2)] == [DutyOutcome.ACCEPTED] * 2
    first = (1 << CALLS_IN_ERA_BITS) + 1
    assert [number for *_, number in site.platform.calls] == [first, first + 1]


def test_what_is_sent_is_written_before(site):
    """Guards against a holder that is killed and leaves no trace of what it sent."""
    site.platform.faults = ["unsent"]
    assert site.order("a", 7) is DutyOutcome.UNKNOWN
    assert site.read("b").lock.content == {"count": 7}


def test_lock_of_another_holder_is_waited_out(site):
    """Guards against two holders that take turns within a lease time."""
    site.order("a")
    assert site.order("b") is DutyOutcome.HELD
    site.clock.advance(2 * LEASE_SECONDS - 0.1)
    assert site.order("b") is DutyOutcome.HELD
    site.clock.advance(0.2)
    assert site.order("b") is DutyOutcome.ACCEPTED
    assert site.platform.problems == []


def test_lock_taken_by_another_since_it_was_read_permits_nothing(site):
    """Guards against a call whose content was decided on an older lock."""
    state = site.read("b")
    site.order("a")
    found = []
    site.holders["b"].query(PerformDuty(Order(2), state)).addCallback(found.append)
    assert found == [DutyOutcome.HELD]
    assert len(site.platform.calls) == 1


def test_slow_write_permits_nothing(site):
    """Guards against a call of a process that was suspended after it took its lock."""
    site.store.faults = ["slow"]
    assert site.order("a") is None
    site.clock.advance(1.1)
    assert site.platform.calls == []
    assert not site.read("a").is_accepted


def test_stopped_holder_hands_over_at_once(site):
    """Guards against a duty that rests for two lease times after each stop."""
    site.order("a")
    site.holders["a"].query(ReleaseDuty())
    assert site.order("b") is DutyOutcome.ACCEPTED
    assert site.platform.problems == []


def test_lock_that_was_handed_over_is_not_handed_back_soon(site):
    """Guards against turns of two holders while instances are restarted one after the other."""
    site.order("a")
    site.holders["a"].query(ReleaseDuty())
    site.order("b")
    site.holders["b"].query(ReleaseDuty())
    assert site.order("a") is DutyOutcome.HELD
    site.clock.advance(2 * LEASE_SECONDS)
    site.holders["b"].query(ReleaseDuty())
    assert site.order("a") is DutyOutcome.ACCEPTED
    assert site.platform.problems == []


def test_call_without_an_answer_is_not_handed_over(site):
    """Guards against a call that is overtaken by that of the next holder."""
    site.platform.faults = ["lost"]
    site.order("a")
    site.holders["a"].query(ReleaseDuty())
    assert site.order("b") is DutyOutcome.HELD


def test_restarted_holder_does_not_know_whether_its_call_was_accepted(site):
    """Guards against a call that the killed process did not make and nobody repeats."""
    site.order("a")
    assert site.read("a").is_accepted
    site.start("a")
    state = site.read("a")
    assert (state.is_own, state.is_accepted) == (False, False)


def test_locks_lost_by_a_restore_are_known_to_be_uncertain(site):
    """Guards against a report that differs from one whose lock the copy lacks."""
    site.order("a")
    assert site.read("a").uncertain_before is None
    site.store.copy()
    site.order("a")
    site.store.restore()
    state = site.read("b")
    assert state.uncertain_before == pytest.approx(site.holders["b"].env.unix_time(), abs=0.01)
    assert not state.may_take
    site.clock.advance(2 * LEASE_SECONDS)
    assert site.order("b") is DutyOutcome.ACCEPTED
    assert site.read("b").uncertain_before is None
    assert site.platform.problems == []


def test_restore_while_a_lock_is_acquired_permits_nothing(site):
    """Guards against a call whose lock was written over a lost one at the same revision."""
    site.store.copy()
    site.store.faults = ["restored"]
    assert site.order("a") is DutyOutcome.HELD
    assert site.store.locks[SUBJECT][0].holder == "a"


def test_read_of_a_store_that_is_down_fails(site):
    """Guards against an outage that is taken for a subject without a lock."""
    site.store.down = True
    failures = []
    site.holders["a"].query(ReadDuty()).addErrback(failures.append)
    assert failures[0].check(StoreUnavailableError)


@pytest.mark.parametrize("seed", range(60))
def test_one_holder_at_a_time_under_any_failures(site, seed):
    """Guards against any order of kills, suspensions, lost answers and restores that breaks ONE."""
    rng = random.Random(seed)
    site.store.slow_seconds = rng.choice([0.3, 1.0, 7.0])
    accepted = 0
    for _ in range(400):
        site.clock.advance(rng.choice([0.0, 0.01, 0.1, 0.4, 1.0, 3.1]))
        name = rng.choice("abc")
        step = rng.random()
        if step < 0.7:
            site.store.faults = [rng.choice([None, None, None, "lost", "late", "slow", "restored"])]
            site.platform.faults = [rng.choice([None, None, "lost", "refused", "unsent"])]
            accepted += site.order(name, rng.randrange(9)) is DutyOutcome.ACCEPTED
        elif step < 0.78:
            site.start(name)
        elif step < 0.86:
            site.holders[name].query(ReleaseDuty())
        elif step < 0.92:
            site.store.carry_out_late()
        elif step < 0.97:
            site.store.copy()
        else:
            site.store.restore()
    assert site.platform.problems == []
    assert accepted > 0


def test_released_lock_of_an_earlier_era_is_waited_out(site):
    """Guards against a copy that shows a lock as released which was taken since."""
    site.order("a")
    site.holders["a"].query(ReleaseDuty())
    site.store.copy()
    site.order("b")
    site.store.restore()
    lock, _ = site.store.locks[SUBJECT]
    assert lock == evolve(lock, released=True)
    assert site.order("c") is DutyOutcome.HELD
