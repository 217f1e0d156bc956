"""Budget that limits how many repeated requests the gateways send to a service."""

from collections import deque

from attrs import define, field, frozen


@frozen
class RepeatBudgetPolicy:
    """Limits on the requests that are sent to a service again within a sliding window.

    All instances together may repeat ``ratio`` of a service's requests plus a
    total burst. Each instance may repeat ``ratio`` of its own requests, which
    adds up to the total ratio without coordination, plus a fixed part of the
    burst. The total burst holds for as many instances as it was divided by.
    """

    ratio: float
    window_seconds: float
    burst: float  # repeats beyond the ratio; the part of one instance


@define
class RepeatBudget:
    """Counts one instance's requests to one service and the repeats that it may still send."""

    policy: RepeatBudgetPolicy
    _requests: deque = field(factory=deque, init=False)  # times of arrival
    _repeats: deque = field(factory=deque, init=False)  # times of sending

    def count_request(self, now: float) -> None:
        """Count a caller's request."""
        self._requests.append(now)
        self._expire(now)

    def spend(self, now: float, share: float = 1.0) -> bool:
        """Count a repeat and return ``True``, or return ``False`` if none is left in the window.

        ``share``: the part of the budget that may be used; a repeat that can be done without
        leaves the rest to others.
        """
        self._expire(now)
        allowed = self.policy.ratio * len(self._requests) + self.policy.burst
        if len(self._repeats) + 1 > share * allowed:
            return False
        self._repeats.append(now)
        return True

    def _expire(self, now: float) -> None:
        oldest = now - self.policy.window_seconds
        for times in (self._requests, self._repeats):
            while times and times[0] <= oldest:
                times.popleft()
