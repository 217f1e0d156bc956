"""Responses of faulty endpoints that are repeated, cut or an error, before a gateway process."""

from pathlib import Path

import httpx
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


def add_engines(site, *behaviours_in_order):
    """Add engines of which the first ones to be used behave as given, in that order."""
    shared = list(behaviours_in_order)
    return [
        site.add(
            PlatformEndpoint(
                name, "engines", stage="decode", event_count=5, behaviours=shared, down_seconds=30
            )
        )
        for name in ("i-1", "i-2", "i-3")
    ]


def read_stream(site, path):
    """Return status, bytes and whether the response ended as complete."""
    try:
        with site.stream("POST", path) as response:
            body = b""
            try:
                for chunk in response.iter_raw():
                    body += chunk
            except httpx.HTTPError:
                return response.status_code, body, False
            return response.status_code, body, True
    except httpx.HTTPError:
        return None, b"", False


ERRORS = [
    behaviours.answer_with_text(500, b"engine failed"),
    behaviours.answer_with_text(400, b"bad request"),
    behaviours.answer_with_text(200, b"engine failed"),
    behaviours.answer_with_text(200, b"engine failed\n\n"),
    behaviours.stream_text(b"event: error\ndata: engine failed\n\n"),
    behaviours.stream_text(b"HTTP/1.1 500 Error\r\nX-Answer-Stamp: a\r\n\r\nengine failed"),
]


@pytest.mark.parametrize("error", ERRORS)
def test_error_of_the_next_engine_is_not_part_of_a_stream(site, error):
    """Guards against an error's text inside a stream, or a cut stream that ends as complete."""
    add_engines(site, behaviours.break_stream(2), error)
    site.start()
    status, body, complete = read_stream(site, "/audit/1")
    assert status == 200
    assert EVENTS.startswith(body)
    assert body.count(b"id: ") >= 2
    assert not complete or body == EVENTS


@pytest.mark.parametrize("lines", range(5))
@pytest.mark.parametrize("path", ["/read/1", "/book/1", "/audit/1", "/brief/1"])
def test_cut_head_is_no_response(site, path, lines):
    """Guards against a success with an empty body from an endpoint that stops inside its head."""
    service = "desk" if path[1:5] in ("read", "book") else "engines"
    for name in ("i-1", "i-2"):
        stage = "decode" if service == "engines" else None
        site.add(
            PlatformEndpoint(
                name, service, stage=stage, behaviours=[behaviours.cut_head(lines)] * 9
            )
        )
    site.start()
    status, _, complete = read_stream(site, path)
    assert status in (502, 503)
    assert complete


def test_stream_may_end_with_its_connection(site):
    """Guards against a whole stream that is cut or sent twice for want of a length."""
    engines = add_engines(site, behaviours.stream_until_close(5))
    site.start()
    assert read_stream(site, "/audit/1") == (200, EVENTS, True)
    assert sum(len(one.run_ids) for one in engines) == 1


@pytest.mark.parametrize(
    "broken",
    [
        behaviours.stream_until_close(2, b"id: 3\ndata: tok"),
        behaviours.stream_until_close(0),
        behaviours.stream_until_close(0, crash=True),
        behaviours.stream_until_close(2, crash=True),
    ],
)
def test_stream_that_ends_early_with_its_connection_is_resumed(site, broken):
    """Guards against a broken stream without a length that ends as complete."""
    add_engines(site, broken)
    site.start()
    assert read_stream(site, "/audit/1") == (200, EVENTS, True)


@pytest.mark.parametrize("rest", [b"id: 3\ndata: tok", b"data: tok"])
def test_stream_that_ends_inside_an_event_is_not_complete(site, rest):
    """Guards against a stream that may not be resumed and ends as complete inside an event."""
    add_engines(site, behaviours.stream_until_close(2, rest))
    site.start()
    status, body, complete = read_stream(site, "/brief/1")
    assert (status, complete) == (200, False)
    assert EVENTS.startswith(body)
