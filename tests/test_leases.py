"""Leases on a data centre's plan, under pauses, races and lost responses."""

import random

from hypothesis import example, given
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals
from twisted.internet.defer import fail

from bench.site import Site
from chivewall.decisions.leases import SAFETY_MARGIN_SECONDS, Candidate, Lease, LeaseRecord
from chivewall.errors import StoreUnavailableError
from chivewall.plan import decode_plan, plan_key
from chivewall.plugins.builtin.planner import Planner
from chivewall.standins.objects import MemoryStore

TERM_SECONDS = 30.0
KEY = plan_key("Mombasa")


class Process:
    """One process that competes for the lease in a simulated object store."""

    def __init__(self, name, skew):
        self.record = LeaseRecord(
            candidate=Candidate(token=name, name=name), term_seconds=TERM_SECONDS
        )
        self.lease = Lease(self.record)
        self.skew_seconds = skew  # error of its wall clock in seconds

    def read_store(self, store, now):
        plan, version = store
        if version > self.record.version:
            self.lease.observe(plan, version, now)
            if plan.holder != self.record.candidate.token:
                self.lease.lost()

    def try_write(self, store, now):
        proposal = self.lease.plan_to_write(now, now + self.skew_seconds)
        if proposal is None:
            return store
        _, version = store
        if self.record.version != version:  # the conditional write is refused
            self.read_store(store, now)
            return store
        self.lease.write_accepted(proposal, version + 1, now)
        return proposal, version + 1


class LeaseTest(TestCase):
    """Guards against two holders at a time and against writes of a former holder."""

    @given(
        st.integers(0, 2**32),
        st.lists(st.floats(-120, 120), min_size=2, max_size=4),
    )
    @example(seed=27140, skews=[0.0, 0.0, 114.38849394761738])
    def test_never_two_processes_may_act(self, seed, skews):
        """Guards against two holders at a time, over any clock errors, pauses and steps."""
        rng = random.Random(seed)
        processes = [Process(f"p{index}", skew) for index, skew in enumerate(skews)]
        store, now, fences = (None, 0), 0.0, []
        for _ in range(200):
            now += rng.choice((0.1, 1.0, 5.0, 40.0))  # 40 s: all processes paused
            process = rng.choice(processes)
            if rng.random() < 0.7:
                process.read_store(store, now)
            store = process.try_write(store, now)
            if store[0] is not None:
                fences.append(store[0].fence)
            holders = [one for one in processes if one.lease.may_act(now)]
            self.assertTrue(len(holders) <= 1, f"seed {seed}: {len(holders)} may act")
        self.assertThat(sorted(fences), Equals(fences))

    def test_holder_stops_acting_before_its_deadline(self):
        """Guards against a holder that still acts when its successor may begin."""
        process = Process("p", 0.0)
        process.try_write((None, 0), 100.0)
        self.assertTrue(process.lease.may_act(100.0 + TERM_SECONDS - SAFETY_MARGIN_SECONDS - 0.1))
        self.assertFalse(process.lease.may_act(100.0 + TERM_SECONDS - SAFETY_MARGIN_SECONDS))


class PlannerTest(TestCase):
    """Guards against wrong changes of the plan object, with real planner tasks."""

    def setUp(self):
        super().setUp()
        self.site = Site(seed=3)
        self.site.add_engine("engine-1", "Mombasa", targets=("m",))
        for number in (1, 2, 3):
            self.site.add_entry(f"entry-{number}", "Mombasa", extra_plugins=("planner",))

    def stored_plan(self):
        return decode_plan(self.site.store.objects[KEY].value)

    def planners(self):
        apps = self.site.apps
        return [apps[f"entry-{number}"].env.require(Planner) for number in (1, 2, 3)]

    def test_one_entry_takes_the_lease_and_keeps_it(self):
        """Guards against a lease that moves although its holder is healthy."""
        self.site.clock.run_until(10)
        first = self.stored_plan()
        self.site.clock.run_until(300)
        self.assertThat(self.stored_plan().holder, Equals(first.holder))
        self.assertThat(self.stored_plan().fence, Equals(1))

    def test_successor_takes_over_and_the_paused_holder_changes_nothing(self):
        """Guards against a paused holder that overwrites its successor's plan when it resumes."""
        self.site.clock.run_until(10)
        paused = next(
            one
            for one in self.planners()
            if one.record.candidate.token == self.stored_plan().holder
        )
        stale = paused.record.plan, paused.record.version
        paused.inbox._queue.put = lambda _: None  # paused: handles no message
        self.site.clock.run_until(120)
        successor = self.stored_plan()
        self.assertThat(successor.fence, Equals(2))
        self.assertNotEqual(successor.holder, paused.record.candidate.token)
        self.assertFalse(paused.lease.may_act(self.site.clock.now))
        write = self.site.store.update(KEY, b"stale", stale[1])
        self.assertThat(write.result.type.__name__, Equals("VersionConflictError"))
        write.addErrback(lambda _: None)

    def test_lost_response_of_the_first_write(self):
        """Guards against a holder that doesn't know of its own lease, or takes it twice."""
        create = MemoryStore.create

        def lose_response(store, key, value):
            create(store, key, value).addErrback(lambda _: None)
            return fail(StoreUnavailableError("response lost"))

        self.patch(MemoryStore, "create", lose_response)
        self.site.clock.run_until(60)
        self.assertThat(self.stored_plan().fence, Equals(1))
        acting = [one for one in self.planners() if one.lease.may_act(self.site.clock.now)]
        self.assertThat(len(acting), Equals(1))
