"""Decisions of the gateway: routes, repeat budget, event streams, retries and peers."""

import random

import pytest
from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from chivewall.decisions.event_stream import MAX_EVENT_BYTES, EventStream
from chivewall.decisions.forwarding import (
    AttemptHistory,
    AttemptOutcome,
    FailedAttempt,
    NextStep,
    decide,
)
from chivewall.decisions.peers import PEER_TIMEOUT_SECONDS, PeerTable
from chivewall.decisions.repeat_budget import RepeatBudget, RepeatBudgetPolicy
from chivewall.decisions.route_table import RouteTable, choose_service
from chivewall.decisions.shutdown import schedule_shutdown
from chivewall.errors import EventTooLargeError
from chivewall.gateway.routing_configuration import (
    IngressLimits,
    Route,
    RouteKind,
    RoutingConfiguration,
    WeightedService,
)


def make_route(**fields):
    known = {
        "name": "r",
        "host": "a.example",
        "path_prefix": "/",
        "kind": RouteKind.SAFE,
        "services": (WeightedService("desk", 1),),
        "attempts": 2,
        "timeout_ms": 1000,
        "objective_ms": 200,
        "priority": 1,
    }
    return Route(**(known | fields))


class TestRoutes:
    """Routes are found by host and path prefix."""

    table = RouteTable(
        RoutingConfiguration(
            version=1,
            routes=tuple(
                make_route(name=prefix, path_prefix=prefix, host=host)
                for host, prefix in (
                    ("a.example", "/"),
                    ("a.example", "/book/"),
                    ("a.example", "/book/new/"),
                    ("b.example", "/only/"),
                )
            ),
            limits=IngressLimits(),
        )
    )

    @pytest.mark.parametrize(
        ("host", "path", "expected"),
        [
            ("a.example", "/x", "/"),
            ("A.Example:8080", "/book/7", "/book/"),
            ("a.example", "/book/new/7", "/book/new/"),
            ("a.example", "/book", "/"),
            ("b.example", "/only/1", "/only/"),
        ],
    )
    def test_longest_prefix_of_the_host_wins(self, host, path, expected):
        """Guards against a request that goes to the service of a shorter prefix."""
        assert self.table.match(host, path).name == expected

    @pytest.mark.parametrize(
        ("host", "path"), [("b.example", "/other/"), ("c.example", "/"), ("", "/")]
    )
    def test_unknown_host_or_path_has_no_route(self, host, path):
        """Guards against a request served by a route of another host or path."""
        assert self.table.match(host, path) is None

    def test_split_follows_the_weights(self):
        """Guards against a split that gives a service more or less than its weight."""
        route = make_route(services=(WeightedService("a", 90), WeightedService("b", 10)))
        rng = random.Random(3)
        drawn = [choose_service(route, rng) for _ in range(1000)]
        assert 850 < drawn.count("a") < 950

    @given(st.text(), st.text())
    def test_any_host_and_path_is_matched_without_error(self, host, path):
        """Guards against an exception at an odd host or path."""
        found = self.table.match(host, path)
        assert found is None or path.startswith(found.path_prefix)


class TestRepeatBudget:
    """The budget of repeats in a sliding window."""

    def test_repeats_stay_within_the_share_of_the_window(self):
        """Guards against a retry storm: the bound holds for every window, also a sliding one."""
        budget = RepeatBudget(RepeatBudgetPolicy(ratio=0.2, window_seconds=10, burst=2))
        rng = random.Random(5)
        requests, repeats = [], []
        now = 0.0
        for _ in range(2000):
            now += rng.expovariate(20)
            budget.count_request(now)
            requests.append(now)
            if rng.random() < 0.6 and budget.spend(now):
                repeats.append(now)
        for start in range(int(now) - 10):
            request_count = sum(start - 10 <= one < start + 10 for one in requests)
            repeat_count = sum(start <= one < start + 10 for one in repeats)
            assert repeat_count <= 0.2 * request_count + 2

    def test_unused_repeats_end_with_their_window(self):
        """Guards against repeats that are paid for by requests of an earlier window."""
        budget = RepeatBudget(RepeatBudgetPolicy(ratio=0.2, window_seconds=10, burst=0))
        for _ in range(100):
            budget.count_request(0.0)
        assert not budget.spend(11.0)


def encode_events(first, last):
    return b"".join(b"id: %d\ndata: x%d\n\n" % (one, one) for one in range(first, last + 1))


