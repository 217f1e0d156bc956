"""Learned speeds of engines and services."""

import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chivewall.decisions.speeds import (
    FORGET_SECONDS,
    MAX_SAMPLES,
    FactorEstimator,
    Line,
    LineEstimator,
    ServiceSpeeds,
    SpeedPriors,
)

TRAFFIC_SECONDS = 1.5  # time in which a wrong prior must be corrected
REQUESTS_PER_SECOND = 12  # of one gateway


def measured_speeds(line, rng, *, noise=0.1, lost_share=0.0):
    """Return the speeds after the prefills of ``TRAFFIC_SECONDS`` at an engine with this line."""
    speeds = ServiceSpeeds()
    count = int(TRAFFIC_SECONDS * REQUESTS_PER_SECOND)
    for number in range(count):
        work = rng.choice([0.02, 0.06, 0.15, 0.3])
        seconds = line.seconds(work) * rng.uniform(1 - noise, 1 + noise)
        if rng.random() < lost_share:
            seconds += rng.uniform(1.0, 5.0)
        speeds.add_prefill(work, seconds, number / REQUESTS_PER_SECOND)
    return speeds


@given(st.floats(-2.3, 2.3), st.floats(-2.3, 2.3), st.integers(0, 2**32))
def test_speeds_converge_over_a_range_of_one_hundred(log_scale, log_response, seed):
    """Guards against estimates that stay near the prior when engines are 10 times faster."""
    line = Line(0.1 * math.exp(log_response), math.exp(log_scale))
    found = measured_speeds(line, random.Random(seed)).current.prefill
    for work in (0.06, 0.15):
        assert found.seconds(work) == pytest.approx(line.seconds(work), rel=0.25)


@pytest.mark.parametrize("faster", [8.0, 1 / 8])
def test_wrong_prior_is_corrected_within_a_second_of_traffic(faster):
    """Guards against requests refused because engines are taken to be 8 times slower."""
    line = Line(0.1 / faster, 1 / faster)
    found = measured_speeds(line, random.Random(1)).current
    assert found.prefill_scale == pytest.approx(1 / faster, rel=0.2)


@given(st.integers(0, 2**32))
def test_lost_answers_are_not_taken_for_slowness(seed):
    """Guards against an estimate that is doubled by one answer in eight that comes late."""
    line = Line(0.1, 1.0)
    found = measured_speeds(line, random.Random(seed), lost_share=0.12).current
    assert found.prefill.seconds(0.15) == pytest.approx(line.seconds(0.15), rel=0.4)


@given(
    st.lists(
        st.tuples(st.floats(0, 1e6), st.floats(allow_nan=True, allow_infinity=True)), max_size=60
    )
)
def test_estimates_stay_positive_and_bounded(samples):
    """Guards against negative or infinite estimates, and memory that grows with the samples."""
    estimator = LineEstimator(Line(0.1, 1.0))
    for at, (load, seconds) in enumerate(samples):
        estimator.add(load, seconds, float(at))
        line = estimator.line
        assert line.fixed >= 0
        assert line.slope >= 0
        assert math.isfinite(line.seconds(1.0))
        assert line.seconds(1.0) > 0
    assert estimator.sample_count <= MAX_SAMPLES


def test_one_absurd_sample_moves_nothing_much():
    """Guards against an engine that gets no work for seconds after one wrong measurement."""
    speeds = measured_speeds(Line(0.1, 1.0), random.Random(2))
    before = speeds.current.prefill.seconds(0.15)
    speeds.add_prefill(0.15, 1e5, TRAFFIC_SECONDS)
    assert speeds.current.prefill.seconds(0.15) == pytest.approx(before, rel=0.1)
    factor = FactorEstimator()
    factor.add(1e5, lambda _: 0.1, 0.0)
    assert factor.factor(0.0, speeds.current) == 1.0


def test_change_of_speed_is_followed():
    """Guards against an estimate that keeps the speed of a time long past."""
    estimator = LineEstimator(Line(0.1, 1.0))
    for step in range(40):
        estimator.add(0.2, 0.3, step / 10)
    for step in range(40):
        estimator.add(0.2, 1.2, 10.0 + step / 10)
    assert estimator.line.seconds(0.2) == pytest.approx(1.2, rel=0.1)


def test_slow_endpoint_is_told_from_its_service_and_forgotten():
    """Guards against a slow engine that gets its full share, or is avoided after it recovered."""
    slow, service = FactorEstimator(), ServiceSpeeds().current
    for step in range(4):
        slow.add(0.9, lambda _: 0.3, step / 10)
    assert slow.factor(0.4, service) == pytest.approx(3.0)
    assert slow.factor(1.0 + FORGET_SECONDS, service) == 1.0


def test_endpoint_is_compared_with_what_is_known_of_its_service_now():
    """Guards against an endpoint that is expected to take 60 times as long as it does.

    Its calls were compared with speeds of the service that were wrong by this factor, and the
    factor stayed when the service's speed was learned.
    """
    speeds, endpoint = ServiceSpeeds(), FactorEstimator()
    for step in range(8):
        speeds.add_call(0.0007, step / 100)
    for step in range(24):
        now = 1.0 + step / 10
        endpoint.add(0.045, lambda speed: speed.call_seconds, now)
        speeds.add_call(0.045, now)
        expected = speeds.current.call_seconds * endpoint.factor(now, speeds.current)
        assert expected < 0.046


def test_gateway_that_starts_late_adopts_what_others_learned():
    """Guards against each new gateway that starts from a wrong prior."""
    learned = measured_speeds(Line(0.011, 0.125), random.Random(3))
    late = ServiceSpeeds()
    late.adopt(learned.current)
    assert late.current.prefill_scale == pytest.approx(0.125, rel=0.2)
    learned.adopt(ServiceSpeeds().current)
    assert learned.current.prefill_scale == pytest.approx(0.125, rel=0.2)


def test_busy_engine_shows_its_speed_by_its_throughput():
    """Guards against a queue's wait that is taken for slowness."""
    speeds = ServiceSpeeds()
    for step in range(10):
        speeds.add_throughput(count=20, work=20 * 0.15, seconds=20 * 0.02, now=step / 3)
    assert speeds.current.prefill_scale * 0.15 == pytest.approx(0.02, rel=0.3)


def test_prefill_time_grows_faster_than_the_prompt():
    """Guards against estimates that are short by half for prompts of 40,000 tokens."""
    priors = SpeedPriors()
    assert priors.prefill_seconds(40_000, 0) > 5 * priors.prefill_seconds(10_000, 0)
