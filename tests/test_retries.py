"""Decisions about retries and about the run state in a refusal."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, Is, IsInstance, LessThan

from chivewall.decisions.retries import (
    Failure,
    GiveUp,
    Retry,
    RetryBudget,
    RetryCost,
    RunTracker,
    decide,
    transient_wait,
)
from chivewall.results import ResultCode, RunState
from chivewall.work import Call, Rank, Refusal, Request


def make_request(method="POST", key=None, deadline=100.0):
    work = Call(service="booking", method=method, path="/x", body=b"b", idempotent=method == "GET")
    return Request(
        id="r", workspace="w", rank=Rank.PATIENT, deadline=deadline, work=work, idempotency_key=key
    )


def refusal(code, run=RunState.NO, retry_after=None):
    return Refusal(code=code, message=code.name, run=run, retry_after=retry_after)


UNKNOWN = refusal(ResultCode.OUTCOME_UNKNOWN, RunState.UNKNOWN)


class RetryTest(TestCase):
    """Guards against unsafe, lost and too many retries."""

    def test_not_run_is_not_reported_after_a_silent_attempt(self):
        """Guards against "not run" for a booking whose first attempt may still run."""
        ledger = RunTracker()
        ledger.record_sent(1)
        ledger.record_ended(1, RunState.UNKNOWN)
        ledger.record_sent(2)
        ledger.record_ended(2, RunState.NO)
        failure = Failure("e", refusal(ResultCode.CLAIM_UNAVAILABLE))
        decision = decide(make_request(key="k", deadline=0.5), failure, ledger, searches=2, now=1.0)
        self.assertThat(decision, IsInstance(GiveUp))
        self.assertThat(decision.refusal.run, Equals(RunState.UNKNOWN))
        self.assertThat(decision.refusal.code, Equals(ResultCode.OUTCOME_UNKNOWN))

    def test_running_attempt_has_an_unknown_run_state(self):
        """Guards against "not run" at a deadline that passes during an attempt."""
        ledger = RunTracker()
        self.assertThat(ledger.run_state, Equals(RunState.NO))
        ledger.record_sent(1)
        self.assertThat(ledger.run_state, Equals(RunState.UNKNOWN))

    def test_unkeyed_booking_is_not_repeated_after_an_unknown_outcome(self):
        """Guards against a double booking after an attempt whose outcome is unknown."""
        ledger = RunTracker()
        ledger.record_ended(1, RunState.UNKNOWN)
        for code in ResultCode:
            failure = Failure("e", refusal(code))
            self.assertThat(decide(make_request(), failure, ledger, 2, 1.0), IsInstance(GiveUp))

    def test_claim_in_progress_is_retried_without_the_budget(self):
        """Guards against a keyed call given up while another agent runs it."""
        failure = Failure("e", refusal(ResultCode.IN_PROGRESS, RunState.UNKNOWN))
        ledger = RunTracker()
        ledger.record_ended(1, RunState.UNKNOWN)
        for tries in (1, 5, 200):
            decision = decide(make_request(key="k"), failure, ledger, tries, now=1.0)
            self.assertThat(decision, IsInstance(Retry))
            self.assertThat(decision.cost, Equals(RetryCost.FREE))
            self.assertThat(decision.exclude, Is(False))

    def test_overload_tries_another_endpoint_and_then_waits(self):
        """Guards against patient work refused although a later attempt would be served."""
        overloaded = refusal(ResultCode.QUEUE_FULL, retry_after=7.0)
        decision = decide(make_request(), Failure("e", overloaded), RunTracker(), 1, now=1.0)
        self.assertThat(decision.at, Equals(1.0))
        wait = transient_wait(make_request(), overloaded, 1.0, random.Random(1))
        self.assertThat(wait.cost, Equals(RetryCost.FREE))
        self.assertThat(wait.at, GreaterThan(7.99))
        self.assertThat(wait.at, LessThan(1.0 + 7.0 * 1.25 + 0.01))
        self.assertThat(
            transient_wait(make_request(deadline=5.0), overloaded, 1.0, random.Random(1)), Is(None)
        )

    def test_unavailable_claim_is_refused_without_a_wait(self):
        """Guards against a booking in an outage that ends as "unknown" at its deadline."""
        failure = Failure("e", refusal(ResultCode.CLAIM_UNAVAILABLE))
        wait = transient_wait(make_request(key="k"), failure.refusal, 1.0, random.Random(1))
        self.assertThat(wait, Is(None))
        late = decide(
            make_request(key="k", deadline=2.5), failure, RunTracker(), searches=1, now=1.0
        )
        self.assertThat(late, IsInstance(GiveUp))
        self.assertThat(late.refusal.run, Equals(RunState.NO))

    def test_retry_budget_is_bounded(self):
        """Guards against a retry storm."""
        budget = RetryBudget()
        spent = sum(budget.spend(Rank.URGENT) for _ in range(100))
        self.assertThat(spent, Equals(10))
        self.assertThat(budget.spend(Rank.PATIENT), Is(True))


RUN_STATES = st.sampled_from(list(RunState))


class RunStatePropertyTest(TestCase):
    """Guards against sequences of attempts that no single test covers."""

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(
        st.lists(st.tuples(RUN_STATES, st.booleans()), max_size=8),
        st.sampled_from(list(ResultCode)),
    )
    def test_run_state_is_truthful(self, attempts, code):
        """Guards against "not run" whenever any attempt ran, may have run or may still run."""
        ledger = RunTracker()
        surely_not_run = True
        for number, (run, still_running) in enumerate(attempts, start=1):
            ledger.record_sent(number)
            if not still_running:
                ledger.record_ended(number, run)
            surely_not_run = surely_not_run and not still_running and run is RunState.NO
        reported = ledger.with_true_run_state(refusal(code))
        self.assertThat(reported.run is RunState.NO, Equals(surely_not_run))

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(
        st.sampled_from(list(ResultCode)),
        st.sampled_from(list(RunState)),
        st.booleans(),
        st.integers(1, 50),
        st.floats(0, 200),
    )
    def test_retry_is_safe_and_in_time(self, code, run, keyed, tries, now):
        """Guards against a non-idempotent call sent twice, and attempts past the deadline."""
        ledger = RunTracker()
        ledger.record_sent(1)
        ledger.record_ended(1, run)
        request = make_request(key="k" if keyed else None)
        decision = decide(request, Failure("e", refusal(code, run)), ledger, tries, now)
        if isinstance(decision, Retry):
            self.assertThat(keyed or run is RunState.NO, Is(True))
            self.assertThat(decision.at, LessThan(request.deadline))
