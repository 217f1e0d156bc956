"""Encodes datagrams between gateways: JSON arrays that fit into one network packet each."""

import json
from collections.abc import Iterable, Iterator

from attrs import frozen

from chivewall.errors import DecodeError

VERSION = 3
MAX_DATAGRAM = 1_200  # bytes; a larger datagram could be fragmented on the way
FRAME_BYTES = 20  # size of a datagram without items, in bytes


@frozen
class SharedWork:
    """An attempt that a gateway sent to an endpoint, as told to the other gateways."""

    number: int  # assigned by the sender, and repeated in its later progress messages
    endpoint: str
    read_seconds: float  # estimated time of the prefill
    seconds: float  # time for which it is counted if its end isn't heard of
    rank: int  # rank with which it was sent; 0 is served first
    prefixes: tuple[str, ...]  # keys of the prompt's leading parts


@frozen
class WorkProgress:
    """Progress of shared work: its prompt was prefilled, or it ended."""

    number: int
    over: bool  # True: the work ended; False: its prompt was prefilled


@frozen
class PeerMessage:
    """The content of one datagram."""

    hosts: tuple[str, ...] = ()  # IP addresses of gateways that the sender knows
    work: tuple[SharedWork, ...] = ()
    resting: tuple[tuple[str, float], ...] = ()  # engine ids and their cooldown in seconds
    read: tuple[int, ...] = ()  # numbers of work whose prompts were prefilled
    over: tuple[int, ...] = ()  # numbers of work that ended


def encode(message: PeerMessage) -> bytes:
    """Return the datagram of a message."""
    document = [
        VERSION,
        list(message.hosts),
        [_row(one) for one in message.work],
        [[endpoint, round(seconds, 2)] for endpoint, seconds in message.resting],
        list(message.read),
        list(message.over),
    ]
    return json.dumps(document, separators=(",", ":")).encode()


def decode(datagram: bytes) -> PeerMessage:
    """Return the message of a datagram; raise ``DecodeError`` if it is malformed."""
    try:
        version, *rest = json.loads(datagram)
        if version != VERSION:
            raise DecodeError(f"datagram version {version!r} is unknown")
        hosts, work, resting, read, over = rest
        return PeerMessage(
            hosts=tuple(str(one) for one in hosts),
            work=tuple(_work(*one) for one in work),
            resting=tuple((str(one), max(0.0, float(seconds))) for one, seconds in resting),
            read=tuple(int(one) for one in read),
            over=tuple(int(one) for one in over),
        )
    except (ValueError, TypeError, OverflowError, RecursionError) as exc:
        raise DecodeError(f"malformed datagram: {exc}") from exc


def _work(
    number: int,
    endpoint: str,
    read_seconds: float,
    seconds: float,
    rank: int,
    prefixes: list[str],
) -> SharedWork:
    return SharedWork(
        number=int(number),
        endpoint=str(endpoint),
        read_seconds=max(0.0, float(read_seconds)),
        seconds=max(0.0, float(seconds)),
        rank=int(rank),
        prefixes=tuple(str(one) for one in prefixes),
    )


def batches(items: Iterable[SharedWork | WorkProgress]) -> Iterator[PeerMessage]:
    """Pack items in order into messages that each fit into one datagram."""
    work: list[SharedWork] = []
    read: list[int] = []
    over: list[int] = []
    size = FRAME_BYTES
    for one in items:
        length = len(json.dumps(_row(one), separators=(",", ":"))) + 1
        if size + length > MAX_DATAGRAM and size > FRAME_BYTES:
            yield PeerMessage(work=tuple(work), read=tuple(read), over=tuple(over))
            work, read, over, size = [], [], [], FRAME_BYTES
        size += length
        if isinstance(one, SharedWork):
            work.append(one)
        else:
            (over if one.over else read).append(one.number)
    if size > FRAME_BYTES:
        yield PeerMessage(work=tuple(work), read=tuple(read), over=tuple(over))


def _row(item: SharedWork | WorkProgress) -> list[object] | int:
    if isinstance(item, WorkProgress):
        return item.number
    return [
        item.number,
        item.endpoint,
        round(item.read_seconds, 4),
        round(item.seconds, 2),
        item.rank,
        list(item.prefixes),
    ]
