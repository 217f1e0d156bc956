"""Shares the rate limit of an endpoint among the gateways, by permits for single requests.

One gateway keeps the limit of an endpoint: the first of the live ones in an order that depends on
the endpoint's id (rendezvous hashing), so that the limits of many endpoints are spread over all
gateways. The others ask it for a permit before each request. It grants permits at the rate of the
limit, the most urgent first, and tells at once those that would wait longer than they can.

Gateways may disagree on which of them are live. What they grant together is at most one and a half
times the limit: a gateway that isn't the first in its own view grants at a quarter of the rate, the
next one at an eighth and so on; and the sides of a partition get parts of the rate by the number of
gateways that each still sees.
"""

import itertools
from collections.abc import Iterable
from enum import Enum
from hashlib import blake2b

from attrs import define, field, frozen

# Permits that are saved while nobody asks, in seconds of the limit.
BURST_SECONDS = 0.5
# A permit has to be used within this time. Permits that were held back and used at the same moment
# exceed the rate by no more than it grants in this time.
PERMIT_SECONDS = 1.0
# One permit in so many goes to the ask that has waited longest, whatever its rank, so that work of
# a low rank is not shut out while more urgent work takes the whole rate.
FAIR_TURN = 5
# Time over which the grants to more urgent work are averaged for the wait of the others, seconds.
AVERAGE_SECONDS = 4.0
# An ask of another gateway is dropped if it isn't repeated for this long: its sender has ended.
ASK_LIFETIME_SECONDS = 1.2
# A queue without asks is dropped this long after its next permit became due, seconds.
IDLE_SECONDS = 10.0
MAX_ANSWERED = 256  # latest grants of an endpoint that are remembered for repeated asks
MAX_WAITING = 1024  # asks that wait for one endpoint


def seconds_to_next(rate: float) -> float:
    """Return the shortest time from a permit to the next one, if none was granted for long."""
    return max(0.0, 1 / rate - _saved_seconds(rate))


def _saved_seconds(rate: float) -> float:
    """Return the time in which the permits that may be saved, beyond one, become due."""
    return max(0.0, BURST_SECONDS - 1 / rate)


class Ruling(Enum):
    """The answer to an ask for a permit."""

    GRANTED = 0
    QUEUED = 1  # it waits
    DENIED = 2  # it would wait longer than it can


@frozen
class AskKey:
    """Identifies an ask."""

    gateway: str  # IP address of the gateway that asks
    number: int  # unique in that gateway's process


@frozen
class PermitAsk:
    """A request for a permit."""

    key: AskKey
    rank: int  # 0 is served first
    give_up_at: float  # time until which the permit must be granted


@frozen
class PermitDecision:
    """What was decided about an ask."""

    key: AskKey
    ruling: Ruling
    wait: float  # seconds until a permit is expected; 0 if granted


@define(eq=False)
class WaitingAsk:
    """An ask in the queue of an endpoint."""

    ask: PermitAsk
    order: int  # order of arrival
    drop_at: float  # time until which it must be repeated


def keeper_order(endpoint: str, gateways: Iterable[str]) -> list[str]:
    """Return the addresses of gateways in the order in which they keep an endpoint's limit."""

    def weight(gateway: str) -> bytes:
        return blake2b(f"{endpoint}|{gateway}".encode(), digest_size=8).digest()

    return sorted(gateways, key=weight, reverse=True)


def granted_share(position: int, live: int, remembered: int) -> float:
    """Return the share of an endpoint's limit that a gateway grants.

    ``position``: its own in the keeper order as it sees it, 0 for the first; ``live``: gateways
    that it sees; ``remembered``: those and the ones that fell silent not long ago. Silent ones may
    live behind a partition, where they keep the same limit.

    Example: ``granted_share(0, 3, 5) + granted_share(0, 2, 5) == 1.0``.
    """
    return (0.5 ** (position + 1) if position else 1.0) * live / max(live, remembered)


