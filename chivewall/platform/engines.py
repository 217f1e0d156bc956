"""Orders to engines, their reports, and the order locks in the platform's store."""

import json
from typing import Any

from twisted.internet.defer import Deferred, ensureDeferred

from chivewall.decisions.stages import OrderLock
from chivewall.environment import Environment
from chivewall.errors import (
    DecodeError,
    EndpointError,
    ObjectMissingError,
    OrderRefusedError,
    StoreUnavailableError,
)
from chivewall.gateway.channels import ConnectionPool, HttpResponse
from chivewall.gateway.engine_control import EngineReport, StoredOrderLock
from chivewall.gateway.routing_configuration import EndpointInfo, Stage
from chivewall.platform.fields import boolean, integer, json_object, number, parse_json, string
from chivewall.platform.objects import ObjectClient

REPORT_TIMEOUT_SECONDS = 1.0  # timeout of the request for a report
ORDER_TIMEOUT_SECONDS = 1.0  # timeout of an order
ACCEPTED_STATUSES = (200, 202)  # HTTP statuses; 200: the engine already has the stage
REFUSED_STATUSES = (400, 409, 412, 421)  # HTTP statuses
ORDER_LOCKS_KIND = "chivewall-turns"


class PlatformEngineControl:
    """Implements ``EngineControl``."""

    def __init__(self, env: Environment, connections: ConnectionPool) -> None:
        self.env = env
        self.connections = connections

    def report(self, endpoint: EndpointInfo) -> Deferred:
        """Return a deferred report of the engine (``EngineControl.report``)."""
        return ensureDeferred(self._report(endpoint))

    def order(self, endpoint: EndpointInfo, lock: OrderLock, accepted_orders: int) -> Deferred:
        """Send an order to the engine (``EngineControl.order``)."""
        return ensureDeferred(self._order(endpoint, lock, accepted_orders))

    async def _report(self, endpoint: EndpointInfo) -> EngineReport:
        response = await self._fetch(endpoint, b"GET", b"/report", REPORT_TIMEOUT_SECONDS)
        try:
            document = json_object(parse_json(response.body), "report")
            return EngineReport(
                stage=Stage(string(document, "stage")),
                changing=boolean(document, "busy"),
                # Despite its name, this field counts the accepted orders.
                accepted_orders=integer(document, "seq"),
            )
        except (DecodeError, ValueError) as exc:
            raise EndpointError(f"{endpoint.id}: malformed report: {exc}") from exc

    async def _order(self, endpoint: EndpointInfo, lock: OrderLock, accepted_orders: int) -> None:
        document = {
            "op": "stage",
            "stage": lock.stage.value,
            "holder": lock.holder,
            "fence": lock.number,
            "precondition": accepted_orders,
        }
        response = await self._fetch(
            endpoint, b"POST", b"/order", ORDER_TIMEOUT_SECONDS, json.dumps(document).encode()
        )
        if response.status in REFUSED_STATUSES:
            raise OrderRefusedError(f"{endpoint.id}: order refused with status {response.status}")
        if response.status not in ACCEPTED_STATUSES:
            raise EndpointError(f"{endpoint.id}: unexpected status for an order: {response.status}")

    async def _fetch(
        self,
        endpoint: EndpointInfo,
        method: bytes,
        target: bytes,
        seconds: float,
        body: bytes = b"",
    ) -> HttpResponse:
        try:
            return await self.connections.fetch(
                endpoint.address,
                method,
                target,
                self.env.now + seconds,
                headers=((b"X-Expect-Instance", endpoint.id.encode()),),
                body=body,
                endpoint=endpoint,
            )
        except StoreUnavailableError as exc:
            raise EndpointError(f"{endpoint.id}: {exc}") from exc


class PlatformOrderLocks:
    """Implements ``OrderLockStore`` with one object for each service."""

    def __init__(self, client: ObjectClient) -> None:
        self.client = client

    def read(self, service: str) -> Deferred:
        """Return the deferred order lock of a service (``OrderLockStore.read``)."""
        return ensureDeferred(self._read(service))

    def acquire(self, service: str, lock: OrderLock, revision: int) -> Deferred:
        """Write an order lock if the revision is still current (``OrderLockStore.acquire``)."""
        return ensureDeferred(
            self.client.put(ORDER_LOCKS_KIND, service, _encode_lock(lock), revision)
        )

    async def _read(self, service: str) -> StoredOrderLock:
        try:
            found = await self.client.get(ORDER_LOCKS_KIND, service)
            lock = _decode_lock(json_object(found.spec, "turn"))
            return StoredOrderLock(lock, found.revision, found.era)
        except ObjectMissingError as exc:
            return StoredOrderLock(None, 0, exc.era)
        except (DecodeError, ValueError) as exc:
            raise StoreUnavailableError(f"malformed order lock: {exc}") from exc


def _encode_lock(lock: OrderLock) -> dict[str, Any]:
    return {
        "number": lock.number,
        "holder": lock.holder,
        "engine": lock.engine,
        "stage": lock.stage.value,
        "takenAt": lock.taken_at,
        "era": lock.era,
    }


def _decode_lock(spec: dict[str, Any]) -> OrderLock:
    return OrderLock(
        number=integer(spec, "number"),
        holder=string(spec, "holder"),
        engine=string(spec, "engine"),
        stage=Stage(string(spec, "stage")),
        taken_at=number(spec, "takenAt"),
        era=None if spec.get("era") is None else integer(spec, "era"),
    )
