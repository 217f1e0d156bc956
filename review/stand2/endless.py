"""An engine sends bytes without an end; callers of another, sound service get no answers."""

import time
from pathlib import Path

from clients import TROUBLE, Clients, prompt, write_record
from deployment import Site, can_be_reached_in

TIMEOUT_MS = 800  # timeoutMs of the bookings' route
LATE_SECONDS = 0.5  # rule CONFIG: no final answer so long after it
LEAST = 8
SHARE = 0.25
CALM_SECONDS, TROUBLE_SECONDS = 5.0, 20.0
ROUTES = [
    {"name": "book", "service": "desk", "kind": "unsafe", "timeoutMs": TIMEOUT_MS, "sloMs": 200},
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


def play(folder: Path, unit: str, *, in_head: bool, engines: int = 1) -> bool:
    """Return whether the rule was broken.

    ``unit``: what so many engines of four send again and again.
    """
    site = Site(gateways=2)
    clients = Clients(site)
    try:
        for number in range(3):
            site.add_runner(f"desk-{number}", "desk", work_ms=50)
        for number in range(4):
            site.add_runner(f"engine-{number}", "engines", stage="decode")
        for runner in site.runners[-engines:] if TROUBLE else ():
            runner.options |= {
                "endless_after": str(site.folder / "trouble"),
                "endless_unit": unit,
                "endless_in_head": in_head,
            }
        site.start(ROUTES)
        probes = send_requests(site, clients)
        lines, broken = judge(site, clients, probes)
        write_record(folder, site, clients, lines)
    finally:
        site.stop()
    print("\n".join(lines))  # noqa: T201
    return broken


def send_requests(site: Site, clients: Clients) -> list[float]:
    """Send bookings and streams; return the times that the question for readiness took."""
    began, probes, turns = time.time(), [], 0
    while (elapsed := time.time() - began) < CALM_SECONDS + TROUBLE_SECONDS:
        if elapsed >= CALM_SECONDS:
            (site.folder / "trouble").touch()
        for _ in range(2):
            clients.send_later("book", "book", 1500)
        if turns % 2:
            for _ in range(2):
                headers = prompt(f"{clients.count % 20:04x}", clients.count, 8)
                clients.send_later("audit", "audit", 6000, headers)
        if turns % 5 == 0:
            probes.append(can_be_reached_in(site, turns // 5 % 2))
        turns += 1
        time.sleep(max(0.0, began + turns * 0.2 - time.time()))
    clients.join()
    return probes


def judge(site: Site, clients: Clients, probes: list[float]) -> tuple[list[str], bool]:
    """Return what was seen, and whether the rule was broken."""
    bookings = clients.of_kind("book")
    long = [one for one in bookings if one.seconds > TIMEOUT_MS / 1000]
    limit = TIMEOUT_MS / 1000 + LATE_SECONDS
    silent = [one for one in long if one.seconds > limit]
    broken = len(silent) >= LEAST and len(silent) > SHARE * len(long)
    ran = {line["id"] for line in site.runner_log() if line["what"] == "runs"}
    unanswered = [one for one in bookings if one.status is None]
    lines = [
        (
            f"trouble: {TROUBLE}; the rule CONFIG (requests longer than timeoutMs) was "
            f"{'broken' if broken else 'kept'}"
        ),
        f"bookings: {len(bookings)}, answered 200: {sum(one.status == 200 for one in bookings)}",
        f"bookings that lasted longer than {TIMEOUT_MS} ms: {len(long)}",
        f"of these without a final answer {LATE_SECONDS} s after that: {len(silent)}",
        (
            f"bookings that got no answer at all: {len(unanswered)}, of which a runner ran "
            f"{sum(one.id in ran for one in unanswered)}"
        ),
        f"longest answer to the question for readiness: {max(probes):.2f} s",
        (
            f"streams: {len(clients.of_kind('audit'))}, complete: "
            f"{sum(one.complete and one.status == 200 for one in clients.of_kind('audit'))}"
        ),
    ]
    return lines, broken
