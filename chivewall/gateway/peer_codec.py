"""Datagrams between gateways: JSON arrays, small enough for one packet."""

import json

from attrs import frozen

from chivewall.errors import DecodeError

VERSION = 1
MAX_DATAGRAM = 1_200  # bytes; a larger one would be cut up on the way


@frozen
class SharedWork:
    """Work that a gateway sent to an endpoint, as other gateways need to know it."""

    endpoint: str
    read_seconds: float  # for which the endpoint reads the prompt
    seconds: float  # that it probably runs; 0 for a prefill
    prefixes: tuple[str, ...]  # keys of the prompt's leading parts


@frozen
class PeerMessage:
    """One datagram."""

    hosts: tuple[str, ...] = ()  # gateways that the sender knows
    work: tuple[SharedWork, ...] = ()
    changing: tuple[str, ...] = ()  # engines that were ordered to change their stage


def encode(message: PeerMessage) -> bytes:
    """Return the datagram."""
    work = [
        [
            one.endpoint,
            round(one.read_seconds, 4),
            round(one.seconds, 2),
            list(one.prefixes),
        ]
        for one in message.work
    ]
    document = [VERSION, list(message.hosts), work, list(message.changing)]
    return json.dumps(document, separators=(",", ":")).encode()


def decode(datagram: bytes) -> PeerMessage:
    """Read a datagram; raises ``DecodeError``."""
    try:
        version, hosts, work, changing = json.loads(datagram)
        if version != VERSION:
            raise DecodeError(f"version {version!r} of a datagram is not known")
        return PeerMessage(
            hosts=tuple(str(one) for one in hosts),
            work=tuple(_work(*one) for one in work),
            changing=tuple(str(one) for one in changing),
        )
    except (ValueError, TypeError, RecursionError) as exc:
        raise DecodeError(f"datagram: {exc}") from exc


def _work(endpoint: str, read_seconds: float, seconds: float, prefixes: list[str]) -> SharedWork:
    return SharedWork(
        endpoint=str(endpoint),
        read_seconds=max(0.0, float(read_seconds)),
        seconds=max(0.0, float(seconds)),
        prefixes=tuple(str(one) for one in prefixes),
    )
