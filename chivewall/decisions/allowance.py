"""Keeps repeated arrivals at a service within the share that all machines have together."""

from collections import deque

from attrs import define, field, frozen


@frozen
class AllowancePolicy:
    """Bounds of repeated arrivals in any window.

    All machines together may repeat ``ratio`` of a service's requests and
    ``burst`` more. Each machine repeats ``ratio`` of its own requests, which
    adds up by itself, and a fixed part of the burst, which holds for as many
    machines as the burst is divided by.
    """

    ratio: float
    window: float  # seconds
    burst: float  # of one machine


@define
class Allowance:
    """Repeated arrivals of one service that one machine may still cause."""

    policy: AllowancePolicy
    _requests: deque = field(factory=deque, init=False)  # times
    _repeats: deque = field(factory=deque, init=False)

    def request(self, now: float) -> None:
        """Count a caller's request."""
        self._requests.append(now)
        self._expire(now)

    def spend(self, now: float) -> bool:
        """Take one repeat; ``False`` if none is left in this window."""
        self._expire(now)
        allowed = self.policy.ratio * len(self._requests) + self.policy.burst
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now)
        return True

    def _expire(self, now: float) -> None:
        oldest = now - self.policy.window
        for times in (self._requests, self._repeats):
            while times and times[0] <= oldest:
                times.popleft()
