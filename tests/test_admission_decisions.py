"""Tests of the admission scheduler, without a network and with the time as an argument."""

from unittest.mock import patch

from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from chivewall.configuration import LimitName, LimitOverride, default_configuration
from chivewall.decisions.admission import Scheduler
from chivewall.decisions.estimates import Capacity, CostEstimator
from chivewall.decisions.fair_queueing import RankQueue
from chivewall.results import ResultCode, RunState
from chivewall.work import Attempt, Completion, Message, Rank, Request

CFG = default_configuration()
UNLIMITED = evolve(
    CFG,
    limits=evolve(CFG.limits, requests_in_flight=1e9, tokens_in_flight=1e12, queue_seconds=1e9),
)
CAPACITY = Capacity(parallel=8, prefill_rate=20_000.0, decode_rate=50.0)
FAR_DEADLINE = 1e9  # seconds; a deadline that no attempt reaches
RANKS = tuple(Rank)


def attempt(name, rank=Rank.PATIENT, workspace="w", deadline=FAR_DEADLINE, prompt=100, output=50):
    work = Completion(
        model="m", messages=(Message("user", "x"),), prompt_tokens=prompt, max_tokens=output
    )
    request = Request(id=name, workspace=workspace, rank=rank, deadline=deadline, work=work)
    return Attempt(request=request, number=1, endpoint="e", incarnation="i")


def attempt_with_target(name, rank=Rank.URGENT, target=0.34):
    one = attempt(name, rank)
    return evolve(one, request=evolve(one.request, first_token_deadline=target))


class Driver:
    """Drives a scheduler with a simulated engine, whose prefills stall the whole batch."""

    def __init__(self, capacity=CAPACITY, cfg=UNLIMITED):
        self.scheduler = Scheduler(capacity=capacity)
        self.cfg = cfg
        self.now = 0.0
        self.started = []
        self.max_running = 0
        self.decode_seconds_left = {}  # key of a running attempt -> its remaining seconds of decode
        self.prefill_stall_seconds = 0.0  # seconds of prefill before the batch decodes again
        # Endpoint seconds not used by preempted runs.
        self.unused_seconds = dict.fromkeys(RANKS, 0.0)

    def offer(self, one):
        return self.scheduler.offer(one, self.cfg, now=self.now, unix_time=self.now)

    def start_all(self):
        while (start := self.scheduler.start_next(self.now)) is not None:
            self.started.append(start.attempt)
            if start.preempted is not None:
                unused_seconds = (
                    self.decode_seconds_left.pop((start.preempted.request.id, 1))
                    / CAPACITY.parallel
                )
                self.unused_seconds[start.preempted.request.rank] += unused_seconds
                self.scheduler.requeue(start.preempted, self.now)
            key = (start.attempt.request.id, 1)
            self.scheduler.record_first_token(*key, now=self.now)
            self.decode_seconds_left[key] = self.scheduler.running[key].cost.decode_seconds
            self.prefill_stall_seconds += self.scheduler.running[key].cost.prefill_seconds
        self.max_running = max(self.max_running, len(self.scheduler.running))

    def step(self):
        """Run until the next attempt ends, then start all attempts that may start."""
        key = min(self.decode_seconds_left, key=self.decode_seconds_left.get)
        spent = self.decode_seconds_left.pop(key)
        self.decode_seconds_left = {
            one: seconds - spent for one, seconds in self.decode_seconds_left.items()
        }
        self.now += spent + self.prefill_stall_seconds
        self.prefill_stall_seconds = 0.0
        tokens = self.scheduler.running[key].attempt.request.work.max_tokens
        self.scheduler.finish(*key, now=self.now, output_tokens=tokens)
        self.start_all()

    def served_seconds(self, rank):
        """Return the endpoint seconds spent on a rank, computed from true output lengths."""
        works = [one.request.work for one in self.started if one.request.rank is rank]
        started = sum(one.prompt_tokens / 20_000 + one.max_tokens / 50 / 8 for one in works)
        return started - self.unused_seconds[rank]


SIZES = st.lists(st.tuples(st.integers(1, 4000), st.integers(1, 200)), min_size=3, max_size=3)


