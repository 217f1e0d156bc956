"""Encodes the parts of datagrams that are about rate limits, as lists for JSON."""

import math

from chivewall.decisions.permits import Ruling
from chivewall.decisions.stated_limits import MAX_RATE
from chivewall.gateway.rate_limit_messages import EndedAsk, LimitNews, SharedAsk, SharedRuling

MAX_SECONDS = 1000.0  # a larger time is an error of the sender
MAX_RANK = 1000  # a larger rank is an error of the sender


def encode_news(news: LimitNews) -> list[object]:
    """Return the list for news of a limit."""
    rate = None if news.rate is None else round(news.rate, 4)
    ages = (round(news.sent_age, 3), round(news.received_age, 3))
    return [news.endpoint, news.started_ms, rate, *ages]


def decode_news(
    endpoint: str, started_ms: int, rate: float | None, sent_age: float, received_age: float
) -> LimitNews:
    """Return news of a limit; raise ``ValueError`` or ``TypeError`` if it is malformed."""
    return LimitNews(
        endpoint=str(endpoint),
        started_ms=int(started_ms),
        rate=None if rate is None else _rate(rate),
        sent_age=_seconds(sent_age),
        received_age=_seconds(received_age),
    )


def encode_ask(ask: SharedAsk) -> list[object]:
    """Return the list for an ask for a permit."""
    return [
        ask.number,
        ask.endpoint,
        round(ask.rate, 4),
        round(ask.age, 3),
        ask.rank,
        round(ask.seconds_left, 3),
    ]


def decode_ask(
    number: int, endpoint: str, rate: float, age: float, rank: int, seconds_left: float
) -> SharedAsk:
    """Return an ask; raise ``ValueError`` or ``TypeError`` if it is malformed."""
    return SharedAsk(
        number=int(number),
        endpoint=str(endpoint),
        rate=_rate(rate),
        age=_seconds(age),
        rank=min(MAX_RANK, max(0, int(rank))),
        seconds_left=_seconds(seconds_left),
    )


def encode_ruling(ruling: SharedRuling) -> list[object]:
    """Return the list for the answer to an ask."""
    return [ruling.number, ruling.endpoint, ruling.ruling.value, round(ruling.wait, 3)]


def decode_ruling(number: int, endpoint: str, ruling: int, wait: float) -> SharedRuling:
    """Return the answer to an ask; raise ``ValueError`` or ``TypeError`` if it is malformed."""
    return SharedRuling(int(number), str(endpoint), Ruling(ruling), _seconds(wait))


def encode_ended(ask: EndedAsk) -> list[object]:
    """Return the list for an ask that has ended."""
    return [ask.number, ask.endpoint]


def decode_ended(number: int, endpoint: str) -> EndedAsk:
    """Return an ask that has ended; raise ``ValueError`` or ``TypeError`` if it is malformed."""
    return EndedAsk(int(number), str(endpoint))


def _rate(value: float) -> float:
    found = float(value)
    if not 0 < found <= MAX_RATE:
        raise ValueError(f"rate {found} is out of range")
    return found


def _seconds(value: float) -> float:
    found = float(value)
    if math.isnan(found):
        raise ValueError("a time is no number")
    return min(MAX_SECONDS, max(0.0, found))
