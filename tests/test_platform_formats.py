"""Formats of the users' platform: any input gives a value or a typed error."""

import json
from contextlib import suppress

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chivewall.errors import DecodeError, RequestError
from chivewall.gateway.http_dialect import CallerRequest, ForwardedFields, RequestFields
from chivewall.gateway.peer_codec import (
    MAX_DATAGRAM_BYTES,
    PeerMessage,
    SharedWork,
    WorkProgress,
    batches,
    decode,
    encode,
)
from chivewall.gateway.routing_configuration import RouteKind, Stage
from chivewall.platform.endpoint_entries import decode_endpoint
from chivewall.platform.headers import PlatformDialect
from chivewall.platform.routing_configuration import decode_routing_configuration

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=20,
)
ROUTE = {
    "name": "r",
    "host": "Desk.example",
    "pathPrefix": "/a/",
    "kind": "stream",
    "timeoutMs": 6000,
    "sloMs": 800,
    "priority": 0,
    "split": [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}],
    "attempts": 2,
    "sticky": True,
    "resumable": True,
}
MANIFEST = {
    "version": 7,
    "routes": [ROUTE],
    "services": [{"name": "a", "healthPath": "/healthz", "maxConns": 9, "engine": {"slots": 4}}],
    "limits": {"maxHeaderBytes": 100, "maxBodyBytes": 200, "idleTimeoutMs": 300},
}
ENTRY = {
    "service": "a",
    "addr": "10.0.0.9:8080",
    "zone": "north",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "coldLeftMs": 0,
    "stage": "decode",
    "seq": 4,
    "born": 1700000000000,
}


def spoiled(document, data):
    """Return the document with one field missing or of another type."""
    key = data.draw(st.sampled_from(sorted(document)))
    rest = {name: value for name, value in document.items() if name != key}
    return rest if data.draw(st.booleans()) else rest | {key: data.draw(JSON)}


def test_manifest_is_decoded():
    found = decode_routing_configuration(MANIFEST)
    route = found.routes[0]
    assert (found.version, route.host, route.kind) == (7, "desk.example", RouteKind.STREAM)
    assert [one.service for one in route.services] == ["a", "b"]
    assert route.idempotent
    assert found.limits.header_bytes == 100


def test_entry_is_decoded():
    found = decode_endpoint("i-1", ENTRY)
    assert found.address == ("10.0.0.9", 8080)
    assert (found.stage, found.draining) == (Stage.DECODE, False)


@given(JSON)
def test_any_document_is_decoded_or_rejected(document):
    for decoder in (decode_routing_configuration, lambda one: decode_endpoint("i", one)):
        with suppress(DecodeError):
            decoder(document)


@given(st.data())
def test_spoiled_documents_are_decoded_or_rejected(data):
    """Guards an exit at entries of other writers with odd fields."""
    for document, decoder in (
        (MANIFEST, decode_routing_configuration),
        (ENTRY, lambda one: decode_endpoint("i", one)),
    ):
        with suppress(DecodeError):
            decoder(spoiled(document, data))
    with suppress(DecodeError):
        decode_routing_configuration(MANIFEST | {"routes": [spoiled(ROUTE, data)]})


@pytest.mark.parametrize("addr", ["10.0.0.1", "10.0.0.1:0", "10.0.0.1:x", ":80", "10.0.0.1:99999"])
def test_entry_without_an_address_is_rejected(addr):
    with pytest.raises(DecodeError):
        decode_endpoint("i-1", ENTRY | {"addr": addr})


HEADERS = st.lists(
    st.tuples(
        st.sampled_from([b"X-Deadline-Ms", b"X-Token-Count", b"X-Prompt-Prefix", b"Retry-After"]),
        st.binary(max_size=30),
    )
)


@given(HEADERS)
def test_any_headers_are_read_or_rejected(headers):
    dialect = PlatformDialect()
    with suppress(RequestError):
        dialect.decode_request(tuple(headers))
    dialect.decode_response(200, tuple(headers))


def call(*headers):
    return CallerRequest(
        method=b"GET",
        target=b"/a/1?b=2",
        headers=headers,
        body=b"",
        has_body=False,
        received_at=0.0,
        fields=RequestFields(),
    )


def test_headers_of_one_channel_are_not_forwarded():
    """Guards a Connection header that removes what makes the call this call."""
    sent = PlatformDialect().request_headers(
        call(
            (b"Connection", b"close, X-Hop, X-Request-Id"),
            (b"X-Hop", b"1"),
            (b"X-Request-Id", b"r1"),
            (b"Transfer-Encoding", b"chunked"),
            (b"X-Pin-Ms", b"10"),
            (b"X-Model", b"m"),
        ),
        ForwardedFields(time_left_ms=120.7, endpoint="i-1", stage=Stage.PREFILL),
    )
    assert dict(sent) == {
        b"X-Request-Id": b"r1",
        b"X-Model": b"m",
        b"X-Deadline-Ms": b"120",
        b"X-Expect-Instance": b"i-1",
        b"X-Stage": b"prefill",
    }


def test_prompt_is_read_from_the_headers():
    fields = PlatformDialect().decode_request(
        ((b"X-Token-Count", b"1460,80"), (b"X-Prompt-Prefix", b"5c:800,91:410,e4:250"))
    )
    assert (fields.prompt_tokens, fields.max_output_tokens) == (1460, 80)
    assert [one.tokens for one in fields.prompt_parts] == [800, 410, 250]


def test_refusals_of_runners_are_recognised():
    dialect = PlatformDialect()
    assert dialect.decode_response(503, ((b"X-Not-Run", b"1"),)).not_run
    assert dialect.decode_response(421, ()).not_run
    assert not dialect.decode_response(503, ()).not_run


WORK = st.builds(
    SharedWork,
    number=st.integers(0, 10**9),
    rank=st.integers(0, 9),
    endpoint=st.text(max_size=12),
    prefill_seconds=st.floats(0, 10).map(lambda one: round(one, 4)),
    counted_seconds=st.floats(0, 10).map(lambda one: round(one, 2)),
    prefixes=st.lists(st.text(max_size=10), max_size=4).map(tuple),
)


@given(st.lists(WORK, max_size=4).map(tuple), st.lists(st.text(max_size=9), max_size=3).map(tuple))
def test_datagrams_are_read_as_written(work, names):
    resting = tuple((one, 1.5) for one in names)
    message = PeerMessage(gateway_ips=names, work=work, cooldowns=resting)
    assert decode(encode(message)) == message


@given(st.lists(WORK | st.builds(WorkProgress, st.integers(0, 10**9), st.booleans())))
def test_work_is_cut_into_datagrams_in_order(items):
    """Guards datagrams that the way would cut up, and work that is lost or comes twice."""
    messages = list(batches(items))
    assert all(len(encode(one)) <= MAX_DATAGRAM_BYTES for one in messages)
    work = [one for message in messages for one in message.work]
    assert work == [one for one in items if isinstance(one, SharedWork)]
    over = [one for message in messages for one in message.ended]
    assert over == [one.number for one in items if isinstance(one, WorkProgress) and one.ended]


@given(st.binary() | JSON.map(lambda one: json.dumps(one).encode()))
def test_any_datagram_is_read_or_rejected(datagram):
    with suppress(DecodeError):
        decode(datagram)