class ShareTest(TestCase):
    """Guards against a flood from one rank or workspace that starves another."""

    @settings(max_examples=25, deadline=None, derandomize=True)
    @given(flood=st.sampled_from(RANKS), sizes=SIZES)
    def test_each_rank_keeps_its_share_in_a_flood_of_any_rank(self, flood, sizes):
        """Guards against a rank that loses its share to many or large prompts of another rank."""
        driver = Driver()
        for index, rank in enumerate(RANKS):
            prompt, output = sizes[index]
            for number in range(900 if rank is flood else 300):
                one = attempt(f"{rank}{number}", rank, prompt=prompt, output=output)
                self.assertIsNone(driver.offer(one))
        driver.start_all()
        while all(queue.size for queue in driver.scheduler.queues.values()):
            driver.step()
        total = sum(driver.served_seconds(rank) for rank in RANKS)
        slack = 2 * CAPACITY.parallel * max(p / 20_000 + o / 50 / 8 for p, o in sizes)
        for rank in RANKS:
            served = driver.served_seconds(rank)
            self.assertThat(served, GreaterThan(CFG.ranks[rank].share * total - slack))

    @settings(max_examples=25, deadline=None, derandomize=True)
    @given(before=st.integers(1, 60), share=st.sampled_from((0.2, 0.35, 0.5)))
    def test_workspace_takes_no_more_than_its_share_while_another_waits(self, before, share):
        """Guards against a workspace that fills the engine while another one waits."""
        exception = LimitOverride(
            id="x", limit=LimitName.WORKSPACE_SHARE, value=share, reason="vote", author="a",
            expires_at=FAR_DEADLINE, workspace="greedy",
        )  # fmt: skip
        driver = Driver(cfg=evolve(UNLIMITED, exceptions=(exception,)))
        for number in range(400):
            driver.offer(attempt(f"g{number}", workspace="greedy"))
        driver.start_all()
        for _ in range(before):
            driver.step()
        for number in range(100):
            driver.offer(attempt(f"o{number}", workspace="other"))
        first = len(driver.started)
        while driver.scheduler.queues[Rank.PATIENT].workspaces.keys() == {"greedy", "other"}:
            driver.step()
        contested = driver.started[first:]
        greedy = sum(one.request.workspace == "greedy" for one in contested)
        self.assertThat(greedy, LessThan(share * len(contested) + 3))

    def test_patient_attempt_starts_within_its_bound_in_an_urgent_flood(self):
        """Guards against patient work that waits until an urgent flood ends."""
        driver = Driver()
        for number in range(2000):
            driver.offer(attempt(f"u{number}", Rank.URGENT))
        driver.start_all()
        for number in range(20):
            driver.offer(attempt(f"p{number}"))
        cost = driver.scheduler.estimator.cost(attempt("p"), CAPACITY)
        bound = 20 * cost.endpoint_seconds / CFG.ranks[Rank.PATIENT].share + cost.run_seconds
        while driver.scheduler.queues[Rank.PATIENT].size:
            driver.step()
        self.assertThat(driver.now, LessThan(bound))
        self.assertTrue(driver.scheduler.queues[Rank.URGENT].size)


