"""Tests of the benchmark: its policies give whole answers, its checks detect broken endpoints."""

from attrs import evolve
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

import bench.site
from bench.experiment import run
from bench.fakes import EngineEndpoint
from bench.measures import POLICIES_BY_RANK, measure, upper_bound
from bench.policies import CHIVEWALL, NAIVE, POLICIES, Policy, Replacement
from bench.workload import PWANI, SITES, Scenario, generate_arrivals
from chivewall.interfaces import RunFailed, RunOutput
from chivewall.work import Tokens

SMALL = Scenario("small", seconds=12.0, load=0.4)


def run_small(policy):
    work = generate_arrivals(PWANI, SMALL, seed=3)
    return run(PWANI, SMALL, policy, work, seed=3)


class TruncatingEndpoint(EngineEndpoint):
    """Engine that drops the last tokens of every answer but still reports its end."""

    def run(self, attempt, sink):
        super().run(attempt, TruncatingSink(sink))


class TruncatingSink:
    """Forwards one token of the first token part, and all parts without tokens."""

    def __init__(self, sink):
        self.sink = sink

    def put(self, message):
        body = getattr(message, "body", None)
        if isinstance(body, Tokens):
            message = RunOutput(
                message.request_id, message.attempt, Tokens(body.index, body.texts[:1])
            )
        if not isinstance(body, Tokens) or body.index == 0:
            self.sink.put(message)


class FalseRefusalEndpoint(EngineEndpoint):
    """Engine that accepts every attempt and reports that it was never reached."""

    def run(self, attempt, sink):
        self.received_ids.add(attempt.request.id)
        sink.put(
            RunFailed(attempt.request.id, attempt.number, may_have_arrived=False, reason="lie")
        )


def policy_with_engine(kind):
    return Policy(f"with {kind.__name__}", (Replacement(bench.site, "EngineEndpoint", kind),))


class PolicyComparisonTest(TestCase):
    """Guards against a policy that wins because it truncates answers or refuses work falsely."""

    def check_answers(self, policy):
        result = run_small(policy)
        cell = measure(result)
        for outcome in result.outcomes:
            self.assertThat(outcome.is_complete(), Equals(True), outcome.request.id)
        self.assertThat(cell.wrong_answers, Equals(0))
        self.assertThat(cell.false_refusals, Equals(0))
        self.assertThat(cell.calls_twice, Equals(0))
        return [(one.request.id, one.request.work) for one in result.outcomes], result

    def test_both_policies_answer_the_same_work_whole(self):
        """Guards against a comparison of policies that did not serve the same work."""
        ours, _ = self.check_answers(CHIVEWALL)
        theirs, _ = self.check_answers(NAIVE)
        self.assertThat(ours, Equals(theirs))

    def test_same_seed_gives_the_same_measures(self):
        """Guards against figures that depend on something other than the seed."""
        one, other = (measure(run_small(CHIVEWALL)) for _ in range(2))
        self.assertThat(one, Equals(other))

    def test_replaced_decisions_are_restored(self):
        """Guards against a policy whose replaced functions leak into the next run."""
        before = [
            getattr(one.owner, one.name) for policy in POLICIES for one in policy.replacements
        ]
        run_small(NAIVE)
        after = [getattr(one.owner, one.name) for policy in POLICIES for one in policy.replacements]
        self.assertThat(after, Equals(before))


class CheckerTest(TestCase):
    """Guards against checks that pass whatever the endpoints do."""

    def test_truncated_answers_are_caught(self):
        cell = measure(run_small(policy_with_engine(TruncatingEndpoint)))
        self.assertThat(cell.wrong_answers, GreaterThan(0))

    def test_false_refusals_are_caught(self):
        cell = measure(run_small(policy_with_engine(FalseRefusalEndpoint)))
        self.assertThat(cell.false_refusals, GreaterThan(0))

    def test_call_that_ran_twice_is_caught(self):
        result = run_small(CHIVEWALL)
        result.call_runs[next(iter(result.call_runs))] += 1
        self.assertThat(measure(result).calls_twice, Equals(1))


class UpperBoundTest(TestCase):
    """Guards against an upper bound that a policy can exceed, or that an overload never reaches."""

    def test_bound_is_not_below_what_was_reached(self):
        cell = measure(run_small(CHIVEWALL))
        self.assertThat(cell.worth, LessThan(cell.worth_bound + 1e-6))

    def test_bound_is_below_the_work_of_an_overload(self):
        for site in SITES:
            heavy = evolve(SMALL, load=12.0, seconds=40.0)
            work = generate_arrivals(site, heavy, seed=1)
            sent = worth_of_arrivals(work)
            self.assertThat(upper_bound(site, heavy, work), LessThan(sent))


def worth_of_arrivals(work):
    return sum(POLICIES_BY_RANK[one.request.rank].worth for one in work)
