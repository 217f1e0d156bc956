"""Output stream of the log that never blocks, and a rate limit for log lines."""

import os
from contextlib import suppress
from typing import Any, TextIO

from attrs import define, field

MAX_BUFFERED_BYTES = 1_048_576  # buffer for lines that a slow reader has not read yet
MAX_LINES_PER_SECOND = 100  # per event; under normal load a process serves fewer calls per second


@define(eq=False)
class NonBlockingStream:
    """Writes lines to a file descriptor without blocking; drops new lines if the buffer is full.

    Implements the part of ``TextIO`` that a logger needs.
    """

    stream: TextIO
    dropped_lines: int = 0  # number of lines dropped
    _buffer: bytearray = field(factory=bytearray, init=False)

    def __attrs_post_init__(self) -> None:
        with suppress(OSError, ValueError):  # a stream without a descriptor never blocks
            os.set_blocking(self.stream.fileno(), False)

    def write(self, text: str) -> int:
        """Write a line, or buffer it if the descriptor would block."""
        data = text.encode("utf-8", "backslashreplace")
        if len(self._buffer) + len(data) > MAX_BUFFERED_BYTES:
            self.dropped_lines += 1
        else:
            self._buffer += data
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts without blocking."""
        while self._buffer:
            try:
                written = os.write(self.stream.fileno(), self._buffer)
            except BlockingIOError:
                return
            except OSError:  # the reader has closed the pipe; there is nowhere to report it
                self._buffer.clear()
                return
            del self._buffer[:written]


@define
class LineRateLimit:
    """Limits the number of lines per second of each event and counts the lines left out."""

    limit: int = MAX_LINES_PER_SECOND
    _second: int = field(default=0, init=False)
    _line_counts: dict[Any, int] = field(factory=dict, init=False)
    _left_out: dict[Any, int] = field(factory=dict, init=False)

    def admit(self, event: Any, now: float) -> int | None:
        """Return how many lines of the event were left out before this one.

        Returns ``None`` if this line must be left out too.
        """
        if int(now) != self._second:
            self._second = int(now)
            self._line_counts.clear()
        lines = self._line_counts.get(event, 0) + 1
        self._line_counts[event] = lines
        if lines > self.limit:
            self._left_out[event] = self._left_out.get(event, 0) + 1
            return None
        return self._left_out.pop(event, 0)
