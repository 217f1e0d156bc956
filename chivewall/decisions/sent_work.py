"""Tracks the work in flight that gateways sent to one endpoint."""

import heapq
import math

from attrs import define, field, frozen

# Share of a decode engine's time that prefill may use; its streams need the rest.
DECODE_PREFILL_SHARE = 0.35
# Time over which the work that arrives at an engine is averaged, in seconds.
ARRIVAL_SECONDS = 0.5
# The least share of an engine's time that is assumed to be left for less urgent prompts.
MIN_SHARE_LEFT = 0.1
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
    # Requests that it stands for: more than one if only some gateways share their records.
    weight: float = 1.0


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
class PromptQueue:
    """Prompts of one rank that are not known to be prefilled."""

    prompts: dict[WorkKey, float] = field(factory=dict)  # reference seconds, in order of sending
    reference_seconds: float = 0.0  # sum of the prompts


@define
class ArrivalRate:
    """Prefill work that arrives in a second, averaged with exponentially falling weights."""

    _rate: float = 0.0  # reference seconds a second, as of ``_updated_at``
    _updated_at: float = 0.0

    def add(self, reference_seconds: float, now: float) -> None:
        """Record a prompt that was sent."""
        self._rate = self.current(now) + reference_seconds / ARRIVAL_SECONDS
        self._updated_at = now

    def current(self, now: float) -> float:
        """Return the reference seconds that arrive in a second."""
        return self._rate * math.exp((self._updated_at - now) / ARRIVAL_SECONDS)


@define
class SentWork:
    """Counts running requests and estimates the wait for prefill.

    A prompt counts until its prefill is known to have ended, so an engine that is slower
    than expected shows up as a queue. The model is that an engine prefills one prompt
    after the other, the most urgent rank first, and finishes one before it begins the next.
    """

    _items: dict[WorkKey, WorkItem] = field(factory=dict, init=False)
    _running: float = field(default=0.0, init=False)  # sum of the items' weights
    _queues: dict[int, PromptQueue] = field(factory=dict, init=False)  # by rank
    _arrivals: dict[int, ArrivalRate] = field(factory=dict, init=False)  # by rank
    _expiry_heap: list[tuple[float, WorkKey]] = field(factory=list, init=False)  # by expiry time
    _current: WorkKey | None = field(default=None, init=False)  # prompt in prefill
    _current_since: float = field(default=0.0, init=False)
    _busy_since: float | None = field(default=None, init=False)  # start of a throughput measurement
    _busy_prompts: int = field(default=0, init=False)
    _busy_work: float = field(default=0.0, init=False)  # reference seconds

    @property
    def running(self) -> int:
        """Return the number of requests in flight, as of the last ``expire``."""
        return round(self._running)

    @property
    def waiting_prompts(self) -> int:
        """Return the number of prompts that are not known to be prefilled."""
        return sum(len(one.prompts) for one in self._queues.values())

    @property
    def current_since(self) -> float:
        """Return when the prefill in progress began, as far as is known."""
        return self._current_since

    def prompt_seconds(self, key: WorkKey) -> float:
        """Return the reference seconds of a prompt that is not known to be prefilled, or 0."""
        item = self._items.get(key)
        queue = None if item is None else self._queues.get(item.rank)
        return 0.0 if queue is None else queue.prompts.get(key, 0.0)

    def add(self, key: WorkKey, item: WorkItem, now: float) -> None:
        """Record work that was sent; a gateway that restarts uses its numbers again."""
        self.record_ended(key, now)
        self._items[key] = item
        self._running += item.weight
        heapq.heappush(self._expiry_heap, (item.expires_at, key))
        if item.reference_seconds > 0:
            work = item.reference_seconds * item.weight
            queue = self._queues.setdefault(item.rank, PromptQueue())
            queue.prompts[key] = work
            queue.reference_seconds += work
            self._arrivals.setdefault(item.rank, ArrivalRate()).add(work, now)
            if self._current is None:
                self._current, self._current_since = key, now

    def record_prefilled(self, key: WorkKey, now: float, speed: EngineSpeed) -> Throughput | None:
        """Record the end of a prefill, as shown by its response or first event.

        Returns the engine's throughput if a measurement of it ends.
        """
        work = self._remove_waiting(key)
        if work is None:
            return None
        self._start_next_prefill(now - speed.response_seconds)
        return self._measure_throughput(work, now, speed)

    def record_ended(self, key: WorkKey, now: float) -> None:
        """Remove work that ended."""
        if self._remove_waiting(key) is not None:
            self._busy_since = None
            if key == self._current:
                self._start_next_prefill(now)
        self._remove(key)

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
        if self._current is None:
            return 0.0
        item = self._items[self._current]
        current = item.reference_seconds * speed.scale
        spent = now - self._current_since
        overdue = max(0.0, spent - current - speed.response_seconds)
        current_left = current - min(spent, current + speed.response_seconds)
        ahead = sum(one.reference_seconds for at, one in self._queues.items() if at <= rank)
        if item.rank <= rank:
            ahead -= item.reference_seconds
        return max(0.0, current_left + ahead * speed.scale) + overdue

    def share_left(self, now: float, rank: int, speed: EngineSpeed) -> float:
        """Return the share of the engine's time that more urgent prompts leave to a rank.

        They are expected to arrive as they did in the last second.
        """
        urgent = sum(one.current(now) for at, one in self._arrivals.items() if at < rank)
        return max(MIN_SHARE_LEFT, 1 - urgent * speed.scale)

    def _start_next_prefill(self, now: float) -> None:
        first = self._queues[min(self._queues)] if self._queues else None
        self._current = None if first is None else next(iter(first.prompts))
        self._current_since = now

    def _remove(self, key: WorkKey) -> None:
        self._remove_waiting(key)
        item = self._items.pop(key, None)
        if item is not None:
            self._running = self._running - item.weight if self._items else 0.0

    def _remove_waiting(self, key: WorkKey) -> float | None:
        """Remove a prompt from its queue; return its reference seconds."""
        item = self._items.get(key)
        queue = None if item is None else self._queues.get(item.rank)
        found = None if queue is None else queue.prompts.pop(key, None)
        if found is None:
            return None
        queue.reference_seconds -= found
        if not queue.prompts:
            del self._queues[item.rank]
        return found

    def _measure_throughput(self, work: float, now: float, speed: EngineSpeed) -> Throughput | None:
        queued = sum(one.reference_seconds for one in self._queues.values()) * speed.scale
        if queued <= BUSY_RESPONSES * speed.response_seconds:
            self._busy_since = None
            return None
        if self._busy_since is None:
            self._busy_since, self._busy_prompts, self._busy_work = now, 0, 0.0
            return None
        self._busy_prompts += 1
        self._busy_work += work
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
