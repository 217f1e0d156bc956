"""``chivewall explain``."""

from urllib.parse import quote

import click

from chivewall.cli.client import Client
from chivewall.cli.output import AS_JSON, show


@click.command()
@click.argument("request")
@AS_JSON
@click.pass_obj
def explain(client: Client, request: str, *, as_json: bool) -> None:
    """Tell what happened to a recent request, by the id in its X-Request-Id header.

    Ask the entry that served the request; --json also gives the raw events.

    Example: chivewall explain req-0123456789abcdef0123456789abcdef
    """
    answer = client.call("GET", f"/operator/requests/{quote(request, safe='')}")
    show(answer, "\n".join(answer["lines"]), as_json=as_json)
