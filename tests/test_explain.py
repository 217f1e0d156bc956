"""What an operator is told about a recent request."""

from pathlib import Path
from tempfile import TemporaryDirectory

import httpx
from testtools import TestCase
from testtools.matchers import Contains, Equals

from chivewall.events import Event
from chivewall.plugins.builtin.explain import EVENTS_PER_REQUEST, RequestHistory
from tests.utils.daemons import embedded_site


class ExplainTest(TestCase):
    """Guards against unbounded memory and against requests that can't be explained."""

    def test_history_is_bounded(self):
        history = RequestHistory(size=2)
        for place in range(3):
            for _ in range(EVENTS_PER_REQUEST + 1):
                history.observe(Event.RETRY_DECIDED, {"request": f"r{place}"})
        self.assertThat(list(history.requests), Equals(["r1", "r2"]))
        self.assertThat(len(history.requests["r2"]), Equals(EVENTS_PER_REQUEST))

    def test_request_is_explained(self):
        folder = Path(self.enterContext(TemporaryDirectory()))
        base = self.enterContext(embedded_site(folder))
        served = httpx.post(f"{base}/services/shift-booking/x", headers={"X-Rank": "urgent"})
        path = f"{base}/operator/requests/"
        text = "\n".join(httpx.get(path + served.headers["X-Request-Id"]).json()["lines"])
        for part in ("rank urgent", "endpoint mombasa-shift-booking-1", "lowest estimated finish"):
            self.assertThat(text, Contains(part))
        self.assertThat(httpx.get(path + "absent").json()["error"]["code"], Equals(4004))
