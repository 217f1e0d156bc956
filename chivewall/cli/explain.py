"""The ``chivewall explain`` command."""

from pathlib import Path
from urllib.parse import quote

import click
from attrs import asdict

from chivewall.cli.client import Client
from chivewall.cli.logs import read_lines, request_lines
from chivewall.cli.output import JSON_OPTION, print_result


@click.command()
@click.argument("request")
@click.option(
    "--log",
    "logs",
    multiple=True,
    type=click.Path(path_type=Path, exists=True, dir_okay=False),
    help="Read log files instead of asking an entry; may be given several times.",
)
@JSON_OPTION
@click.pass_obj
def explain(client: Client, request: str, logs: tuple[Path, ...], *, as_json: bool) -> None:
    """Show what happened to a request, by the id in its X-Request-Id header.

    Asks the entry that served a recent request, or reads the log files of
    daemons. --json also prints the raw events.

    Example: chivewall explain 9c41d07be2a35f68 --log front-1.log --log front-2.log
    """
    if logs:
        _explain_from_logs(request, logs, as_json=as_json)
        return
    answer = client.call("GET", f"/operator/requests/{quote(request, safe='')}")
    print_result(answer, "\n".join(answer["lines"]), as_json=as_json)


def _explain_from_logs(request: str, logs: tuple[Path, ...], *, as_json: bool) -> None:
    found = request_lines((line for path in logs for line in read_lines(path)), request)
    if not found:
        raise click.ClickException(f"no line of the log files contains request {request}")
    print_result([asdict(one) for one in found], "\n".join(map(str, found)), as_json=as_json)
