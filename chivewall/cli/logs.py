"""Collects the lines about one request from the log files of daemons."""

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

from attrs import frozen

# Events that tell what a process knew about an endpoint when it sent a request there.
BELIEFS = frozenset({"ENDPOINT_LISTED", "ENDPOINT_AVOIDED"})
# Events that tell what a process knew about the object API.
KNOWLEDGE = frozenset({"CATALOGUE_IN_FORCE", "STORE_UNAVAILABLE", "STORE_REGAINED"})
# Keys of a log line that are not fields of its event.
HIDDEN = frozenset({"event", "instance", "data_centre", "level", "name", "number", "timestamp"})


@frozen
class LogLine:
    """One line of a daemon's log."""

    at: str  # time in ISO 8601
    instance: str
    name: str  # name of the event
    fields: dict[str, Any]

    def __str__(self) -> str:
        """Return the line as ``chivewall explain`` prints it."""
        shown = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.at} {self.instance} {self.name} {shown}"


def read_lines(path: Path) -> Iterator[LogLine]:
    """Yield the log lines of a file; lines without JSON and text before the JSON are skipped."""
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
    """Return the log lines of a request in order, with what was known at the time.

    Each attempt is preceded by the last event about the state of its endpoint and
    the last order to it, and the lines of an instance by its last event about the
    object API.
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
