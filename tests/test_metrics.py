"""Counters that a monitoring system scrapes."""

import random
from io import StringIO
from pathlib import Path
from tempfile import TemporaryDirectory

import httpx
import pytest
from testtools import TestCase
from testtools.matchers import Contains

from chivewall.environment import Environment
from chivewall.events import EventLog
from chivewall.gateway.metrics import GatewayMetricsPlugin, GatewayMetricsSettings
from chivewall.settings import CoreSettings, Role, Settings
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


def test_stop_after_a_failed_start_hides_no_error():
    """Guards against an address in use that shows as an AttributeError of the stop."""
    core = CoreSettings(role=Role.GATEWAY, instance="g", data_centre="north", plugins=("x",))
    env = Environment(
        settings=Settings(core=core), clock=None, random=random.Random(1), log=EventLog(StringIO())
    )
    plugin = GatewayMetricsPlugin(env, GatewayMetricsSettings("127.0.0.1:1"))
    for step in (plugin.setup(), plugin.stop()):
        with pytest.raises(StopIteration):
            step.send(None)
