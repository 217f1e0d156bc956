"""Protocols of what varies: the object API, endpoints and links to agents."""

from enum import Enum
from typing import Protocol

from attrs import frozen
from twisted.internet.defer import Deferred

from chivewall.task import Inbox
from chivewall.work import Attempt, EngineRole, PartBody


@frozen
class StoredObject:
    """An object of the object API; versions grow with each write."""

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
    """One line of the platform's lagging list of instances."""

    name: str
    kind: InstanceKind
    data_centre: str
    host: str
    port: int
    targets: tuple[str, ...] = ()  # models or the service that the endpoint offers
    leaving: bool = False


class ObjectStore(Protocol):
    """The platform's object API.

    Every method returns a Deferred. All may fail with ``StoreUnavailableError``
    (outcome of a write unknown) or ``StoreThrottledError`` (nothing written).
    """

    def get(self, key: str) -> Deferred:
        """Fire with a ``StoredObject``; fails with ``ObjectMissingError``."""

    def list(self, prefix: str) -> Deferred:
        """Fire with a tuple of all ``StoredObject`` whose key has the prefix."""

    def create(self, key: str, value: bytes) -> Deferred:
        """Fire with the version; fails with ``VersionConflictError`` if the object exists."""

    def update(self, key: str, value: bytes, version: int) -> Deferred:
        """Fire with the new version; fails with ``VersionConflictError`` on another version."""

    def delete(self, key: str, version: int) -> Deferred:
        """Fire with ``None``; fails with ``VersionConflictError`` on another version."""

    def watch(self, key: str, after: int, deadline: float) -> Deferred:
        """Fire with the first ``StoredObject`` newer than ``after``, or ``None`` at the deadline.

        ``deadline`` is in seconds on this process's clock.
        """

    def instances(self) -> Deferred:
        """Fire with a tuple of ``Instance``; the list lags behind the truth."""


@frozen
class EndpointState:
    """What an endpoint says of its role and models."""

    role: EngineRole
    targets: tuple[str, ...]
    fence: int = 0  # highest fencing number that it has accepted
    changing: bool = False


@frozen
class EndpointLoad:
    """An endpoint's own load report; lags behind the truth."""

    running: int = 0
    waiting: int = 0
    parallel: int = 1  # attempts that it runs at once
    kv_total_tokens: int = 0
    kv_free_tokens: int = 0
    prefill_rate: float = 0.0  # tokens a second
    decode_rate: float = 0.0  # tokens a second for one stream
    cached_prefixes: tuple[str, ...] = ()


@frozen
class Order:
    """A change of an endpoint's role or models under a fencing number."""

    fence: int
    role: EngineRole
    targets: tuple[str, ...]


@frozen
class RunOutput:
    """Output of a running attempt, from an endpoint to the inbox that started it."""

    request_id: str
    attempt: int
    body: PartBody


@frozen
class RunFailed:
    """A running attempt ended without a whole answer."""

    request_id: str
    attempt: int
    reached: bool  # False if the endpoint can't have seen the attempt
    reason: str


class Endpoint(Protocol):
    """A model engine or a plain service, as its agent sees it."""

    def run(self, attempt: Attempt, sink: Inbox) -> None:
        """Run an attempt; ``RunOutput`` and at last perhaps ``RunFailed`` go to ``sink``."""

    def cancel(self, request_id: str, attempt: int) -> None:
        """Stop a running attempt; no more output follows."""

    def load(self) -> Deferred:
        """Fire with an ``EndpointLoad``; fails with ``EndpointError``."""

    def state(self) -> Deferred:
        """Fire with an ``EndpointState``; fails with ``EndpointError``."""

    def order(self, order: Order) -> Deferred:
        """Fire with ``None`` when done; fails with ``OrderRefusedError`` or ``EndpointError``."""


class AgentLink(Protocol):
    """Connection from an entry to one agent."""

    def submit(self, attempt: Attempt, sink: Inbox) -> None:
        """Send an attempt; its ``Part`` messages or ``AttemptBroken`` go to ``sink``."""

    def cancel(self, request_id: str, attempt: int) -> None:
        """Stop an attempt; no more parts follow."""

    def probe(self) -> Deferred:
        """Fire with a ``LoadReport``; fails with ``LinkBrokenError``."""

    def exchange_configuration(self, document: bytes) -> Deferred:
        """Offer a configuration document; fire with the peer's newer one or ``b""``."""

    def close(self) -> None:
        """Break the connection; running attempts get ``AttemptBroken``."""


class LinkFactory(Protocol):
    """Opens links; differs between real sockets and tests."""

    def open(self, instance: Instance) -> AgentLink:
        """Return a new link to the agent of an instance."""
