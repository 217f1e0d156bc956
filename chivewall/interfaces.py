"""Protocols with several implementations: the object API, endpoints and links to agents."""

from enum import Enum
from typing import Protocol

from attrs import frozen
from twisted.internet.defer import Deferred

from chivewall.task import Inbox
from chivewall.work import Attempt, EngineRole, PartBody


@frozen
class StoredObject:
    """An object of the object API; its version increases with each write."""

    key: str
    value: bytes
    version: int


class InstanceKind(Enum):
    """What runs on an instance."""

    ENTRY = "entry"
    ENGINE = "engine"
    SERVICE = "service"


@frozen
class Instance:
    """An entry of the platform's list of instances, which lags behind the actual state."""

    name: str
    kind: InstanceKind
    data_centre: str
    host: str
    port: int
    targets: tuple[str, ...] = ()  # models that an engine serves, or name of the service
    leaving: bool = False  # True if the instance is being taken out of service


class ObjectStore(Protocol):
    """The platform's object API.

    Every method returns a Deferred. Each may fail with ``StoreUnavailableError``
    (the outcome of a write is unknown) or ``StoreThrottledError`` (nothing was
    written).
    """

    def get(self, key: str) -> Deferred:
        """Fire with a ``StoredObject``; fails with ``ObjectMissingError``."""

    def list(self, prefix: str) -> Deferred:
        """Fire with a tuple of all ``StoredObject`` values whose key has the prefix."""

    def create(self, key: str, value: bytes) -> Deferred:
        """Fire with the version; fails with ``VersionConflictError`` if the object exists."""

    def update(self, key: str, value: bytes, version: int) -> Deferred:
        """Fire with the new version.

        Fails with ``VersionConflictError`` if the stored version is not ``version``.
        """

    def delete(self, key: str, version: int) -> Deferred:
        """Fire with ``None``.

        Fails with ``VersionConflictError`` if the stored version is not ``version``.
        """

    def watch(self, key: str, after: int, deadline: float) -> Deferred:
        """Fire with the first ``StoredObject`` newer than ``after``, or ``None`` at the deadline.

        ``deadline`` is in seconds on this process's clock.
        """

    def instances(self) -> Deferred:
        """Fire with a tuple of ``Instance``; the list lags behind the actual state."""


@frozen
class EndpointState:
    """Role and models of an endpoint, as the endpoint reports them."""

    role: EngineRole
    targets: tuple[str, ...]
    fence: int = 0  # highest fencing number that it has accepted
    changing: bool = False  # True while an order is being carried out


@frozen
class EndpointLoad:
    """Load of an endpoint, as the endpoint reports it; lags behind the actual load."""

    running: int = 0  # attempts
    waiting: int = 0  # attempts
    parallel: int = 1  # maximum number of attempts that run at the same time
    kv_total_tokens: int = 0  # size of the KV cache
    kv_free_tokens: int = 0  # free part of the KV cache
    prefill_rate: float = 0.0  # tokens per second
    decode_rate: float = 0.0  # tokens per second of one stream
    cached_prefixes: tuple[str, ...] = ()  # prefix hashes


@frozen
class Order:
    """An order to change the role or models of an endpoint, with a fencing number."""

    fence: int
    role: EngineRole
    targets: tuple[str, ...]


@frozen
class RunOutput:
    """Output of a running attempt, sent by an endpoint to the inbox given to ``run``."""

    request_id: str
    attempt: int
    body: PartBody


@frozen
class RunFailed:
    """A running attempt ended without a complete response."""

    request_id: str
    attempt: int
    may_have_arrived: bool  # False if the endpoint can't have received the attempt
    reason: str


class Endpoint(Protocol):
    """A model engine or a plain service, as its agent sees it."""

    def run(self, attempt: Attempt, sink: Inbox) -> None:
        """Run an attempt; send ``RunOutput`` messages and a possible ``RunFailed`` to ``sink``."""

    def cancel(self, request_id: str, attempt: int) -> None:
        """Stop a running attempt; no more output follows."""

    def load(self) -> Deferred:
        """Fire with an ``EndpointLoad``; fails with ``EndpointError``."""

    def state(self) -> Deferred:
        """Fire with an ``EndpointState``; fails with ``EndpointError``."""

    def order(self, order: Order) -> Deferred:
        """Fire with ``None`` once the order is carried out.

        Fails with ``OrderRefusedError`` or another ``EndpointError``.
        """


class AgentLink(Protocol):
    """Connection from an entry to one agent."""

    def submit(self, attempt: Attempt, sink: Inbox) -> None:
        """Send an attempt; its ``Part`` messages or an ``AttemptBroken`` go to ``sink``."""

    def cancel(self, request_id: str, attempt: int) -> None:
        """Stop an attempt; no more parts follow."""

    def probe(self) -> Deferred:
        """Fire with a ``LoadReport``; fails with ``LinkBrokenError``."""

    def exchange_configuration(self, document: bytes) -> Deferred:
        """Send a configuration document; fire with the peer's newer one or ``b""``."""

    def close(self) -> None:
        """Close the connection; an ``AttemptBroken`` goes to each running attempt's sink."""


class LinkFactory(Protocol):
    """Opens links to agents, over real sockets or simulated in tests."""

    def open(self, instance: Instance) -> AgentLink:
        """Return a new link to the agent of an instance."""
