"""Tests of the explanations of recent requests that operators get."""

from pathlib import Path
from tempfile import TemporaryDirectory

import httpx
from attrs import evolve
from testtools import TestCase
from testtools.matchers import Contains, Equals, MatchesRegex, Not

from bench.site import Site
from chivewall.configuration import LimitName, LimitOverride, default_configuration
from chivewall.events import Event
from chivewall.explanation import explain_request
from chivewall.plugins.builtin.explain import MAX_EVENTS_PER_REQUEST, RequestEvent, RequestHistory
from chivewall.work import Rank
from tests.test_virtual_site import completion
from tests.utils.daemons import embedded_site

LIMIT_REASON = "vote 12: short answers for the night shift"


class ExplainTest(TestCase):
    """Guards against unbounded memory and against requests that can't be explained."""

    def explain(self, request, configuration, kill=None):
        """Run one request on a virtual site and return the lines of its explanation."""
        site = Site(seed=1, configuration=configuration)
        history = RequestHistory(max_requests=9)

        def observe(event, fields):
            if "request" in fields:
                message = RequestEvent(
                    event, fields, logged_at=site.clock.now, unix_time=site.clock.now
                )
                history.add(message, configuration)

        for index in (1, 2):
            site.add_engine(f"engine-{index}", "Mombasa", targets=("m",))
        site.add_entry("entry-1", "Mombasa")
        site.settle()
        site.log.subscribe(observe)
        site.serve("entry-1", request)
        site.clock.run_until(site.clock.now + 1)
        if kill is not None:
            request_events = history.requests[request.id].events
            kill(
                site,
                next(one.fields["endpoint"] for one in request_events if "rejected" in one.fields),
            )
        site.clock.run_until(60)
        return explain_request(history.requests[request.id])

    def test_history_is_bounded(self):
        """Guards against a history that grows with the number of requests or of their events."""
        history = RequestHistory(max_requests=2)
        for index in range(3):
            for _ in range(MAX_EVENTS_PER_REQUEST + 1):
                fields = {"request": f"r{index}", "reason": "x", "excluded": []}
                history.add(
                    RequestEvent(Event.RETRY_DECIDED, fields, logged_at=0, unix_time=0), None
                )
        self.assertThat(list(history.requests), Equals(["r1", "r2"]))
        self.assertThat(len(history.requests["r2"].events), Equals(MAX_EVENTS_PER_REQUEST))
        lines = explain_request(history.requests["r2"])
        self.assertThat(lines[-2:], Equals(["1 more events were not kept", "still in progress"]))
        self.assertTrue(len(lines) < 16, lines)

    def test_refusal_names_the_exception_and_its_reason(self):
        """Guards against a refusal that members can't contest, since nobody knows the limit."""
        cfg = default_configuration()
        override = LimitOverride(
            id="night",
            limit=LimitName.OUTPUT_TOKENS,
            value=5,
            reason=LIMIT_REASON,
            author="asha",
            expires_at=1e6,
            workspace="w",
        )
        for exceptions, source in (
            ((override,), "exception night"),
            ((), "default output_tokens of version 1"),
        ):
            document = evolve(cfg, reason=LIMIT_REASON, exceptions=exceptions)
            tokens = 8 if exceptions else 9000
            lines = self.explain(completion("r1", deadline=30, tokens=tokens), document)
            self.assertThat(lines[0], Equals("standard request of workspace w for m"))
            self.assertThat(lines[1], Contains("guaranteed 25%"))
            self.assertThat(lines[-2], Contains(f"limit: {source}, its reason: {LIMIT_REASON!r}"))
            self.assertThat(lines[-2], Contains("not run: OVER_LIMIT"))
            self.assertThat(lines[-1], Contains(source))

    def test_explanation_names_retries_and_candidates(self):
        """Guards against an explanation without the failed attempt and the other candidates."""
        request = completion("r2", deadline=60, tokens=200)
        kill = Site.kill_agent
        lines = self.explain(request, default_configuration(), kill=kill)
        text = "\n".join(lines)
        self.assertThat(text, MatchesRegex(r"(?s).*sent to engine-\d, estimated finish in "))
        self.assertThat(text, MatchesRegex(r"(?s).*not chosen: engine-\d \d"))
        self.assertThat(text, MatchesRegex(r"(?s).*the work may have run: OUTCOME_UNKNOWN"))
        self.assertThat(text, MatchesRegex(r"(?s).*retried: .*; excluded: engine-\d"))
        self.assertThat(
            lines[-1], MatchesRegex(r"answered in full .*first token after.*2 attempts")
        )

    def test_request_is_explained(self):
        """Guards against requests missing in the explanations or in the figures by rank."""
        folder = Path(self.enterContext(TemporaryDirectory()))
        base = self.enterContext(embedded_site(folder))
        served = httpx.post(f"{base}/services/shift-booking/x", headers={"X-Rank": "urgent"})
        path = f"{base}/operator/requests/"
        answer = httpx.get(path + served.headers["X-Request-Id"]).json()
        text = "\n".join(answer["lines"])
        for part in ("urgent request", "mombasa-shift-booking-1", "lowest estimated finish"):
            self.assertThat(text, Contains(part))
        self.assertThat(text, Not(Contains("{")))
        ended = answer["events"][-1]
        self.assertThat(ended["event"], Equals("REQUEST_ENDED"))
        self.assertTrue(0 < ended["fields"]["first_token_seconds"] <= ended["fields"]["seconds"])
        self.assertThat(httpx.get(path + "absent").json()["error"]["code"], Equals(4004))
        ranks = httpx.get(f"{base}/operator/status").json()["ranks"]
        counts = {one["rank"]: one["requests"] for one in ranks}
        self.assertThat(counts, Equals({one.value: int(one is Rank.URGENT) for one in Rank}))