class CapacityTest(TestCase):
    """Guards against overload of the endpoint and against attempts that are lost or never end."""

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(RANKS), st.sampled_from("abc"), st.floats(0.5, 60),
                st.integers(1, 9000), st.integers(1, 300), st.integers(0, 2),
            ),
            max_size=60,
        )
    )  # fmt: skip
    def test_everything_ends_once_and_capacity_holds(self, works):
        """Guards against attempts that never end or end twice, and a batch beyond its capacity."""
        capacity = evolve(CAPACITY, kv_total_tokens=10_000)
        driver = Driver(capacity=capacity)
        accepted, dropped = set(), []
        for number, (rank, workspace, deadline, prompt, output, steps) in enumerate(works):
            one = attempt(f"r{number}", rank, workspace, driver.now + deadline, prompt, output)
            refusal = driver.offer(one)
            if refusal is None:
                accepted.add(one.request.id)
            else:
                self.assertThat(refusal.run, Equals(RunState.NO))
            driver.start_all()
            for _ in range(min(steps, len(driver.scheduler.running))):
                driver.step()
                driver.scheduler.shed(driver.now)
            kv_tokens = sum(each.cost.kv_tokens for each in driver.scheduler.running.values())
            self.assertThat(kv_tokens, LessThan(10_001))
        while driver.scheduler.running:
            driver.step()
        dropped = driver.scheduler.take_dropped()
        names = [one.request.id for one in driver.started]
        refused = [one.attempt.request.id for one in dropped]
        self.assertThat(sorted(names + refused), Equals(sorted(accepted)))
        self.assertTrue(all(one.refusal.run is RunState.NO for one in dropped))
        self.assertTrue(all(one.refusal.retry_after >= 1 for one in dropped))
        self.assertThat(driver.max_running, LessThan(capacity.parallel + 1))
        self.assertTrue(driver.scheduler.idle())
        self.assertThat(driver.scheduler.limiter.in_flight, Equals({}))

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(
        st.lists(st.tuples(st.sampled_from(RANKS), st.integers(1, 5000), st.booleans()),
                 max_size=40)
    )  # fmt: skip
    def test_more_load_never_shortens_waits(self, works):
        """Guards against estimates that make a loaded endpoint look faster than before."""
        driver = Driver()
        before = driver.scheduler.waits(0.0)
        for number, (rank, prompt, start) in enumerate(works):
            driver.offer(attempt(f"r{number}", rank, f"w{number % 3}", prompt=prompt))
            waits = driver.scheduler.waits(0.0)
            for old, new in zip(before, waits, strict=True):
                self.assertThat(new, GreaterThan(old - 1e-9))
            if start:
                driver.start_all()
            before = driver.scheduler.waits(0.0)

    def test_urgent_work_preempts_patient_work_when_no_slot_is_free(self):
        """Guards against urgent work that waits while patient work fills the batch."""
        driver = Driver()
        for number in range(50):
            driver.offer(attempt(f"p{number}", prompt=10_000))
        driver.start_all()
        self.assertThat(len(driver.scheduler.running), Equals(CAPACITY.parallel))
        driver.offer(attempt("u", Rank.URGENT))
        start = driver.scheduler.start_next(0.0)
        self.assertThat(start.attempt.request.id, Equals("u"))
        resumed = evolve(start.preempted, delivered=("a", "b"))
        driver.scheduler.requeue(resumed, 0.0)
        self.assertIsNone(driver.scheduler.start_next(0.0))  # patient work preempts no patient work
        self.assertThat(len(driver.scheduler.running), Equals(CAPACITY.parallel))
        waiting = {one.attempt.request.id: one for one in driver.scheduler.queued.values()}
        self.assertThat(waiting[resumed.request.id].attempt, Equals(resumed))

    def test_preempted_work_is_not_refused_as_not_run(self):
        """Guards against "not run" for an attempt that ran before it was preempted."""
        driver = Driver()
        for number in range(CAPACITY.parallel):
            driver.offer(attempt(f"p{number}", deadline=60.0))
        driver.start_all()
        driver.offer(attempt("u", Rank.URGENT))
        start = driver.scheduler.start_next(1.0)
        driver.scheduler.requeue(evolve(start.preempted, delivered=("a",)), 1.0)
        driver.scheduler.shed(59.9)
        (dropped,) = driver.scheduler.take_dropped()
        self.assertThat(dropped.refusal.run, Equals(RunState.UNKNOWN))

    def test_urgent_work_that_would_be_late_is_refused_at_once(self):
        """Guards against a flood in which answers that miss their target delay all others."""
        driver = Driver()
        for number in range(CAPACITY.parallel):
            driver.offer(attempt_with_target(f"u{number}"))
            driver.start_all()
        refusal = driver.offer(attempt_with_target("late"))
        self.assertThat(refusal.code, Equals(ResultCode.TARGET_MISSED))
        self.assertThat(refusal.run, Equals(RunState.NO))
        self.assertIsNone(driver.offer(attempt("no-target", Rank.URGENT)))

    def test_work_in_time_goes_before_late_work(self):
        """Guards against a queue in which one late request delays all others past their target."""
        driver = Driver()
        for number in range(CAPACITY.parallel + 1):
            driver.offer(attempt_with_target(f"s{number}", Rank.STANDARD, target=0.5))
        driver.start_all()
        driver.now = 1.0
        driver.offer(attempt_with_target("fresh", Rank.STANDARD, target=3.0))
        driver.step()
        self.assertThat(driver.started[-1].request.id, Equals("fresh"))

    def test_cost_of_a_decision_does_not_grow_with_the_queue(self):
        """Guards against a scan of the queue at each start and a heap that grows without bound."""
        driver = Driver()
        for number in range(5000):
            driver.offer(attempt(f"r{number}", workspace=f"w{number % 300}"))
        queue = driver.scheduler.queues[Rank.PATIENT]
        with patch.object(RankQueue, "entries", side_effect=AssertionError("scan")):
            driver.start_all()
            for _ in range(1000):
                driver.step()
        self.assertThat(queue.size, Equals(5000 - len(driver.started)))
        self.assertThat(len(queue.tag_heap), LessThan(2 * 300))


