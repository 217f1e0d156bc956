"""State machine of one request and its attempts."""

from enum import Enum

from attrs import define, field

from chivewall.decisions.retries import RunLedger
from chivewall.results import ResultCode
from chivewall.work import Refusal

SILENCE_SECONDS = 3.0  # agents send a part at least every second


class Phase(Enum):
    """Phase of a request."""

    SEARCHING = "searching"  # for an endpoint
    OUT = "out"  # an attempt is in flight; its parts are expected
    WAITING = "waiting"  # until the time of the next search
    OVER = "over"  # ended; its last part was sent to the caller


@define
class RequestProgress:
    """State of one request.

    SEARCHING -> OUT -> SEARCHING or WAITING -> SEARCHING, and OVER once, from any of
    them. A transition that the phase doesn't allow raises ``ValueError``.
    """

    phase: Phase = Phase.SEARCHING
    attempt: int = 0  # number of the latest attempt
    tries: int = 0  # searches for an endpoint, whether or not an attempt followed
    heard_at: float = 0.0  # time of the latest part of the attempt, or of its start
    excluded: set[str] = field(factory=set)  # endpoints that failed since the last wait
    refusal: Refusal | None = None  # latest refusal by an endpoint since the last search
    ledger: RunLedger = field(factory=RunLedger)

    @property
    def over(self) -> bool:
        """Whether the request has ended."""
        return self.phase is Phase.OVER

    def search(self) -> Refusal | None:
        """Start a search for an endpoint; return the refusal that caused it, if any."""
        self._move(Phase.SEARCHING, Phase.SEARCHING, Phase.WAITING)
        self.tries += 1
        refusal, self.refusal = self.refusal, None
        return refusal

    def send(self, now: float) -> int:
        """Start an attempt; return its number."""
        self._move(Phase.OUT, Phase.SEARCHING)
        self.attempt += 1
        self.heard_at = now
        self.ledger.sent(self.attempt)
        return self.attempt

    def expects(self, attempt: int) -> bool:
        """Return whether messages of that attempt are still to be handled."""
        return self.phase is Phase.OUT and attempt == self.attempt

    def silent(self, now: float) -> bool:
        """Return whether no part of the attempt has arrived for too long."""
        return self.phase is Phase.OUT and now - self.heard_at >= SILENCE_SECONDS

    def fail(self, endpoint: str, refusal: Refusal) -> None:
        """End the attempt that got no complete response."""
        self._move(Phase.SEARCHING, Phase.OUT)
        self.ledger.ended(self.attempt, refusal.run)
        if refusal.code is not ResultCode.IN_PROGRESS:
            self.excluded.add(endpoint)
            self.refusal = refusal

    def wait(self, *, forget: bool = False) -> None:
        """Wait for the next search; ``forget`` clears the excluded endpoints."""
        self._move(Phase.WAITING, Phase.SEARCHING)
        if forget:
            self.excluded.clear()

    def finish(self) -> None:
        """End the request; call it when the last part is sent, once."""
        self._move(Phase.OVER, Phase.SEARCHING, Phase.OUT, Phase.WAITING)

    def _move(self, target: Phase, *allowed: Phase) -> None:
        if self.phase not in allowed:
            raise ValueError(f"a request that is {self.phase.value} can't become {target.value}")
        self.phase = target
