"""The ``chivewall exceptions`` commands."""

import re
import time
from datetime import UTC, datetime
from typing import Any
from urllib.parse import quote

import click

from chivewall.cli.change import send_change, wait_options
from chivewall.cli.client import Client
from chivewall.cli.output import JSON_OPTION, format_cell, format_table, print_result
from chivewall.configuration import LimitName
from chivewall.work import Rank

UNIT_SECONDS = {"m": 60, "h": 3600, "d": 86400, "w": 604800}
HEADINGS = ("ID", "LIMIT", "VALUE", "FOR", "EXPIRES", "AUTHOR", "REASON")


class Expiry(click.ParamType):
    """Option type for a deadline: a duration such as ``7d``, or an ISO 8601 time with its zone."""

    name = "time"

    def convert(self, value: Any, param: Any, ctx: Any) -> float:
        """Return the deadline as Unix time in seconds; fails for times without a zone."""
        if isinstance(value, float):
            return value
        duration = re.fullmatch(r"(\d+)([mhdw])", value)
        if duration is not None:
            return time.time() + int(duration[1]) * UNIT_SECONDS[duration[2]]
        try:
            at = datetime.fromisoformat(value)
        except ValueError:
            at = None
        if at is None or at.tzinfo is None:
            self.fail(
                f"{value!r} is neither a duration (30m, 12h, 7d, 2w) nor a time with its zone "
                "(2027-01-31T18:00+03:00)",
                param,
                ctx,
            )
        return at.timestamp()


@click.group()
def exceptions() -> None:
    """Show and change exceptions to the default limits.

    Example: chivewall exceptions list
    """


@exceptions.command(name="list")
@JSON_OPTION
@click.pass_obj
def list_exceptions(client: Client, *, as_json: bool) -> None:
    """List the exceptions with their reasons.

    Example: chivewall exceptions list --json
    """
    answer = client.call("GET", "/operator/exceptions")
    rows = [HEADINGS, *(_row(one) for one in answer["exceptions"])]
    text = "\n".join(format_table(rows)) if answer["exceptions"] else "no exceptions"
    print_result(answer, text, as_json=as_json)


@exceptions.command()
@click.argument("name", metavar="ID")
@click.option(
    "--limit",
    type=click.Choice([one.value for one in LimitName]),
    required=True,
    help="The limit that the exception changes.",
)
@click.option(
    "--value", type=float, required=True, help="Value of the limit for the requests covered."
)
@click.option("--reason", required=True, help="Reason, which members can read and contest.")
@click.option("--author", required=True, help="Person responsible for the exception.")
@click.option(
    "--expires",
    type=Expiry(),
    required=True,
    help="When it ends: a duration (30m, 12h, 7d, 2w) or a time with its zone.",
)
@click.option("--workspace", help="Only for this workspace.")
@click.option("--model", help="Only for this model or service.")
@click.option("--rank", type=click.Choice([one.value for one in Rank]), help="Only for this rank.")
@wait_options
@JSON_OPTION
@click.pass_obj
def add(
    client: Client, name: str, *, wait: bool, timeout: float, as_json: bool, **fields: Any
) -> None:
    """Add the exception ID, which expires at its deadline.

    Example: chivewall exceptions add night-audit --limit output_tokens --value 16384
    --workspace tower-crew --reason "season audit, vote 12" --author asha --expires 7d
    """
    fields["expires_at"] = fields.pop("expires")
    body = {"id": name, **{key: value for key, value in fields.items() if value is not None}}
    send_change(
        client,
        lambda session: session.call("POST", "/operator/exceptions", body),
        wait=wait,
        timeout=timeout,
        as_json=as_json,
    )


@exceptions.command()
@click.argument("name", metavar="ID")
@click.option("--reason", required=True, help="Reason for removing it before its deadline.")
@click.option("--author", required=True, help="Person responsible for the change.")
@wait_options
@JSON_OPTION
@click.pass_obj
def remove(
    client: Client,
    name: str,
    *,
    reason: str,
    author: str,
    wait: bool,
    timeout: float,
    as_json: bool,
) -> None:
    """Remove the exception ID before its deadline.

    Example: chivewall exceptions remove night-audit --author asha --reason "the audit is over"
    """
    path = f"/operator/exceptions/{quote(name, safe='')}"
    headers = {"X-Author": author, "X-Reason": reason}
    send_change(
        client,
        lambda session: session.call("DELETE", path, headers=headers),
        wait=wait,
        timeout=timeout,
        as_json=as_json,
    )


def _row(one: dict[str, Any]) -> tuple[str, ...]:
    scope = [one[key] for key in ("workspace", "model", "rank") if one.get(key)]
    expires = datetime.fromtimestamp(one["expires_at"], UTC).strftime("%Y-%m-%d %H:%MZ")
    return (
        one["id"],
        one["limit"],
        f"{one['value']:g}",
        ", ".join(scope) or "all",
        expires,
        format_cell(one["author"]),
        format_cell(one["reason"]),
    )
