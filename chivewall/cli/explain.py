"""``chivewall explain``."""

import json

import click

from chivewall.cli.client import Client


@click.command()
@click.argument("request")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.pass_obj
def explain(client: Client, request: str, *, as_json: bool) -> None:
    """Tell what happened to a recent request, by the id in its X-Request-Id header."""
    answer = client.call("GET", f"/operator/requests/{request}")
    click.echo(json.dumps(answer, indent=2) if as_json else "\n".join(answer["lines"]))
