"""Decides when a request that is answered slowly gets a second attempt beside the first.

The delay is learned from recent answers, so that only the slowest requests get one, and only where
another attempt is likely to be faster than the rest of the first. Two limits hold for each service:
extra attempts by request, and the time for which two endpoints worked on one request by the time of
all attempts.
"""

import math
from collections import deque
from collections.abc import Iterable

from attrs import define, field, frozen

from chivewall.decisions.availability import Availability
from chivewall.decisions.endpoint_record import EndpointRecord

ANSWER_AGE_SECONDS = 60.0  # older answers no longer count
MAX_ANSWERS = 512  # latest answers that are kept of one kind
DELAY_AGE_SECONDS = 1.0  # the delay is worked out again after this time
COMPARED_ANSWERS = 10  # evenly spaced ones that stand for the time of another attempt
ROUNDING = 1e-9
LIMIT_WINDOW_SECONDS = 60.0  # window of the limits
REFUSAL_SECONDS = 2.0  # no extra attempt for so long after a refusal of the service
# Share of the slots of a service that may be taken when an extra attempt begins. Beyond it, the
# attempt would delay other requests.
MAX_BUSY_SHARE = 0.5


@frozen
class ExtraAttemptPolicy:
    """The operator's limits; shares of 0 allow no extra attempts."""

    max_share: float = 0.0  # extra attempts for each request of a service
    max_time_share: float = 0.05  # doubled endpoint time, by the time of all attempts
    quantile: float = 0.95  # share of the answers that come before an extra attempt begins


@define
class AnswerTimes:
    """Times from the send of a request to its answer, of one kind of request."""

    _answers: deque = field(factory=deque, init=False)  # pairs of time and seconds
    _delay: float | None = field(default=None, init=False)
    _delay_until: float = field(default=-math.inf, init=False)  # until then it isn't worked out

    def record(self, seconds: float, now: float) -> None:
        """Record an answer, or for how long none came from an attempt that was given up."""
        self._answers.append((now, seconds))
        if len(self._answers) > MAX_ANSWERS:
            self._answers.popleft()

    def is_settled(self, share: float, now: float) -> bool:
        """Return whether there are enough answers for the quantile of this share.

        Example: a share of 0.95 needs 10 answers.
        """
        while self._answers and self._answers[0][0] <= now - ANSWER_AGE_SECONDS:
            self._answers.popleft()
        return len(self._answers) * (1 - share) >= 0.5 - ROUNDING

    def delay(self, share: float, now: float) -> float | None:
        """Return the seconds in which this share of the answers came.

        ``None``: there are too few answers, or another attempt after this time would on average
        save less waiting than the endpoint time that it adds.
        """
        if now >= self._delay_until:
            self._delay_until = now + DELAY_AGE_SECONDS
            self._delay = self._work_out(share) if self.is_settled(share, now) else None
        return self._delay

    def _work_out(self, share: float) -> float | None:
        ordered = sorted(seconds for _, seconds in self._answers)
        rank = math.ceil(share * len(ordered) - ROUNDING) - 1
        delay = ordered[rank]
        # Slower than usual because of the request itself, the next endpoint needs as long again.
        left = [seconds - delay for seconds in ordered[rank:]]
        step = max(1, len(ordered) // COMPARED_ANSWERS)
        fresh = ordered[step // 2 :: step]
        saved = sum(max(0.0, one - other) for one in left for other in fresh)
        added = sum(min(one, other) for one in left for other in fresh)
        return delay if saved > added else None


@define
class ExtraAttemptLimits:
    """Counts the requests and extra attempts of one service within a sliding window."""

    _attempts: deque = field(factory=deque, init=False)  # pairs of time and endpoint seconds
    _extra: deque = field(factory=deque, init=False)  # times of extra attempts
    _doubled: deque = field(factory=deque, init=False)  # pairs of time and endpoint seconds
    _refused_at: float = field(default=-math.inf, init=False)

    def record_attempt(self, seconds: float, now: float) -> None:
        """Record the endpoint time of a request's first attempt or of a retry."""
        self._attempts.append((now, seconds))
        self._expire(now)

    def record_doubled(self, seconds: float, now: float) -> None:
        """Record for how long two endpoints worked on one request."""
        self._doubled.append((now, seconds))

    def record_refusal(self, now: float) -> None:
        """Record that an endpoint refused a request, for want of room as a rule."""
        self._refused_at = now

    def allow(self, policy: ExtraAttemptPolicy, now: float) -> bool:
        """Return whether the limits and the refusals allow one more extra attempt."""
        self._expire(now)
        if now - self._refused_at < REFUSAL_SECONDS:
            return False
        if len(self._extra) + 1 > policy.max_share * len(self._attempts):
            return False
        doubled = sum(seconds for _, seconds in self._doubled)
        return doubled < policy.max_time_share * sum(seconds for _, seconds in self._attempts)

    def spend(self, policy: ExtraAttemptPolicy, now: float) -> bool:
        """Count an extra attempt and return ``True``, or return ``False`` if none is allowed."""
        if not self.allow(policy, now):
            return False
        self._extra.append(now)
        return True

    def _expire(self, now: float) -> None:
        oldest = now - LIMIT_WINDOW_SECONDS
        for pairs in (self._attempts, self._doubled):
            while pairs and pairs[0][0] <= oldest:
                pairs.popleft()
        while self._extra and self._extra[0] <= oldest:
            self._extra.popleft()


def spare_endpoints(states: Iterable[EndpointRecord], now: float) -> list[EndpointRecord]:
    """Return the endpoints of a service that have room for an extra attempt.

    There is none in a shortage: while one of its endpoints is in cooldown, pauses or names a rate
    limit, or while most of its slots are taken.
    """
    present = [one for one in states if one.availability is Availability.OPEN]
    if any(
        one.cooldown_until > now or one.paused_until > now or one.rate_limit is not None
        for one in present
    ):
        return []
    taken = sum(one.in_flight for one in present)
    if taken + 1 > MAX_BUSY_SHARE * sum(one.info.slots for one in present):
        return []
    return [one for one in present if one.in_flight < one.info.slots]
