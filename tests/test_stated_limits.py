"""What endpoints say about the requests a second that they take, without a network."""

import pytest
from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from chivewall.decisions.stated_limits import (
    MAX_RATE,
    MAX_STATEMENTS,
    MIN_RATE,
    LimitSource,
    LimitStatement,
    StatedLimits,
)
from chivewall.platform.headers import PlatformDialect

RATES = st.one_of(st.none(), st.sampled_from([0.0, 0.1, 1.0, 2.5, 40.0, 1e300]))


def stated(rate, *, sent_at=0.0, received_at=None, endpoint="e1", started_ms=1):
    return LimitStatement(
        endpoint=endpoint,
        started_ms=started_ms,
        rate=rate,
        sent_at=sent_at,
        received_at=sent_at if received_at is None else received_at,
        source=LimitSource.RESPONSE,
    )


def after(*statements):
    limits = StatedLimits()
    for one in statements:
        limits.record(one)
    return limits.rate("e1", 1)


@pytest.mark.parametrize(
    ("values", "rate"),
    [
        (["2.5"], 2.5),
        (["3"], 3.0),
        ([" .5 "], 0.5),
        (["0"], 0.0),
        (["4", "2.5"], 2.5),
        (["4, 2.5"], 2.5),
        (["-1", "7"], 7.0),
        (["9" * 20], float("9" * 20)),
    ],
)
def test_limit_of_a_response_is_the_lowest_readable_one(values, rate):
    headers = tuple((b"Server-Limit", one.encode()) for one in values)
    assert PlatformDialect().decode_response(200, headers).limit.rate == rate


@pytest.mark.parametrize(
    "value", ["", "-1", "1e3", "inf", "nan", "two", "1.2.3", "9" * 5000, "\xb2", "0x10", "."]
)
def test_limit_that_cannot_be_read_is_neither_a_limit_nor_none(value):
    """Guards against a malformed header that lifts a limit, or that ends a task."""
    found = PlatformDialect().decode_response(200, ((b"server-limit", value.encode("latin-1")),))
    assert found.limit.rate is None
    assert len(found.limit.text) <= 64


def test_response_without_the_header_names_no_limit():
    assert PlatformDialect().decode_response(200, ()).limit is None


def test_late_response_to_an_earlier_request_does_not_end_a_limit():
    """Guards against responses that overtake each other and lift a limit that still holds."""
    named = stated(2.0, sent_at=1.0, received_at=1.5)
    assert after(named, stated(None, sent_at=1.4, received_at=2.0)) == 2.0
    assert after(named, stated(9.0, sent_at=1.4, received_at=2.0)) == 2.0
    assert after(named, stated(1.0, sent_at=1.4, received_at=2.0)) == 1.0
    assert after(named, stated(None, sent_at=1.6, received_at=2.0)) is None
    assert after(named, stated(9.0, sent_at=1.6, received_at=2.0)) == 9.0


def news(rate, *, sent_at, received_at=None):
    return evolve(stated(rate, sent_at=sent_at, received_at=received_at), source=LimitSource.PEER)


def test_old_news_do_not_bring_an_ended_limit_back():
    """Guards against gateways that tell each other of a limit and of its end in turns."""
    ended = [stated(2.0, sent_at=1.0), stated(None, sent_at=5.0)]
    assert after(*ended, news(2.0, sent_at=4.0)) is None
    assert after(*ended, news(2.0, sent_at=5.4)) is None  # it may have been under way for long
    assert after(*ended, news(2.0, sent_at=6.0)) == 2.0
    assert after(*ended, stated(2.0, sent_at=5.1)) == 2.0
    assert after(*ended, news(2.0, sent_at=4.0, received_at=70.0)) == 2.0


def test_news_of_a_lower_limit_count_at_once():
    assert after(stated(2.0, sent_at=1.0), news(1.0, sent_at=1.1)) == 1.0
    assert after(stated(2.0, sent_at=1.0), news(1.0, sent_at=0.9)) == 2.0
    assert after(stated(2.0, sent_at=1.0), news(3.0, sent_at=1.2)) == 2.0
    assert after(stated(2.0, sent_at=1.0), news(None, sent_at=1.6)) is None


def test_limits_out_of_range_are_bounded():
    """Guards against a limit of 0 that no request would ever find ended."""
    assert after(stated(0.0)) == MIN_RATE
    assert after(stated(MAX_RATE + 1)) is None
    assert after(stated(3.0), stated(MAX_RATE * 10, sent_at=1.0)) is None


def test_limit_concerns_one_process_of_an_endpoint():
    """Guards against a limit that outlives the process that named it."""
    limits = StatedLimits()
    limits.record(stated(2.0, started_ms=1))
    assert limits.rate("e1", 2) is None
    limits.record(stated(5.0, started_ms=2))
    assert not limits.record(stated(1.0, sent_at=3.0, started_ms=1))
    assert limits.rate("e1", 2) == 5.0


def test_number_of_kept_limits_is_bounded():
    limits = StatedLimits()
    for one in range(MAX_STATEMENTS + 5):
        limits.record(stated(1.0, endpoint=f"e{one}"))
    assert len(limits) == MAX_STATEMENTS


@given(st.lists(st.tuples(RATES, st.floats(0, 100), st.floats(0, 5)), max_size=30))
def test_what_is_reported_as_a_change_is_one(drawn):
    limits = StatedLimits()
    for rate, sent_at, delay in drawn:
        before = limits.rate("e1", 1)
        statement = stated(rate, sent_at=sent_at, received_at=sent_at + delay)
        assert limits.record(statement) == (limits.rate("e1", 1) != before)


@given(st.lists(st.tuples(RATES, st.floats(0, 100)), min_size=1, max_size=30))
def test_latest_request_decides_whatever_the_order_of_responses(drawn):
    """The limit after responses without delay is never above that of the latest request."""
    statements = [stated(rate, sent_at=sent_at) for rate, sent_at in drawn]
    latest = max(statements, key=lambda one: one.sent_at)
    found = after(*statements, evolve(latest, sent_at=200.0, received_at=200.0))
    assert found == after(latest)
