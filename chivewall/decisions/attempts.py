"""State machine of one request and its attempts."""

from enum import Enum

from attrs import define, field

from chivewall.decisions.retries import RunTracker
from chivewall.results import ResultCode
from chivewall.work import Refusal

PART_TIMEOUT_SECONDS = 3.0  # agents send a part at least every second


class Phase(Enum):
    """Phase of a request."""

    SEARCHING = "searching"  # for an endpoint
    ATTEMPTING = "attempting"  # an attempt is in flight; its parts are expected
    WAITING = "waiting"  # until the time of the next search
    ENDED = "ended"  # ended; its last part was sent to the caller


@define
class RequestProgress:
    """State of one request.

    SEARCHING -> ATTEMPTING -> SEARCHING or WAITING -> SEARCHING, and ENDED once, from any of
    them. A transition that the phase doesn't allow raises ``ValueError``.
    """

    phase: Phase = Phase.SEARCHING
    attempt: int = 0  # number of the latest attempt
    searches: int = 0  # searches for an endpoint, whether or not an attempt followed
    last_part_at: float = 0.0  # time of the latest part of the attempt, or of its start
    excluded: set[str] = field(factory=set)  # endpoints that failed since the last wait
    refusal: Refusal | None = None  # latest refusal by an endpoint since the last search
    run_tracker: RunTracker = field(factory=RunTracker)

    @property
    def ended(self) -> bool:
        """Whether the request has ended."""
        return self.phase is Phase.ENDED

    def start_search(self) -> Refusal | None:
        """Start a search for an endpoint; return the refusal that caused it, if any."""
        self._change_phase(Phase.SEARCHING, Phase.SEARCHING, Phase.WAITING)
        self.searches += 1
        refusal, self.refusal = self.refusal, None
        return refusal

    def start_attempt(self, now: float) -> int:
        """Start an attempt; return its number."""
        self._change_phase(Phase.ATTEMPTING, Phase.SEARCHING)
        self.attempt += 1
        self.last_part_at = now
        self.run_tracker.record_sent(self.attempt)
        return self.attempt

    def expects(self, attempt: int) -> bool:
        """Return whether messages of that attempt are still to be handled."""
        return self.phase is Phase.ATTEMPTING and attempt == self.attempt

    def is_silent(self, now: float) -> bool:
        """Return whether no part of the attempt has arrived for too long."""
        return self.phase is Phase.ATTEMPTING and now - self.last_part_at >= PART_TIMEOUT_SECONDS

    def fail_attempt(self, endpoint: str, refusal: Refusal) -> None:
        """End the attempt that got no complete response."""
        self._change_phase(Phase.SEARCHING, Phase.ATTEMPTING)
        self.run_tracker.record_ended(self.attempt, refusal.run)
        if refusal.code is not ResultCode.IN_PROGRESS:
            self.excluded.add(endpoint)
            self.refusal = refusal

    def wait(self, *, clear_excluded: bool = False) -> None:
        """Wait for the next search; ``clear_excluded`` clears the excluded endpoints."""
        self._change_phase(Phase.WAITING, Phase.SEARCHING)
        if clear_excluded:
            self.excluded.clear()

    def finish(self) -> None:
        """End the request; call it when the last part is sent, once."""
        self._change_phase(Phase.ENDED, Phase.SEARCHING, Phase.ATTEMPTING, Phase.WAITING)

    def _change_phase(self, target: Phase, *allowed: Phase) -> None:
        if self.phase not in allowed:
            raise ValueError(f"a request that is {self.phase.value} can't become {target.value}")
        self.phase = target
