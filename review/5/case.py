"""Many users come at once, each with a large request inside the manifest's limits."""

import contextlib
import signal
import threading
import time
from pathlib import Path

from review.stand.client import Answer, Channel
from review.stand.deployment import HOST, TROUBLE, CaseError, Deployment, finish

CASE = Path(__file__).parent
MEMORY_MB = 300  # memoryMb of a front machine on the site's sheet
BODY_LIMIT = 4_194_304  # maxBodyBytes of the site's manifest
BODY = b"r" * 4_000_000
RUNNERS = 6
WORK_S = 3.0  # a runner's time for a request
USUAL_PER_S = 10.0  # of one of the site's five front machines: 53.5 a second in all
BURST_X = 2.4  # the sheet's burst of one kind of request: x = 2.4 for 6.7 s
BURST_S = 6.7
BURST_AT_S = 5.0
LENGTH_S = 16.0
DEADLINE_MS = 8000


def ask(site: Deployment, number: int, answers: list[Answer]) -> None:
    """Send a request on a channel that stays open."""
    headers = {"Host": HOST, "X-Request-Id": f"c{number}", "X-Deadline-Ms": str(DEADLINE_MS)}
    try:
        channel = Channel(site.front())
    except OSError as exc:
        now = time.monotonic()
        answers.append(Answer(f"c{number}", now, now, end=f"no channel: {exc!r}"))
        return
    answers.append(channel.request("POST", "/audit/1", headers, BODY))
    channel.close()


def limit_memory(site: Deployment, ended: threading.Event) -> None:
    """Kill a gateway that exceeds its memory, as the platform does."""
    process, peak = site.processes["front-0"], 0
    while not ended.wait(0.02) and process.poll() is None:
        with contextlib.suppress(OSError):
            statm = Path(f"/proc/{process.pid}/statm").read_text().split()
            now = int(statm[1]) * 4096 // 2**20
            peak = max(peak, now)
            if now > MEMORY_MB:
                site.record.write(f"front-0 uses {now} MB of {MEMORY_MB} MB")
                site.signal("front-0", signal.SIGKILL)
                process.wait(5)
    site.record.write(f"largest memory of front-0: {peak} MB")


def send_all(site: Deployment, answers: list[Answer]) -> None:
    """Play the traffic, with the burst in its middle."""
    began, number, threads = time.monotonic(), 0, []
    at = began
    while at < began + LENGTH_S and site.processes["front-0"].poll() is None:
        time.sleep(max(0.0, at - time.monotonic()))
        threads.append(threading.Thread(target=ask, args=(site, number, answers)))
        threads[-1].start()
        number += 1
        burst = TROUBLE and BURST_AT_S <= at - began < BURST_AT_S + BURST_S
        at += 1 / (USUAL_PER_S * (BURST_X if burst else 1.0))
    for one in threads:
        one.join()


def check() -> bool:
    """Return whether the process ended and lost requests that it had passed on."""
    with Deployment(CASE) as site:
        route = {"name": "audit", "service": "desk", "kind": "unsafe", "attempts": 1}
        site.publish(1, [{**route, "sloMs": 3000}], maxBodyBytes=BODY_LIMIT)
        for name in (f"desk-{one}" for one in range(1, RUNNERS + 1)):
            port = site.free_runner_port()
            address = site.start_runner(name, port, kind="plain", size=800, work_s=WORK_S)
            site.list_runner(name, "desk", address)
        site.start_gateway(0)
        site.wait_gateway(0)
        time.sleep(3.5)  # stableMs
        answers: list[Answer] = []
        ended = threading.Event()
        watcher = threading.Thread(target=limit_memory, args=(site, ended))
        watcher.start()
        send_all(site, answers)
        ended.set()
        watcher.join()
        run = {one["request"] for one in site.runner_events() if one["event"] == "run"}
        lost = [one for one in answers if one.request in run and one.status is None]
        served = sum(one.status == 200 and one.complete for one in answers)
        site.write_runner_events()
        for one in answers:
            site.record.write(
                f"client {one.request}: sent; status {one.status} after "
                f"{one.ended_at - one.sent_at:.2f} s, {one.end}",
                at=one.sent_at,
            )
        site.record.write(
            f"{len(answers)} requests, {served} served; passed on to a runner and lost: {len(lost)}"
        )
        if not TROUBLE and served < len(answers):
            raise CaseError("the usual traffic isn't served")
        return len(lost) > 3


if __name__ == "__main__":
    finish(check)
