"""Orders and reports of engines, and the record of turns in the store."""

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
from chivewall.gateway.catalogue import EndpointInfo, Stage
from chivewall.gateway.channels import Channels, PlainAnswer
from chivewall.gateway.engine_control import EngineReport
from chivewall.platform.fields import flag, mapping, number, parse, text, whole
from chivewall.platform.objects import ObjectClient

REPORT_SECONDS = 1.0  # for an answer
ORDER_SECONDS = 1.0
ACCEPTED = (200, 202)  # 200: the engine already has the stage
REFUSED = (400, 409, 412, 421)
TURNS_KIND = "chivewall-turns"


class RunnerControl:
    """Implements ``EngineControl``."""

    def __init__(self, env: Environment, channels: Channels) -> None:
        self.env = env
        self.channels = channels

    def report(self, endpoint: EndpointInfo) -> Deferred:
        """See ``EngineControl.report``."""
        return ensureDeferred(self._report(endpoint))

    def order(self, endpoint: EndpointInfo, turn: OrderLock, orders: int) -> Deferred:
        """See ``EngineControl.order``."""
        return ensureDeferred(self._order(endpoint, turn, orders))

    async def _report(self, endpoint: EndpointInfo) -> EngineReport:
        answer = await self._call(endpoint, b"GET", b"/report", REPORT_SECONDS)
        try:
            document = mapping(parse(answer.body), "report")
            return EngineReport(
                stage=Stage(text(document, "stage")),
                changing=flag(document, "busy"),
                # The wire name says sequence; it counts the orders that were accepted.
                orders=whole(document, "seq"),
            )
        except (DecodeError, ValueError) as exc:
            raise EndpointError(f"{endpoint.id}: unreadable report: {exc}") from exc

    async def _order(self, endpoint: EndpointInfo, turn: OrderLock, orders: int) -> None:
        document = {
            "op": "stage",
            "stage": turn.stage.value,
            "holder": turn.holder,
            "fence": turn.number,
            "precondition": orders,
        }
        answer = await self._call(
            endpoint, b"POST", b"/order", ORDER_SECONDS, json.dumps(document).encode()
        )
        if answer.status in REFUSED:
            raise OrderRefusedError(f"{endpoint.id}: order refused with {answer.status}")
        if answer.status not in ACCEPTED:
            raise EndpointError(f"{endpoint.id}: order answered with {answer.status}")

    async def _call(
        self,
        endpoint: EndpointInfo,
        method: bytes,
        target: bytes,
        seconds: float,
        body: bytes = b"",
    ) -> PlainAnswer:
        try:
            return await self.channels.fetch(
                endpoint.address,
                method,
                target,
                self.env.now + seconds,
                headers=((b"X-Expect-Instance", endpoint.id.encode()),),
                body=body,
            )
        except StoreUnavailableError as exc:
            raise EndpointError(f"{endpoint.id}: {exc}") from exc


class StoredTurns:
    """Implements ``TurnStore`` with one object for each service."""

    def __init__(self, client: ObjectClient) -> None:
        self.client = client

    def read(self, service: str) -> Deferred:
        """See ``TurnStore.read``."""
        return ensureDeferred(self._read(service))

    def take(self, service: str, turn: OrderLock, revision: int) -> Deferred:
        """See ``TurnStore.take``."""
        return ensureDeferred(self.client.put(TURNS_KIND, service, _spec(turn), revision))

    async def _read(self, service: str) -> tuple[OrderLock | None, int]:
        try:
            spec, revision = await self.client.get(TURNS_KIND, service)
            return _turn(mapping(spec, "turn")), revision
        except ObjectMissingError:
            return None, 0
        except (DecodeError, ValueError) as exc:
            raise StoreUnavailableError(f"unreadable turn: {exc}") from exc


def _spec(turn: OrderLock) -> dict[str, Any]:
    return {
        "number": turn.number,
        "holder": turn.holder,
        "engine": turn.engine,
        "stage": turn.stage.value,
        "takenAt": turn.taken_at,
    }


def _turn(spec: dict[str, Any]) -> OrderLock:
    return OrderLock(
        number=whole(spec, "number"),
        holder=text(spec, "holder"),
        engine=text(spec, "engine"),
        stage=Stage(text(spec, "stage")),
        taken_at=number(spec, "takenAt"),
    )
