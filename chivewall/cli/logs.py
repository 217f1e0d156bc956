"""Collects the lines about one request from the log files of daemons."""

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

from attrs import frozen

# Events that tell what a process knew about an endpoint when it sent a request there.
ENDPOINT_EVENTS = frozenset({"ENDPOINT_LISTED", "ENDPOINT_AVOIDED"})
# Events that tell what a process knew about the object API.
STORE_EVENTS = frozenset({"CATALOGUE_IN_FORCE", "STORE_UNAVAILABLE", "STORE_REGAINED"})
# Keys of a log line that are not fields of its event.
HIDDEN_KEYS = frozenset(
    {"event", "instance", "data_centre", "level", "name", "number", "timestamp"}
)


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
            line = _parse_line(text)
            if line is not None:
                yield line


def _parse_line(text: str) -> LogLine | None:
    try:
        document = json.loads(text[text.index("{") :])
        return LogLine(
            at=str(document["timestamp"]),
            instance=str(document["instance"]),
            name=str(document["name"]),
            fields={key: value for key, value in document.items() if key not in HIDDEN_KEYS},
        )
    except (ValueError, KeyError, TypeError, RecursionError):
        return None


def request_lines(lines: Iterable[LogLine], request: str) -> list[LogLine]:
    """Return the log lines of a request in order, with what was known at the time.

    Each attempt is preceded by the last event about the state of its endpoint and
    the last order to it, and the lines of an instance by its last event about the
    object API.
    """
    endpoint_lines: dict[tuple[str, str], LogLine] = {}
    order_lines: dict[str, LogLine] = {}
    store_lines: dict[str, LogLine] = {}
    found: list[LogLine] = []

    def add(line: LogLine | None) -> None:
        if line is not None and line not in found:
            found.append(line)

    for line in sorted(lines, key=lambda one: one.at):
        endpoint = line.fields.get("endpoint")
        if line.fields.get("request") == request:
            add(store_lines.get(line.instance))
            add(endpoint_lines.get((line.instance, endpoint)))
            add(order_lines.get(endpoint))
            found.append(line)
        elif line.name == "ORDER_SENT":
            order_lines[endpoint] = line
        elif line.name in ENDPOINT_EVENTS:
            endpoint_lines[line.instance, endpoint] = line
        elif line.name in STORE_EVENTS:
            store_lines[line.instance] = line
    return found
