"""Judges what endpoints say about the requests a second that they take from all gateways.

An endpoint in need names its limit in each of its responses, and takes it back by responses that
name none. Responses overtake each other, so a statement counts by when its request was sent: a
response can only lift or raise a limit if its request was sent after the limit was last stated.
A lower limit counts at once. What other gateways report replaces what is known if it is newer; the
end of a limit is kept for a while too, so that no gateway is told again of a limit that has ended.
"""

import math
from collections import OrderedDict
from collections.abc import Iterator
from enum import Enum

from attrs import define, evolve, field, frozen

# A limit below this rate counts as this rate, also 0: without a request now and then nobody would
# hear that it has ended.
MIN_RATE = 0.2  # requests a second
MAX_RATE = 10_000.0  # requests a second; a higher limit is none
MAX_STATEMENTS = 4096  # endpoints of which a statement is kept
ENDED_SECONDS = 60.0  # time for which the end of a limit is kept
# News of another gateway seem newer than they are by the time that they were under way, so that
# an end of a limit, or a higher one, has to be newer by this much. Its own responses tell a gateway
# in any case.
NEWS_SECONDS = 0.5


class LimitSource(Enum):
    """How this gateway learned of a limit."""

    RESPONSE = "response"  # a response that this gateway received from the endpoint
    PEER = "peer"  # another gateway
    LIST = "list"  # the platform's list: the process has left, or another one has replaced it


@frozen
class LimitStatement:
    """A process of an endpoint stated its limit, or that it has none."""

    endpoint: str
    started_ms: int  # start of the process as Unix time in ms; 0 if unknown
    rate: float | None  # requests a second from all gateways together; ``None``: no limit
    sent_at: float  # when the request was sent whose response states it
    received_at: float  # when that response was received
    source: LimitSource

    def concerns(self, endpoint: str, started_ms: int) -> bool:
        """Return whether it is about this process of an endpoint."""
        return (self.endpoint, self.started_ms) == (endpoint, started_ms)


def effective_rate(rate: float | None) -> float | None:
    """Return the limit to keep for a stated one, or ``None`` for no limit.

    Example: ``effective_rate(0.0) == MIN_RATE``, ``effective_rate(1e300) is None``.
    """
    if rate is None or rate > MAX_RATE:
        return None
    return max(MIN_RATE, rate)


@define
class StatedLimits:
    """The limit of each endpoint id that has named one, as of its latest statement.

    A restarted process has no limit until it names one.
    """

    # With the statements that ended a limit, whose rate is ``None``.
    _statements: OrderedDict[str, LimitStatement] = field(factory=OrderedDict)
    _limited: set[str] = field(factory=set)  # ids of the endpoints that have a limit

    def record(self, statement: LimitStatement) -> bool:
        """Record a statement; return whether it changes the limit of the endpoint."""
        statement = evolve(statement, rate=effective_rate(statement.rate))
        known = self._known(statement)
        if known is not None and not _replaces(statement, known):
            return False
        before = None if known is None else known.rate
        if known is not None or statement.rate is not None:
            self._keep(statement)
        return statement.rate != before

    def rate(self, endpoint: str, started_ms: int) -> float | None:
        """Return the requests a second that a process of an endpoint takes, ``None``: any."""
        known = self.statement(endpoint)
        if known is None or not known.concerns(endpoint, started_ms):
            return None
        return known.rate

    def statement(self, endpoint: str) -> LimitStatement | None:
        """Return the latest statement of an endpoint that has a limit, or ``None``."""
        return self._statements[endpoint] if endpoint in self._limited else None

    def forget(self, endpoint: str) -> None:
        """Drop the limit of an endpoint whose process has been replaced or has left."""
        self._limited.discard(endpoint)
        self._statements.pop(endpoint, None)

    def __iter__(self) -> Iterator[LimitStatement]:
        """Iterate over the latest statements of the endpoints that have a limit."""
        return iter([self._statements[one] for one in sorted(self._limited)])

    def __len__(self) -> int:
        """Return the number of endpoints that have a limit."""
        return len(self._limited)

    def _known(self, statement: LimitStatement) -> LimitStatement | None:
        """Return the latest statement, unless it is one of an earlier process or ended long ago."""
        known = self._statements.get(statement.endpoint)
        if known is None or known.started_ms < statement.started_ms:
            return None
        if known.rate is None and statement.received_at - known.received_at > ENDED_SECONDS:
            return None
        return known

    def _keep(self, statement: LimitStatement) -> None:
        endpoint = statement.endpoint
        self._statements[endpoint] = statement
        self._statements.move_to_end(endpoint)
        if statement.rate is None:
            self._limited.discard(endpoint)
        else:
            self._limited.add(endpoint)
        while len(self._statements) > MAX_STATEMENTS:
            self.forget(next(iter(self._statements)))


def _replaces(statement: LimitStatement, known: LimitStatement) -> bool:
    """Return whether a statement of the same process, or an earlier one, replaces the known one."""
    if statement.started_ms < known.started_ms:
        return False
    is_lower = known.rate is not None and _is_lower(statement.rate, known.rate)
    if statement.source is LimitSource.PEER:
        margin = 0.0 if is_lower or statement.rate == known.rate else NEWS_SECONDS
        return statement.sent_at > known.sent_at + margin
    if is_lower:
        return True
    # Otherwise the endpoint may have responded before it made the known statement.
    return statement.sent_at >= known.received_at


def _is_lower(rate: float | None, known: float | None) -> bool:
    return (math.inf if rate is None else rate) < (math.inf if known is None else known)
