"""A prompt part crashes each engine that has begun to write an answer on it."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand2"))

from clients import TROUBLE, Clients, prompt, run_case, write_record
from deployment import Answer, Site

STABLE_SECONDS = 3.0  # stableMs
MOST = 3  # rule BUDGET: arrivals later than stableMs after the fifth crash
CRASHES = 5
SECONDS = 28.0
DEADLY_FROM = 8.0  # seconds after the start of the sound requests
TURN_SECONDS = 0.05  # between two sound requests
TURNS_TO_DEADLY = 33  # a share of 0.03
EVENTS = 10
ROUTES = [
    {
        "name": "audit",
        "service": "engines",
        "kind": "stream",
        "attempts": 2,
        "timeoutMs": 6000,
        "sloMs": 800,
        "gapSloMs": 300,
        "resumable": True,
        "sticky": True,
    },
]


def play(folder: Path) -> bool:
    """Return whether the rule was broken."""
    site = Site(gateways=3)
    clients = Clients(site)
    try:
        for number in range(6):
            site.add_runner(
                f"engine-{number}",
                "engines",
                stage="decode",
                events=EVENTS,
                gap_ms=50,
                deadly_parts=["dead"] if TROUBLE else [],
                deadly_events=1,
            )
        site.start(ROUTES, down_seconds=2.5)
        send_requests(clients)
        lines, broken = judge(site, clients)
        write_record(folder, site, clients, lines)
    finally:
        site.stop()
    print("\n".join(lines))  # noqa: T201
    return broken


def send_requests(clients: Clients) -> None:
    """Send twenty sound requests a second, and a share of 0.03 with the deadly part."""
    began, turns = time.time(), 0
    while time.time() - began < SECONDS:
        headers = prompt(f"{clients.count % 10:04x}", clients.count, EVENTS)
        clients.send_later("audit", "sound", 6000, headers)
        if turns % TURNS_TO_DEADLY == 0 and time.time() - began > DEADLY_FROM:
            headers = prompt("dead", clients.count, EVENTS)
            clients.send_later("audit", "deadly", 6000, headers)
        turns += 1
        time.sleep(max(0.0, began + turns * TURN_SECONDS - time.time()))
    clients.join()


def judge(site: Site, clients: Clients) -> tuple[list[str], bool]:
    """Return what was seen, and whether the rule was broken."""
    crashes = sorted(at for one in site.runners for at in one.crashed_at)
    arrivals = [
        line
        for line in site.runner_log()
        if line["what"] == "arrives" and line["id"].startswith("deadly")
    ]
    from_then = crashes[CRASHES - 1] + STABLE_SECONDS if len(crashes) >= CRASHES else None
    late = [one for one in arrivals if from_then is not None and one["at"] > from_then]
    broken = len(late) > MOST
    sound = clients.of_kind("sound")
    began = sound[0].sent_at
    before = [one for one in sound if one.sent_at < began + DEADLY_FROM - 1]
    after = [one for one in sound if one.sent_at >= began + DEADLY_FROM + 2 * STABLE_SECONDS]
    lines = [
        (
            f"trouble: {TROUBLE}; the rule BUDGET (parts that crash runners) was "
            f"{'broken' if broken else 'kept'}"
        ),
        (
            f"requests with it: {len(clients.of_kind('deadly'))}, arrivals of them at runners: "
            f"{len(arrivals)}, crashes: {len(crashes)}"
        ),
        f"arrivals later than {STABLE_SECONDS} s after the fifth crash: {len(late)}",
        f"sound requests before: {describe(before)}",
        f"sound requests from {2 * STABLE_SECONDS} s after the first crash on: {describe(after)}",
    ]
    return lines, broken


def describe(answers: list[Answer]) -> str:
    """Return how many requests were answered, and how."""
    complete = sum(one.complete and one.status == 200 for one in answers)
    begun = sum(one.status == 200 for one in answers)
    refused = sum(one.status == 503 for one in answers)
    return f"{len(answers)}, begun {begun}, complete {complete}, refused {refused}"


if __name__ == "__main__":
    sys.exit(run_case(__file__, play))
