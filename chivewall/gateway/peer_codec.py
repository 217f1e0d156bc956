"""Encodes datagrams between gateways: JSON arrays that fit into one network packet each."""

import json
from collections.abc import Iterable, Iterator
from enum import Enum
from ipaddress import IPv4Address

from attrs import evolve, frozen

from chivewall.decisions.crash_evidence import (
    BEGUN_WEIGHT,
    MAX_CRASHES,
    TRIAL_SECONDS,
    Crash,
    EngineRun,
    PartKey,
    PartNews,
)
from chivewall.decisions.speeds import Line, ServiceSpeed
from chivewall.decisions.workspace_shares import ShareReport
from chivewall.errors import DecodeError
from chivewall.gateway import permit_codec, share_codec
from chivewall.gateway.announcement_messages import LeavingNews
from chivewall.gateway.rate_limit_messages import EndedAsk, LimitNews, SharedAsk, SharedRuling

VERSION = 7
MAX_DATAGRAM_BYTES = 1_200  # a larger datagram could be fragmented on the way
MAX_TAG_CHARS = 16  # of a request, in news of suspected prompt parts
MAX_SECONDS = 1000.0  # a larger time is an error of the sender
EMPTY_DATAGRAM_BYTES = 33  # size of a datagram without items
LIMIT_DATAGRAM_BYTES = 16  # size of the parts about rate limits, which most datagrams leave out


class GatewayPhase(Enum):
    """Phase of the life of the gateway that sends a datagram."""

    RUNNING = 0
    ENDS = 1
    STARTED = 2  # not long ago, so that it may know nothing yet


@frozen
class SharedWork:
    """An attempt that a gateway sent to an endpoint, as reported to the other gateways."""

    number: int  # assigned by the sender, and repeated in its later progress messages
    endpoint: str
    reference_seconds: float  # time of the prefill at the reference speed
    counted_seconds: float  # time for which it is counted if its end isn't reported
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

    # IP addresses of gateways that the sender knows, and the age of its news of them in seconds.
    known: tuple[tuple[str, float], ...] = ()
    work: tuple[SharedWork, ...] = ()
    cooldowns: tuple[tuple[str, float], ...] = ()  # engine ids and their cooldown in seconds
    prefilled: tuple[int, ...] = ()  # numbers of work whose prompts were prefilled
    ended: tuple[int, ...] = ()  # numbers of work that ended
    speeds: tuple[tuple[str, ServiceSpeed], ...] = ()  # learned speeds by service
    parts: tuple[PartNews, ...] = ()  # suspected prompt parts
    leaving: tuple[LeavingNews, ...] = ()  # endpoints that leave
    configuration_version: int = 0  # that the sender has in force; 0: not told
    store_era: int = 0  # newest era of the store that the sender has seen; 0: not told
    limits: tuple[LimitNews, ...] = ()  # rate limits that endpoints name
    asks: tuple[SharedAsk, ...] = ()  # for permits that the receiver grants
    rulings: tuple[SharedRuling, ...] = ()  # on asks of the receiver
    ended_asks: tuple[EndedAsk, ...] = ()
    phase: GatewayPhase = GatewayPhase.RUNNING
    shares: tuple[ShareReport, ...] = ()  # what workspaces ask for and use while room is short


def encode(message: PeerMessage) -> bytes:
    """Return the datagram of a message."""
    document = [
        VERSION,
        [[address, round(age, 1)] for address, age in message.known],
        [_encode_item(one) for one in message.work],
        [[endpoint, round(seconds, 2)] for endpoint, seconds in message.cooldowns],
        list(message.prefilled),
        list(message.ended),
        [_encode_speed(service, speed) for service, speed in message.speeds],
        [_encode_part(one) for one in message.parts],
        [[one.endpoint, one.started_ms] for one in message.leaving],
        message.configuration_version,
        message.store_era,
    ]
    limit_parts = [
        [permit_codec.encode_news(one) for one in message.limits],
        [permit_codec.encode_ask(one) for one in message.asks],
        [permit_codec.encode_ruling(one) for one in message.rulings],
        [permit_codec.encode_ended(one) for one in message.ended_asks],
        message.phase.value,
    ]
    shares = [share_codec.encode_report(one) for one in message.shares]
    if any(limit_parts) or shares:
        document += limit_parts
    if shares:
        document.append(shares)
    return json.dumps(document, separators=(",", ":")).encode()


