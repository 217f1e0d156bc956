"""A machine that the store turned away during changes of a large manifest keeps the old one."""

import json
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand2"))

from clients import TROUBLE, Clients, run_case, write_record
from deployment import HOST, Site
from store_path import StorePath, keep_history

from chivewall.standins import platform_store

CONFIG_SECONDS = 3.0  # configMs
STABLE_SECONDS = 4.0  # stableMs
HISTORY_SECONDS = 20.0  # historyS
VALUE_BYTES = 1_048_576  # valueBytes
CHANGES, GAP_SECONDS = 12, 0.33  # of the manifest, as in the days of the site file
AWAY_SECONDS = 4.5  # the store turns one machine away
LEAST = 3  # requests, so that no single one decides
ROUTES = 3_000


def routes_to(service: str) -> list[dict]:
    """Return the routes of a manifest; the first one leads to a service."""
    common = {"kind": "safe", "attempts": 2, "timeoutMs": 800, "sloMs": 200}
    filler = "x" * 190
    others = [
        {"name": f"r{one}", "pathPrefix": f"/r{one}-{filler}/", "service": "desk", **common}
        for one in range(ROUTES)
    ]
    return [{"name": "read", "service": service, **common}, *others]


def compact(document: object) -> bytes:
    """Return a document as the store sends it."""
    return json.dumps(document, separators=(",", ":")).encode()


def play(folder: Path) -> bool:
    """Return whether the rule was broken."""
    platform_store.encode_document = compact
    site = Site(gateways=3)
    clients = Clients(site)
    try:
        for service in ("desk", "new-desk"):
            for number in range(2):
                site.add_runner(f"{service}-{number}", service, work_ms=20)
        site.open_store()
        path = StorePath(site.store_address)
        site.store_paths[0] = path.address
        site.start(routes_to("desk"))
        arguments = (site.store, HISTORY_SECONDS, site.stopping)
        threading.Thread(target=keep_history, args=arguments, daemon=True).start()
        acked_at, back_at = change(site, path)
        while time.time() < back_at + 25.0:
            for _ in range(3):
                clients.send_later("read", "read", 1500)
            time.sleep(0.3)
        clients.join()
        lines, broken = judge(site, clients, max(acked_at + CONFIG_SECONDS, back_at) + 1.0)
        lines += ["", "answers of the store to gateway-1 (bytes):"]
        lines += [
            f"{at - back_at:8.3f} {call} {status} {size}"
            for at, call, status, size in path.lengths
            if size > VALUE_BYTES // 2 or status != 200
        ]
        write_record(folder, site, clients, lines)
    finally:
        site.stop()
    print("\n".join(lines))  # noqa: T201
    return broken


def change(site: Site, path: StorePath) -> tuple[float, float]:
    """Change the manifest while one machine is turned away.

    Returns the times of the last version's ack and of the end of the trouble.
    """
    time.sleep(STABLE_SECONDS)
    began = time.time()
    if TROUBLE:
        path.turn_away()
    for version in range(2, 2 + CHANGES):
        time.sleep(GAP_SECONDS)
        last = version == 1 + CHANGES
        site.put_manifest(version, routes_to("new-desk" if last else "desk"))
    acked_at = time.time()
    time.sleep(max(0.0, began + AWAY_SECONDS - time.time()))
    path.away = False
    return acked_at, time.time()


def judge(site: Site, clients: Clients, back_at: float) -> tuple[list[str], bool]:
    """Return what was seen, and whether the rule was broken."""
    ran_by = {
        line["id"]: line["runner"].rpartition("-")[0].rpartition("-")[0]
        for line in site.runner_log()
        if line["what"] == "runs"
    }
    counted = [one for one in clients.of_kind("read") if one.sent_at > back_at + STABLE_SECONDS]
    old = [one for one in counted if ran_by.get(one.id) == "desk"]
    broken = len(old) >= LEAST
    size = len(compact(site.store.respond("/objects/config/main")[1]))
    lines = [
        f"trouble: {TROUBLE}; the rule CONFIG was {'broken' if broken else 'kept'}",
        f"host {HOST}, the manifest has {size} bytes (valueBytes: {VALUE_BYTES})",
        f"requests later than {STABLE_SECONDS + 1} s after all is calm: {len(counted)}",
        f"of these run by the old service: {len(old)}",
        f"gateways that sent these: {sorted({one.gateway + 1 for one in old})}",
    ]
    if old:
        lines.append(
            f"the last of them {max(one.sent_at for one in old) - back_at:.1f} s after that"
        )
    return lines, broken


if __name__ == "__main__":
    sys.exit(run_case(__file__, play))
