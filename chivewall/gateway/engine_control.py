"""Protocols for changing the stage of engines: orders to them, and the order locks."""

from typing import Protocol

from attrs import frozen
from twisted.internet.defer import Deferred

from chivewall.decisions.stages import OrderLock
from chivewall.gateway.routing_configuration import EndpointInfo, Stage


@frozen
class EngineReport:
    """An engine's report of its stage and the orders that it accepted."""

    stage: Stage
    changing: bool  # a change of stage is in progress
    accepted_orders: int  # number of orders accepted since its start


@frozen
class StoredOrderLock:
    """The order lock of a service as it was read from the store."""

    lock: OrderLock | None  # None: none was acquired, or a restore of the store has lost it
    revision: int
    era: int | None = None  # era of the store, which a restore from a copy raises


class EngineControl(Protocol):
    """Reads the state of engines and gives them orders."""

    def report(self, endpoint: EndpointInfo) -> Deferred:
        """Return a deferred ``EngineReport``; it fails with ``EndpointError``."""

    def order(self, endpoint: EndpointInfo, lock: OrderLock, accepted_orders: int) -> Deferred:
        """Send the order that the order lock permits, once.

        The engine accepts it only if its number of accepted orders is still
        ``accepted_orders``.
        The deferred fires with ``None`` when the order is accepted; it fails with
        ``OrderRefusedError``, or with ``EndpointError`` if the order may have been accepted.
        """


class OrderLockStore(Protocol):
    """Stores the latest order lock for each service's engines."""

    def read(self, service: str) -> Deferred:
        """Return a deferred ``StoredOrderLock``; it fails with ``StoreError``."""

    def acquire(self, service: str, lock: OrderLock, revision: int) -> Deferred:
        """Write an order lock, and return the deferred era of the store that holds it.

        It fails with ``VersionConflictError`` if another was acquired since.
        """
