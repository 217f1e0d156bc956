"""Tests of ``chivewall explain --log``, which reads log files."""

import json

import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from chivewall.cli.logs import read_lines, request_lines
from chivewall.cli.root import main


def log_line(at, name, instance="front-1", **fields):
    document = {
        "instance": instance,
        "name": name,
        "event": "text",
        "timestamp": f"2026-12-04T10:00:{at:06.3f}Z",
    }
    return json.dumps(document | fields)


LOG_LINES = (
    log_line(1, "CATALOGUE_IN_FORCE", version=3),
    log_line(2, "ENDPOINT_LISTED", endpoint="i-1", draining=False, revision=8),
    log_line(2.5, "ENDPOINT_LISTED", endpoint="i-2", draining=False, revision=9),
    log_line(3, "ORDER_SENT", instance="front-2", endpoint="i-1", stage="prefill"),
    log_line(4, "CALL_ATTEMPT", request="r1", endpoint="i-1"),
    log_line(4.5, "CALL_ATTEMPT", request="r2", endpoint="i-2"),
    log_line(5, "CALL_ATTEMPT_FAILED", request="r1", endpoint="i-1", reason="status 503"),
    log_line(6, "ENDPOINT_AVOIDED", endpoint="i-1"),
    log_line(7, "CALL_ENDED", request="r1", outcome="refuse"),
)


@pytest.fixture
def log(tmp_path):
    path = tmp_path / "front.log"
    path.write_text("\n".join(LOG_LINES))
    return path


def test_explanation_has_what_was_known_when_the_request_was_sent(log):
    """Guards against an explanation without its cause, here an order to the endpoint."""
    names = [one.name for one in request_lines(read_lines(log), "r1")]
    assert names == [
        "CATALOGUE_IN_FORCE",
        "ENDPOINT_LISTED",
        "ORDER_SENT",
        "CALL_ATTEMPT",
        "CALL_ATTEMPT_FAILED",
        "CALL_ENDED",
    ]


def test_files_of_several_processes_are_read_in_the_order_of_time(tmp_path):
    """Guards against events of several processes told in the order of the files."""
    for number, text in enumerate(reversed(LOG_LINES)):
        (tmp_path / f"{number}.log").write_text(f"  12.5 front-1 {text}\nTraceback\n")
    logs = [part for one in tmp_path.iterdir() for part in ("--log", str(one))]
    done = CliRunner().invoke(main, ["explain", "r1", *logs])
    assert done.exit_code == 0, done.output
    assert [row.split()[2] for row in done.output.splitlines()][-3:] == [
        "CALL_ATTEMPT",
        "CALL_ATTEMPT_FAILED",
        "CALL_ENDED",
    ]


def test_unknown_request_is_an_error(log):
    """Guards against an empty explanation and success for a request that no file has."""
    done = CliRunner().invoke(main, ["explain", "r9", "--log", str(log)])
    assert done.exit_code != 0
    assert "r9" in done.output


@given(st.lists(st.text() | st.sampled_from(LOG_LINES)))
def test_any_text_can_be_read(tmp_path_factory, texts):
    """Guards against a crash on lines that are no log events."""
    path = tmp_path_factory.mktemp("logs") / "any.log"
    path.write_text("\n".join(texts), encoding="utf-8", errors="replace")
    for one in read_lines(path):
        assert one.name
