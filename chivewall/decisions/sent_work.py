"""Tracks the work in flight that gateways sent to one endpoint."""

import heapq

from attrs import define, field, frozen

# Share of a decode engine's time that prefill may use; its streams need the rest.
DECODE_PREFILL_SHARE = 0.35
# A measurement of an engine's throughput covers at least this many seconds and prompts.
THROUGHPUT_SECONDS = 0.3
THROUGHPUT_PROMPTS = 4
# An engine counts as never idle while the prompts after the current one take longer than this
# many response times, since a response that is on its way doesn't keep the engine busy.
BUSY_RESPONSES = 2.0

WorkKey = tuple[str, int]  # address of the gateway, "" for this one; number of its exchange


@frozen
class WorkItem:
    """One request at an engine or service, or its prefill at a prefill engine."""

    # Prefill time of its prompt at the reference speed; 0 if it fetches the KV cache.
    reference_seconds: float
    rank: int  # rank it was sent with; 0 is the most urgent
    expires_at: float  # time when it is removed in case its end is never reported


@frozen
class EngineSpeed:
    """How fast an engine prefills."""

    scale: float = 1.0  # seconds that it takes for one second of prefill at the reference speed
    response_seconds: float = 0.1  # from the end of a prefill to its response or first event


@frozen
class Throughput:
    """Prompts that an engine prefilled in a time in which it was never idle."""

    prompts: int
    reference_seconds: float  # sum of their prefill times at the reference speed
    seconds: float


@define
class SentWork:
    """Counts running requests and estimates the wait for prefill.

    A prompt counts until its prefill is known to have ended, so an engine that is slower
    than expected shows up as a queue. The model is that an engine prefills one prompt
    after the other, the most urgent rank first, and finishes one before it begins the next.
    """

    _items: dict[WorkKey, WorkItem] = field(factory=dict, init=False)
    _not_prefilled: dict[WorkKey, WorkItem] = field(factory=dict, init=False)  # in order of sending
    _waiting_by_rank: dict[int, float] = field(factory=dict, init=False)  # reference seconds
    _expiry_heap: list[tuple[float, WorkKey]] = field(factory=list, init=False)  # by expiry time
    _current: WorkKey | None = field(default=None, init=False)  # prompt in prefill
    _current_since: float = field(default=0.0, init=False)
    _busy_since: float | None = field(default=None, init=False)  # start of a throughput measurement
    _busy_prompts: int = field(default=0, init=False)
    _busy_work: float = field(default=0.0, init=False)  # reference seconds

    @property
    def running(self) -> int:
        """Return the number of requests in flight, as of the last ``expire``."""
        return len(self._items)

    @property
    def waiting_prompts(self) -> int:
        """Return the number of prompts that are not known to be prefilled."""
        return len(self._not_prefilled)

    def add(self, key: WorkKey, item: WorkItem, now: float) -> None:
        """Record work that was sent."""
        self._items[key] = item
        heapq.heappush(self._expiry_heap, (item.expires_at, key))
        if item.reference_seconds > 0:
            self._remove_waiting(key)
            self._not_prefilled[key] = item
            waiting = self._waiting_by_rank.get(item.rank, 0.0)
            self._waiting_by_rank[item.rank] = waiting + item.reference_seconds
            if self._current is None:
                self._current, self._current_since = key, now

    def record_prefilled(self, key: WorkKey, now: float, speed: EngineSpeed) -> Throughput | None:
        """Record the end of a prefill, as shown by its response or first event.

        Returns the engine's throughput if a measurement of it ends.
        """
        item = self._remove_waiting(key)
        if item is None:
            return None
        self._start_next_prefill(now - speed.response_seconds)
        return self._measure_throughput(item, now, speed)

    def record_ended(self, key: WorkKey, now: float) -> None:
        """Remove work that ended."""
        self._items.pop(key, None)
        if self._remove_waiting(key) is not None:
            self._busy_since = None
            if key == self._current:
                self._start_next_prefill(now)

    def expire(self, now: float) -> None:
        """Remove work whose end should have been reported by now."""
        while self._expiry_heap and self._expiry_heap[0][0] <= now:
            until, key = heapq.heappop(self._expiry_heap)
            item = self._items.get(key)
            if item is not None and item.expires_at == until:
                self.record_ended(key, now)

    def prefill_wait(self, now: float, rank: int, speed: EngineSpeed) -> float:
        """Return the seconds until the prefill of a prompt that is sent now with this rank.

        The time by which the current prefill is overdue is added, since the engine
        is then slow or stuck.
        """
        if not self._not_prefilled:
            return 0.0
        item = self._not_prefilled[self._current]
        current = item.reference_seconds * speed.scale
        spent = now - self._current_since
        overdue = max(0.0, spent - current - speed.response_seconds)
        current_left = current - min(spent, current + speed.response_seconds)
        ahead = sum(work for one, work in self._waiting_by_rank.items() if one <= rank)
        if item.rank <= rank:
            ahead -= item.reference_seconds
        return max(0.0, current_left + ahead * speed.scale) + overdue

    def _start_next_prefill(self, now: float) -> None:
        self._current = min(
            self._not_prefilled, key=lambda one: self._not_prefilled[one].rank, default=None
        )
        self._current_since = now

    def _remove_waiting(self, key: WorkKey) -> WorkItem | None:
        item = self._not_prefilled.pop(key, None)
        if item is not None:
            left = self._waiting_by_rank[item.rank] - item.reference_seconds
            if left > 1e-9 and self._not_prefilled:
                self._waiting_by_rank[item.rank] = left
            else:
                del self._waiting_by_rank[item.rank]
        return item

    def _measure_throughput(
        self, item: WorkItem, now: float, speed: EngineSpeed
    ) -> Throughput | None:
        queued = sum(self._waiting_by_rank.values()) * speed.scale
        if queued <= BUSY_RESPONSES * speed.response_seconds:
            self._busy_since = None
            return None
        if self._busy_since is None:
            self._busy_since, self._busy_prompts, self._busy_work = now, 0, 0.0
            return None
        self._busy_prompts += 1
        self._busy_work += item.reference_seconds
        seconds = now - self._busy_since
        if seconds < THROUGHPUT_SECONDS or self._busy_prompts < THROUGHPUT_PROMPTS:
            return None
        found = Throughput(self._busy_prompts, self._busy_work, seconds)
        self._busy_since, self._busy_prompts, self._busy_work = now, 0, 0.0
        return found


@define
class PrefillBudget:
    """Prefill time sent to a decode engine in excess of the share that prefill may use."""

    _pending: float = field(default=0.0, init=False)
    _updated_at: float = field(default=0.0, init=False)

    def add(self, seconds: float, now: float) -> None:
        """Record the prefill time of a prompt that was sent."""
        self._pending = self.pending_seconds(now) + seconds
        self._updated_at = now

    def pending_seconds(self, now: float) -> float:
        """Return the pending seconds; each second, ``DECODE_PREFILL_SHARE`` of one is done."""
        return max(0.0, self._pending - (now - self._updated_at) * DECODE_PREFILL_SHARE)
