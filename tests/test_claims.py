"""Tests of calls with an idempotency key through real agent tasks.

The fake services count which calls really ran.
"""

import random

from attrs import define, field
from testtools import TestCase
from testtools.matchers import Equals, LessThan

from bench.site import Site, pending_messages
from bench.stores import FaultyStore
from chivewall.interfaces import RunOutput
from chivewall.messages import AttemptArrived, Drain
from chivewall.plugins.builtin.claims import CLAIM_TIMEOUT_SECONDS, RECORD_TIMEOUT_SECONDS, Claims
from chivewall.results import ResultCode, RunState
from chivewall.task import Inbox
from chivewall.work import Answer, Attempt, Call, Rank, Refusal, Request, Waiting

SERVICE = "shift-booking"
AGENTS = ("booking-1", "booking-2", "booking-3")
SEEDS = range(25)
FAULT_SECONDS = 8.0  # period in which faults begin
STORE_LATENCY_SECONDS = 0.004  # seconds of each call of the store


class UnconditionalStore(FaultyStore):
    """Store that ignores the condition of every write, to prove that the checks can fail."""

    def create(self, key, value):
        self.writes += 1
        return self._call(self._write, key, value)

    def update(self, key, value, version):
        return self.create(key, value)


@define(eq=False)
class ClaimHarness:
    """The agents of one service and the responses that they gave."""

    seed: int = 0
    options: dict = field(factory=dict)
    site: Site = field(init=False)
    store: FaultyStore = field(init=False)
    endpoints: list = field(init=False)
    sinks: dict = field(factory=dict)  # request id -> (key, sink)

    def __attrs_post_init__(self):
        self.site = Site(seed=self.seed, **{"store_class": FaultyStore, **self.options})
        for name in AGENTS:
            self.site.add_service(name, "Mombasa", SERVICE)
        self.site.settle()
        self.store = self.site.store
        self.store.rng = random.Random(self.seed)
        self.store.latency = STORE_LATENCY_SECONDS
        self.endpoints = [self.site.endpoints[name] for name in AGENTS]

    def call(self, key, agent="booking-1", seconds=5.0, body=None, workspace="w"):
        admission = self.site.links.agents.get(agent)
        name = f"r{len(self.sinks)}"
        sink = Inbox()
        self.sinks[name] = (key, sink)
        if admission is None:
            return sink
        work = Call(service=SERVICE, method="POST", path="/x", body=body or (key or "-").encode())
        request = Request(
            id=name,
            workspace=workspace,
            rank=Rank.URGENT,
            deadline=self.site.clock.now + seconds,
            work=work,
            idempotency_key=key,
        )
        attempt = Attempt(request, 1, endpoint=agent, incarnation=admission.incarnation)
        admission.send(AttemptArrived(attempt=attempt, sink=sink))
        return sink

    def wait(self, seconds):
        self.site.clock.run_until(self.site.clock.now + seconds)

    def restart(self, agent):
        if agent in self.site.links.agents:
            self.site.kill_agent(agent)
            self.site.clock.callLater(0.3, self.site.start_agent, agent)

    def pause(self, agent, seconds):
        """Hold the messages to an agent's claims task for a while; its store calls go on."""
        if agent not in self.site.links.agents:
            return
        claims, held = self.site.apps[agent].env.find(Claims), []
        if claims is None or "receive" in vars(claims):
            return  # this site runs without claims, or the task is paused already

        async def hold(message):
            held.append(message)

        def resume():
            if claims.receive is hold:
                del claims.receive
                for message in held:
                    claims.send(message)

        self.site.clock.callLater(seconds, resume)
        claims.receive = hold

    def inject_fault(self, target, flag, seconds):
        setattr(target, flag, True)
        self.site.clock.callLater(seconds, setattr, target, flag, False)

    def claims(self, agent="booking-1"):
        return self.site.apps[agent].env.require(Claims)

    def runs(self, key):
        return sum(one.runs_by_body[key.encode()] for one in self.endpoints)

    def violations(self):
        """Return every broken guarantee, judged by the runs that the services counted."""
        bodies = {body for one in self.endpoints for body in one.runs_by_body}
        found = [f"{one} ran twice" for one in bodies if self.runs(one.decode()) > 1]
        answers = {}
        for name, (key, sink) in self.sinks.items():
            body = last_body(sink)
            ran = any(one.runs_by_request[name] for one in self.endpoints)
            if isinstance(body, Refusal) and body.run is RunState.NO and ran:
                found.append(f"{name} ran but was refused as not run")
            if isinstance(body, Answer) and answers.setdefault(key, body) != body:
                found.append(f"{key} has two answers")
        return found