@define
class PermitQueue:
    """The permits and the waiting asks of one endpoint."""

    rate: float  # permits a second
    stated_at: float  # when the endpoint stated the limit that the rate follows from
    first_at: float  # when the first permit is due
    _next_at: float = field(init=False)  # when the next permit is due if the saved ones are used up
    _waiting: list[WaitingAsk] = field(factory=list, init=False)
    _granted: dict[AskKey, float] = field(factory=dict, init=False)  # times, oldest first
    _rank_rates: dict[int, tuple[float, float]] = field(factory=dict, init=False)  # rate, time
    _grants: int = field(default=0, init=False)
    _orders: itertools.count = field(factory=itertools.count, init=False)

    def __attrs_post_init__(self) -> None:
        self._next_at = self.first_at + self._saved_seconds

    def set_rate(self, rate: float, stated_at: float, now: float) -> None:
        """Set the rate that follows from the latest statement of the endpoint."""
        self.stated_at = max(self.stated_at, stated_at)
        if rate == self.rate:
            return
        self.rate = rate
        # After a very low limit, nobody waits longer than the new limit asks for.
        self._next_at = min(self._next_at, now + self._saved_seconds + self._interval)

    def ask(self, ask: PermitAsk, now: float, *, repeated_by: float) -> PermitDecision:
        """Rule on an ask; a repeated one keeps its place.

        ``repeated_by``: when it is dropped if it has not been repeated.
        """
        if ask.key in self._granted:
            return PermitDecision(ask.key, Ruling.GRANTED, 0.0)
        known = next((one for one in self._waiting if one.ask.key == ask.key), None)
        if known is None:
            wait = self._expected_wait(ask.rank, self._ahead(ask.rank), now)
            if now + wait > ask.give_up_at or len(self._waiting) >= MAX_WAITING:
                return PermitDecision(ask.key, Ruling.DENIED, wait)
            if wait <= 0:
                self._grant(ask, now)
                return PermitDecision(ask.key, Ruling.GRANTED, 0.0)
            known = WaitingAsk(ask, next(self._orders), repeated_by)
            self._waiting.append(known)
        known.drop_at = repeated_by
        wait = self._expected_wait(ask.rank, self._ahead(ask.rank, known.order), now)
        return PermitDecision(ask.key, Ruling.QUEUED, wait)

    def release(self, key: AskKey, now: float) -> None:
        """Remove an ask, or take back a permit that has not been used."""
        self._waiting = [one for one in self._waiting if one.ask.key != key]
        granted_at = self._granted.pop(key, None)
        if granted_at is not None and now - granted_at <= PERMIT_SECONDS:
            self._next_at -= self._interval

    def due(self, now: float) -> list[PermitDecision]:
        """Grant the permits that are due, and deny asks that can't be granted in time."""
        self._waiting = [one for one in self._waiting if one.drop_at > now]
        decisions = []
        while self._waiting and self._due_in(now) <= 0:
            chosen = self._next_ask()
            self._waiting.remove(chosen)
            self._grant(chosen.ask, now)
            decisions.append(PermitDecision(chosen.ask.key, Ruling.GRANTED, 0.0))
        kept: list[WaitingAsk] = []
        for one in sorted(self._waiting, key=lambda waiting: (waiting.ask.rank, waiting.order)):
            wait = self._expected_wait(one.ask.rank, len(kept), now)
            if now + wait > one.ask.give_up_at:
                decisions.append(PermitDecision(one.ask.key, Ruling.DENIED, wait))
            else:
                kept.append(one)
        self._waiting = kept
        return decisions

    def next_due(self, now: float) -> float | None:
        """Return when ``due`` has to be called, or ``None`` if no ask waits."""
        return now + max(0.0, self._due_in(now)) if self._waiting else None

    def is_idle(self, now: float) -> bool:
        """Return whether the queue holds nothing that a new one would not hold."""
        return not self._waiting and now > self._next_at + IDLE_SECONDS

    @property
    def _interval(self) -> float:
        return 1 / self.rate

    @property
    def _saved_seconds(self) -> float:
        return _saved_seconds(self.rate)

    def _due_in(self, now: float) -> float:
        return self._next_at - self._saved_seconds - now

    def _grant(self, ask: PermitAsk, now: float) -> None:
        self._next_at = max(self._next_at, now) + self._interval
        self._grants += 1
        rate = self._rank_rate(ask.rank, now) + 1 / AVERAGE_SECONDS
        self._rank_rates[ask.rank] = (rate, now)
        self._granted[ask.key] = now
        if len(self._granted) > MAX_ANSWERED:
            del self._granted[next(iter(self._granted))]

    def _next_ask(self) -> WaitingAsk:
        if self._grants % FAIR_TURN == FAIR_TURN - 1:
            return min(self._waiting, key=lambda one: one.order)
        return min(self._waiting, key=lambda one: (one.ask.rank, one.order))

    def _ahead(self, rank: int, order: int | None = None) -> int:
        """Return how many waiting asks go before one of a rank, by its order of arrival."""
        return sum(
            one.ask.rank < rank or (one.ask.rank == rank and (order is None or one.order < order))
            for one in self._waiting
        )

    def _expected_wait(self, rank: int, ahead: int, now: float) -> float:
        """Return the seconds until a permit for an ask, with what more urgent ones will take."""
        first = max(0.0, self._due_in(now))
        if not first and not ahead:
            return 0.0
        urgent = sum(self._rank_rate(one, now) for one in self._rank_rates if one < rank)
        left = max(self.rate / FAIR_TURN, self.rate - urgent)
        return first + (ahead + 1) / left - self._interval

    def _rank_rate(self, rank: int, now: float) -> float:
        """Return the permits a second that a rank got lately."""
        rate, at = self._rank_rates.get(rank, (0.0, now))
        return rate * max(0.0, 1 - (now - at) / AVERAGE_SECONDS)
