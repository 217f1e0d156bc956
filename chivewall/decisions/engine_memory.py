"""Keeps the requests at an engine within the memory that its service states.

An engine rejects a request that is larger than its memory, and crashes if those that it holds are.
The tokens of this gateway's own requests are known. Other gateways report their requests without
tokens, so those count by what this gateway's requests to the same service add on average.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from enum import Enum
from typing import TypeVar

from attrs import define, field, frozen

from chivewall.decisions.endpoint_record import EndpointRecord, PrefixChain, prefix_chain
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


@frozen
class RequestMemory:
    """The most tokens that a request takes of an engine's memory."""

    shared: PrefixChain  # prefixes that other requests may share, and the tokens of each
    own: int  # the last part of the prompt and the output

    @classmethod
    def of(cls, fields: RequestFields) -> "RequestMemory":
        """Return the memory of a request."""
        shared = prefix_chain(fields)[:-1]
        whole = fields.prompt_tokens + fields.max_output_tokens
        return cls(shared, max(0, whole - sum(tokens for _, tokens in shared)))

    @property
    def whole(self) -> int:
        """Return the tokens of the request alone."""
        return self.own + sum(tokens for _, tokens in self.shared)


@define
class HeldTokens:
    """The tokens of this gateway's requests at one engine; a shared prefix counts once."""

    requests: dict[int, RequestMemory] = field(factory=dict)  # by exchange
    total: int = 0
    _users: Counter = field(factory=Counter)  # requests in flight by prefix
    # Tokens of each prefix as they were counted; callers may name other numbers for the same one.
    _counted: dict[str, int] = field(factory=dict)

    def missing(self, request: RequestMemory) -> int:
        """Return the tokens that a request would add."""
        return request.own + sum(tokens for key, tokens in request.shared if not self._users[key])

    def add(self, exchange: int, request: RequestMemory) -> int:
        """Count a request; return the tokens that it adds."""
        self.remove(exchange)
        added = self.missing(request)
        self.requests[exchange] = request
        for key, tokens in request.shared:
            self._users[key] += 1
            self._counted.setdefault(key, tokens)
        self.total += added
        return added

    def remove(self, exchange: int) -> None:
        """Stop counting a request."""
        request = self.requests.pop(exchange, None)
        if request is None:
            return
        self.total -= request.own
        for key, _ in request.shared:
            self._users[key] -= 1
            if not self._users[key]:
                del self._users[key]
                self.total -= self._counted.pop(key)


@define
class EngineMemories:
    """What the engines hold; services whose memory is not stated are not limited."""

    capacity: Mapping[str, int] = field(factory=dict)  # tokens of each engine, by service
    _held: dict[str, HeldTokens] = field(factory=dict, init=False)  # by endpoint id
    # Tokens that a request adds to an engine, by service.
    _means: dict[str, float] = field(factory=dict, init=False)

    def record_sent(self, record: EndpointRecord, exchange: int, fields: RequestFields) -> None:
        """Count a request that was sent to an engine."""
        service = record.info.service
        if service not in self.capacity:
            return
        held = self._held.setdefault(record.info.id, HeldTokens())
        added = held.add(exchange, RequestMemory.of(fields))
        mean = self._means.setdefault(service, float(added))
        self._means[service] = mean + MEAN_WEIGHT * (added - mean)

    def record_ended(self, endpoint: str, exchange: int) -> None:
        """Stop counting a request."""
        held = self._held.get(endpoint)
        if held is not None:
            held.remove(exchange)
            if not held.requests:
                del self._held[endpoint]

    def fitting(
        self, records: Iterable[Record], fields: RequestFields
    ) -> tuple[list[Record], MemoryVerdict]:
        """Return the engines that have room for a request, and why there is none."""
        records = list(records)
        capacity = self.capacity.get(records[0].info.service) if records else None
        if capacity is None:
            return records, MemoryVerdict.FITS
        request = RequestMemory.of(fields)
        if request.whole > capacity:
            return [], MemoryVerdict.TOO_LARGE
        found = [one for one in records if self._fits(one, request, capacity)]
        return found, MemoryVerdict.FITS if found else MemoryVerdict.FULL

    def _fits(self, record: EndpointRecord, request: RequestMemory, capacity: int) -> bool:
        own = self._held.get(record.info.id) or HeldTokens()
        others = max(0, record.in_flight - len(own.requests))
        held = own.total + others * self._means.get(record.info.service, 0.0)
        # An engine without other requests takes any that it has the memory for.
        return not held or held + own.missing(request) <= USABLE_SHARE * capacity


def must_be_placed(prompt: PromptState, *, committed: bool) -> bool:
    """Return whether a request can't be refused any more, so that full engines must take it.

    It has run, or the memory of its prompt is already in use at another engine.
    """
    return committed or prompt is PromptState.PREFILLED
