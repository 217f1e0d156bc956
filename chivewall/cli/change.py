"""Sends a configuration change and, with ``--wait``, waits until it is in force everywhere."""

from collections.abc import Callable
from typing import Any

import click

from chivewall.cli.client import Client, CommandError, Session
from chivewall.cli.output import print_result
from chivewall.exits import ExitStatus

POLL_SECONDS = 0.5  # interval between two queries while waiting
IN_FORCE_SECONDS = 13.0  # time within which a change must be in force everywhere
MAX_LAGGING_SHOWN = 10  # maximum number of endpoints listed in the error message


def wait_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add ``--wait`` and ``--timeout`` to a command."""
    command = click.option(
        "--timeout",
        type=click.FloatRange(min=0),
        default=IN_FORCE_SECONDS,
        show_default=True,
        help="Maximum time that --wait waits, in seconds.",
    )(command)
    return click.option(
        "--wait", is_flag=True, help="Return when the change is in force everywhere."
    )(command)


def send_change(
    client: Client,
    send: Callable[[Session], Any],
    *,
    wait: bool,
    timeout: float,
    as_json: bool,
) -> None:
    """Send a change and print the accepted version; raises ``CommandError``."""
    try:
        answer = client.run(
            lambda session: _send_and_wait(session, send, timeout if wait else None)
        )
    except click.Abort as exc:
        message = "interrupted; the change may have been accepted"
        raise CommandError(message, ExitStatus.FAILED, "chivewall config history") from exc
    text = f"version {answer['version']} is accepted"
    if not wait:
        print_result(answer, text, as_json=as_json)
        return
    if answer["in_force"]:
        names = ", ".join(one["name"] for one in answer["data_centres"])
        print_result(answer, f"{text} and in force in {names}", as_json=as_json)
        return
    if as_json:
        print_result(answer, text, as_json=True)
    raise _not_in_force(answer, text, timeout)


async def _send_and_wait(
    session: Session, send: Callable[[Session], Any], seconds: float | None
) -> dict[str, Any]:
    accepted = await send(session)
    if seconds is None:
        return accepted
    deadline = session.now + seconds
    while True:
        answer = await _poll(session, accepted["version"], last=session.now >= deadline)
        if answer is not None and (answer["in_force"] or session.now >= deadline):
            return answer
        await session.sleep(min(POLL_SECONDS, max(0.0, deadline - session.now)))


async def _poll(session: Session, version: int, *, last: bool) -> dict[str, Any] | None:
    try:
        return await session.call("GET", f"/operator/config/in-force/{version}")
    except CommandError as exc:
        if not last:
            return None
        message = f"version {version} is accepted, but it is unknown where it is in force: "
        raise CommandError(
            message + exc.message.partition("\n")[0],
            ExitStatus.NOT_IN_FORCE,
            "chivewall status",
        ) from exc


def _not_in_force(answer: dict[str, Any], text: str, timeout: float) -> CommandError:
    lags = answer["lagging"]
    lines = [f"{text}, but not in force everywhere after {timeout:g} s:"]
    if not answer["entry"]["in_force"]:
        lines.append(f"  entry {answer['entry']['name']}")
    lines += [
        f"  {one['endpoint']} in {one['data_centre']}: {one['state']}, "
        f"version {one['version'] if one['version'] is not None else 'not reported'}"
        for one in lags[:MAX_LAGGING_SHOWN]
    ]
    if len(lags) > MAX_LAGGING_SHOWN:
        lines.append(f"  and {len(lags) - MAX_LAGGING_SHOWN} more endpoints")
    if not lags and not answer["data_centres"]:
        lines.append("  this entry knows no endpoint yet")
    return CommandError(
        "\n".join(lines), ExitStatus.NOT_IN_FORCE, "chivewall status, to see the endpoints named"
    )
