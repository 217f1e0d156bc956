"""``chivewall status``."""

import json
from typing import Any

import click

from chivewall.cli.client import Client

COLUMNS = ("endpoint", "kind", "data_centre", "state", "role", "running", "configuration_version")
HEADINGS = ("ENDPOINT", "KIND", "DATA CENTRE", "STATE", "ROLE", "RUNNING", "CONFIG")


@click.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.pass_obj
def status(client: Client, *, as_json: bool) -> None:
    """Show endpoints and the configuration version in force.

    Example: chivewall status --json
    """
    answer = client.call("GET", "/operator/status")
    if as_json:
        click.echo(json.dumps(answer, indent=2))
        return
    for line in format_status(answer):
        click.echo(line)


def format_status(answer: dict[str, Any]) -> list[str]:
    """Return the lines of the table."""
    configuration = answer["configuration"]
    version = configuration["version"] if configuration else "none"
    head = f"entry {answer['entry']} in {answer['data_centre']}, configuration {version}"
    rows = [HEADINGS]
    rows += [tuple(_show(one[name]) for name in COLUMNS) for one in answer["endpoints"]]
    return [head, "", *format_table(rows)]


def format_table(rows: list[tuple[str, ...]]) -> list[str]:
    """Return rows as lines of aligned columns."""
    widths = [max(len(cell) for cell in column) for column in zip(*rows, strict=True)]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in rows
    ]


def _show(value: object) -> str:
    return "-" if value is None else str(value)