def last_body(sink):
    parts = [one.body for one in pending_messages(sink) if not isinstance(one.body, Waiting)]
    return parts[-1] if parts else None


def run_random_faults(seed, *, kills=True, services_fail=True, **options):
    """Send random calls with few keys under random faults, then end every fault."""
    harness = ClaimHarness(seed=seed, options=options)
    rng = random.Random(seed)
    clock, store = harness.site.clock, harness.store

    store.loss = rng.choice((0.0, 0.1, 0.3))
    for _ in range(60):
        at = rng.uniform(0, FAULT_SECONDS)
        agent = rng.choice(AGENTS)
        clock.callLater(at, harness.call, f"k{rng.randrange(6)}", agent, rng.uniform(0.05, 4.0))
    for _ in range(4):
        clock.callLater(
            rng.uniform(0, FAULT_SECONDS),
            harness.inject_fault,
            store,
            "down",
            rng.uniform(0.1, 2.5),
        )
        if kills:
            clock.callLater(rng.uniform(0, FAULT_SECONDS), harness.restart, rng.choice(AGENTS))
            clock.callLater(
                rng.uniform(0, FAULT_SECONDS),
                harness.pause,
                rng.choice(AGENTS),
                rng.uniform(0.1, 5.0),
            )
        if services_fail:
            fault = rng.choice(("down", "fail_after_run"))
            at = rng.uniform(0, FAULT_SECONDS)
            clock.callLater(at, harness.inject_fault, rng.choice(harness.endpoints), fault, 0.3)
    harness.wait(FAULT_SECONDS + 3)
    store.loss, store.down = 0.0, False
    harness.wait(10)
    return harness


class RandomFaultTest(TestCase):
    """Guards against double runs and false refusals under faults in any order."""

    def test_keys_run_once_and_refusals_are_true(self):
        """Guards against a double run, a false "not run" and two answers for one key."""
        for seed in SEEDS:
            self.assertThat(run_random_faults(seed).violations(), Equals([]), f"seed {seed}")

    def test_lost_store_responses_block_no_key(self):
        """Guards against a key blocked by a claim that took effect after its claimant gave up."""
        for seed in SEEDS:
            harness = run_random_faults(seed, kills=False, services_fail=False)
            for index in range(6):
                sink = harness.call(f"k{index}", AGENTS[index % 3])
                harness.wait(1)
                self.assertIsInstance(last_body(sink), Answer, f"seed {seed}")
                self.assertThat(harness.runs(f"k{index}"), Equals(1), f"seed {seed}")
            self.assertThat(harness.violations(), Equals([]), f"seed {seed}")

    def test_agent_without_claims_is_caught(self):
        """Guards against a random walk that finds no double run even without claims."""
        plugins = ("configuration", "admission")
        self.assertTrue(
            any(run_random_faults(one, service_plugins=plugins).violations() for one in SEEDS)
        )

    def test_claim_without_conditional_update_is_caught(self):
        """Guards against a random walk that finds no double run even with unconditional writes."""
        found = [
            run_random_faults(one, store_class=UnconditionalStore).violations() for one in SEEDS
        ]
        self.assertTrue(any("ran twice" in one for each in found for one in each))


