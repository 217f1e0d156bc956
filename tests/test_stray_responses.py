"""Responses of faulty endpoints that are repeated, cut or an error, before a gateway process."""

from pathlib import Path

import pytest

from chivewall.standins import platform_endpoint as behaviours
from chivewall.standins.platform_endpoint import PlatformEndpoint
from tests.utils.gateways import GatewaySite, manifest, route

EVENTS = b"".join(b"id: %d\ndata: token %d\n\n" % (one, one) for one in range(1, 6))


@pytest.fixture
def site(tmp_path: Path):
    with GatewaySite(tmp_path) as one:
        one.store.put(
            "config",
            "main",
            manifest(
                3,
                route("read", "desk"),
                route("book", "desk", kind="unsafe", attempts=2),
                route("audit", "engines", kind="stream", resumable=True, sticky=True),
                route("brief", "engines", kind="stream", attempts=2, sticky=True),
            ),
        )
        yield one


@pytest.mark.parametrize("with_id", [True, False])
def test_repeated_refusal_is_not_believed_for_the_next_request(site, with_id):
    """Guards against a booking that runs and is reported as not run."""
    desk = site.add(PlatformEndpoint("i-1", "desk"))
    repeat = behaviours.answer_after_stray_refusal("r1" if with_id else None)
    desk.behaviours = [behaviours.refuse, repeat]
    site.start()
    assert site.send("POST", "/book/1", request_id="r1").status_code == 503
    response = site.send("POST", "/book/2", request_id="r2")
    assert desk.run_ids == ["r2"]
    assert (response.status_code, response.content) == (200, b"done by i-1")


def test_repeated_refusal_is_not_believed_for_the_next_attempt(site):
    """Guards against a stream that runs twice: both attempts have the id of the request."""
    site.add(PlatformEndpoint("i-p", "engines", stage="prefill"))
    decoder = site.add(PlatformEndpoint("i-d", "engines", stage="decode", event_count=5))
    decoder.behaviours = [behaviours.refuse, behaviours.answer_after_stray_refusal("r1")]
    site.start()
    headers = {"X-Prompt-Prefix": "a1:14000,b2:900", "X-Token-Count": "14900,5"}
    response = site.send("POST", "/brief/1", request_id="r1", headers=headers)
    assert decoder.run_ids == ["r1"]
    assert response.status_code == 200
    assert response.content == EVENTS
