"""Tests of the state machine that tracks the attempts of one request."""

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals, Is, LessThan

from chivewall.decisions.attempts import PART_TIMEOUT_SECONDS, Phase, RequestProgress
from chivewall.results import ResultCode, RunState
from chivewall.work import Refusal

TRANSITIONS = {
    "search": lambda one, _: one.start_search(),
    "send": lambda one, _: one.start_attempt(0.0),
    "fail": lambda one, refusal: one.fail_attempt("e", refusal),
    "wait": lambda one, _: one.wait(),
    "finish": lambda one, _: one.finish(),
}
REFUSALS = st.builds(
    Refusal,
    code=st.sampled_from([ResultCode.QUEUE_FULL, ResultCode.IN_PROGRESS]),
    message=st.just("x"),
    run=st.sampled_from(list(RunState)),
)


class RequestProgressTest(TestCase):
    """Guards against attempts that overlap and requests that end twice."""

    def test_silence_counts_only_while_an_attempt_is_out(self):
        """Guards against a healthy link closed as silent while a request waits for Retry-After."""
        progress = RequestProgress()
        progress.start_search()
        self.assertThat(progress.is_silent(PART_TIMEOUT_SECONDS), Is(False))
        progress.start_attempt(1.0)
        self.assertThat(progress.is_silent(1.0 + PART_TIMEOUT_SECONDS - 0.1), Is(False))
        self.assertThat(progress.is_silent(1.0 + PART_TIMEOUT_SECONDS), Is(True))

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.lists(st.tuples(st.sampled_from(sorted(TRANSITIONS)), REFUSALS), max_size=30))
    def test_ends_once_and_has_one_attempt_out(self, steps):
        """Guards against a second final part and a second attempt in parallel to the first."""
        progress, ended_count, attempts_out = RequestProgress(), 0, 0
        for name, refusal in steps:
            before = progress.phase
            try:
                TRANSITIONS[name](progress, refusal)
            except ValueError:
                self.assertThat(progress.phase, Equals(before))
                continue
            ended_count += name == "finish"
            attempts_out += (name == "send") - (name == "fail")
            self.assertThat(attempts_out, LessThan(2))
            self.assertThat(ended_count, LessThan(2))
            self.assertThat(progress.ended, Equals(ended_count == 1))
            if progress.phase is Phase.ATTEMPTING:
                self.assertThat(progress.run_tracker.run_state, Equals(RunState.UNKNOWN))
