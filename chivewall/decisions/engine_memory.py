"""Keeps the requests at an engine within the memory that its service states.

An engine rejects a request that is larger than its memory, and crashes if those that it holds are.
The tokens of this gateway's own requests are known. Other gateways report their requests without
tokens, so those count by the mean of this gateway's requests to the same service.
"""

from collections.abc import Iterable, Mapping
from enum import Enum
from typing import TypeVar

from attrs import define, field

from chivewall.decisions.endpoint_record import EndpointRecord
from chivewall.decisions.placement import PromptState
from chivewall.gateway.http_dialect import RequestFields

# Share of an engine's memory that requests may fill; the rest covers the requests of other
# gateways that were sent a moment ago, and the difference of theirs from the mean.
USABLE_SHARE = 0.9
MEAN_WEIGHT = 0.05  # weight of the latest request in the mean of a service
RETRY_SECONDS = 0.5  # time after which a caller that found all engines full may come back

Record = TypeVar("Record", bound=EndpointRecord)


class MemoryVerdict(Enum):
    """Whether the engines of a service have room for a request."""

    FITS = "fits"
    FULL = "full"  # later, once other requests have ended
    TOO_LARGE = "too large"  # for every engine


def request_tokens(fields: RequestFields) -> int:
    """Return the most tokens that a request can take of an engine's memory."""
    return fields.prompt_tokens + fields.max_output_tokens


@define
class HeldTokens:
    """The tokens of this gateway's requests at one engine, by exchange."""

    tokens: dict[int, int] = field(factory=dict)
    total: int = 0

    def add(self, exchange: int, tokens: int) -> None:
        """Count a request."""
        self.remove(exchange)
        self.tokens[exchange] = tokens
        self.total += tokens

    def remove(self, exchange: int) -> None:
        """Stop counting a request."""
        self.total -= self.tokens.pop(exchange, 0)


@define
class EngineMemories:
    """What the engines hold; services whose memory is not stated are not limited."""

    capacity: Mapping[str, int] = field(factory=dict)  # tokens of each engine, by service
    _held: dict[str, HeldTokens] = field(factory=dict, init=False)  # by endpoint id
    _means: dict[str, float] = field(factory=dict, init=False)  # tokens of a request, by service

    def record_sent(self, record: EndpointRecord, exchange: int, fields: RequestFields) -> None:
        """Count a request that was sent to an engine."""
        service = record.info.service
        if service not in self.capacity:
            return
        tokens = request_tokens(fields)
        self._held.setdefault(record.info.id, HeldTokens()).add(exchange, tokens)
        mean = self._means.setdefault(service, float(tokens))
        self._means[service] = mean + MEAN_WEIGHT * (tokens - mean)

    def record_ended(self, endpoint: str, exchange: int) -> None:
        """Stop counting a request."""
        held = self._held.get(endpoint)
        if held is not None:
            held.remove(exchange)
            if not held.tokens:
                del self._held[endpoint]

    def held(self, record: EndpointRecord) -> float:
        """Return the tokens of all gateways' requests at an engine."""
        own = self._held.get(record.info.id) or HeldTokens()
        others = max(0, record.in_flight - len(own.tokens))
        return own.total + others * self._means.get(record.info.service, 0.0)

    def fitting(
        self, records: Iterable[Record], fields: RequestFields
    ) -> tuple[list[Record], MemoryVerdict]:
        """Return the engines that have room for a request, and why there is none."""
        records = list(records)
        capacity = self.capacity.get(records[0].info.service) if records else None
        if capacity is None:
            return records, MemoryVerdict.FITS
        tokens = request_tokens(fields)
        if tokens > capacity:
            return [], MemoryVerdict.TOO_LARGE
        # An engine without other requests takes any that it has the memory for.
        found = [
            one
            for one in records
            if not (held := self.held(one)) or held + tokens <= USABLE_SHARE * capacity
        ]
        return found, MemoryVerdict.FITS if found else MemoryVerdict.FULL


def must_be_placed(prompt: PromptState, *, committed: bool) -> bool:
    """Return whether a request can't be refused any more, so that full engines must take it.

    It has run, or the memory of its prompt is already in use at another engine.
    """
    return committed or prompt is PromptState.PREFILLED