def decode(datagram: bytes) -> PeerMessage:
    """Return the message of a datagram; raise ``DecodeError`` if it is malformed."""
    try:
        format_version, *rest = json.loads(datagram)
        if format_version != VERSION:
            raise DecodeError(f"datagram version {format_version!r} is unknown")
        known, work, cooldowns, prefilled, ended, speeds, parts, leaving, version, era = rest[:10]
        limits, asks, rulings, ended_asks, phase = rest[10:15] or ([], [], [], [], 0)
        (shares,) = rest[15:] or ([],)
        return PeerMessage(
            known=tuple((_decode_ip(one), _bounded_seconds(age)) for one, age in known),
            work=tuple(_decode_work(*one) for one in work),
            cooldowns=tuple((str(one), _bounded_seconds(seconds)) for one, seconds in cooldowns),
            prefilled=tuple(int(one) for one in prefilled),
            ended=tuple(int(one) for one in ended),
            speeds=tuple(_decode_speed(*one) for one in speeds),
            parts=tuple(_decode_part(*one) for one in parts),
            leaving=tuple(LeavingNews(str(one), int(started_ms)) for one, started_ms in leaving),
            configuration_version=max(0, int(version)),
            store_era=max(0, int(era)),
            limits=tuple(permit_codec.decode_news(*one) for one in limits),
            asks=tuple(permit_codec.decode_ask(*one) for one in asks),
            rulings=tuple(permit_codec.decode_ruling(*one) for one in rulings),
            ended_asks=tuple(permit_codec.decode_ended(*one) for one in ended_asks),
            phase=GatewayPhase(phase),
            shares=tuple(share_codec.decode_report(*one) for one in shares),
        )
    except (ValueError, TypeError, OverflowError, RecursionError) as exc:
        raise DecodeError(f"malformed datagram: {exc}") from exc


def _decode_ip(value: object) -> str:
    """Return an IPv4 literal; the socket refuses to send to anything else."""
    return str(IPv4Address(str(value)))


def _decode_work(
    number: int,
    endpoint: str,
    reference_seconds: float,
    counted_seconds: float,
    rank: int,
    prefixes: list[str],
) -> SharedWork:
    return SharedWork(
        number=int(number),
        endpoint=str(endpoint),
        reference_seconds=_bounded_seconds(reference_seconds),
        counted_seconds=_bounded_seconds(counted_seconds),
        rank=min(permit_codec.MAX_RANK, max(0, int(rank))),
        prefixes=tuple(str(one) for one in prefixes),
    )


def _encode_speed(service: str, speed: ServiceSpeed) -> list[object]:
    lines = (speed.prefill, speed.first_event, speed.fetched_event)
    numbers = [number for line in lines for number in (line.fixed, line.slope)]
    return [service, *(float(f"{one:.3g}") for one in (*numbers, speed.call_seconds))]


def _decode_speed(service: str, *numbers: float) -> tuple[str, ServiceSpeed]:
    checked = [float(one) for one in numbers]
    if not all(0 <= one <= MAX_SECONDS for one in checked):
        raise ValueError("a speed is out of range")
    lines = [Line(*checked[place : place + 2]) for place in (0, 2, 4)]
    (call_seconds,) = checked[6:]
    return str(service), ServiceSpeed(*lines, call_seconds)


