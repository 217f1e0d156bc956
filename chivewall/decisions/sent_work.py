"""Keeps the work that gateways sent to one endpoint and that hasn't ended yet."""

import heapq

from attrs import define, field, frozen

# Of a decode engine's time, what may go into prompts; its streams need the rest.
DIRECT_SHARE = 0.35
# From the end of reading until the answer to a prefill, or the first event, is here. The
# engine reads the next prompts meanwhile.
ANSWER_SECONDS = 0.1

WorkKey = tuple[str, int]  # host of the gateway, "" for this one; number of its exchange


@frozen
class WorkItem:
    """One call, or the reading of its prompt."""

    read_seconds: float  # that reading its prompt takes; 0 if it fetches the KV cache
    rank: int  # with which it was sent, 0 first
    until: float  # when it no longer counts, in case its end isn't heard of


@define
class SentWork:
    """Counts what runs and estimates the prompts that are still to be read.

    Prompts count until they are known to be read, so that an engine that is slower than
    expected shows as a queue. An engine reads one after the other, the first rank first,
    and finishes what it has begun.
    """

    _items: dict[WorkKey, WorkItem] = field(factory=dict, init=False)
    _unread: dict[WorkKey, WorkItem] = field(factory=dict, init=False)  # in the order of sending
    _ends: list[tuple[float, WorkKey]] = field(factory=list, init=False)  # heap
    _current: WorkKey | None = field(default=None, init=False)  # the prompt being read
    _current_since: float = field(default=0.0, init=False)

    @property
    def running(self) -> int:
        """Return how many calls have not ended, as of the last ``expire``."""
        return len(self._items)

    def add(self, key: WorkKey, item: WorkItem, now: float) -> None:
        """Count work that was sent."""
        self._items[key] = item
        heapq.heappush(self._ends, (item.until, key))
        if item.read_seconds > 0:
            self._unread[key] = item
            if self._current is None:
                self._current, self._current_since = key, now

    def read(self, key: WorkKey, now: float) -> None:
        """Note that a prompt was read; its answer or first event is here."""
        if self._unread.pop(key, None) is not None:
            self._begin_next(now - ANSWER_SECONDS)

    def over(self, key: WorkKey, now: float) -> None:
        """Forget work that ended."""
        self._items.pop(key, None)
        if self._unread.pop(key, None) is not None and key == self._current:
            self._begin_next(now)

    def _begin_next(self, now: float) -> None:
        self._current = min(self._unread, key=lambda one: self._unread[one].rank, default=None)
        self._current_since = now

    def expire(self, now: float) -> None:
        """Forget work whose end should have been heard of."""
        while self._ends and self._ends[0][0] <= now:
            until, key = heapq.heappop(self._ends)
            item = self._items.get(key)
            if item is not None and item.until == until:
                self.over(key, now)

    def wait(self, now: float, rank: int) -> float:
        """Return the seconds until a prompt that is sent now with this rank would be read.

        A prompt that is overdue shows that the engine is slow or stuck.
        """
        if not self._unread:
            return 0.0
        current = self._unread[self._current].read_seconds
        spent = now - self._current_since
        overdue = max(0.0, spent - current - ANSWER_SECONDS)
        begun = current - min(spent, current + ANSWER_SECONDS)
        ahead = sum(
            one.read_seconds
            for key, one in self._unread.items()
            if one.rank <= rank and key != self._current
        )
        return max(0.0, begun + ahead) + overdue


@define
class ReadBudget:
    """Seconds of reading that were sent to a decode engine beyond the share for prompts."""

    _level: float = field(default=0.0, init=False)
    _drained_at: float = field(default=0.0, init=False)

    def add(self, seconds: float, now: float) -> None:
        """Count a prompt."""
        self._level = self.level(now) + seconds
        self._drained_at = now

    def level(self, now: float) -> float:
        """Return the seconds that the share hasn't covered yet."""
        return max(0.0, self._level - (now - self._drained_at) * DIRECT_SHARE)
