"""Fair queueing of an endpoint's time between ranks, and within a rank between workspaces."""

import heapq
from collections.abc import Iterator

from attrs import define, field

from chivewall.decisions.estimates import Cost
from chivewall.work import Attempt, Rank

RANKS = tuple(Rank)
BURST_SECONDS = 2.0  # credit that a rank without queued work may save, multiplied by its share
MIN_CHARGE_SECONDS = 0.001  # lets workspaces alternate even if the endpoint reports no speed
MAX_IDLE_TAGS = 1024  # idle workspaces remembered; the design capacity is 300 workspaces
MAX_WORKSPACE_SHARE = 0.99  # keeps the weight of a workspace finite


@define(eq=False)
class QueueEntry:
    """A queued or running attempt with its estimated cost."""

    attempt: Attempt
    cost: Cost
    weight: float  # weight of its workspace within the rank
    queued_at: float
    started_at: float | None = None
    prefilling: bool = True
    guaranteed: bool = False  # started from its rank's share while other ranks waited
    removed: bool = False  # whether it left the queue; heaps drop it later
    late: bool = False  # whether it missed its first-token target while queued
    preemptions: int = 0

    @property
    def rank(self) -> Rank:
        """Rank of the request."""
        return self.attempt.request.rank

    @property
    def latest_start(self) -> float:
        """Latest start that meets the deadline if the output has the expected length."""
        return self.attempt.request.deadline - self.cost.run_seconds

    @property
    def safe_start(self) -> float:
        """Latest start that meets the deadline even if the output is long."""
        return self.attempt.request.deadline - self.cost.max_run_seconds

    def misses_deadline(self, now: float) -> bool:
        """Return whether the attempt would end after its deadline if it started now."""
        return now > self.latest_start

    def misses_target(self, now: float) -> bool:
        """Return whether the first token would come after its target if it started now."""
        target = self.attempt.request.first_token_deadline
        return target is not None and now + self.cost.prefill_seconds > target


@define
class RankCredits:
    """Credit of each rank, in endpoint seconds, under its guaranteed share.

    When work starts, its seconds are credited to all ranks by their shares and
    debited to the rank that uses them. A rank with work and credit goes before one
    without credit, so a rank whose queue is never empty gets its share of the started
    seconds, less at most one attempt. Seconds that no other rank claimed are not
    debited below zero, so a rank gets no debt for using idle capacity.
    """

    credits: dict[Rank, float] = field(factory=lambda: dict.fromkeys(RANKS, 0.0))

    def rank_order(self) -> list[Rank]:
        """Return the ranks in the order in which they may start work."""
        return sorted(RANKS, key=lambda rank: (self.credits[rank] < 0, RANKS.index(rank)))

    def charge(
        self,
        rank: Rank,
        seconds: float,
        *,
        shares: dict[Rank, float],
        waiting: frozenset[Rank],
        guaranteed: bool,
    ) -> None:
        """Credit all ranks and debit one for the seconds that it uses.

        ``waiting`` holds the ranks with queued work, whose credit may grow without limit.
        Negative seconds correct an estimate that was too high.
        """
        for other, share in shares.items():
            grown = self.credits[other] + share * seconds
            cap = max(self.credits[other], share * BURST_SECONDS)
            self.credits[other] = grown if other in waiting else min(grown, cap)
        credit = self.credits[rank]
        if guaranteed:
            self.credits[rank] = credit - seconds
        elif seconds > 0:
            self.credits[rank] = max(credit - seconds, min(credit, 0.0))


@define(eq=False)
class WorkspaceQueue:
    """Queued attempts of one workspace, earliest deadline first."""

    start_tag: float = 0.0  # start tag of its next attempt, in virtual time
    weight: float = 1.0
    size: int = 0  # number of queued attempts
    queued_seconds: float = 0.0  # estimated cost of its queued attempts
    heap: list[tuple[float, int, QueueEntry]] = field(factory=list)  # by deadline

    def head(self) -> QueueEntry:
        """Return the entry with the earliest deadline."""
        while self.heap[0][2].removed or self.heap[0][2].late:
            heapq.heappop(self.heap)
        return self.heap[0][2]


