"""Clients that send requests at a steady rate, and the record of a case."""

import json
import os
import signal
import sys
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from deployment import Answer, Site, send

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def prompt(part: str, number: int, events: int) -> dict[str, str]:
    """Return the headers of a prompt with a shared first part, a part, and a part of its own."""
    return {
        "X-Model": "m",
        "X-Token-Count": f"2000,{events}",
        "X-Prompt-Prefix": f"aa:100,{part}:1000,{number:06x}:900",
    }


@dataclass
class Clients:
    """Sends each request in a thread of its own, and keeps the answers."""

    site: Site
    answers: list[Answer] = field(default_factory=list)
    threads: list[threading.Thread] = field(default_factory=list)
    count: int = 0

    def send_later(
        self, route: str, kind: str, deadline_ms: int, headers: dict[str, str] | None = None
    ) -> None:
        """Send a request now, without waiting for its answer; the gateways take turns."""
        self.count += 1
        name, gateway = f"{kind}-{self.count}", self.count % len(self.site.ips)

        def run() -> None:
            found = send(self.site, gateway, route, name, deadline_ms=deadline_ms, headers=headers)
            self.answers.append(found)

        self.threads.append(threading.Thread(target=run))
        self.threads[-1].start()

    def join(self) -> None:
        """Wait for the ends of all requests."""
        for one in self.threads:
            one.join()

    def of_kind(self, kind: str) -> list[Answer]:
        """Return the answers to the requests of a kind, in the order of sending."""
        found = [one for one in self.answers if one.id.startswith(f"{kind}-")]
        return sorted(found, key=lambda one: one.sent_at)


def write_record(folder: Path, site: Site, clients: Clients, lines: list[str]) -> None:
    """Write what was seen, sent, answered and run to ``record.txt``."""
    text = [*lines, "", "requests: sent at, id, gateway, seconds, status, complete, error"]
    began = min((one.sent_at for one in clients.answers), default=0.0)
    text += [
        f"{one.sent_at - began:8.3f} {one.id} gateway-{one.gateway + 1} {one.seconds:.3f} "
        f"{one.status} {'complete' if one.complete else 'not complete'} {one.error}"
        for one in sorted(clients.answers, key=lambda answer: answer.sent_at)
    ]
    text += ["", "runners: at, runner, what, id"]
    for line in site.runner_log():
        text.append(f"{line['at'] - began:8.3f} {line['runner']} {line['what']} {line['id']}")
    (folder / "record.txt").write_text("\n".join(text) + "\n")


def run_case(folder: str, play: Callable[[Path], bool]) -> int:
    """Play a case; return 1 if the rule was broken, 0 if it held, 2 if it couldn't be played."""
    # The processes of the case are ended then too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        return int(play(Path(folder).resolve().parent))
    except Exception as exc:
        record = Path(folder).resolve().parent / "record.txt"
        record.write_text(f"the case could not run: {exc!r}\n{json.dumps(time.time())}\n")
        print(f"could not run: {exc!r}")  # noqa: T201
        return 2
