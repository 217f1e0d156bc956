"""Decisions about retries and the run state that a refusal claims."""

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


def call(method="POST", key=None, deadline=100.0):
    work = Call(service="booking", method=method, path="/x", body=b"b", idempotent=method == "GET")
    return Request(
        id="r", workspace="w", rank=Rank.PATIENT, deadline=deadline, work=work, idempotency_key=key
    )


def refusal(code, run=RunState.NO, retry_after=None):
    return Refusal(code=code, message=code.name, run=run, retry_after=retry_after)


UNKNOWN = refusal(ResultCode.OUTCOME_UNKNOWN, RunState.UNKNOWN)


class RetryTest(TestCase):
    """Guards against unsafe, lost and too many retries."""

    def test_not_run_is_not_claimed_after_a_silent_attempt(self):
        """Guards against "not run" for a booking whose first attempt may run."""
        ledger = RunTracker()
        ledger.record_sent(1)
        ledger.record_ended(1, RunState.UNKNOWN)
        ledger.record_sent(2)
        ledger.record_ended(2, RunState.NO)
        failure = Failure("e", refusal(ResultCode.CLAIM_UNAVAILABLE))
        decision = decide(call(key="k", deadline=0.5), failure, ledger, searches=2, now=1.0)
        self.assertThat(decision, IsInstance(GiveUp))
        self.assertThat(decision.refusal.run, Equals(RunState.UNKNOWN))
        self.assertThat(decision.refusal.code, Equals(ResultCode.OUTCOME_UNKNOWN))

    def test_attempt_that_is_out_may_run(self):
        """Guards against "not run" at a deadline that passes while an attempt is out."""
        ledger = RunTracker()
        self.assertThat(ledger.run_state, Equals(RunState.NO))
        ledger.record_sent(1)
        self.assertThat(ledger.run_state, Equals(RunState.UNKNOWN))

    def test_unkeyed_booking_is_not_repeated_after_an_unknown_outcome(self):
        """Guards against a double booking."""
        ledger = RunTracker()
        ledger.record_ended(1, RunState.UNKNOWN)
        for code in ResultCode:
            failure = Failure("e", refusal(code))
            self.assertThat(decide(call(), failure, ledger, 2, 1.0), IsInstance(GiveUp))

    def test_claim_in_progress_is_asked_again_without_the_budget(self):
        """Guards against a keyed call given up while another agent runs it."""
        failure = Failure("e", refusal(ResultCode.IN_PROGRESS, RunState.UNKNOWN))
        ledger = RunTracker()
        ledger.record_ended(1, RunState.UNKNOWN)
        for tries in (1, 5, 200):
            decision = decide(call(key="k"), failure, ledger, tries, now=1.0)
            self.assertThat(decision, IsInstance(Retry))
            self.assertThat(decision.cost, Equals(RetryCost.FREE))
            self.assertThat(decision.exclude, Is(False))

    def test_overload_tries_another_endpoint_and_then_waits(self):
        """Guards against patient work refused although a later try would be served."""
        asked = refusal(ResultCode.QUEUE_FULL, retry_after=7.0)
        decision = decide(call(), Failure("e", asked), RunTracker(), 1, now=1.0)
        self.assertThat(decision.at, Equals(1.0))
        wait = transient_wait(call(), asked, 1.0, random.Random(1))
        self.assertThat(wait.cost, Equals(RetryCost.FREE))
        self.assertThat(wait.at, GreaterThan(7.99))
        self.assertThat(wait.at, LessThan(1.0 + 7.0 * 1.25 + 0.01))
        self.assertThat(transient_wait(call(deadline=5.0), asked, 1.0, random.Random(1)), Is(None))

    def test_missing_claim_is_refused_without_a_wait(self):
        """Guards against a booking in an outage that ends as "unknown" at its deadline."""
        failure = Failure("e", refusal(ResultCode.CLAIM_UNAVAILABLE))
        wait = transient_wait(call(key="k"), failure.refusal, 1.0, random.Random(1))
        self.assertThat(wait, Is(None))
        late = decide(call(key="k", deadline=2.5), failure, RunTracker(), searches=1, now=1.0)
        self.assertThat(late, IsInstance(GiveUp))
        self.assertThat(late.refusal.run, Equals(RunState.NO))

    def test_budget_ends(self):
        """Guards against a retry storm."""
        budget = RetryBudget()
        spent = sum(budget.spend(Rank.URGENT) for _ in range(100))
        self.assertThat(spent, Equals(10))
        self.assertThat(budget.spend(Rank.PATIENT), Is(True))


ENDS = st.sampled_from(list(RunState))


class RunStatePropertyTest(TestCase):
    """Guards against sequences that no single test covers."""

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.lists(st.tuples(ENDS, st.booleans()), max_size=8), st.sampled_from(list(ResultCode)))
    def test_run_state_is_truthful(self, attempts, code):
        """Guards against "not run" whenever any attempt ran, may have run or may still run."""
        ledger = RunTracker()
        certain = True
        for number, (run, still_out) in enumerate(attempts, start=1):
            ledger.record_sent(number)
            if not still_out:
                ledger.record_ended(number, run)
            certain = certain and not still_out and run is RunState.NO
        told = ledger.with_true_run_state(refusal(code))
        self.assertThat(told.run is RunState.NO, Equals(certain))

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(
        st.sampled_from(list(ResultCode)),
        st.sampled_from(list(RunState)),
        st.booleans(),
        st.integers(1, 50),
        st.floats(0, 200),
    )
    def test_retry_is_safe_and_in_time(self, code, run, keyed, tries, now):
        """Guards against a non-idempotent action sent twice, and tries past the deadline."""
        ledger = RunTracker()
        ledger.record_sent(1)
        ledger.record_ended(1, run)
        request = call(key="k" if keyed else None)
        decision = decide(request, Failure("e", refusal(code, run)), ledger, tries, now)
        if isinstance(decision, Retry):
            self.assertThat(keyed or run is RunState.NO, Is(True))
            self.assertThat(decision.at, LessThan(request.deadline))
