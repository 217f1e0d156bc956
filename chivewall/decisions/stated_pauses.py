"""Keeps the pauses that endpoints ask for when they refuse requests.

A pause is asked of the gateway that gets the refusal, so it isn't told to the others. It holds for
the process that asked for it, until its own end: a response that comes meanwhile may be one to an
earlier request.
"""

from collections import OrderedDict

from attrs import define, field, frozen

MAX_PAUSE_SECONDS = 300.0  # a longer pause counts as this long, so that its end is found out
MAX_PAUSES = 4096  # endpoints of which a pause is kept


@frozen
class Pause:
    """A process of an endpoint wants no requests from this gateway until a time."""

    endpoint: str
    started_ms: int  # start of the process as Unix time in ms; 0 if unknown
    until: float

    def concerns(self, endpoint: str, started_ms: int) -> bool:
        """Return whether it was asked for by this process of an endpoint."""
        return (self.endpoint, self.started_ms) == (endpoint, started_ms)


@define
class StatedPauses:
    """The latest pause of each endpoint id."""

    _pauses: OrderedDict[str, Pause] = field(factory=OrderedDict)

    def record(self, endpoint: str, started_ms: int, seconds: float, now: float) -> Pause | None:
        """Record that an endpoint asked for a pause; return it if it ends later than known.

        Refusals overtake each other, so a later one with a shorter pause doesn't end the longer.
        """
        pause = Pause(endpoint, started_ms, now + min(seconds, MAX_PAUSE_SECONDS))
        known = self._pauses.get(endpoint)
        if known is not None and (known.started_ms, known.until) >= (started_ms, pause.until):
            return None
        self._pauses[endpoint] = pause
        self._pauses.move_to_end(endpoint)
        while len(self._pauses) > MAX_PAUSES:
            self._pauses.popitem(last=False)
        return pause

    def get(self, endpoint: str) -> Pause | None:
        """Return the latest pause of an endpoint id, which may have ended, or ``None``."""
        return self._pauses.get(endpoint)

    def forget(self, endpoint: str) -> None:
        """Drop the pause of an endpoint whose process has been replaced or has left."""
        self._pauses.pop(endpoint, None)