class TestEventStream:
    """An event stream that several attempts deliver."""

    @given(st.integers(1, 30), st.lists(st.integers(1, 40), max_size=30))
    def test_events_survive_any_chunking(self, count, cuts):
        """Guards against events lost or changed where a read ends inside an event."""
        remaining, stream, forwarded = encode_events(1, count), EventStream(), b""
        for size in cuts:
            forwarded += stream.feed(remaining[:size])
            remaining = remaining[size:]
        forwarded += stream.feed(remaining)
        assert forwarded == encode_events(1, count)
        assert stream.finish() == b""

    @given(st.data())
    def test_resumed_stream_has_each_event_once(self, data):
        """Guards against events that are missing, repeated or joined from two attempts."""
        count = data.draw(st.integers(1, 20))
        stream, forwarded = EventStream(), b""
        for _ in range(data.draw(st.integers(0, 4))):
            after = int(stream.last_id or 0)
            attempt_events = encode_events(max(1, after - data.draw(st.integers(0, 3))), count)
            forwarded += stream.feed(
                attempt_events[: data.draw(st.integers(0, len(attempt_events)))]
            )
            stream.begin_run()
        forwarded += stream.feed(encode_events(int(stream.last_id or 0) + 1, count))
        assert forwarded == encode_events(1, count)

    def test_events_without_an_id_are_passed_on(self):
        """Guards against events and comments that are dropped because they have no id."""
        assert EventStream().feed(b"data: a\r\n\r\n: note\n\n") == b"data: a\r\n\r\n: note\n\n"

    @pytest.mark.parametrize("last", ["\xb2", "1" * 5000, "a"])
    def test_ids_that_are_no_numbers_are_compared_as_text(self, last):
        """Guards against an exception at an event id that ``int`` refuses."""
        event = f"id: {last}\ndata: x\n\n".encode("latin-1")
        assert EventStream(last_id="1").feed(event) == event
        assert EventStream(last_id=last).feed(event) == b""

    def test_events_before_an_endless_one_are_kept(self):
        """Guards against events that are skipped when the stream is resumed elsewhere."""
        stream = EventStream()
        endless = b"x" * (MAX_EVENT_BYTES + 1)
        assert stream.feed(encode_events(1, 2) + endless) == encode_events(1, 2)
        with pytest.raises(EventTooLargeError):
            stream.feed(b"x")

    def test_stream_begins_after_the_callers_last_event(self):
        """Guards against events that a caller gets again after it has resumed."""
        stream = EventStream(last_id="3")
        assert stream.feed(encode_events(1, 5)) == encode_events(4, 5)


def situation(outcome, **fields):
    known = {"route": make_route(), "outcome": outcome, "now": 0.0, "response_deadline": 1.0}
    return FailedAttempt(**(known | fields))


class TestForwarding:
    """The next step after a failed attempt."""

    UNSAFE = make_route(kind=RouteKind.UNSAFE)
    STREAM = make_route(kind=RouteKind.STREAM)
    RESUMABLE = make_route(kind=RouteKind.STREAM, resumable=True)

    @pytest.mark.parametrize("route", [UNSAFE, STREAM])
    @pytest.mark.parametrize("outcome", [AttemptOutcome.BROKEN, AttemptOutcome.FAILED])
    def test_request_that_may_have_run_is_not_repeated(self, route, outcome):
        """Guards against an unsafe request or a stream that runs twice after a broken attempt."""
        ledger = AttemptHistory()
        ledger.record_failure(outcome)
        assert decide(situation(outcome, route=route), ledger) in (NextStep.FAIL, NextStep.FORWARD)

    @pytest.mark.parametrize("route", [UNSAFE, STREAM, RESUMABLE, make_route()])
    @pytest.mark.parametrize("outcome", [AttemptOutcome.NOT_SENT, AttemptOutcome.NOT_RUN])
    def test_request_that_has_not_run_is_retried(self, route, outcome):
        """Guards against a failure that reaches the caller although a retry is safe."""
        ledger = AttemptHistory()
        ledger.record_failure(outcome)
        assert decide(situation(outcome, route=route), ledger) is NextStep.RETRY

    def test_refusal_is_reported_only_if_no_attempt_may_have_run(self):
        """Guards against "not run" reported after a broken attempt and a refused one."""
        ledger = AttemptHistory()
        ledger.record_failure(AttemptOutcome.BROKEN)
        ledger.record_failure(AttemptOutcome.NOT_RUN)
        assert decide(situation(AttemptOutcome.NO_ENDPOINT), ledger) is NextStep.FAIL

    def test_started_response_is_cut_or_resumed(self):
        """Guards against a second response on a connection where the first one has begun."""
        ledger = AttemptHistory()
        ledger.record_failure(AttemptOutcome.BROKEN)
        started = situation(AttemptOutcome.BROKEN, response_started=True)
        assert decide(evolve(started, route=self.RESUMABLE), ledger) is NextStep.RETRY
        assert decide(evolve(started, route=self.STREAM), ledger) is NextStep.CLOSE_CONNECTION
        assert decide(evolve(started, route=make_route()), ledger) is NextStep.CLOSE_CONNECTION

    @given(st.lists(st.sampled_from(list(AttemptOutcome)), min_size=1, max_size=8), st.booleans())
    def test_no_failures_lead_to_a_second_run_or_an_untrue_refusal(self, outcomes, started):
        """Guards against an untrue refusal or a second unsafe run over any sequence of failures."""
        for route in (self.UNSAFE, self.STREAM, self.RESUMABLE, make_route()):
            ledger = AttemptHistory()
            may_have_run = False
            for outcome in outcomes:
                ledger.record_failure(outcome)
                may_have_run = may_have_run or outcome in (
                    AttemptOutcome.FAILED,
                    AttemptOutcome.BROKEN,
                )
                at = situation(outcome, route=route, response_started=started)
                step = decide(at, ledger)
                assert not (step is NextStep.REFUSE and may_have_run)
                assert not (step is NextStep.RETRY and not route.idempotent and may_have_run)
                assert not (started and step in (NextStep.REFUSE, NextStep.FORWARD, NextStep.FAIL))
                if step is not NextStep.RETRY:
                    break

    def test_no_attempt_begins_without_time_to_serve_it(self):
        """Guards against an attempt that begins too late to end before the deadline."""
        late = situation(AttemptOutcome.NOT_RUN, now=0.99)
        assert decide(late, AttemptHistory()) is NextStep.REFUSE


