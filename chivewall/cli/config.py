"""The ``chivewall config`` commands."""

from pathlib import Path
from typing import Any

import click
import json5

from chivewall.cli.change import send_change, wait_options
from chivewall.cli.client import Client, CommandError
from chivewall.cli.output import JSON_OPTION, print_result
from chivewall.exits import ExitStatus

FILE_ARGUMENT = click.argument("file", type=click.Path(path_type=Path, exists=True, dir_okay=False))


@click.group()
def config() -> None:
    """Show and change the configuration that members vote on.

    Example: chivewall config show > new.json
    """


@config.command(name="show")
@JSON_OPTION
@click.pass_obj
def show_document(client: Client, *, as_json: bool) -> None:
    """Show the accepted document; to change it, edit it, raise its version by 1 and apply it.

    Example: chivewall config show > new.json
    """
    del as_json  # the document is JSON in any case
    print_result(client.call("GET", "/operator/config"), "", as_json=True)


@config.command()
@FILE_ARGUMENT
@JSON_OPTION
@click.pass_obj
def check(client: Client, file: Path, *, as_json: bool) -> None:
    """Check a document without applying it.

    Example: chivewall config check new.json
    """
    answer = client.call("POST", "/operator/config/check", read_document(file))
    print_result(answer, "the document is valid", as_json=as_json)


@config.command()
@FILE_ARGUMENT
@JSON_OPTION
@click.pass_obj
def diff(client: Client, file: Path, *, as_json: bool) -> None:
    """Compare a document with the accepted one.

    Example: chivewall config diff new.json
    """
    answer = client.call("POST", "/operator/config/diff", read_document(file))
    print_result(answer, "\n".join(answer["difference"]) or "no difference", as_json=as_json)


@config.command()
@FILE_ARGUMENT
@wait_options
@JSON_OPTION
@click.pass_obj
def apply(client: Client, file: Path, *, wait: bool, timeout: float, as_json: bool) -> None:
    """Apply a document whose version is one above the accepted one.

    With --wait, the command waits until the version is in force at every
    endpoint that the entry knows, and lists the others if it times out.

    Example: chivewall config apply new.json --wait --timeout 13
    """
    document = read_document(file)
    send_change(
        client,
        lambda session: session.call("PUT", "/operator/config", document),
        wait=wait,
        timeout=timeout,
        as_json=as_json,
    )


@config.command()
@JSON_OPTION
@click.pass_obj
def history(client: Client, *, as_json: bool) -> None:
    """List the accepted versions, newest first.

    Example: chivewall config history
    """
    answer = client.call("GET", "/operator/config/history")
    lines = [f"{one['version']}  {one['author']}: {one['reason']}" for one in answer["versions"]]
    print_result(answer, "\n".join(lines), as_json=as_json)


def read_document(file: Path) -> Any:
    """Read a JSON file with comments; raises ``CommandError``."""
    try:
        return json5.loads(file.read_text(encoding="utf-8"))
    except (OSError, ValueError) as exc:
        raise CommandError(
            f"{file}: {exc}",
            ExitStatus.INVALID_SETTINGS,
            f"correct the file, then chivewall config check {file}",
        ) from exc
