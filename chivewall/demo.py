"""``make demo`` and ``make run``: a whole embedded site in one process."""

import json
import sys
from typing import Any

import click
import treq
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import deferLater
from twisted.web.iweb import IResponse

from chivewall.daemon import Daemon
from chivewall.environment import Environment
from chivewall.kernel import Application
from chivewall.reactor import install_reactor
from chivewall.settings import parse

MAX_READY_CHECKS = 100
READY_CHECK_SECONDS = 0.1  # interval between two checks for readiness
MODEL = "rota-assistant"
SETTINGS = """
{
  "role": "embedded", "instance": "demo", "data_centre": "Mombasa",
  "plugins": ["embedded"], "drain_seconds": 10.0,
  "embedded": {"port": %d, "models": ["rota-assistant"], "services": ["shift-booking"]}
}
"""
QUESTIONS = (
    ("urgent", "Who guards tower 4 at high tide?"),
    ("standard", "Draft a handover note for the north beach."),
    ("patient", "Check the season's rota against the safety manual."),
)


@click.command()
@click.option("--stay", is_flag=True, help="Keep running until SIGTERM or Ctrl-C.")
@click.option("--port", default=0, show_default=True, help="TCP port; 0 takes a free one.")
@click.option("--log", type=click.File("w"), default=None, help="File for the event log.")
def main(*, stay: bool, port: int, log: Any) -> None:
    """Run a whole site in this process: entry, agents and stand-in endpoints."""
    reactor = install_reactor()
    stderr = log or (sys.stderr if stay else open_null())
    env = Environment.build(parse(SETTINGS % port), reactor, stdout=sys.stdout, stderr=stderr)
    app = Application(env)
    daemon = Daemon(app, reactor)
    reactor.callWhenRunning(lambda: ensureDeferred(_run_demo(daemon, env, stay=stay)))
    sys.exit(daemon.run())


def open_null() -> Any:
    """Return a stream that discards what is written to it."""
    return click.open_file("/dev/null", "w")


async def _run_demo(daemon: Daemon, env: Environment, *, stay: bool) -> None:
    from chivewall.plugins.builtin.http_api import HttpApiPlugin  # noqa: PLC0415

    for _ in range(MAX_READY_CHECKS):
        if env.find(HttpApiPlugin) is not None and daemon.app.ready():
            break
        await deferLater(env.clock, READY_CHECK_SECONDS, lambda: None)
    base = f"http://127.0.0.1:{env.require(HttpApiPlugin).port}"
    show = Demo(base, env)
    if stay:
        show.print_line(f"chivewall listens on {base}; try:")
        body = json.dumps({"model": MODEL, "messages": [{"role": "user", "content": "hello"}]})
        show.print_line(f"  curl {base}/v1/chat/completions -d '{body}'")
        return
    try:
        await show.send_all()
    finally:
        daemon.shut_down()


class Demo:
    """Sends the requests of the demo and prints a line or two about each."""

    def __init__(self, base: str, env: Environment) -> None:
        self.base_url = base
        self.env = env

    def print_line(self, text: str) -> None:
        """Print one line."""
        click.echo(text, file=self.env.stdout)

    async def send_all(self) -> None:
        """Send all requests of the demo, one after the other."""
        for rank, question in QUESTIONS:
            await self.send_completion(rank, question)
        await self.send_stream()
        first = await self.send_booking()
        again = await self.send_booking()
        same = "the same booking" if first == again else "ANOTHER booking"
        self.print_line(f"the repeat with the same Idempotency-Key got {same}")

    async def send_completion(self, rank: str, question: str) -> None:
        """Send a completion request of one rank and print the response."""
        started = self.env.now
        response = await self._chat({"X-Rank": rank}, question, stream=False)
        answer = await treq.json_content(response)
        text = answer["choices"][0]["message"]["content"].strip()
        seconds = self.env.now - started
        self.print_line(
            f"{rank:9}{response.code} {seconds:5.2f} s  {question}\n           -> {text}"
        )

    async def send_stream(self) -> None:
        """Send a streamed completion request and print the number of its events."""
        started = self.env.now
        response = await self._chat({"X-Rank": "urgent"}, "Count the towers.", stream=True)
        chunks: list[bytes] = []
        await treq.collect(response, chunks.append)
        events = b"".join(chunks).count(b"data: ")
        self.print_line(
            f"stream   {response.code} {self.env.now - started:5.2f} s  {events} events"
        )

    async def send_booking(self) -> str:
        """Send a booking with the same idempotency key each time; return the booking's id."""
        response = await treq.post(
            f"{self.base_url}/services/shift-booking/shifts",
            data=b'{"guard": "Amina", "tower": 4}',
            headers={"Idempotency-Key": "demo-1", "X-Rank": "urgent"},
        )
        booking = await treq.json_content(response)
        self.print_line(f"booking  {response.code}          {json.dumps(booking)}")
        return booking.get("booking", "")

    def _chat(self, headers: dict[str, str], question: str, *, stream: bool) -> Deferred[IResponse]:
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": question}],
            "max_tokens": 12,
            "stream": stream,
        }
        return treq.post(f"{self.base_url}/v1/chat/completions", json=body, headers=headers)


if __name__ == "__main__":
    main()
