"""The ``chivewall status`` command."""

import json
import sys
from contextlib import suppress
from typing import Any

import click

from chivewall.cli.client import Client, Session
from chivewall.cli.output import JSON_OPTION, format_cell, format_table, print_result

ENDPOINT_COLUMNS = (
    "endpoint",
    "kind",
    "data_centre",
    "state",
    "role",
    "running",
    "configuration_version",
)
ENDPOINT_HEADINGS = ("ENDPOINT", "KIND", "DATA CENTRE", "STATE", "ROLE", "RUNNING", "CONFIG")
DATA_CENTRE_HEADINGS = ("DATA CENTRE", "ENDPOINTS", "STATES", "ROLES", "CONFIG")
RANK_HEADINGS = ("RANK", "REQUESTS", "WITHIN TARGET", "P95", "TARGET")
TARGET_SHARE = 0.95  # a rank is on target if this share of its requests meets the target
MAX_ENDPOINTS_SHOWN = 40  # with more endpoints, only those that are not live are listed
COLOUR_BY_STATE = {"live": "green", "suspect": "red", "leaving": "yellow"}


@click.command()
@click.option("--watch", is_flag=True, help="Refresh the status until Ctrl-C.")
@click.option(
    "--interval",
    type=click.FloatRange(min=0.1),
    default=2.0,
    show_default=True,
    help="Interval between refreshes with --watch, in seconds.",
)
@click.option("--count", type=click.IntRange(min=1), help="Stop --watch after this many refreshes.")
@JSON_OPTION
@click.pass_obj
def status(
    client: Client, *, watch: bool, interval: float, count: int | None, as_json: bool
) -> None:
    """Show ranks with their targets, data centres, last decisions and endpoints.

    With --watch and --json together, each refresh prints one line of JSON.

    Example: chivewall status --watch --interval 5
    """
    if not watch:
        answer = client.call("GET", "/operator/status")
        print_result(answer, "\n".join(format_status(answer)), as_json=as_json)
        return

    async def show_repeatedly(session: Session) -> None:
        shown = 0
        while True:
            answer = await session.call("GET", "/operator/status")
            shown += 1
            _print_status(answer, as_json=as_json)
            if shown == count:
                return
            await session.sleep(interval)

    with suppress(click.Abort):  # Ctrl-C is the usual way to end --watch
        client.run(show_repeatedly)


def format_status(answer: dict[str, Any]) -> list[str]:
    """Return the lines of the status."""
    configuration = answer["configuration"]
    version = configuration["version"] if configuration else "none"
    head = f"entry {answer['entry']} in {answer['data_centre']}, configuration {version}"
    ranks = [RANK_HEADINGS, *(_rank_row(one) for one in answer["ranks"])]
    centres = [DATA_CENTRE_HEADINGS, *(_data_centre_row(one) for one in answer["data_centres"])]
    endpoints, hidden = _shown_endpoints(answer["endpoints"])
    rows = [ENDPOINT_HEADINGS, *(_endpoint_row(one) for one in endpoints)]
    lines = [head, "", "Last 5 minutes at this entry:", *_coloured_ranks(ranks, answer["ranks"])]
    lines += ["", *format_table(centres), "", "Last decisions:"]
    lines += [f"  {format_decision(one)}" for one in answer["decisions"]] or ["  none"]
    table = format_table(rows)
    coloured = [
        _colour_line(line, COLOUR_BY_STATE.get(one["state"]))
        for line, one in zip(table[1:], endpoints, strict=True)
    ]
    more = [f"and {hidden} live endpoints; --json lists them"] if hidden else []
    return [*lines, "", table[0], *coloured, *more]


def format_decision(decision: dict[str, Any]) -> str:
    """Return one line, such as ``3 s ago: state of an endpoint changed (endpoint e1)``."""
    fields = ", ".join(f"{name} {value}" for name, value in decision["fields"].items())
    return f"{decision['seconds_ago']:.0f} s ago: {decision['text']} ({fields})"


def _print_status(answer: dict[str, Any], *, as_json: bool) -> None:
    if as_json:
        click.echo(json.dumps(answer, ensure_ascii=False))
        return
    if sys.stdout.isatty():
        click.clear()
    click.echo("\n".join(format_status(answer)))


def _shown_endpoints(endpoints: list[dict[str, Any]]) -> tuple[list[dict[str, Any]], int]:
    """Return the endpoints to list and the number of live endpoints that are left out."""
    if len(endpoints) <= MAX_ENDPOINTS_SHOWN:
        return endpoints, 0
    shown = [one for one in endpoints if one["state"] != "live"]
    return shown, len(endpoints) - len(shown)


def _rank_row(one: dict[str, Any]) -> tuple[str, ...]:
    within = "-" if one["within"] is None else f"{one['within']:.0%}"
    p95 = "-" if one["p95_ms"] is None else f"{one['p95_ms']:.0f} ms"
    return one["rank"], str(one["requests"]), within, p95, f"{one['target_ms']:g} ms"


def _coloured_ranks(rows: list[tuple[str, ...]], ranks: list[dict[str, Any]]) -> list[str]:
    head, *lines = format_table(rows)
    missed = [one["within"] is not None and one["within"] < TARGET_SHARE for one in ranks]
    return [
        head,
        *(
            _colour_line(line, "red" if bad else None)
            for line, bad in zip(lines, missed, strict=True)
        ),
    ]


def _data_centre_row(one: dict[str, Any]) -> tuple[str, ...]:
    return (
        one["name"],
        str(one["endpoints"]),
        _format_counts(one["states"]),
        _format_counts(one["roles"]),
        format_cell(one["version"]),
    )


def _format_counts(counts: dict[str, int]) -> str:
    return ", ".join(f"{count} {name}" for name, count in sorted(counts.items())) or "-"


def _endpoint_row(one: dict[str, Any]) -> tuple[str, ...]:
    return tuple(format_cell(one[name]) for name in ENDPOINT_COLUMNS)


def _colour_line(line: str, colour: str | None) -> str:
    return line if colour is None else click.style(line, fg=colour)
