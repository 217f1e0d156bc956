"""Encodes the counts that gateways tell each other: JSON arrays, one network packet each."""

import json
from collections.abc import Iterator

from attrs import evolve

from chivewall.decisions.usage import GatewayCounts
from chivewall.errors import DecodeError

VERSION = 1
MAX_DATAGRAM_BYTES = 1_200  # a larger datagram could be fragmented on the way
EMPTY_DATAGRAM_BYTES = 80  # size of a datagram without counts
MAX_COUNT = 2**31


def encode(started_ms: int, found: GatewayCounts) -> Iterator[bytes]:
    """Return the datagrams of a process's counts of one window, at least one."""
    packed: list[tuple[str, int]] = []
    size = EMPTY_DATAGRAM_BYTES
    for one in found.counts:
        length = len(json.dumps(one, separators=(",", ":"))) + 1
        if size + length > MAX_DATAGRAM_BYTES and packed:
            yield _encode_part(started_ms, evolve(found, counts=tuple(packed)))
            packed, size = [], EMPTY_DATAGRAM_BYTES
        packed.append(one)
        size += length
    yield _encode_part(started_ms, evolve(found, counts=tuple(packed)))


def decode(datagram: bytes) -> tuple[int, GatewayCounts]:
    """Return when the process started, Unix time in ms, and its counts or a part of them.

    Raises ``DecodeError`` if the datagram is malformed.
    """
    try:
        version, started_ms, window, total, complete, counts = json.loads(datagram)
        if version != VERSION:
            raise DecodeError(f"datagram version {version!r} is unknown")
        return int(started_ms), GatewayCounts(
            window=int(window),
            total=_count(total),
            complete=bool(complete),
            counts=tuple((str(workspace), _count(count)) for workspace, count in counts),
        )
    except (ValueError, TypeError, OverflowError, RecursionError) as exc:
        raise DecodeError(f"malformed datagram: {exc}") from exc


def _encode_part(started_ms: int, part: GatewayCounts) -> bytes:
    document = [VERSION, started_ms, part.window, part.total, int(part.complete), part.counts]
    return json.dumps(document, separators=(",", ":")).encode()


def _count(value: object) -> int:
    count = int(value)
    if not 0 <= count <= MAX_COUNT:
        raise ValueError("a count is out of range")
    return count
