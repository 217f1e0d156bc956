"""The ``chivewall`` command group and its options."""

from pathlib import Path

import click

from chivewall import __version__
from chivewall.cli.client import Client
from chivewall.cli.config import config
from chivewall.cli.exceptions import exceptions
from chivewall.cli.explain import explain
from chivewall.cli.route import route
from chivewall.cli.status import status
from chivewall.exits import ExitStatus

EPILOG = "Exit statuses: " + ", ".join(f"{one.value} {one.name.lower()}" for one in ExitStatus)


@click.group(epilog=EPILOG, context_settings={"auto_envvar_prefix": "CHIVEWALL"})
@click.version_option(__version__, prog_name="chivewall")
@click.option(
    "--address",
    default="http://127.0.0.1:8080",
    show_default=True,
    help="Base URL of any entry.",
)
@click.option(
    "--token-file",
    type=click.Path(path_type=Path, exists=True, dir_okay=False),
    help="File with the operator token.",
)
@click.pass_context
def main(ctx: click.Context, address: str, token_file: Path | None) -> None:
    """Show the state of a chivewall site, and show and change its configuration.

    Example: chivewall --address http://127.0.0.1:8080 status
    """
    ctx.obj = Client(base_url=address.rstrip("/"), token_file=token_file)


main.add_command(config)
main.add_command(exceptions)
main.add_command(explain)
main.add_command(route)
main.add_command(status)
