"""``chivewall config`` and ``chivewall exceptions``."""

import json
from pathlib import Path
from typing import Any

import click
import json5

from chivewall.cli.client import Client, CommandError
from chivewall.exits import ExitStatus

AS_JSON = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
DOCUMENT = click.argument("file", type=click.Path(path_type=Path, exists=True, dir_okay=False))


@click.group()
def config() -> None:
    """Show and change the voted configuration."""


@config.command()
@AS_JSON
@click.pass_obj
def show(client: Client, *, as_json: bool) -> None:
    """Show the accepted document; edit it and raise its version by 1 to apply it."""
    del as_json  # the document is JSON in any case
    _print_json(client.call("GET", "/operator/config"))


@config.command()
@DOCUMENT
@AS_JSON
@click.pass_obj
def check(client: Client, file: Path, *, as_json: bool) -> None:
    """Check a document without applying it."""
    answer = client.call("POST", "/operator/config/check", read_document(file))
    _print(answer, "the document is valid", as_json=as_json)


@config.command()
@DOCUMENT
@AS_JSON
@click.pass_obj
def diff(client: Client, file: Path, *, as_json: bool) -> None:
    """Compare a document with the accepted one."""
    answer = client.call("POST", "/operator/config/diff", read_document(file))
    _print(answer, "\n".join(answer["difference"]) or "no difference", as_json=as_json)


@config.command()
@DOCUMENT
@AS_JSON
@click.pass_obj
def apply(client: Client, file: Path, *, as_json: bool) -> None:
    """Apply a document whose version is one above the accepted one."""
    answer = client.call("PUT", "/operator/config", read_document(file))
    _print(answer, f"version {answer['version']} is accepted", as_json=as_json)


@config.command()
@AS_JSON
@click.pass_obj
def history(client: Client, *, as_json: bool) -> None:
    """List the accepted versions, newest first."""
    answer = client.call("GET", "/operator/config/history")
    lines = [f"{one['version']}  {one['author']}: {one['reason']}" for one in answer["versions"]]
    _print(answer, "\n".join(lines), as_json=as_json)


@click.group()
def exceptions() -> None:
    """Show and change exceptions to the defaults."""


@exceptions.command(name="list")
@AS_JSON
@click.pass_obj
def list_exceptions(client: Client, *, as_json: bool) -> None:
    """List the exceptions with their reasons."""
    answer = client.call("GET", "/operator/exceptions")
    lines = [
        f"{one['id']}  {one['limit']} = {one['value']}  {one['author']}: {one['reason']}"
        for one in answer["exceptions"]
    ]
    _print(answer, "\n".join(lines) or "no exceptions", as_json=as_json)


@exceptions.command()
@DOCUMENT
@AS_JSON
@click.pass_obj
def add(client: Client, file: Path, *, as_json: bool) -> None:
    """Add the exception in a JSON file: id, limit, value, reason, author, expires_at."""
    answer = client.call("POST", "/operator/exceptions", read_document(file))
    _print(answer, f"version {answer['version']} is accepted", as_json=as_json)


def read_document(file: Path) -> Any:
    """Read a JSON file with comments; raises ``CommandError``."""
    try:
        return json5.loads(file.read_text(encoding="utf-8"))
    except (OSError, ValueError) as exc:
        message = f"{file}: {exc}\nCorrect the file and check it: chivewall config check {file}"
        raise CommandError(message, ExitStatus.INVALID_SETTINGS) from exc


def _print(answer: Any, text: str, *, as_json: bool) -> None:
    if as_json:
        _print_json(answer)
        return
    click.echo(text)


def _print_json(answer: Any) -> None:
    click.echo(json.dumps(answer, indent=2))