class TestPeers:
    """Gateways that share information about their work."""

    def test_seeds_get_hellos_and_live_peers_get_work(self):
        """Guards against work shared with gateways that don't run, and unknown peers."""
        rng = random.Random(1)
        table = PeerTable(own_address="10.0.0.1", seeds=frozenset({"10.0.0.1", "10.0.0.2"}))
        assert table.hello_targets(rng, 0.0) == ["10.0.0.2"]
        assert table.sharing_targets(0.0) == []
        table.record_datagram("10.0.0.3", (("10.0.0.4", 1.0), ("10.0.0.1", 0.0)), 0.0)
        assert table.sharing_targets(0.0) == ["10.0.0.3", "10.0.0.4"]
        assert table.hello_targets(rng, 0.0) == ["10.0.0.2", "10.0.0.3", "10.0.0.4"]

    def test_news_of_a_gateway_grows_old_on_its_way(self):
        """Guards against a stopped gateway that stays live since others keep naming it."""
        rng = random.Random(1)
        first = PeerTable(own_address="10.0.0.1", seeds=frozenset())
        second = PeerTable(own_address="10.0.0.2", seeds=frozenset())
        first.record_datagram("10.0.0.9", (), 0.0)
        for now in range(1, 20):
            second.record_datagram("10.0.0.1", first.known_ages(rng, now), now)
            first.record_datagram("10.0.0.2", second.known_ages(rng, now), now)
        assert second.sharing_targets(20.0) == ["10.0.0.1"]

    def test_silent_gateway_expires(self):
        """Guards against orders that no gateway gives because a stopped one still comes first."""
        table = PeerTable(own_address="10.0.0.2", seeds=frozenset())
        table.record_datagram("10.0.0.1", (), 0.0)
        assert not table.has_lowest_address(1.0)
        assert table.has_lowest_address(PEER_TIMEOUT_SECONDS + 1)


def test_schedule_of_a_short_grace_takes_nothing_after_its_end():
    """Guards against requests that are taken after the time at which the last ones end."""
    schedule = schedule_shutdown(100.0, grace_seconds=8 / 7, balancer_seconds=2.6)
    assert schedule.takes(received_at=100.9, deadline=120.0)
    assert not schedule.takes(received_at=101.0, deadline=101.5)


@pytest.mark.parametrize("grace", [2.0, 5.0, 8.0, 30.0])
def test_work_in_progress_gets_most_of_any_grace(grace):
    """Guards against streams that a fixed margin cuts early in a short grace period."""
    schedule = schedule_shutdown(100.0, grace_seconds=grace, balancer_seconds=2.6)
    assert schedule.end_by >= 100.0 + grace * 5 / 6
    assert schedule.end_by < schedule.close_by < 100.0 + grace