class ClaimedCallTest(TestCase):
    """Guards against false responses to a call with an idempotency key."""

    def setUp(self):
        super().setUp()
        self.harness = ClaimHarness()

    def refusal_of(self, sink):
        body = last_body(sink)
        return (body.code, body.run)

    def test_repeat_at_another_agent_gets_the_first_outcome(self):
        """Guards against a second run when a repeat reaches another agent."""
        first = self.harness.call("k")
        self.harness.wait(1)
        again = self.harness.call("k", "booking-2")
        self.harness.wait(1)
        self.assertThat(last_body(first).status, Equals(201))
        self.assertThat(last_body(again), Equals(last_body(first)))
        self.assertThat(self.harness.runs("k"), Equals(1))

    def test_repeat_while_the_first_runs(self):
        """Guards against a second run beside the first, and a repeat refused as not run."""
        self.harness.call("k")
        self.harness.wait(0.02)
        again = self.harness.call("k", "booking-2")
        self.harness.wait(1)
        self.assertThat(self.refusal_of(again), Equals((ResultCode.IN_PROGRESS, RunState.UNKNOWN)))

    def test_other_request_with_the_same_key(self):
        """Guards against a response that belongs to a different request with the same key."""
        self.harness.call("k")
        self.harness.wait(1)
        other = self.harness.call("k", body=b"other")
        self.harness.wait(1)
        self.assertThat(self.refusal_of(other), Equals((ResultCode.KEY_REUSED, RunState.NO)))

    def test_workspaces_have_their_own_keys(self):
        """Guards against a workspace blocked by the keys of another."""
        sinks = [self.harness.call("k", workspace=one, body=one.encode()) for one in ("v", "w")]
        self.harness.wait(1)
        self.assertThat([last_body(one).status for one in sinks], Equals([201, 201]))

    def test_outcome_of_a_dead_claimant_is_unknown(self):
        """Guards against a second run after the claimant died with an unknown outcome."""
        self.harness.call("k", seconds=1.0)
        self.harness.wait(0.02)
        self.harness.site.kill_agent("booking-1")
        self.harness.wait(2)
        again = self.harness.call("k", "booking-2")
        self.harness.wait(1)
        self.assertThat(self.refusal_of(again), Equals((ResultCode.OUTCOME_LOST, RunState.UNKNOWN)))

    def test_unreached_endpoint_releases_the_key(self):
        """Guards against a key that stays blocked although its call never reached the endpoint."""
        self.harness.endpoints[0].down = True
        first = self.harness.call("k")
        self.harness.wait(0.1)
        self.assertThat(last_body(first).run, Equals(RunState.NO))
        again = self.harness.call("k", "booking-2")
        self.harness.wait(1)
        self.assertIsInstance(last_body(again), Answer)

    def test_outage_refuses_keyed_calls_only(self):
        """Guards against calls that run without a claim, or wait, while the store is down."""
        self.harness.store.down = True
        keyed, plain = self.harness.call("k"), self.harness.call(None)
        self.harness.wait(CLAIM_TIMEOUT_SECONDS + 0.1)
        self.assertThat(self.refusal_of(keyed), Equals((ResultCode.CLAIM_UNAVAILABLE, RunState.NO)))
        self.assertIsInstance(last_body(plain), Answer)
        self.harness.store.down = False
        self.harness.wait(3)
        self.assertThat(self.harness.runs("k"), Equals(0))

    def test_answer_is_sent_after_a_bounded_wait_for_its_record(self):
        """Guards against an answer delayed by an outage, and a drain that loses its record."""
        sink = self.harness.call("k")
        self.harness.wait(0.02)
        self.harness.store.down = True
        self.harness.wait(RECORD_TIMEOUT_SECONDS + 0.1)
        self.assertIsInstance(last_body(sink), Answer)
        drained = self.harness.claims().query(Drain())
        self.assertFalse(drained.called)
        self.harness.store.down = False
        self.harness.wait(5)
        self.assertTrue(drained.called)
        again = self.harness.call("k", "booking-2")
        self.harness.wait(1)
        self.assertThat(last_body(again), Equals(last_body(sink)))

    def test_paused_claimant_does_not_send_after_the_deadline(self):
        """Guards against a late run by a process that was paused between claim and send."""
        sink = self.harness.call("k", seconds=1.0)
        self.harness.wait(0.005)
        self.harness.pause("booking-1", seconds=2)
        self.harness.wait(3)
        self.assertThat(last_body(sink).run, Equals(RunState.NO))
        self.assertThat(self.harness.runs("k"), Equals(0))
        again = self.harness.call("k", "booking-2")
        self.harness.wait(1)
        self.assertIsInstance(last_body(again), Answer)

    def test_large_outcome_is_stored_in_an_object_of_its_own(self):
        """Guards against a shard that large answers fill up."""
        answer = Answer(status=200, headers=(), body=b"x" * 50_000)
        claims = self.harness.claims()
        self.harness.call("k")
        self.harness.wait(0.02)
        (run_key,) = claims.runs
        claims.send(RunOutput(*run_key, answer))
        self.harness.wait(1)
        again = self.harness.call("k", "booking-2")
        self.harness.wait(1)
        self.assertThat(last_body(again), Equals(answer))

    def test_agents_with_other_settings_use_the_stored_number_of_shards(self):
        """Guards against agents that map a key to different shards, so that both run it."""
        sections = {"booking-2": {"claims": {"shards": 7}}}
        for seed in SEEDS:
            harness = run_random_faults(seed, sections=sections)
            self.assertThat(harness.violations(), Equals([]), f"seed {seed}")
        self.assertThat(harness.claims("booking-2").shard_counts, Equals({SERVICE: 64}))

    def test_concurrent_bookings_share_writes(self):
        """Guards against one write for each claim and outcome under load."""
        before = self.harness.store.writes
        for index in range(640):
            # Four workspaces, since the default limit is 256 requests in flight for each.
            self.harness.call(f"b{index}", seconds=30.0, workspace=f"w{index % 4}")
        self.harness.wait(20)
        self.assertThat(sum(self.harness.runs(f"b{index}") for index in range(640)), Equals(640))
        self.assertThat(self.harness.store.writes - before, LessThan(2 * 640))
