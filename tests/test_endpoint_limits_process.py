"""Endpoints that name a rate limit in their responses, before a gateway process."""

from pathlib import Path

import pytest

from chivewall.standins.platform_endpoint import PlatformEndpoint
from tests.utils.gateways import GatewaySite, manifest, route

WINDOW_SECONDS = 4.0
LIMIT = 2.0  # requests a second
ALLOWED = 1.5 * LIMIT * WINDOW_SECONDS + 5  # requests in a window


@pytest.fixture
def site(tmp_path: Path):
    with GatewaySite(tmp_path) as one:
        one.store.put("config", "main", manifest(3, route("read", "desk")))
        yield one


def most_in_a_window(arrivals):
    """Return the largest number of arrivals in any window."""
    return max(
        sum(start <= one <= start + WINDOW_SECONDS for one in arrivals) for start in arrivals
    )


def test_endpoint_gets_no_more_requests_than_the_limit_that_it_names(site):
    """Guards against a limit that is read and not heeded, while another endpoint is free."""
    limited = site.add(PlatformEndpoint("i-1", "desk", limit=str(LIMIT)))
    free = site.add(PlatformEndpoint("i-2", "desk"))
    site.start()
    statuses = [site.send("GET", "/read/1", request_id=f"r{one}").status_code for one in range(80)]
    assert statuses == [200] * 80
    assert most_in_a_window(limited.arrivals) <= ALLOWED
    assert len(free.arrivals) >= 80 - ALLOWED
