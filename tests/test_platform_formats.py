"""Formats of the users' platform: any input gives a value or a typed error."""

import json
from contextlib import suppress

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chivewall.decisions.speeds import Line, ServiceSpeed
from chivewall.errors import DecodeError, RequestError
from chivewall.gateway.http_dialect import CallerRequest, ForwardedFields, RequestFields
from chivewall.gateway.peer_codec import (
    MAX_DATAGRAM_BYTES,
    MAX_SECONDS,
    PeerMessage,
    SharedWork,
    WorkProgress,
    batches,
    decode,
    encode,
)
from chivewall.gateway.permit_codec import MAX_RANK
from chivewall.gateway.routing_configuration import (
    EndpointScale,
    EngineMemory,
    RouteKind,
    Stage,
)
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
ENDPOINT = {
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


def corrupted(document, data):
    """Return the document with one field missing or of another type."""
    key = data.draw(st.sampled_from(sorted(document)))
    rest = {name: value for name, value in document.items() if name != key}
    return rest if data.draw(st.booleans()) else rest | {key: data.draw(JSON)}


def test_manifest_is_decoded():
    """Guards against fields of a manifest that are lost or misread."""
    found = decode_routing_configuration(MANIFEST)
    route = found.routes[0]
    assert (found.version, route.host, route.kind) == (7, "desk.example", RouteKind.STREAM)
    assert [one.service for one in route.services] == ["a", "b"]
    assert route.idempotent
    assert found.limits.header_bytes == 100


def test_ranges_and_memory_of_services_are_decoded():
    """Guards against a service whose number of endpoints is never ordered, or beyond its range.

    A part that can't be read must not hide those of other services, or the routes.
    """
    services = [
        {"name": "a", "scale": {"min": 2, "max": 9, "bootS": 4}, "engine": {"kvCapTokens": 900}},
        {"name": "b", "scale": {"max": 3}},
        {"name": "c", "scale": {"min": 2}, "engine": {"kvCapTokens": "many"}},
        {"name": "d", "scale": "none", "engine": None},
        7,
        {"name": "e"},
    ]
    document = MANIFEST | {"services": services}
    found = decode_routing_configuration(document, bounds_engine_memory=True)
    assert found.scales == (
        EndpointScale("a", 2, 9, start_seconds=4.0),
        EndpointScale("b", 1, 3, start_seconds=10.0),
    )
    assert found.engine_memory == (EngineMemory("a", 900),)
    assert decode_routing_configuration(document).engine_memory == ()
    assert decode_routing_configuration(MANIFEST | {"services": 7}).scales == ()


def test_endpoint_is_decoded():
    """Guards against fields of an endpoint document that are lost or misread."""
    found = decode_endpoint("i-1", ENDPOINT)
    assert found.address == ("10.0.0.9", 8080)
    assert (found.stage, found.draining) == (Stage.DECODE, False)
    assert (found.started_ms, found.updates) == (1_700_000_000_000, 4)


@given(JSON)
def test_any_document_is_decoded_or_rejected(document):
    """Guards against other exceptions than DecodeError at any JSON document."""
    for decoder in (decode_routing_configuration, lambda one: decode_endpoint("i", one)):
        with suppress(DecodeError):
            decoder(document)


@given(st.data())
def test_corrupted_documents_are_decoded_or_rejected(data):
    """Guards against a process that exits at another writer's document with odd fields."""
    for document, decoder in (
        (MANIFEST, decode_routing_configuration),
        (ENDPOINT, lambda one: decode_endpoint("i", one)),
    ):
        with suppress(DecodeError):
            decoder(corrupted(document, data))
    with suppress(DecodeError):
        decode_routing_configuration(MANIFEST | {"routes": [corrupted(ROUTE, data)]})


@pytest.mark.parametrize("addr", ["10.0.0.1", "10.0.0.1:0", "10.0.0.1:x", ":80", "10.0.0.1:99999"])
def test_endpoint_without_an_address_is_rejected(addr):
    """Guards against a listed endpoint that can't be reached because its address is malformed."""
    with pytest.raises(DecodeError):
        decode_endpoint("i-1", ENDPOINT | {"addr": addr})


HEADERS = st.lists(
    st.tuples(
        st.sampled_from([b"X-Deadline-Ms", b"X-Token-Count", b"X-Prompt-Prefix", b"Retry-After"]),
        st.binary(max_size=30),
    )
)


# ``str.isdigit`` accepts superscripts, and ``int`` refuses more than 4,300 digits.
MALFORMED_NUMBERS = (b"\xb9", b"1\xb2", b"1" * 5000)


@pytest.mark.parametrize("number", MALFORMED_NUMBERS)
def test_malformed_deadline_is_rejected(number):
    """Guards against a header value that ends a caller's connection without a 400."""
    with pytest.raises(RequestError):
        PlatformDialect().decode_request(((b"X-Deadline-Ms", number),))


@pytest.mark.parametrize("number", MALFORMED_NUMBERS)
def test_malformed_token_numbers_are_ignored(number):
    """Guards against a header value that ends a caller's connection without a response."""
    fields = PlatformDialect().decode_request(
        ((b"X-Token-Count", number + b",3"), (b"X-Prompt-Prefix", b"5c:800,91:" + number))
    )
    assert (fields.prompt_tokens, fields.max_output_tokens) == (0, 0)
    assert [one.tokens for one in fields.prompt_parts] == [800]


@given(HEADERS)
def test_any_headers_are_decoded_or_rejected(headers):
    """Guards against other exceptions than RequestError at odd header values."""
    dialect = PlatformDialect()
    with suppress(RequestError):
        dialect.decode_request(tuple(headers))
    dialect.decode_response(200, tuple(headers))


def make_request(*headers):
    return CallerRequest(
        method=b"GET",
        target=b"/a/1?b=2",
        headers=headers,
        body=b"",
        has_body=False,
        received_at=0.0,
        fields=RequestFields(),
    )


def test_hop_by_hop_headers_are_not_forwarded():
    """Guards against a Connection header that removes headers the endpoint needs."""
    sent = PlatformDialect().request_headers(
        make_request(
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


def test_prompt_is_decoded_from_the_headers():
    """Guards against token counts and prompt parts that are misread."""
    fields = PlatformDialect().decode_request(
        ((b"X-Token-Count", b"1460,80"), (b"X-Prompt-Prefix", b"5c:800,91:410,e4:250"))
    )
    assert (fields.prompt_tokens, fields.max_output_tokens) == (1460, 80)
    assert [one.tokens for one in fields.prompt_parts] == [800, 410, 250]


def test_refusals_of_endpoints_are_recognised():
    """Guards against a refused request that is taken for a failed one, or the reverse."""
    dialect = PlatformDialect()
    assert dialect.decode_response(503, ((b"X-Not-Run", b"1"),)).not_run
    assert dialect.decode_response(421, ()).not_run
    assert not dialect.decode_response(503, ()).not_run


@pytest.mark.parametrize(("rank", "expected"), [(0, b"0"), (9, b"9"), (12, b"9")])
def test_priority_is_one_that_engines_know(rank, expected):
    """Guards against a value of which the platform doesn't say what engines make of it."""
    fields = RequestFields(request_id="r1")
    request = CallerRequest(b"POST", b"/1", (), b"", False, 0.0, fields)
    sent = ForwardedFields(time_left_ms=100.0, endpoint="e", priority=rank)
    headers = dict(PlatformDialect().request_headers(request, sent))
    assert headers[b"X-Request-Priority"] == expected


WORK = st.builds(
    SharedWork,
    number=st.integers(0, 10**9),
    rank=st.integers(0, 9),
    endpoint=st.text(max_size=12),
    reference_seconds=st.floats(0, 10).map(lambda one: round(one, 4)),
    counted_seconds=st.floats(0, 10).map(lambda one: round(one, 2)),
    prefixes=st.lists(st.text(max_size=10), max_size=4).map(tuple),
)


ADDRESSES = st.lists(st.ip_addresses(v=4).map(str), max_size=3)


@given(
    st.lists(WORK, max_size=4).map(tuple),
    st.lists(st.text(max_size=9), max_size=3).map(tuple),
    ADDRESSES,
)
def test_encoded_datagram_is_decoded_unchanged(work, names, addresses):
    """Guards against shared work that changes between encoding and decoding."""
    cooldowns = tuple((one, 1.5) for one in names)
    known = tuple((one, 2.5) for one in addresses)
    message = PeerMessage(known=known, work=work, cooldowns=cooldowns)
    assert decode(encode(message)) == message


@given(st.lists(WORK | st.builds(WorkProgress, st.integers(0, 10**9), st.booleans())))
def test_work_is_split_into_datagrams_in_order(items):
    """Guards against datagrams that the network would fragment, and work lost or repeated."""
    messages = list(batches(items))
    assert all(len(encode(one)) <= MAX_DATAGRAM_BYTES for one in messages)
    work = [one for message in messages for one in message.work]
    assert work == [one for one in items if isinstance(one, SharedWork)]
    ended = [one for message in messages for one in message.ended]
    assert ended == [one.number for one in items if isinstance(one, WorkProgress) and one.ended]


def test_learned_speeds_are_carried_by_a_datagram():
    """Guards against speeds of another gateway that are misread, or take much of a datagram."""
    speed = ServiceSpeed(Line(0.011, 0.125), Line(0.042, 0.0012), Line(0.05, 0.0012), 0.0225)
    data = encode(PeerMessage(speeds=(("engines", speed),)))
    assert decode(data).speeds == (("engines", speed),)
    assert len(data) < 100


@given(st.binary() | JSON.map(lambda one: json.dumps(one).encode()))
def test_any_datagram_is_decoded_or_rejected(datagram):
    """Guards against other exceptions than DecodeError at any datagram."""
    with suppress(DecodeError):
        decode(datagram)


@pytest.mark.parametrize(("rank", "expected"), [(-5, 0), (12, 12), (10**30, MAX_RANK)])
def test_rank_of_a_datagram_is_bounded(rank, expected):
    """Guards against work that goes before all other for ever, and a record for each number."""
    work = SharedWork(1, "e", 0.1, 1.0, rank, ())
    (found,) = decode(encode(PeerMessage(work=(work,)))).work
    assert found.rank == expected


@pytest.mark.parametrize("address", ["gateway-2", "", "10.0.0.300", "::1", "\ud800", "<broadcast>"])
def test_datagram_that_names_no_address_is_rejected(address):
    """Guards against hellos that end for good, as the socket refuses to send to such a name."""
    with pytest.raises(DecodeError):
        decode(encode(PeerMessage(known=((address, 0.0),))))


@pytest.mark.parametrize("seconds", [1e18, float("inf")])
def test_cooldown_of_a_datagram_is_bounded(seconds):
    """Guards against an engine that gets no work for ever after one odd datagram."""
    ((_, found),) = decode(encode(PeerMessage(cooldowns=(("e", seconds),)))).cooldowns
    assert found <= MAX_SECONDS
