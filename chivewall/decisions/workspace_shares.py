"""Shares out the room of a service between workspaces while there is too little of it.

Each gateway adds up what each workspace asked for and what was sent to endpoints, of its own
requests and of what the other gateways tell. While somebody is refused or late, the room (what is
sent) is allotted max-min fairly, and the queue counts more for a workspace that uses more than
its allotment. An empty queue counts nothing for anybody, so no room stays idle.
"""

import math
from collections.abc import Mapping
from hashlib import blake2b

from attrs import define, field, frozen

AVERAGE_SECONDS = 4.0  # time over which demand and use are averaged
SHORT_SECONDS = 5.0  # room counts as short for this long after somebody was refused or late
# Share of its proportional part that a workspace keeps however much it asks for: with equal shares
# only, one that is far larger than the others would hardly be served.
FLOOR_SHARE = 0.5
# The queue counts by this power of the excess. With 1, the control leaves an offset: at four times
# the capacity, small workspaces were served 0.84 to 0.90 of their requests instead of 0.90 to 0.98.
EXCESS_POWER = 2.0
MAX_QUEUE_WEIGHT = 8.0  # the queue counts at most this many times
REFRESH_SECONDS = 0.1  # age at which allotments are worked out again
NEGLIGIBLE = 1e-4  # sum at which a workspace is forgotten; one request counts 1 or more
FORGET_SECONDS = 5.0  # between two looks for workspaces to forget
MAX_WORKSPACES = 2_000  # tracked in one group; more are errors of a sender
MAX_GROUPS = 200
OUTPUT_TOKEN_COST = 10.0  # prompt tokens for which an output token counts
TAG_BYTES = 4  # a collision of two of 300 workspaces has a chance of 1 in 100,000


@frozen
class ShareGroup:
    """Requests that compete for the same room: of one service and one rank."""

    service: str
    rank: int


@frozen
class WorkspaceUse:
    """One request of a workspace, and its size against others of the same service."""

    group: ShareGroup
    workspace: str  # tag
    cost: float


@frozen
class ShareEntry:
    """What a workspace asked for and got at one gateway, as decayed sums."""

    workspace: str  # tag
    demand: float
    use: float


@frozen
class ShareReport:
    """What a gateway tells the others of one group: what it hasn't told yet."""

    group: ShareGroup
    short: bool  # it has seen itself that there is too little room
    entries: tuple[ShareEntry, ...]


def workspace_tag(name: str) -> str:
    """Return the short name of a workspace in datagrams."""
    return blake2b(name.encode(), digest_size=TAG_BYTES).hexdigest()


def request_cost(prompt_tokens: int, max_output_tokens: int) -> float:
    """Return the size of a request; requests without tokens are all of the same size."""
    return max(1.0, prompt_tokens + OUTPUT_TOKEN_COST * max_output_tokens)


def allotments(
    demands: Mapping[str, float], capacity: float, floor: float = FLOOR_SHARE
) -> dict[str, float]:
    """Return the max-min fair parts of a capacity.

    Each workspace gets what it asks for, up to a level that is the same for all, and at least
    ``floor`` of its proportional part.

    Example: ``allotments({"a": 8, "b": 1, "c": 1}, 6, floor=0) == {"a": 4, "b": 1, "c": 1}``.
    """
    total = sum(demands.values())
    if total <= capacity:
        return dict(demands)
    floors = {one: floor * capacity * demand / total for one, demand in demands.items()}
    level = _level(demands, floors, capacity)
    return {one: min(demand, max(level, floors[one])) for one, demand in demands.items()}


def _level(demands: Mapping[str, float], floors: Mapping[str, float], capacity: float) -> float:
    """Return the level up to which the parts are filled, as water fills vessels."""
    points = [(floors[one], 1) for one in demands]  # where a part begins to grow with the level
    points += [(demand, -1) for demand in demands.values()]  # where it is complete
    left, level, growing = capacity - sum(floors.values()), 0.0, 0
    for at, change in sorted(points):
        if growing and growing * (at - level) >= left:
            return level + left / growing
        left -= growing * (at - level)
        level = at
        growing += change
    return level


@define
class Tally:
    """Sums of demand and use whose parts decay exponentially with their age."""

    demand: float = 0.0
    use: float = 0.0
    at: float = 0.0

    def add(self, demand: float, use: float, now: float) -> None:
        """Add to both sums."""
        self.decay(now)
        self.demand += demand
        self.use += use

    def decay(self, now: float) -> None:
        """Bring the sums up to date."""
        factor = math.exp(min(0.0, self.at - now) / AVERAGE_SECONDS)
        self.demand *= factor
        self.use *= factor
        self.at = now


