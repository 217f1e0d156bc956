"""Tracks the work in flight that gateways sent to one endpoint."""

import heapq

from attrs import define, field, frozen

# Share of a decode engine's time that prefill may use; its streams need the rest.
DECODE_PREFILL_SHARE = 0.35
# Seconds from the end of prefill to the arrival of its response or first event. The engine
# prefills the next prompts in the meantime.
PREFILL_RESPONSE_SECONDS = 0.1

WorkKey = tuple[str, int]  # address of the gateway, "" for this one; number of its exchange


@frozen
class WorkItem:
    """One request at an engine or service, or its prefill at a prefill engine."""

    prefill_seconds: float  # prefill time of its prompt; 0 if it fetches the KV cache
    rank: int  # rank it was sent with; 0 is the most urgent
    expires_at: float  # time when it is removed in case its end is never reported


@define
class SentWork:
    """Counts running requests and estimates the wait for prefill.

    A prompt counts until its prefill is known to have ended, so an engine that is slower
    than expected shows up as a queue. The model is that an engine prefills one prompt
    after the other, the most urgent rank first, and finishes one before it begins the next.
    """

    _items: dict[WorkKey, WorkItem] = field(factory=dict, init=False)
    _not_prefilled: dict[WorkKey, WorkItem] = field(factory=dict, init=False)  # in order of sending
    _expiry_heap: list[tuple[float, WorkKey]] = field(factory=list, init=False)  # heap
    _current: WorkKey | None = field(default=None, init=False)  # prompt in prefill
    _current_since: float = field(default=0.0, init=False)

    @property
    def running(self) -> int:
        """Return the number of requests in flight, as of the last ``expire``."""
        return len(self._items)

    def add(self, key: WorkKey, item: WorkItem, now: float) -> None:
        """Record work that was sent."""
        self._items[key] = item
        heapq.heappush(self._expiry_heap, (item.expires_at, key))
        if item.prefill_seconds > 0:
            self._not_prefilled[key] = item
            if self._current is None:
                self._current, self._current_since = key, now

    def record_prefilled(self, key: WorkKey, now: float) -> None:
        """Record the end of a prefill, seen from its response or first event."""
        if self._not_prefilled.pop(key, None) is not None:
            self._start_next_prefill(now - PREFILL_RESPONSE_SECONDS)

    def record_ended(self, key: WorkKey, now: float) -> None:
        """Remove work that ended."""
        self._items.pop(key, None)
        if self._not_prefilled.pop(key, None) is not None and key == self._current:
            self._start_next_prefill(now)

    def _start_next_prefill(self, now: float) -> None:
        self._current = min(
            self._not_prefilled, key=lambda one: self._not_prefilled[one].rank, default=None
        )
        self._current_since = now

    def expire(self, now: float) -> None:
        """Remove work whose end should have been reported by now."""
        while self._expiry_heap and self._expiry_heap[0][0] <= now:
            until, key = heapq.heappop(self._expiry_heap)
            item = self._items.get(key)
            if item is not None and item.expires_at == until:
                self.record_ended(key, now)

    def prefill_wait(self, now: float, rank: int) -> float:
        """Return the seconds until the prefill of a prompt that is sent now with this rank.

        The time by which the current prefill is overdue is added, since the engine
        is then slow or stuck.
        """
        if not self._not_prefilled:
            return 0.0
        current = self._not_prefilled[self._current].prefill_seconds
        spent = now - self._current_since
        overdue = max(0.0, spent - current - PREFILL_RESPONSE_SECONDS)
        current_left = current - min(spent, current + PREFILL_RESPONSE_SECONDS)
        ahead = sum(
            one.prefill_seconds
            for key, one in self._not_prefilled.items()
            if one.rank <= rank and key != self._current
        )
        return max(0.0, current_left + ahead) + overdue


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
        """Return the seconds of prefill that are still pending at that share."""
        return max(0.0, self._pending - (now - self._updated_at) * DECODE_PREFILL_SHARE)