@define(eq=False)
class RankQueue:
    """Queue of one rank, with start-time fair queueing between its workspaces.

    An attempt advances its workspace's virtual time by cost / weight. With a
    weight of share / (1 - share), a workspace that competes with one other of the
    default share of 0.5 gets exactly its own share, and less if there are more.
    """

    queued_seconds: float = 0.0  # estimated cost of all queued attempts
    size: int = 0  # number of queued attempts
    virtual_time: float = 0.0  # virtual time: highest start tag of a started attempt
    total_weight: float = 0.0  # total weight of the workspaces with queued attempts
    sequence: int = 0  # breaks ties in the heaps by age
    workspaces: dict[str, WorkspaceQueue] = field(factory=dict)
    tag_heap: list[tuple[float, int, str]] = field(factory=list)  # heap of workspaces by tag
    idle_tags: dict[str, float] = field(factory=dict)  # tags of idle workspaces
    late_heap: list[tuple[float, int, QueueEntry]] = field(factory=list)  # heap by safe start

    def push(self, entry: QueueEntry) -> None:
        """Queue an entry."""
        self.sequence += 1
        name = entry.attempt.request.workspace
        queue = self.workspaces.get(name)
        if queue is None:
            queue = WorkspaceQueue(
                start_tag=max(self.virtual_time, self.idle_tags.pop(name, 0.0)), weight=entry.weight
            )
            self.workspaces[name] = queue
            self.total_weight += queue.weight
            heapq.heappush(self.tag_heap, (queue.start_tag, self.sequence, name))
        heapq.heappush(queue.heap, (entry.attempt.request.deadline, self.sequence, entry))
        queue.size += 1
        queue.queued_seconds += entry.cost.endpoint_seconds
        self.size += 1
        self.queued_seconds += entry.cost.endpoint_seconds

    def head(self) -> QueueEntry | None:
        """Return the entry to start next, late ones aside, or ``None``."""
        while self.tag_heap:
            tag, _, name = self.tag_heap[0]
            queue = self.workspaces.get(name)
            if queue is not None and queue.start_tag == tag:
                return queue.head()
            heapq.heappop(self.tag_heap)
        return None

    def late_head(self) -> QueueEntry | None:
        """Return the late entry with the earliest safe start, or ``None``."""
        while self.late_heap and self.late_heap[0][2].removed:
            heapq.heappop(self.late_heap)
        return self.late_heap[0][2] if self.late_heap else None

    def demote(self, entry: QueueEntry) -> None:
        """Move an entry that missed its target behind those that can still meet theirs."""
        self._remove_from_workspace(entry)
        entry.late = True
        self.sequence += 1
        heapq.heappush(self.late_heap, (entry.safe_start, self.sequence, entry))

    def start(self, entry: QueueEntry) -> None:
        """Remove an entry that starts and charge its workspace."""
        if entry.late:
            self.remove(entry)
            return
        name = entry.attempt.request.workspace
        queue = self.workspaces[name]
        self.virtual_time = max(self.virtual_time, queue.start_tag)
        queue.start_tag += max(entry.cost.endpoint_seconds, MIN_CHARGE_SECONDS) / entry.weight
        self.sequence += 1
        heapq.heappush(self.tag_heap, (queue.start_tag, self.sequence, name))
        self.remove(entry)

    def remove(self, entry: QueueEntry) -> None:
        """Remove a queued entry."""
        if not entry.late:
            self._remove_from_workspace(entry)
        entry.removed = True
        self.size -= 1
        self.queued_seconds = (
            max(0.0, self.queued_seconds - entry.cost.endpoint_seconds) if self.size else 0.0
        )

    def seconds_ahead(self, workspace: str, weight: float) -> float:
        """Return the endpoint seconds of this rank that run before a new attempt of a workspace."""
        queue = self.workspaces.get(workspace)
        if queue is None:
            return 0.0
        return min(self.queued_seconds, queue.queued_seconds * max(1.0, self.total_weight / weight))

    def entries(self) -> Iterator[QueueEntry]:
        """Iterate over the queued entries, in no particular order."""
        for queue in self.workspaces.values():
            yield from (one for _, _, one in queue.heap if not (one.removed or one.late))
        yield from (one for _, _, one in self.late_heap if not one.removed)

    def _remove_from_workspace(self, entry: QueueEntry) -> None:
        name = entry.attempt.request.workspace
        queue = self.workspaces[name]
        queue.size -= 1
        queue.queued_seconds = max(0.0, queue.queued_seconds - entry.cost.endpoint_seconds)
        if not queue.size:
            self._drop_workspace(name, queue)

    def _drop_workspace(self, name: str, queue: WorkspaceQueue) -> None:
        del self.workspaces[name]
        self.total_weight = max(0.0, self.total_weight - queue.weight) if self.workspaces else 0.0
        if len(self.idle_tags) >= MAX_IDLE_TAGS:
            self.idle_tags = {
                one: tag for one, tag in self.idle_tags.items() if tag > self.virtual_time
            }
        self.idle_tags[name] = queue.start_tag


def workspace_weight(share: float) -> float:
    """Return the weight of a workspace from its ``workspace_share``."""
    bounded = min(share, MAX_WORKSPACE_SHARE)
    return bounded / (1.0 - bounded)
