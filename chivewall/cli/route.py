"""The ``chivewall route`` command."""

from pathlib import Path
from typing import Any

import click

from chivewall.cli.client import Client
from chivewall.cli.output import JSON_OPTION, format_cell, format_table, print_result


@click.command()
@click.argument("host")
@click.argument("path")
@click.option(
    "--header",
    "headers",
    multiple=True,
    metavar="NAME:VALUE",
    help="Header of the request, as its caller sends it; may be given several times.",
)
@click.option(
    "--header-file",
    type=click.Path(path_type=Path, exists=True, dir_okay=False),
    help="File with one header a line; keeps a workspace key out of the list of processes.",
)
@JSON_OPTION
@click.pass_obj
def route(
    client: Client,
    host: str,
    path: str,
    headers: tuple[str, ...],
    header_file: Path | None,
    *,
    as_json: bool,
) -> None:
    """Show where a request would go now and why, without sending it.

    Asks the gateway at --address, whose own placement answers. Each endpoint of
    the route's services is listed with the reason why it is chosen or not.

    Example: chivewall route desk.example /book/7 --header-file headers.txt
    """
    lines = [] if header_file is None else header_file.read_text(encoding="latin-1").splitlines()
    pairs = [_split(one) for one in (*headers, *filter(None, lines))]
    question = {"path": path, "headers": [("Host", host), *pairs]}
    answer = client.call("POST", "/operator/route", question)
    print_result(answer, format_route(answer), as_json=as_json)


def format_route(answer: dict[str, Any]) -> str:
    """Return the explanation as text."""
    found = answer["route"]
    again = "may run again" if found["may_run_again"] else "runs once at most"
    times = f"objective {found['objective_ms']:g} ms, limit {found['timeout_ms']:g} ms"
    lines = [
        f"route {found['name']}: {found['kind']}, {again}, {found['attempts']} attempts, {times}",
        f"priority {found['priority']}, configuration {answer['configuration']}",
        f"workspace {format_cell(answer['workspace'])}, gateway {answer['gateway']}",
    ]
    for service in answer["services"]:
        lines += ["", *_service_lines(service)]
    return "\n".join(lines)


def _service_lines(service: dict[str, Any]) -> list[str]:
    lines = [f"service {service['service']} (share {format_cell(service['share'])}): "]
    if service["outcome"] == "placed":
        engine = service["prefill_engine"]
        via = "" if engine is None else f", after a prefill at {engine}"
        lines[0] += f"to {service['endpoint']}{via}"
        lines.append(
            f"  {service['reason']}; answer expected after {service['estimate']:.3f} s,"
            f" {service['uncached_tokens']} tokens to prefill, rank {service['rank']}"
        )
        if service["permits"]:
            lines.append(f"  it first asks for permits for {', '.join(service['permits'])}")
    elif service["outcome"] == "refused":
        lines[0] += (
            f"refused, as an answer is expected after {service['estimate']:.3f} s; come back after"
            f" {service['retry_after']:g} s"
        )
    else:
        lines[0] += "refused, as no endpoint can take it"
    rows = [("  endpoint", "stage", "data centre", "reason")]
    rows += [
        (f"  {one['endpoint']}", one["stage"], one["data_centre"], one["reason"])
        for one in service["candidates"]
    ]
    return lines + format_table(rows)


def _split(header: str) -> tuple[str, str]:
    name, colon, value = header.partition(":")
    if not colon or not name.strip():
        raise click.BadParameter("a header must have the form NAME:VALUE")
    return name.strip(), value.strip()
