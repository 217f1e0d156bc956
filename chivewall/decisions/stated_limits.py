"""Judges what endpoints say about the requests a second that they take from all gateways.

An endpoint in need names its limit in each of its responses, and takes it back by responses that
name none. Responses overtake each other, so a statement counts by when its request was sent: a
response can only lift or raise a limit if its request was sent after the limit was last stated.
A lower limit counts at once.
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

    _statements: OrderedDict[str, LimitStatement] = field(factory=OrderedDict)

    def record(self, statement: LimitStatement) -> bool:
        """Record a statement; return whether it changes the limit of the endpoint."""
        statement = evolve(statement, rate=effective_rate(statement.rate))
        known = self._known(statement)
        if known is None:
            if statement.rate is None:
                return False
            self._keep(statement)
            return True
        if statement.started_ms < known.started_ms:
            return False  # of an earlier process
        if _is_lower(statement.rate, known.rate):
            self._keep(statement)
            return True
        if statement.sent_at < known.received_at:
            return False  # the endpoint may have responded before it stated the known limit
        changed = statement.rate != known.rate
        if statement.rate is None:
            del self._statements[statement.endpoint]
        else:
            self._keep(statement)
        return changed

    def rate(self, endpoint: str, started_ms: int) -> float | None:
        """Return the requests a second that a process of an endpoint takes, ``None``: any."""
        known = self._statements.get(endpoint)
        if known is None or not known.concerns(endpoint, started_ms):
            return None
        return known.rate

    def statement(self, endpoint: str) -> LimitStatement | None:
        """Return the latest statement of an endpoint that has a limit, or ``None``."""
        return self._statements.get(endpoint)

    def forget(self, endpoint: str) -> None:
        """Drop the limit of an endpoint whose process has been replaced or has left."""
        self._statements.pop(endpoint, None)

    def __iter__(self) -> Iterator[LimitStatement]:
        """Iterate over the latest statements of the endpoints that have a limit."""
        return iter(tuple(self._statements.values()))

    def __len__(self) -> int:
        """Return the number of endpoints that have a limit."""
        return len(self._statements)

    def _known(self, statement: LimitStatement) -> LimitStatement | None:
        known = self._statements.get(statement.endpoint)
        if known is not None and known.started_ms < statement.started_ms:
            return None
        return known

    def _keep(self, statement: LimitStatement) -> None:
        self._statements[statement.endpoint] = statement
        self._statements.move_to_end(statement.endpoint)
        while len(self._statements) > MAX_STATEMENTS:
            self._statements.popitem(last=False)


def _is_lower(rate: float | None, known: float | None) -> bool:
    return (math.inf if rate is None else rate) < (math.inf if known is None else known)
