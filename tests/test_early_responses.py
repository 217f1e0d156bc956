"""Responses that come before the request is written, and status codes that HTTP doesn't have."""

import httpx
import pytest

from tests.utils import raw_endpoints as raw
from tests.utils.gateways import GatewaySite, manifest, route

LONG_BODY = b"u" * 3_000_000  # more than the buffers of a loopback connection hold
SHORT_BODY = b"u" * 40_000
EVENTS = b"id: 1\ndata: token 1\n\n"
PLAIN_TYPE = "Content-Type: application/json"
STREAM_TYPE = "Content-Type: text/event-stream"


@pytest.fixture
def site(tmp_path):
    with GatewaySite(tmp_path) as one:
        routes = (
            route("read", "desk"),
            route("book", "desk", kind="unsafe"),
            route("audit", "engines", kind="stream", resumable=True),
            route("brief", "engines", kind="stream"),
        )
        one.store.put("config", "main", manifest(3, *routes))
        yield one


def add_endpoints(site, script):
    """Add two endpoints of each service that behave alike."""
    for number in (1, 2):
        site.add(raw.RawEndpoint(f"i-{number}", "desk", script))
        site.add(raw.RawEndpoint(f"i-{number + 2}", "engines", script, stage="decode"))
    site.start()


def receive(site, path, body=b"{}"):
    """Return the status of the response, and whether it ended as complete."""
    try:
        with httpx.stream(
            "POST", site.url(path), headers=site._headers("r1"), timeout=8, content=body
        ) as response:
            try:
                response.read()
            except httpx.HTTPError:
                return response.status_code, False
            return response.status_code, True
    except httpx.HTTPError:
        return None, False


@pytest.mark.parametrize(
    "end",
    [
        raw.reset,
        raw.close_unread,
        raw.half_close_and_reset,
        raw.half_close,
        raw.half_close_midway,
    ],
)
@pytest.mark.parametrize("path", ["/read/1", "/book/1", "/audit/1", "/brief/1"])
def test_early_response_that_is_broken_off_is_not_complete(site, path, end):
    """Guards against a part of a response as a whole one, where the upload was still written."""
    plain = path[1:5] in ("read", "book")
    part, kind = (b'{"booked": ', PLAIN_TYPE) if plain else (EVENTS, STREAM_TYPE)
    add_endpoints(site, raw.answer_early(part, kind, end=end))
    status, complete = receive(site, path, LONG_BODY)
    assert not (status in range(200, 300) and complete)


@pytest.mark.parametrize("path", ["/read/1", "/book/1", "/brief/1"])
def test_early_response_that_is_reset_during_a_short_upload_is_not_complete(site, path):
    """Guards against a part of a response as a whole one, where the kernel holds the upload."""
    part, kind = (EVENTS, STREAM_TYPE) if path[1:5] == "brie" else (b'{"booked": ', PLAIN_TYPE)
    add_endpoints(site, raw.answer_early(part, kind, end=raw.half_close_and_reset))
    status, complete = receive(site, path, SHORT_BODY)
    assert not (status in range(200, 300) and complete)


@pytest.mark.parametrize(
    "status_line",
    [
        *(
            f"HTTP/1.1 {one} Text"
            for one in ("000", "099", "600", "999", "1000", "abc", "20", "2 0", "", "-20", "+20")
        ),
        "HTTP/1.1",
        "HTTP/1.1 \u0662\u0660\u0660 OK".encode().decode("latin-1"),
        "HTTP/1.1 \uff12\uff10\uff10 OK".encode().decode("latin-1"),
    ],
)
@pytest.mark.parametrize("path", ["/read/1", "/book/1"])
def test_response_without_a_valid_status_is_no_response(site, path, status_line):
    """Guards against an endpoint's bytes passed on under a status that HTTP doesn't have."""
    add_endpoints(site, raw.answer_status(status_line))
    assert receive(site, path) == (502, True), site.last_log_lines()
