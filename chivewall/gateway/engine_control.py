"""Protocols of what changes engines: their orders, and the record of turns."""

from typing import Protocol

from attrs import frozen
from twisted.internet.defer import Deferred

from chivewall.decisions.stages import OrderLock
from chivewall.gateway.catalogue import EndpointInfo, Stage


@frozen
class EngineReport:
    """What an engine says of its orders."""

    stage: Stage
    changing: bool
    orders: int  # accepted since its start


class EngineControl(Protocol):
    """Asks engines for their state and gives them orders."""

    def report(self, endpoint: EndpointInfo) -> Deferred:
        """Fire with an ``EngineReport``; fails with ``EndpointError``."""

    def order(self, endpoint: EndpointInfo, turn: OrderLock, orders: int) -> Deferred:
        """Send the turn's order once; it holds only if the engine's count is still ``orders``.

        Fires with ``None`` when accepted; fails with ``OrderRefusedError``, or
        with ``EndpointError`` if it may have been accepted.
        """


class TurnStore(Protocol):
    """Keeps the latest turn of a service's engines."""

    def read(self, service: str) -> Deferred:
        """Fire with ``(OrderLock | None, revision)``; fails with ``StoreError``."""

    def take(self, service: str, turn: OrderLock, revision: int) -> Deferred:
        """Write a turn; fails with ``VersionConflictError`` if another one was taken."""
