"""Tests of the figures by rank and of the recent decisions that operators see."""

from testtools import TestCase
from testtools.matchers import Equals

from bench.site import Site
from chivewall.activity import (
    MAX_WINDOW_REQUESTS,
    WINDOW_SECONDS,
    ActivityTask,
    GetDecisions,
    GetRankLatency,
    RankLatency,
    RequestSample,
    RequestWindows,
    summarise_rank,
)
from chivewall.events import Event


class ActivityTest(TestCase):
    """Guards against refusals that count as good service, and against unbounded memory."""

    def test_refused_requests_miss_the_target(self):
        """Guards against figures that get better when requests are refused."""
        samples = [RequestSample(at=0, first_token_seconds=one) for one in (0.1, 0.2, 0.5, None)]
        self.assertThat(
            summarise_rank(samples, 340), Equals(RankLatency(4, within=0.5, p95_ms=500))
        )
        self.assertThat(summarise_rank(samples[3:], 340), Equals(RankLatency(1, 0.0, p95_ms=None)))
        self.assertThat(summarise_rank([], 340), Equals(RankLatency(0, within=None, p95_ms=None)))

    def test_window_is_bounded(self):
        """Guards against samples kept for ever under high load, and old ones in the figures."""
        windows = RequestWindows()
        for index in range(MAX_WINDOW_REQUESTS + 9):
            windows.add("urgent", RequestSample(at=float(index), first_token_seconds=0.1))
        self.assertThat(len(windows.samples_by_rank["urgent"]), Equals(MAX_WINDOW_REQUESTS))
        kept = windows.recent("urgent", now=MAX_WINDOW_REQUESTS + 9.0)
        self.assertThat(len(kept), Equals(int(WINDOW_SECONDS) - 1))

    def test_events_are_kept_by_kind(self):
        """Guards against frequent events that push rare decisions out of the operators' view."""
        site = Site(seed=1)
        activity = ActivityTask(site.add_entry("entry-1", "Mombasa").env)
        activity.start()
        ended = {"rank": "urgent", "outcome": "complete", "first_token_seconds": 0.1}
        activity.observe(Event.REQUEST_ENDED, ended)
        activity.observe(Event.REQUEST_ENDED, {"rank": "urgent", "outcome": "CANCELLED"})
        activity.observe(Event.ROUTE_CHOSEN, {})
        activity.observe(Event.LEASE_LOST, {"to": "entry-2"})
        replies = []
        activity.query(GetRankLatency({"urgent": 340.0})).addCallback(replies.append)
        activity.query(GetDecisions()).addCallback(replies.append)
        self.assertThat(replies[0]["urgent"], Equals(RankLatency(1, within=1.0, p95_ms=100.0)))
        self.assertThat([one.event for one in replies[1]], Equals([Event.LEASE_LOST]))
