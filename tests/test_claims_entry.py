"""Tests of calls with an idempotency key through entries: repeats, run states, routing."""

from collections import Counter

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan

from bench.site import Site, pending_messages
from bench.stores import FaultyStore
from chivewall.events import Event
from chivewall.results import ResultCode, RunState
from chivewall.work import Answer, Call, Rank, Request

SERVICE = "shift-booking"
AGENTS = ("booking-1", "booking-2", "booking-3")


class KeyedCallTest(TestCase):
    """Guards against a second run of repeats that other entries send to other agents."""

    def setUp(self):
        super().setUp()
        self.site = Site(seed=3, store_class=FaultyStore)
        for name in AGENTS:
            self.site.add_service(name, "Mombasa", SERVICE)
        for name in ("entry-1", "entry-2"):
            self.site.add_entry(name, "Mombasa")
        self.site.settle()
        self.site.store.latency = 0.004
        self.endpoints = [self.site.endpoints[name] for name in AGENTS]
        self.events = []
        self.site.log.subscribe(lambda event, fields: self.events.append((event, fields)))

    def call(self, name, key="k", entry="entry-1", seconds=8.0):
        request = Request(
            id=name,
            workspace="w",
            rank=Rank.URGENT,
            deadline=self.site.clock.now + seconds,
            work=Call(service=SERVICE, method="POST", path="/x", body=key.encode()),
            idempotency_key=key,
        )
        return self.site.serve(entry, request)

    def wait(self, seconds):
        self.site.clock.run_until(self.site.clock.now + seconds)

    def runs(self, key="k"):
        return sum(one.runs_by_body[key.encode()] for one in self.endpoints)

    def test_repeat_through_another_entry(self):
        """Guards against a second run, or another answer, for a repeat through another entry."""
        sinks = []
        for index in range(8):
            sinks.append(self.call(f"r{index}", entry=f"entry-{index % 2 + 1}"))
            self.wait(1)
        bodies = {pending_messages(one)[-1].body for one in sinks}
        self.assertThat(len(bodies), Equals(1))
        self.assertIsInstance(bodies.pop(), Answer)
        self.assertThat(self.runs(), Equals(1))

    def test_agent_killed_after_the_run_began(self):
        """Guards against "not run", or a second run, when the agent dies during the run."""
        sink = self.call("r")
        self.wait(0.025)
        busy = next(name for name in AGENTS if self.site.endpoints[name].running)
        self.site.kill_agent(busy)
        self.wait(10)
        body = pending_messages(sink)[-1].body
        self.assertThat((body.run, self.runs()), Equals((RunState.UNKNOWN, 1)))

    def test_refusal_after_an_attempt_that_may_have_run(self):
        """Guards against a last refusal as not run that hides the run of an earlier attempt."""
        for endpoint in self.endpoints:
            endpoint.fail_after_run = True
        sink = self.call("r", seconds=1.65)
        self.wait(0.025)
        self.site.store.down = True
        self.wait(10)
        body = pending_messages(sink)[-1].body
        self.assertThat(body.code, Equals(ResultCode.OUTCOME_UNKNOWN))
        self.assertThat((body.run, self.runs()), Equals((RunState.UNKNOWN, 1)))

    def test_refused_claims_evict_no_agent(self):
        """Guards against an agent evicted because it refuses the repeats of a running call."""
        for name in AGENTS:
            self.site.endpoints[name].fail_after_run = True
        self.call("r0", seconds=3.0)
        self.wait(0.1)
        self.events.clear()
        for index in range(1, 4):
            self.call(f"r{index}", seconds=1.0)
        self.wait(2)
        codes = Counter(f["code"] for event, f in self.events if event is Event.ATTEMPT_FAILED)
        changed = [fields for event, fields in self.events if event is Event.MEMBER_CHANGED]
        self.assertThat(codes["IN_PROGRESS"], GreaterThan(2))
        self.assertThat(changed, Equals([]))

    def test_keys_of_a_shard_go_to_one_agent(self):
        """Guards against write conflicts, which are rare only if one agent writes a shard."""
        for index in range(4):
            self.call(f"r{index}", entry=f"entry-{index % 2 + 1}")
            self.wait(0.5)
        chosen = {f["endpoint"] for event, f in self.events if event is Event.ROUTE_CHOSEN}
        self.assertThat(len(chosen), Equals(1))
