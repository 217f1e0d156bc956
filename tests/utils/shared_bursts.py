"""Plays workspaces that compete for too little room at several gateways."""

import math

from attrs import define, field

from chivewall.decisions.overload import Overloaded
from chivewall.decisions.placement import ON_TIME_SHARE, PlacementContext, choose
from chivewall.decisions.workspace_shares import (
    ShareGroup,
    WorkspaceShares,
    WorkspaceUse,
    request_cost,
)
from chivewall.gateway.http_dialect import RequestFields
from tests.test_overload import (
    CAPACITY,
    DEADLINE_SECONDS,
    OBJECTIVE_SECONDS,
    TOKENS,
    BurstPlay,
)

RANK = 2
GROUP = ShareGroup("s", RANK)
COST = request_cost(TOKENS, 0)
REPORT_SECONDS = 1.0


@define(eq=False)
class SharedBurst(BurstPlay):
    """Workspaces with fixed shares of the load, whose requests come to several gateways.

    Example: ``SharedBurst(slots=64, load=2.0, weights={"big": 3, "small": 1}).run()``.
    """

    weights: dict = field(kw_only=True)  # share of the load, by workspace
    gateways: int = field(default=4, kw_only=True)
    seconds: float = field(default=12.0, kw_only=True)
    fair: bool = field(default=True, kw_only=True)
    homes: dict = field(factory=dict, kw_only=True)  # gateways of a workspace, if not all
    parted_until: float = field(default=0.0, kw_only=True)  # no reports arrive before
    shares: list = field(init=False)
    asked: dict = field(factory=dict, init=False)  # workspace by time of arrival

    def run(self):
        self.shares = [WorkspaceShares() for _ in range(self.gateways)]
        at = 0.0
        while at < self.seconds:
            at += self.rng.expovariate(self.load * CAPACITY)
            self.schedule(at, self.arrive)
        for number in range(int(self.seconds / REPORT_SECONDS)):
            self.schedule(number * REPORT_SECONDS, self.report)
        return super().play()

    def arrive(self):
        workspace = self.rng.choices(list(self.weights), list(self.weights.values()))[0]
        self.asked[self.now] = workspace
        # The load balancer spreads callers unevenly.
        places = self.homes.get(workspace, range(self.gateways))
        shares = self.shares[self.rng.choices(places, [1 + one for one in places])[0]]
        use = WorkspaceUse(GROUP, workspace, COST)
        shares.record_demand(use, self.now)
        context = PlacementContext(
            data_centre="north",
            now=self.now,
            rng=self.rng,
            rank=RANK,
            slack_seconds=OBJECTIVE_SECONDS,
            time_left_seconds=DEADLINE_SECONDS,
            queue_weight=shares.queue_weight(use, self.now) if self.fair else 1.0,
        )
        found = choose(RequestFields(prompt_tokens=TOKENS), list(self.records.values()), context)
        refused = isinstance(found, Overloaded)
        if refused or found.estimate > ON_TIME_SHARE * OBJECTIVE_SECONDS:
            shares.record_short(GROUP, self.now)
        if refused:
            self.refuse()
            return
        shares.record_sent(use, self.now)
        self.send(found, self.now)

    def report(self):
        told = [one.reports(self.now) for one in self.shares]
        if self.now < self.parted_until:
            return
        for sender, reports in enumerate(told):
            for receiver, shares in enumerate(self.shares):
                for one in reports if receiver != sender else ():
                    shares.record_report(one, 1.0, self.now)

    def on_time_shares(self, start=4.0, end=math.inf):
        """Return the share of each workspace's requests that were served on time."""
        found = {}
        for one in self.outcomes:
            if start <= one.sent_at < end:
                found.setdefault(self.asked[one.sent_at], []).append(one.on_time)
        return {name: sum(ones) / len(ones) for name, ones in found.items()}

    def goodput(self, start=4.0):
        """Return the requests a second that were served on time."""
        on_time = sum(one.on_time for one in self.outcomes if one.sent_at >= start)
        return on_time / (self.seconds - start)
