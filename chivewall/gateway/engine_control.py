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


class EngineControl(Protocol):
    """Reads the state of engines and gives them orders."""

    def report(self, endpoint: EndpointInfo) -> Deferred:
        """Return a deferred ``EngineReport``; it fails with ``EndpointError``."""

    def order(self, endpoint: EndpointInfo, lock: OrderLock, accepted_orders: int) -> Deferred:
        """Send the order of the order lock, once.

        The engine accepts it only if its number of accepted orders is still ``orders``.
        The deferred fires with ``None`` when the order is accepted; it fails with
        ``OrderRefusedError``, or with ``EndpointError`` if the order may have been accepted.
        """


class OrderLockStore(Protocol):
    """Stores the latest order lock for each service's engines."""

    def read(self, service: str) -> Deferred:
        """Return a deferred ``(OrderLock | None, revision)``; it fails with ``StoreError``."""

    def acquire(self, service: str, lock: OrderLock, revision: int) -> Deferred:
        """Write an order lock; fail with ``VersionConflictError`` if another was taken since."""