class RefusalTest(TestCase):
    """Guards against refusals with a wrong cause, and work queued until its deadline passes."""

    def test_limits_name_source_and_reason(self):
        """Guards against a refusal that doesn't say which limit applied and why."""
        limits = evolve(CFG.limits, requests_in_flight=1, tokens_in_flight=500)
        driver = Driver(cfg=evolve(CFG, limits=limits))
        too_many_tokens = driver.offer(attempt("a", prompt=600))
        self.assertIn("default tokens_in_flight", too_many_tokens.limit)
        self.assertIsNone(driver.offer(attempt("b")))
        self.assertIsNone(driver.offer(attempt("c", workspace="other")))
        refusal = driver.offer(attempt("d"))
        self.assertThat(refusal.code, Equals(ResultCode.OVER_LIMIT))
        self.assertIn("default requests_in_flight", refusal.limit)
        self.assertThat(refusal.reason, Equals(CFG.reason))
        driver.scheduler.finish("b", 1, now=0.0)
        self.assertIsNone(driver.offer(attempt("e")))

    def test_hopeless_work_is_refused_early_with_retry_after(self):
        """Guards against work queued although it can't meet its deadline."""
        driver = Driver()
        for number in range(200):
            driver.offer(attempt(f"r{number}", Rank.STANDARD))
        driver.start_all()
        refusal = driver.offer(attempt("late", Rank.STANDARD, deadline=5.0))
        self.assertThat(refusal.code, Equals(ResultCode.HOPELESS))
        self.assertThat(refusal.retry_after, GreaterThan(5.0))
        newcomer = attempt("other", Rank.STANDARD, workspace="other", deadline=5.0)
        self.assertIsNone(driver.offer(newcomer), "delayed by the queue of another workspace")

    def test_standing_queue_sheds_standard_and_keeps_patient(self):
        """Guards against patient work shed in place of standard work that will miss its target."""
        driver = Driver()
        for number in range(100):
            driver.offer(attempt(f"s{number}", Rank.STANDARD, deadline=16.0))
            driver.offer(attempt(f"p{number}", deadline=200.0))
        driver.scheduler.shed(6.0)
        dropped = driver.scheduler.take_dropped()
        self.assertTrue(dropped)
        for one in dropped:
            self.assertThat(one.attempt.request.rank, Equals(Rank.STANDARD))
            self.assertThat(one.refusal.code, Equals(ResultCode.SHED))

    def test_output_length_is_learned_for_each_workspace(self):
        """Guards against one workspace's short answers that lower the estimates of another's."""
        estimator = CostEstimator()
        work = attempt("a", output=4000).request.work
        for _ in range(50):
            estimator.learn_output("short", "m", 20)
        self.assertThat(estimator.expected_output("short", work), Equals(20.0))
        self.assertThat(estimator.expected_output("other", work), GreaterThan(100.0))
