"""Splits a ``text/event-stream`` into events and removes duplicates when it is resumed."""

import re

from attrs import define, field

from chivewall.errors import EventTooLargeError, UnexpectedEventError
from chivewall.integers import parse_digits

EVENT_SEPARATOR = re.compile(rb"\r\n\r\n|\n\n|\r\r")
# Largest event. A stream without a separator takes at most this much memory.
MAX_EVENT_BYTES = 131_072
SEPARATOR_BYTES = 4  # length of the longest separator


@define
class EventStream:
    """Forwards complete events, each one once.

    A run may break off inside an event, so bytes are buffered until their event is
    complete. A later run that resumes after ``last_id`` may repeat events; those
    with an id that was already forwarded are dropped. It has to begin with an event
    that has an id: anything else is the text of an error.
    """

    last_id: str | None = None  # id of the last forwarded event that had one
    forwarded_events: int = 0
    data_events: int = 0  # forwarded events that are more than a comment
    _buffer: bytearray = field(factory=bytearray, init=False)
    _resuming: bool = field(default=False, init=False)  # no event with an id came in this run yet

    def begin_run(self) -> None:
        """Begin with the events of another run."""
        self._buffer.clear()
        self._resuming = self.last_id is not None

    def feed(self, data: bytes) -> bytes:
        """Buffer received bytes and return the new complete events.

        Raises ``EventTooLargeError`` if an event doesn't end within ``MAX_EVENT_BYTES``, and
        ``UnexpectedEventError`` if a run doesn't continue the stream that was begun.
        """
        searched = max(0, len(self._buffer) - SEPARATOR_BYTES)
        self._buffer += data
        out = []
        while (match := EVENT_SEPARATOR.search(self._buffer, searched)) is not None:
            event, searched = bytes(self._buffer[: match.end()]), 0
            del self._buffer[: match.end()]
            if self._accept(event):
                out.append(event)
        # Events that were found must not get lost; without any, the next call raises.
        if len(self._buffer) > MAX_EVENT_BYTES and not out:
            raise EventTooLargeError(f"an event of the stream exceeds {MAX_EVENT_BYTES} bytes")
        return b"".join(out)

    def finish(self) -> bytes:
        """Return the bytes after the last complete event of a run that ended normally."""
        rest = bytes(self._buffer)
        self._buffer.clear()
        return rest

    def problem_at_end(self) -> str | None:
        """Return why the end of a run can't be the end of the stream, or ``None``."""
        if self._buffer.strip():
            return "the stream ended inside an event"
        if self.last_id is None and not self.data_events:
            return "the stream ended without an event"
        return None

    def _accept(self, event: bytes) -> bool:
        found = event_id(event)
        if found is None and self._resuming and not _is_comment(event):
            raise UnexpectedEventError("the resumed stream began with an event without an id")
        if found is not None:
            self._resuming = False
            if not _after(found, self.last_id):
                return False
            self.last_id = found
        self.forwarded_events += 1
        self.data_events += found is not None or _has_data(event)
        return True


def _is_comment(event: bytes) -> bool:
    return all(line.startswith(b":") for line in event.splitlines() if line)


def _has_data(event: bytes) -> bool:
    return any(line.startswith(b"data") for line in event.splitlines())


def event_id(event: bytes) -> str | None:
    """Return the value of the event's ``id`` field."""
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return None


def _after(new: str, last: str | None) -> bool:
    if last is None:
        return True
    new_number, last_number = parse_digits(new), parse_digits(last)
    if new_number is None or last_number is None:
        return new != last
    return new_number > last_number
