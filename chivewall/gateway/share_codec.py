"""Encodes the part of datagrams that is about shares of workspaces, as lists for JSON."""

import json
import math
from collections.abc import Iterable, Iterator

from attrs import evolve

from chivewall.decisions.workspace_shares import ShareEntry, ShareGroup, ShareReport

MAX_COST = 1e12  # a larger sum is an error of the sender
MAX_RANK = 1000
MAX_TAG_CHARS = 16


def encode_report(report: ShareReport) -> list[object]:
    """Return the list for a report."""
    entries = [[one.workspace, _number(one.demand), _number(one.use)] for one in report.entries]
    return [report.group.service, report.group.rank, int(report.short), entries]


def decode_report(service: str, rank: int, short: int, entries: list[list[object]]) -> ShareReport:
    """Return a report; raise ``ValueError`` or ``TypeError`` if it is malformed."""
    if not 0 <= int(rank) <= MAX_RANK:
        raise ValueError("a rank is out of range")
    return ShareReport(
        group=ShareGroup(str(service), int(rank)),
        short=bool(short),
        entries=tuple(_entry(*one) for one in entries),
    )


def split_reports(reports: Iterable[ShareReport], room: int) -> Iterator[ShareReport]:
    """Split reports so that each of them has at most ``room`` bytes when encoded."""
    for report in reports:
        begun = evolve(report, entries=())
        size = empty = _length(begun)
        chosen: list[ShareEntry] = []
        for one in report.entries:
            length = _length(evolve(begun, entries=(one,))) - empty + 1
            if chosen and size + length > room:
                yield evolve(report, entries=tuple(chosen))
                chosen, size = [], empty
            chosen.append(one)
            size += length
        yield evolve(report, entries=tuple(chosen))


def _length(report: ShareReport) -> int:
    return len(json.dumps(encode_report(report), separators=(",", ":")))


def _number(value: float) -> float:
    return float(f"{value:.3g}")


def _entry(workspace: str, demand: float, use: float) -> ShareEntry:
    return ShareEntry(str(workspace)[:MAX_TAG_CHARS], _cost(demand), _cost(use))


def _cost(value: float) -> float:
    found = float(value)
    if not math.isfinite(found) or not 0 <= found <= MAX_COST:
        raise ValueError("a sum is out of range")
    return found
