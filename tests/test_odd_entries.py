"""Entries of the store's list that another writer left: they are rejected, and the others hold."""

import json
import time

import pytest

from chivewall.platform.fields import parse_json
from chivewall.standins.platform_store import RawJson, encode_document

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
