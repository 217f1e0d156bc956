"""Entries of the store's list that another writer left: they are rejected, and the others hold."""

import json
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.task import Clock

from chivewall.errors import DecodeError
from chivewall.gateway.fleet_messages import EngineLoads, FindPlacement
from chivewall.gateway.http_dialect import RequestFields
from chivewall.gateway.store_collections import (
    CollectionChanges,
    CollectionItem,
    CollectionSnapshot,
)
from chivewall.platform.endpoint_entries import decode_endpoint
from chivewall.platform.fields import parse_json
from chivewall.standins.platform_store import RawJson, encode_document
from tests.test_platform_formats import corrupted
from tests.utils.fleets import make_fleet

ENDPOINT = {
    "service": "desk",
    "addr": "10.0.0.9:8080",
    "zone": "north",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "coldLeftMs": 0,
    "seq": 4,
    "born": 1700000000000,
}
# Values that ``json`` refuses or misreads, although each is a value by the grammar or was stored.
UNREADABLE = {
    "nested lists": b"[" * 100_000 + b"]" * 100_000,
    "nested objects": b'{"a":[' * 50_000 + b"1" + b"]}" * 50_000,
    "brackets in strings": b'["' + b"[{" * 9 + b'\\"]", ' + b"[" * 100_000 + b"]" * 100_000 + b"]",
    "long integer": b"1" * 5000,
    "invalid UTF-8": b'"\xff\xc0"',
    "control characters": b'"a\nb\x00"',
}


def stored(name, spec, revision=3):
    return {"metadata": {"name": name, "rev": revision}, "spec": spec}


@pytest.mark.parametrize("value", UNREADABLE.values(), ids=UNREADABLE)
def test_unreadable_value_does_not_hide_the_others(value):
    """Guards against a whole list that can't be read because of one entry."""
    page = [stored("i-1", ENDPOINT), stored("odd", RawJson(value)), stored("i-2", ENDPOINT)]
    found = parse_json(encode_document({"items": page}))["items"]
    assert (found[0], found[2]) == (page[0], page[2])
    assert found[1]["metadata"] == page[1]["metadata"]


def test_nesting_of_a_megabyte_is_read_within_a_second():
    """Guards against a gateway that stands still while it reads one nested entry."""
    body = encode_document([RawJson(b"[1," * 200_000 + b"1" + b"]" * 200_000)])
    began = time.process_time()
    parse_json(body)
    assert time.process_time() - began < 1


def test_deep_nesting_ends_at_the_same_place_in_lists_and_objects():
    """Guards against values beside a nested one that are lost with it."""
    deep = b'{"a":' * 40 + b"[" * 9000 + b"]" * 9000 + b"}" * 40
    found = parse_json(b"[1, " + deep + b", [2, " + deep + b"], 3]")
    assert (found[0], found[2][0], found[3]) == (1, 2, 3)
    assert json.dumps(found).count("null") == 2


ODD_TEXTS = ["", "a\nb", "a\r\nX-Stage: prefill", "\ud800", "\x00", "a" * 5000, 7, None, ["a"]]
ODD_NUMBERS = [-1, 1e18, 10**30, 1e999, -1e999, float("nan"), "4", None, True, [4]]
ODD_FIELDS = [
    *[(name, odd) for name in ("service", "zone", "version") for odd in ODD_TEXTS],
    *[("state", odd) for odd in [*ODD_TEXTS, "leaving"]],
    *[("stage", odd) for odd in ["", "train", "\ud800", 7, ["decode"]]],
    *[(name, odd) for name in ("slots", "born", "coldLeftMs") for odd in ODD_NUMBERS],
    *[("slots", 1.5), ("born", 0.5), ("seq", "4"), ("seq", 1e999), ("seq", None)],
]
ODD_ADDRESSES = [
    "desk.example:80",
    "localhost:80",
    "[::1]:80",
    "10.0.0.300:80",
    "10.0.0:80",
    "0.0.0.0:80",
    "224.0.0.1:80",
    "10.0.0.9:0",
    "10.0.0.9:65536",
    "10.0.0.9:-1",
    "10.0.0.9:99999999999999999999",
    "10.0.0.9:8\u00b2",
    "10.0.0.9 :80",
    "\ud800:80",
    None,
    8080,
]


@pytest.mark.parametrize(
    ("name", "odd"), [*ODD_FIELDS, *[("addr", one) for one in ODD_ADDRESSES]], ids=repr
)
def test_entry_with_an_odd_field_names_no_endpoint(name, odd):
    """Guards against requests to an endpoint that another writer invented."""
    with pytest.raises(DecodeError):
        decode_endpoint("i-1", ENDPOINT | {name: odd})


@pytest.mark.parametrize("name", sorted(ENDPOINT.keys() - {"born"}))
def test_entry_without_a_field_names_no_endpoint(name):
    """Guards against requests to an endpoint that another writer described in part."""
    with pytest.raises(DecodeError):
        decode_endpoint("i-1", {key: one for key, one in ENDPOINT.items() if key != name})


@pytest.mark.parametrize(
    "name", ["", "i 1", "i-\u00e9", "i-1\r\nX-Stage: prefill", "\ud800", "i" * 300]
)
def test_entry_with_an_odd_id_names_no_endpoint(name):
    """Guards against an id that the header of a request can't hold."""
    with pytest.raises(DecodeError):
        decode_endpoint(name, ENDPOINT)


NAMES = st.text(min_size=1) | st.sampled_from(["i-2", "i-3", "i" * 300, "\ud800"])


@given(st.data(), NAMES, st.integers(0, 3))
def test_any_field_of_an_entry_leaves_the_others_in_use(data, name, place):
    """Guards against other endpoints that get no requests beside any odd entry."""
    fleet = make_fleet(Clock())
    entry = corrupted(ENDPOINT | {"stage": "decode"}, data)
    entries = [(f"i-{one}", ENDPOINT | {"addr": f"10.0.0.{one}:80"}) for one in (1, 2, 3)]
    entries.insert(place, (name, entry))
    items = []
    for one, spec in entries:
        try:
            items.append(CollectionItem(one, decode_endpoint(one, spec), 5))
        except DecodeError:
            items.append(CollectionItem(one, None, 5))
    fleet.send(CollectionSnapshot("servers", tuple(items), 5))
    fleet.send(CollectionChanges("servers", tuple(items), 6))
    assert "i-1" in fleet.states
    for excluded in ({name}, {name, "i-1"}):
        found = []
        fleet.query(
            FindPlacement("desk", RequestFields(), frozenset(excluded), allowed=None)
        ).addCallbacks(found.append, found.append)
        assert found[0].endpoint.service == "desk"
        assert found[0].endpoint.id not in excluded
    loads = []
    fleet.query(EngineLoads()).addCallbacks(loads.append, loads.append)
    assert isinstance(loads[0], list)
