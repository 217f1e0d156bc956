"""Ranks of requests where the routing configuration has workspaces.

The priority of the workspace decides first, that of the route second: with the first alone, the
requests of all routes would have the same rank at workspaces with the same priority, and those
with a short objective would wait behind the others.
"""

from bisect import bisect_left

from attrs import define, field

from chivewall.gateway.routing_configuration import Route, RoutingConfiguration, Workspace

# Number of ranks of requests that meet their objective. Late ones are sent three ranks lower, and
# the least urgent rank that engines know is 9. With late ones six ranks lower, below all others,
# the worth of scale-1 of lmo-chivewall-grown was 0.125 instead of 0.174 (one run each).
ON_TIME_RANKS = 7


@define
class RequestRanks:
    """The ranks of one routing configuration, without gaps, so that they are the same everywhere.

    Example: with workspaces of the priorities 0 and 1 and routes of 0 and 2, the ranks 0 to 3.
    """

    configuration: RoutingConfiguration = field(repr=False)
    _pairs: list[tuple[int, int]] = field(factory=list, init=False)  # priorities, urgent first

    def __attrs_post_init__(self) -> None:
        if not self.configuration.keys_required:
            return
        workspaces = self.configuration.workspaces
        routes = {one.priority for one in self.configuration.routes}
        firsts = {one.priority for one in workspaces if one.priority is not None}
        pairs = {(first, second) for first in firsts for second in routes}
        unranked = any(one.priority is None for one in workspaces)
        pairs |= {
            (one.priority, one.priority)
            for one in self.configuration.routes
            if one.public or unranked
        }
        self._pairs = sorted(pairs)

    def rank(self, workspace: Workspace | None, route: Route) -> int:
        """Return the rank of a request; 0 is the most urgent.

        On public routes, and for a workspace without a priority, the route's counts for both.
        More pairs of priorities than ranks share them in order.
        """
        if not self._pairs:
            return route.priority
        named = None if workspace is None else workspace.priority
        first = route.priority if named is None else named
        place = min(bisect_left(self._pairs, (first, route.priority)), len(self._pairs) - 1)
        return place * ON_TIME_RANKS // max(ON_TIME_RANKS, len(self._pairs))