@define
class GroupShares:
    """What is known of one group."""

    seen_until: float = -math.inf  # room is short until then, as seen by this gateway
    told_until: float = -math.inf  # the same, as seen by others
    totals: dict[str, Tally] = field(factory=dict)  # of all gateways, by workspace
    untold: dict[str, Tally] = field(factory=dict)  # the part that the others don't know
    _forgotten_at: float = field(default=0.0, init=False)
    # Part and use of each workspace when the parts were worked out.
    _allotted: dict[str, tuple[float, float]] = field(factory=dict, init=False)
    _allotted_at: float = field(default=-math.inf, init=False)

    def is_short(self, now: float) -> bool:
        """Return whether there is too little room."""
        return now < max(self.seen_until, self.told_until)

    def is_idle(self, now: float) -> bool:
        """Return whether nobody has asked for anything for a long time."""
        self.forget(now)
        return not (self.totals or self.is_short(now))

    def add(self, workspace: str, demand: float, use: float, now: float) -> None:
        """Add to the sums of all gateways."""
        self.forget(now)
        if workspace in self.totals or len(self.totals) < MAX_WORKSPACES:
            self.totals.setdefault(workspace, Tally()).add(demand, use, now)

    def allotment(self, workspace: str, now: float) -> tuple[float, float]:
        """Return the part of the room for a workspace and its use, both as decayed sums of use.

        Both are of the same moment: requests sent since then would pass for an excess.
        """
        if now - self._allotted_at >= REFRESH_SECONDS:
            self._allotted_at = now
            for one in self.totals.values():
                one.decay(now)
            demands = {name: max(one.demand, one.use) for name, one in self.totals.items()}
            parts = allotments(demands, sum(one.use for one in self.totals.values()))
            self._allotted = {name: (part, self.totals[name].use) for name, part in parts.items()}
        return self._allotted.get(workspace, (0.0, 0.0))

    def forget(self, now: float) -> None:
        """Drop workspaces that have asked for nothing for a long time, now and then."""
        if now - self._forgotten_at < FORGET_SECONDS:
            return
        self._forgotten_at = now
        for tallies in (self.totals, self.untold):
            for name, tally in list(tallies.items()):
                tally.decay(now)
                if tally.demand + tally.use < NEGLIGIBLE:
                    del tallies[name]


@define
class WorkspaceShares:
    """Says how much a queue counts for each workspace.

    Example: ``shares.queue_weight(use, now) == 4.0``: while room is short, the workspace uses
    twice of its part.
    """

    _groups: dict[ShareGroup, GroupShares] = field(factory=dict, init=False)

    def record_demand(self, use: WorkspaceUse, now: float) -> None:
        """Record a request that arrived at this gateway."""
        self._record(use, now, demand=use.cost)

    def record_sent(self, use: WorkspaceUse, now: float) -> None:
        """Record a request that was sent to an endpoint for the first time."""
        self._record(use, now, use=use.cost)

    def record_short(self, group: ShareGroup, now: float) -> None:
        """Record that a request was refused or is late."""
        found = self._group(group, now)
        if found is not None:
            found.seen_until = now + SHORT_SECONDS

    def record_report(self, report: ShareReport, weight: float, now: float) -> None:
        """Record what another gateway tells; it stands for ``weight`` gateways."""
        found = self._group(report.group, now)
        if found is None:
            return
        if report.short:
            found.told_until = now + SHORT_SECONDS
        for one in report.entries:
            found.add(one.workspace, weight * one.demand, weight * one.use, now)

    def is_short(self, now: float) -> bool:
        """Return whether room is short in some group, so that the others have to be told."""
        return any(one.is_short(now) for one in self._groups.values())

    def reports(self, now: float) -> tuple[ShareReport, ...]:
        """Return what the others have to be told now, and count it as told.

        What was not told decays like the sums that it is added to, so the first report after a
        quiet time tells all that counts.
        """
        found = []
        for key, group in self._groups.items():
            if not group.is_short(now):
                continue
            untold, group.untold = group.untold, {}
            for one in untold.values():
                one.decay(now)
            entries = [ShareEntry(name, one.demand, one.use) for name, one in untold.items()]
            found.append(ShareReport(key, now < group.seen_until, tuple(entries)))
        return tuple(found)

    def queue_weight(self, use: WorkspaceUse, now: float) -> float:
        """Return how many times a queue counts for a request: more than once for an excess.

        One request alone is no excess.
        """
        group = self._groups.get(use.group)
        if group is None or not group.is_short(now) or use.workspace not in group.totals:
            return 1.0
        part, used = group.allotment(use.workspace, now)
        excess = max(1.0, used / (part + use.cost))
        return min(MAX_QUEUE_WEIGHT, excess**EXCESS_POWER)

    def _record(
        self, asked: WorkspaceUse, now: float, demand: float = 0.0, use: float = 0.0
    ) -> None:
        group = self._group(asked.group, now)
        if group is not None:
            group.add(asked.workspace, demand, use, now)
            if asked.workspace in group.totals:
                group.untold.setdefault(asked.workspace, Tally()).add(demand, use, now)

    def _group(self, key: ShareGroup, now: float) -> GroupShares | None:
        if key not in self._groups and len(self._groups) >= MAX_GROUPS:
            for one in [one for one, group in self._groups.items() if group.is_idle(now)]:
                del self._groups[one]
            if len(self._groups) >= MAX_GROUPS:
                return None
        return self._groups.setdefault(key, GroupShares())
