"""The ``--json`` option and the output of commands."""

import json
from typing import Any

import click

JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="Print one JSON value.")


def print_result(answer: Any, text: str, *, as_json: bool) -> None:
    """Print a response as JSON, or ``text`` instead."""
    click.echo(json.dumps(answer, indent=2, ensure_ascii=False) if as_json else text)


def format_table(rows: list[tuple[str, ...]]) -> list[str]:
    """Return the lines of a table with aligned columns."""
    widths = [max(len(cell) for cell in column) for column in zip(*rows, strict=True)]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in rows
    ]


def format_cell(value: object) -> str:
    """Return a value as the text of a table cell; ``-`` stands for ``None``."""
    return "-" if value is None else str(value)
