"""Counters that a monitoring system scrapes."""

from pathlib import Path
from tempfile import TemporaryDirectory

import httpx
from testtools import TestCase
from testtools.matchers import Contains

from tests.utils.daemons import embedded_site


class MetricsTest(TestCase):
    """Guards against a metrics page that can't be scraped or misses requests."""

    def test_requests_are_counted_by_rank(self):
        """Guards against requests that are not counted under their rank."""
        folder = Path(self.enterContext(TemporaryDirectory()))
        base = self.enterContext(embedded_site(folder))
        httpx.post(f"{base}/services/shift-booking/x", headers={"X-Rank": "urgent"})
        page = httpx.get(f"{base}/metrics")
        self.assertThat(page.headers["Content-Type"], Contains("text/plain"))
        self.assertThat(page.text, Contains("chivewall_requests_total{"))
        self.assertThat(page.text, Contains('rank="urgent"'))
