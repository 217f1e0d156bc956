"""Finds what daemons' log files say of one request."""

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

from attrs import frozen

# Of an endpoint: what the process believed of it when the request was sent there.
BELIEFS = frozenset({"ENDPOINT_LISTED", "ENDPOINT_AVOIDED"})
KNOWLEDGE = frozenset({"CATALOGUE_IN_FORCE", "STORE_UNAVAILABLE", "STORE_REGAINED"})
HIDDEN = frozenset({"event", "instance", "data_centre", "level", "name", "number", "timestamp"})


@frozen
class LogLine:
    """One line of a daemon's log."""

    at: str  # ISO 8601
    instance: str
    name: str  # of the event
    fields: dict[str, Any]

    def __str__(self) -> str:
        """Return the line as it is shown."""
        shown = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.at} {self.instance} {self.name} {shown}"


def read_lines(path: Path) -> Iterator[LogLine]:
    """Yield the structured lines of a file; other text, such as a prefix, is skipped."""
    with path.open(encoding="utf-8", errors="replace") as file:
        for text in file:
            line = _line(text)
            if line is not None:
                yield line


def _line(text: str) -> LogLine | None:
    try:
        document = json.loads(text[text.index("{") :])
        return LogLine(
            at=str(document["timestamp"]),
            instance=str(document["instance"]),
            name=str(document["name"]),
            fields={key: value for key, value in document.items() if key not in HIDDEN},
        )
    except (ValueError, KeyError, TypeError, RecursionError):
        return None


def story(lines: Iterable[LogLine], request: str) -> list[LogLine]:
    """Return the request's lines in order, with what was known when it was sent on.

    Before each attempt stands the last belief of its endpoint, and before the first line
    the last thing that the instance learned from the store.
    """
    beliefs: dict[tuple[str, str], LogLine] = {}
    orders: dict[str, LogLine] = {}
    knowledge: dict[str, LogLine] = {}
    found: list[LogLine] = []

    def add(line: LogLine | None) -> None:
        if line is not None and line not in found:
            found.append(line)

    for line in sorted(lines, key=lambda one: one.at):
        endpoint = line.fields.get("endpoint")
        if line.fields.get("request") == request:
            add(knowledge.get(line.instance))
            add(beliefs.get((line.instance, endpoint)))
            add(orders.get(endpoint))
            found.append(line)
        elif line.name == "ORDER_SENT":
            orders[endpoint] = line
        elif line.name in BELIEFS:
            beliefs[line.instance, endpoint] = line
        elif line.name in KNOWLEDGE:
            knowledge[line.instance] = line
    return found
