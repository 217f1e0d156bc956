"""Encodes datagrams between gateways: JSON arrays that fit into one network packet each."""

import json
from collections.abc import Iterable, Iterator

from attrs import frozen

from chivewall.errors import DecodeError

VERSION = 3
MAX_DATAGRAM_BYTES = 1_200  # bytes; a larger datagram could be fragmented on the way
EMPTY_DATAGRAM_BYTES = 20  # size of a datagram without items, in bytes


@frozen
class SharedWork:
    """An attempt that a gateway sent to an endpoint, as told to the other gateways."""

    number: int  # assigned by the sender, and repeated in its later progress messages
    endpoint: str
    prefill_seconds: float  # estimated time of the prefill
    counted_seconds: float  # time for which it is counted if its end isn't heard of
    rank: int  # rank with which it was sent; 0 is served first
    prefixes: tuple[str, ...]  # keys of the prompt's leading parts


@frozen
class WorkProgress:
    """Progress of shared work: its prompt was prefilled, or it ended."""

    number: int
    ended: bool  # True: the work ended; False: its prompt was prefilled


@frozen
class PeerMessage:
    """The content of one datagram."""

    gateway_ips: tuple[str, ...] = ()  # IP addresses of gateways that the sender knows
    work: tuple[SharedWork, ...] = ()
    cooldowns: tuple[tuple[str, float], ...] = ()  # engine ids and their cooldown in seconds
    prefilled: tuple[int, ...] = ()  # numbers of work whose prompts were prefilled
    ended: tuple[int, ...] = ()  # numbers of work that ended


def encode(message: PeerMessage) -> bytes:
    """Return the datagram of a message."""
    document = [
        VERSION,
        list(message.gateway_ips),
        [_encode_item(one) for one in message.work],
        [[endpoint, round(seconds, 2)] for endpoint, seconds in message.cooldowns],
        list(message.prefilled),
        list(message.ended),
    ]
    return json.dumps(document, separators=(",", ":")).encode()


def decode(datagram: bytes) -> PeerMessage:
    """Return the message of a datagram; raise ``DecodeError`` if it is malformed."""
    try:
        version, *rest = json.loads(datagram)
        if version != VERSION:
            raise DecodeError(f"datagram version {version!r} is unknown")
        gateway_ips, work, cooldowns, prefilled, ended = rest
        return PeerMessage(
            gateway_ips=tuple(str(one) for one in gateway_ips),
            work=tuple(_decode_work(*one) for one in work),
            cooldowns=tuple((str(one), max(0.0, float(seconds))) for one, seconds in cooldowns),
            prefilled=tuple(int(one) for one in prefilled),
            ended=tuple(int(one) for one in ended),
        )
    except (ValueError, TypeError, OverflowError, RecursionError) as exc:
        raise DecodeError(f"malformed datagram: {exc}") from exc


def _decode_work(
    number: int,
    endpoint: str,
    prefill_seconds: float,
    counted_seconds: float,
    rank: int,
    prefixes: list[str],
) -> SharedWork:
    return SharedWork(
        number=int(number),
        endpoint=str(endpoint),
        prefill_seconds=max(0.0, float(prefill_seconds)),
        counted_seconds=max(0.0, float(counted_seconds)),
        rank=int(rank),
        prefixes=tuple(str(one) for one in prefixes),
    )


def batches(items: Iterable[SharedWork | WorkProgress]) -> Iterator[PeerMessage]:
    """Pack items in order into messages that each fit into one datagram."""
    work: list[SharedWork] = []
    prefilled: list[int] = []
    ended: list[int] = []
    size = EMPTY_DATAGRAM_BYTES
    for one in items:
        length = len(json.dumps(_encode_item(one), separators=(",", ":"))) + 1
        if size + length > MAX_DATAGRAM_BYTES and size > EMPTY_DATAGRAM_BYTES:
            yield PeerMessage(work=tuple(work), prefilled=tuple(prefilled), ended=tuple(ended))
            work, prefilled, ended, size = [], [], [], EMPTY_DATAGRAM_BYTES
        size += length
        if isinstance(one, SharedWork):
            work.append(one)
        else:
            (ended if one.ended else prefilled).append(one.number)
    if size > EMPTY_DATAGRAM_BYTES:
        yield PeerMessage(work=tuple(work), prefilled=tuple(prefilled), ended=tuple(ended))


def _encode_item(item: SharedWork | WorkProgress) -> list[object] | int:
    if isinstance(item, WorkProgress):
        return item.number
    return [
        item.number,
        item.endpoint,
        round(item.prefill_seconds, 4),
        round(item.counted_seconds, 2),
        item.rank,
        list(item.prefixes),
    ]
