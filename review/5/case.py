"""A runner in trouble sends bytes without an end, until the caller closes."""

import threading
import time
from pathlib import Path

from review.stand.client import Answer, Channel
from review.stand.deployment import HOST, TROUBLE, CaseError, Deployment, finish
from review.stand.runner import stream_body

CASE = Path(__file__).parent
TIMEOUT_S = 4.0  # timeoutMs of the route
DEADLINE_S = 8.0  # for which the clients wait
LATE_S = 0.5  # the rule's time for the final answer after the timeout
GATEWAYS = 5
CLIENTS = 10  # two at each gateway
BYTES_PER_S = 300_000  # of a client's line, until SLOW_S after its request
SLOW_S = 4.1  # a little longer than the timeout
EVENTS = 20
SOUND = {"kind": "stream", "events": EVENTS, "pause_s": 0.1}
IN_TROUBLE = {"kind": "endless", "unframed": True, "pause_s": 0.0125}  # some 2.5 MB a second
COUNTED = 8  # requests without a final answer that break the rule


def ask(site: Deployment, number: int, answers: list[Answer]) -> None:
    """Send a request on a kept channel and read until its deadline."""
    began = time.monotonic()

    def pace(size: int) -> None:
        """Read slowly at first, then as fast as bytes come."""
        if time.monotonic() < began + SLOW_S:
            time.sleep(size / BYTES_PER_S)

    front = site.front(number % GATEWAYS)
    channel = Channel(front, recv_buffer=32_768, pace=pace, patience_s=DEADLINE_S)
    headers = {
        "Host": HOST,
        "X-Request-Id": f"c{number}",
        "X-Deadline-Ms": str(int(DEADLINE_S * 1000)),
        "X-Model": "m",
        "X-Token-Count": f"300,{EVENTS}",
        "X-Prompt-Prefix": f"{number:x}a:200,{number:x}b:100",
    }
    answers.append(channel.request("POST", "/note/1", headers, b"{}"))
    channel.close()


def check() -> bool:
    """Return whether too many requests have no final answer after their route's timeout."""
    with Deployment(CASE, gateways=GATEWAYS) as site:
        route = {"name": "note", "service": "engines", "kind": "stream", "attempts": 1}
        times = {"timeoutMs": int(TIMEOUT_S * 1000), "sloMs": 3000, "gapSloMs": 300}
        site.publish(1, [{**route, **times, "sticky": True}])
        settings = IN_TROUBLE if TROUBLE else SOUND
        address = site.start_runner("engine-1", site.free_runner_port(), **settings)
        site.list_runner("engine-1", "engines", address, "decode")
        for number in range(GATEWAYS):
            site.start_gateway(number)
        for number in range(GATEWAYS):
            site.wait_gateway(number)
        time.sleep(3.5)  # stableMs
        answers: list[Answer] = []
        threads = [threading.Thread(target=ask, args=(site, n, answers)) for n in range(CLIENTS)]
        for one in threads:
            one.start()
        for one in threads:
            one.join()
        return judge(site, answers)


def judge(site: Deployment, answers: list[Answer]) -> bool:
    """Write what was seen, and return whether the rule was broken."""
    served = [one for one in answers if one.complete and one.body == stream_body(EVENTS)]
    late = [one for one in answers if one.ended_at - one.sent_at > TIMEOUT_S]
    open_still = [one for one in late if one.end.startswith("the channel is still open")]
    for one in answers:
        site.record.write(
            f"client {one.request}: sent; status {one.status}, {len(one.body)} bytes, the last one "
            f"after {one.last_byte_at - one.sent_at:.2f} s; after "
            f"{one.ended_at - one.sent_at:.2f} s: {one.end}",
            at=one.sent_at,
        )
    site.write_runner_events({one.request for one in answers if one not in served})
    site.record.write(
        f"{len(answers)} requests, {len(served)} served; lasting longer than the timeout: "
        f"{len(late)}; without a final answer {DEADLINE_S - TIMEOUT_S:.1f} s after it: "
        f"{len(open_still)}"
    )
    if not TROUBLE and len(served) < len(answers):
        raise CaseError("not all requests were served")
    return len(open_still) >= COUNTED and len(open_still) > len(late) / 4


if __name__ == "__main__":
    finish(check)
