"""State machine of the attempts of one request."""

from enum import Enum

from attrs import define, field

from chivewall.decisions.retries import RunLedger
from chivewall.results import ResultCode
from chivewall.work import Refusal

SILENCE_SECONDS = 3.0  # agents send a part at least every second


class Phase(Enum):
    """What a request waits for."""

    SEARCHING = "searching"  # an endpoint
    OUT = "out"  # parts of an attempt
    WAITING = "waiting"  # the time of the next search
    OVER = "over"  # nothing; its last part was sent


@define
class RequestProgress:
    """Where one request stands.

    SEARCHING -> OUT -> SEARCHING or WAITING -> SEARCHING, and OVER from each of
    them, once. A step that the phase doesn't allow raises ``ValueError``.
    """

    phase: Phase = Phase.SEARCHING
    attempt: int = 0  # number of the latest attempt
    tries: int = 0  # attempts and searches that found no endpoint
    heard_at: float = 0.0  # when the latest part of the attempt arrived
    excluded: set[str] = field(factory=set)  # endpoints that failed since the last wait
    refusal: Refusal | None = None  # the latest one of an endpoint, until the next search
    ledger: RunLedger = field(factory=RunLedger)

    @property
    def over(self) -> bool:
        """True once the last part was sent."""
        return self.phase is Phase.OVER

    def search(self) -> Refusal | None:
        """Begin to look for an endpoint; return the refusal that led to it."""
        self._move(Phase.SEARCHING, Phase.SEARCHING, Phase.WAITING)
        self.tries += 1
        refusal, self.refusal = self.refusal, None
        return refusal

    def send(self, now: float) -> int:
        """Begin an attempt; return its number."""
        self._move(Phase.OUT, Phase.SEARCHING)
        self.attempt += 1
        self.heard_at = now
        self.ledger.sent(self.attempt)
        return self.attempt

    def expects(self, attempt: int) -> bool:
        """Return whether messages of that attempt still count."""
        return self.phase is Phase.OUT and attempt == self.attempt

    def silent(self, now: float) -> bool:
        """Return whether the attempt has been without a part for too long."""
        return self.phase is Phase.OUT and now - self.heard_at >= SILENCE_SECONDS

    def fail(self, endpoint: str, refusal: Refusal) -> None:
        """End the attempt without a whole answer."""
        self._move(Phase.SEARCHING, Phase.OUT)
        self.ledger.ended(self.attempt, refusal.run)
        if refusal.code is not ResultCode.IN_PROGRESS:
            self.excluded.add(endpoint)
            self.refusal = refusal

    def wait(self, *, forget: bool = False) -> None:
        """Wait for the next search; ``forget`` allows all endpoints again."""
        self._move(Phase.WAITING, Phase.SEARCHING)
        if forget:
            self.excluded.clear()

    def finish(self) -> None:
        """End the request; its last part is sent now and never again."""
        self._move(Phase.OVER, Phase.SEARCHING, Phase.OUT, Phase.WAITING)

    def _move(self, target: Phase, *allowed: Phase) -> None:
        if self.phase not in allowed:
            raise ValueError(f"a request that is {self.phase.value} can't become {target.value}")
        self.phase = target