def _encode_part(news: PartNews) -> list[object]:
    return [
        news.key.service,
        news.key.part,
        [
            [run.engine, run.started_ms, round(one.at, 3), one.weight, one.request]
            for run, one in news.crashes
        ],
        None if news.success_age is None else round(news.success_age, 3),
        round(news.trial_left, 3),
    ]


def _decode_part(
    service: str,
    part: str,
    crashes: list[list[object]],
    success_age: float | None,
    trial_left: float,
) -> PartNews:
    return PartNews(
        key=PartKey(str(service), str(part)),
        crashes=tuple(_decode_crash(*one) for one in crashes[:MAX_CRASHES]),
        success_age=None if success_age is None else _bounded_seconds(success_age),
        trial_left=min(TRIAL_SECONDS, _bounded_seconds(trial_left)),
    )


def _decode_crash(
    engine: str, started_ms: int, age: float, weight: float, request: str
) -> tuple[EngineRun, Crash]:
    bounded = min(BEGUN_WEIGHT, max(0.0, float(weight)))
    crash = Crash(_bounded_seconds(age), bounded, str(request)[:MAX_TAG_CHARS])
    return EngineRun(str(engine), int(started_ms)), crash


def _bounded_seconds(value: float) -> float:
    return min(MAX_SECONDS, max(0.0, float(value)))


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


def part_batches(news: Iterable[PartNews]) -> Iterator[PeerMessage]:
    """Pack news of suspected parts into messages that each fit into one datagram.

    The oldest crashes are left out of news that is too long by itself.
    """
    packed: list[PartNews] = []
    size = EMPTY_DATAGRAM_BYTES
    for one in news:
        fitting, length = _fit_part(one)
        if size + length > MAX_DATAGRAM_BYTES and packed:
            yield PeerMessage(parts=tuple(packed))
            packed, size = [], EMPTY_DATAGRAM_BYTES
        packed.append(fitting)
        size += length
    if packed:
        yield PeerMessage(parts=tuple(packed))


def limit_batches(news: Iterable[LimitNews]) -> Iterator[PeerMessage]:
    """Pack news of rate limits into messages that each fit into one datagram."""
    packed: list[LimitNews] = []
    empty = size = EMPTY_DATAGRAM_BYTES + LIMIT_DATAGRAM_BYTES
    for one in news:
        length = len(json.dumps(permit_codec.encode_news(one), separators=(",", ":"))) + 1
        if size + length > MAX_DATAGRAM_BYTES and packed:
            yield PeerMessage(limits=tuple(packed))
            packed, size = [], empty
        packed.append(one)
        size += length
    if packed:
        yield PeerMessage(limits=tuple(packed))


def share_batches(reports: Iterable[ShareReport]) -> Iterator[PeerMessage]:
    """Put reports about workspaces into messages that each fit into one datagram."""
    room = MAX_DATAGRAM_BYTES - EMPTY_DATAGRAM_BYTES - LIMIT_DATAGRAM_BYTES
    for one in share_codec.split_reports(reports, room):
        yield PeerMessage(shares=(one,))


def _fit_part(news: PartNews) -> tuple[PartNews, int]:
    """Return news that fits into a datagram, and its encoded length."""
    crashes = sorted(news.crashes, key=lambda one: one[1].at)
    while True:
        fitting = evolve(news, crashes=tuple(crashes))
        length = len(json.dumps(_encode_part(fitting), separators=(",", ":"))) + 1
        if EMPTY_DATAGRAM_BYTES + length <= MAX_DATAGRAM_BYTES or not crashes:
            return fitting, length
        crashes.pop()


def _encode_item(item: SharedWork | WorkProgress) -> list[object] | int:
    if isinstance(item, WorkProgress):
        return item.number
    return [
        item.number,
        item.endpoint,
        round(item.reference_seconds, 4),
        round(item.counted_seconds, 2),
        item.rank,
        list(item.prefixes),
    ]
