"""Measures what claims cost: ``python -m bench.claims`` prints one table.

Bookings go straight to real agent tasks on a virtual clock, with and without
claims in the same run.
"""

import random
import statistics

from attrs import define, field
from twisted.internet.defer import Deferred

from bench.site import Site
from bench.stores import FaultyStore
from chivewall.decisions.claims import hashed_key, shard_number
from chivewall.messages import AttemptArrived
from chivewall.plugins.builtin.claims import ClaimsSettings
from chivewall.task import Inbox
from chivewall.work import Answer, Attempt, Call, Rank, Request

SERVICE = "shift-booking"
AGENTS = ("booking-1", "booking-2", "booking-3")
SHARDS = ClaimsSettings().shards
STORE_SECONDS = 0.005  # latency of one call of the object API
LOAD_SECONDS = 5.0
SETTLE_SECONDS = 20.0
PLAIN = ("configuration", "admission")


@define(eq=False)
class Load:
    """Bookings at three agents and when each was answered."""

    claimed: bool = True
    affinity: bool = False
    settings: dict[str, object] = field(factory=dict)
    site: Site = field(init=False)
    took: list[float] = field(factory=list)
    refused: int = 0
    sent: int = 0

    def __attrs_post_init__(self) -> None:
        options = {} if self.claimed else {"service_plugins": PLAIN}
        options["sections"] = dict.fromkeys(
            AGENTS, {"claims": self.settings} if self.settings else {}
        )
        self.site = Site(seed=1, make_store=FaultyStore, **options)
        for name in AGENTS:
            self.site.add_service(name, "Mombasa", SERVICE)
        self.site.settle()
        self.site.store.latency = STORE_SECONDS
        self.site.store.reads = self.site.store.writes = 0

    def book(self, agent: str) -> None:
        """Send one booking with a key of its own."""
        self.sent += 1
        key = f"key-{self.sent}"
        if self.affinity:
            shard = shard_number(SERVICE, "w", key, self.settings.get("shards", SHARDS))
            agent = max(AGENTS, key=lambda one: hashed_key(SERVICE, one, str(shard)))
        work = Call(service=SERVICE, method="POST", path="/x", body=key.encode())
        now = self.site.clock.now
        request = Request(key, "w", Rank.URGENT, deadline=now + 10, work=work, idempotency_key=key)
        admission = self.site.links.agents[agent]
        attempt = Attempt(request, 1, endpoint=agent, incarnation=admission.incarnation)
        sink = Inbox()
        sink.get().addCallback(self._part, sink, now)
        admission.send(AttemptArrived(attempt=attempt, sink=sink))

    def run(self, rate: float, seconds: float = LOAD_SECONDS) -> None:
        """Send bookings at random times and agents until the load ends."""
        rng = random.Random(2)
        clock = self.site.clock
        for _ in range(int(rate * seconds)):
            clock.callLater(rng.uniform(0, seconds), self.book, rng.choice(AGENTS))
        clock.run_until(clock.now + seconds + SETTLE_SECONDS)

    def row(self, name: str) -> str:
        """Return one line of the table."""
        store = self.site.store
        ordered = sorted(self.took)
        p95 = ordered[int(len(ordered) * 0.95)] if ordered else 0.0
        median = statistics.median(ordered) if ordered else 0.0
        return (
            f"| {name} | {self.sent} | {len(ordered)} | {self.refused} "
            f"| {store.writes / self.sent:.2f} | {store.reads / self.sent:.2f} "
            f"| {1000 * median:.1f} | {1000 * p95:.1f} |"
        )

    def _part(self, part: object, sink: Inbox, started: float) -> None:
        if not part.last:
            again: Deferred = sink.get()
            again.addCallback(self._part, sink, started)
        elif isinstance(part.body, Answer):
            self.took.append(self.site.clock.now - started)
        else:
            self.refused += 1


VARIANTS = (
    ("no claims", {"claimed": False}),
    ("claims, random agent", {}),
    ("claims, agent by shard", {"affinity": True}),
    (
        "claims, agent by shard, 8 shards, 20 ms window",
        {"affinity": True, "settings": {"shards": 8, "window_ms": 20.0}},
    ),
)


def main() -> None:
    """Print the table."""
    print("| load | sent | answered | refused | writes each | reads each | median ms | p95 ms |")
    print("|---|---|---|---|---|---|---|---|")
    for name, options in VARIANTS:
        alone = Load(**options)
        for _ in range(10):
            alone.book(AGENTS[0])
            alone.site.clock.run_until(alone.site.clock.now + 2)
        print(alone.row(f"{name}, alone"))
        for rate in (100, 600):
            load = Load(**options)
            load.run(rate)
            print(load.row(f"{name}, {rate}/s"))
        outage = Load(**options)
        outage.site.store.down = True
        outage.run(100)
        print(outage.row(f"{name}, 100/s, object API down"))


if __name__ == "__main__":
    main()
