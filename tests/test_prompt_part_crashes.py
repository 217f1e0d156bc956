"""Requests with a prompt part that crashes every engine which begins to answer it."""

from pathlib import Path

import pytest

from chivewall.standins.platform_endpoint import PlatformEndpoint
from tests.utils.gateways import GatewaySite, manifest, route

DEADLY_PART = "5c1e"
MAX_CRASHES = 3  # the second crash is the evidence; a third one would be a trial
EVENTS = 5


@pytest.fixture
def site(tmp_path: Path):
    with GatewaySite(tmp_path) as one:
        audit = route("audit", "engines", kind="stream", resumable=True, sticky=True)
        one.store.put("config", "main", manifest(3, audit))
        yield one


def send(site, number, *shared_parts):
    """Send a request whose prompt ends with a part of its own."""
    parts = ",".join(f"{one}:400" for one in (*shared_parts, f"{number:04x}"))
    headers = {"X-Prompt-Prefix": parts, "X-Token-Count": "900,5"}
    return site.send(
        "POST", f"/audit/{number}", request_id=f"r{number}", content=b"{}", headers=headers
    )


def test_deadly_part_crashes_no_engine_after_the_evidence(site):
    """Guards against engines that crash one after the other on one part of a prompt."""
    engines = [
        site.add(
            PlatformEndpoint(
                f"i-{one}",
                "engines",
                stage="decode",
                event_count=EVENTS,
                deadly_parts=frozenset({DEADLY_PART}),
            )
        )
        for one in range(8)
    ]
    site.start()
    statuses = [send(site, one, "a1", DEADLY_PART).status_code for one in range(8)]
    assert sum(one.crash_count for one in engines) <= MAX_CRASHES
    assert statuses[-1] == 503
    sound = [send(site, 100 + one, "a1", "b2").status_code for one in range(4)]
    assert sound == [200] * 4
