"""The log: bounded, and never in the way."""

import json
import os
from io import StringIO

from chivewall.events import Event, EventLog
from chivewall.log_stream import MAX_BUFFERED_BYTES, LineRateLimit, NonBlockingStream


def test_reader_that_takes_nothing_blocks_nobody():
    """Guards a process that stops because nobody reads its log."""
    reader, writer = os.pipe()
    with os.fdopen(writer, "w") as stream:
        log = NonBlockingStream(stream)
        for _ in range(2000):
            log.write("x" * 1023 + "\n")
        assert log.dropped_lines > 0
        taken = b""
        while len(taken) < MAX_BUFFERED_BYTES:
            taken += os.read(reader, 65_536)
            log.flush()
        assert set(taken.splitlines()) == {b"x" * 1023}
    os.close(reader)


def test_reader_that_has_gone_ends_nothing():
    reader, writer = os.pipe()
    os.close(reader)
    with os.fdopen(writer, "w") as stream:
        NonBlockingStream(stream).write("a line\n")


def test_lines_of_an_event_are_bounded_and_counted():
    """Guards a flood of calls that becomes a flood of log lines."""
    stream, times = StringIO(), iter([1.0] * 6 + [2.0])
    log = EventLog(stream, rate=LineRateLimit(limit=2), clock=lambda: next(times))
    seen = []
    log.subscribe(lambda event, _: seen.append(event))
    for _ in range(5):
        log.emit(Event.CALL_ENDED)
    log.emit(Event.CALL_REFUSED)
    log.emit(Event.CALL_ENDED)
    lines = [json.loads(one) for one in stream.getvalue().splitlines()]
    assert [one["name"] for one in lines] == ["CALL_ENDED"] * 2 + ["CALL_REFUSED", "CALL_ENDED"]
    assert lines[-1]["left_out"] == 3
    assert len(seen) == 7
