"""Plug-in ``platform_duties``: the platform's calls that one gateway at a time makes.

Their locks are objects of the gateways' own in the platform's store.
"""

import json
from collections.abc import Mapping
from typing import Any

from attrs import field, frozen
from twisted.internet.defer import Deferred, ensureDeferred

from chivewall.addresses import check_address, parse_address
from chivewall.environment import Environment
from chivewall.errors import (
    DecodeError,
    DutyRefusedError,
    ObjectMissingError,
    PlatformUnavailableError,
    StoreUnavailableError,
)
from chivewall.gateway.channels import ConnectionPool
from chivewall.gateway.platform_duties import (
    Duty,
    DutyLock,
    DutyLockStore,
    PlatformDuties,
    StoredDutyLock,
)
from chivewall.platform.fields import boolean, integer, json_object, number, string
from chivewall.platform.objects import ObjectClient
from chivewall.plugins.base import Plugin
from chivewall.plugins.registry import Registry

LOCKS_KIND = "chivewall-duties"
CALL_TIMEOUT_SECONDS = 1.0
HTTP_OK = range(200, 300)
HTTP_REFUSED = range(400, 500)
DUTY_NAMES = {"metering": Duty.USAGE, "autoscale": Duty.ENDPOINT_COUNTS}


@frozen
class PlatformDutiesSettings:
    """Address of the platform, and the duties that it asks for."""

    address: str = field(
        validator=check_address, metadata={"help": "IP:PORT of the platform's duty calls."}
    )
    names: tuple[str, ...] = field(
        default=(), metadata={"help": "The duties, by the platform's names; others are ignored."}
    )


class CloudDuties:
    """Implements ``PlatformDuties``."""

    def __init__(
        self, env: Environment, cfg: PlatformDutiesSettings, connections: ConnectionPool
    ) -> None:
        self.env = env
        self.address = parse_address(cfg.address)
        self.connections = connections
        self.duties = frozenset(DUTY_NAMES[one] for one in cfg.names if one in DUTY_NAMES)

    def report_usage(self, lock: DutyLock, window: int, counts: Mapping[str, int]) -> Deferred:
        """Report the requests that began in a window (``PlatformDuties.report_usage``)."""
        document = {"windowId": window, "counts": dict(counts)}
        return ensureDeferred(self._call(lock, b"/usage", document))

    def order_endpoints(
        self, lock: DutyLock, service: str, data_centre: str, count: int
    ) -> Deferred:
        """Order the number of endpoints (``PlatformDuties.order_endpoints``)."""
        document = {"service": service, "zone": data_centre, "desired": count}
        return ensureDeferred(self._call(lock, b"/scale", document))

    async def _call(self, lock: DutyLock, target: bytes, document: dict[str, Any]) -> None:
        try:
            response = await self.connections.fetch(
                self.address,
                b"POST",
                target,
                self.env.now + CALL_TIMEOUT_SECONDS,
                headers=(
                    (b"X-Duty-Holder", lock.holder.encode()),
                    (b"X-Fence-Token", str(lock.number).encode()),
                    (b"Content-Type", b"application/json"),
                ),
                body=json.dumps(document).encode(),
            )
        except StoreUnavailableError as exc:
            raise PlatformUnavailableError(str(exc)) from exc
        if response.status in HTTP_REFUSED:
            raise DutyRefusedError(f"status {response.status}")
        if response.status not in HTTP_OK:
            raise PlatformUnavailableError(f"status {response.status}")


class PlatformDutyLocks:
    """Implements ``DutyLockStore`` with one object for each subject."""

    def __init__(self, client: ObjectClient) -> None:
        self.client = client

    def read(self, subject: str) -> Deferred:
        """Return the deferred lock of a subject (``DutyLockStore.read``)."""
        return ensureDeferred(self._read(subject))

    def acquire(self, subject: str, lock: DutyLock, revision: int) -> Deferred:
        """Write a lock if the revision is still current (``DutyLockStore.acquire``)."""
        return ensureDeferred(self.client.put(LOCKS_KIND, subject, _encode_lock(lock), revision))

    async def _read(self, subject: str) -> StoredDutyLock:
        try:
            found = await self.client.get(LOCKS_KIND, subject)
            lock = _decode_lock(json_object(found.spec, "lock"))
            return StoredDutyLock(lock, found.revision, found.era)
        except ObjectMissingError as exc:
            return StoredDutyLock(None, 0, exc.era)
        except DecodeError as exc:
            raise StoreUnavailableError(f"malformed lock of a duty: {exc}") from exc


def _encode_lock(lock: DutyLock) -> dict[str, Any]:
    return {
        "number": lock.number,
        "holder": lock.holder,
        "takenAt": lock.taken_at,
        "era": lock.era,
        "content": dict(lock.content),
        "released": lock.released,
    }


def _decode_lock(spec: dict[str, Any]) -> DutyLock:
    return DutyLock(
        number=integer(spec, "number"),
        holder=string(spec, "holder"),
        taken_at=number(spec, "takenAt"),
        era=None if spec.get("era") is None else integer(spec, "era"),
        content=json_object(spec.get("content"), "content"),
        released=boolean(spec, "released"),
    )


class PlatformDutiesPlugin(Plugin):
    """Provides the duty calls and their locks."""

    name = "platform_duties"
    settings_type = PlatformDutiesSettings

    async def setup(self) -> None:
        """Create the implementations and provide them."""
        connections = self.env.require(ConnectionPool)
        self.env.provide(PlatformDuties, CloudDuties(self.env, self.cfg, connections))
        self.env.provide(DutyLockStore, PlatformDutyLocks(self.env.require(ObjectClient)))


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(PlatformDutiesPlugin)
