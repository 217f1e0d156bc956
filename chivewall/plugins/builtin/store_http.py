"""HTTP client of the platform's object API."""

import base64
import json
from typing import Any
from urllib.parse import quote

import cattrs
from attrs import field, frozen, validators
from treq.client import HTTPClient
from twisted.internet.defer import CancelledError, Deferred, ensureDeferred
from twisted.internet.defer import TimeoutError as DeferredTimeoutError
from twisted.web.client import Agent, HTTPConnectionPool

from chivewall.environment import Environment
from chivewall.errors import (
    ObjectMissingError,
    ObjectTooLargeError,
    StoreError,
    StoreThrottledError,
    StoreUnavailableError,
    VersionConflictError,
)
from chivewall.interfaces import Instance, ObjectStore, StoredObject
from chivewall.plugins.base import Plugin
from chivewall.plugins.registry import Registry

MS_PER_SECOND = 1000
CONNECT_TIMEOUT_SECONDS = 2.0  # seconds
IDLE_TIMEOUT_SECONDS = 30.0  # idle connections are closed before a network device drops their state
NOT_MODIFIED_STATUS = 304
FIRST_ERROR_STATUS = 400
ERROR_BY_STATUS: dict[int, type[StoreError]] = {
    404: ObjectMissingError,
    412: VersionConflictError,
    413: ObjectTooLargeError,
    429: StoreThrottledError,
}


@frozen
class StoreHttpSettings:
    """Settings of the address of the object API and of its timeout."""

    host: str = field(metadata={"help": "IP address of the object API."})
    port: int = field(
        validator=[validators.ge(1), validators.le(65535)],
        metadata={"help": "TCP port of the object API."},
    )
    timeout_seconds: float = field(
        default=3.0,
        validator=validators.gt(0),
        metadata={"help": "Longest wait for the response to one call, in seconds."},
    )


@frozen
class StoreResponse:
    """One HTTP response of the object API."""

    status: int
    version: int
    body: bytes


class HttpStore:
    """Implements the ``ObjectStore`` protocol.

    A read that gets no response is retried once on a new connection. A write is
    sent only once: without a response its outcome is unknown.
    """

    def __init__(self, env: Environment, cfg: StoreHttpSettings) -> None:
        self.env = env
        self.cfg = cfg
        self.base_url = f"http://{cfg.host}:{cfg.port}"
        self._connect()

    def get(self, key: str) -> Deferred:
        """Read an object."""
        return ensureDeferred(self._get(key))

    def list(self, prefix: str) -> Deferred:
        """Read all objects whose key has the prefix."""
        return ensureDeferred(self._list(prefix))

    def create(self, key: str, value: bytes) -> Deferred:
        """Create an object; fails if it exists."""
        return ensureDeferred(self._put(key, value, {"If-None-Match": "*"}))

    def update(self, key: str, value: bytes, version: int) -> Deferred:
        """Replace an object; fails unless its version is ``version``."""
        return ensureDeferred(self._put(key, value, {"If-Match": str(version)}))

    def delete(self, key: str, version: int) -> Deferred:
        """Delete an object; fails unless its version is ``version``."""
        return ensureDeferred(self._delete(key, version))

    def watch(self, key: str, after: int, deadline: float) -> Deferred:
        """Wait until an object is newer than ``after`` or the deadline has passed."""
        return ensureDeferred(self._watch(key, after, deadline))

    def instances(self) -> Deferred:
        """Read the instance list."""
        return ensureDeferred(self._instances())

    def close(self) -> Deferred:
        """Close idle connections."""
        return self.pool.closeCachedConnections()

    async def _get(self, key: str) -> StoredObject:
        response = await self._read(_path(key))
        return StoredObject(key=key, value=response.body, version=response.version)

    async def _list(self, prefix: str) -> tuple[StoredObject, ...]:
        response = await self._read(f"/objects?prefix={quote(prefix, safe='')}")
        return tuple(
            StoredObject(
                key=one["key"], value=base64.b64decode(one["value"]), version=one["version"]
            )
            for one in _parse(response)["objects"]
        )

    async def _put(self, key: str, value: bytes, condition: dict[str, str]) -> int:
        response = await self._call("PUT", _path(key), headers=condition, data=value)
        return response.version

    async def _delete(self, key: str, version: int) -> None:
        await self._call("DELETE", _path(key), headers={"If-Match": str(version)})

    async def _watch(self, key: str, after: int, deadline: float) -> StoredObject | None:
        wait = max(0.0, deadline - self.env.now)
        path = f"{_path(key)}?watch={after}&timeout_ms={round(wait * MS_PER_SECOND)}"
        response = await self._call("GET", path, extra_seconds=wait)
        if response.status == NOT_MODIFIED_STATUS:
            return None
        return StoredObject(key=key, value=response.body, version=response.version)

    async def _instances(self) -> tuple[Instance, ...]:
        response = await self._read("/instances")
        return cattrs.structure(_parse(response)["instances"], tuple[Instance, ...])

    async def _read(self, path: str) -> StoreResponse:
        try:
            return await self._call("GET", path)
        except StoreUnavailableError:
            return await self._call("GET", path)

    async def _call(
        self, method: str, path: str, extra_seconds: float = 0.0, **options: Any
    ) -> StoreResponse:
        pending = ensureDeferred(self._send_request(method, path, options))
        pending.addTimeout(self.cfg.timeout_seconds + extra_seconds, self.env.clock)
        try:
            response = await pending
        except CancelledError:
            raise
        except Exception as exc:
            self._reconnect()
            reason = "no response in time" if isinstance(exc, DeferredTimeoutError) else exc
            raise StoreUnavailableError(f"{method} {path} at {self.base_url}: {reason}") from exc
        if response.status >= FIRST_ERROR_STATUS:
            error_type = ERROR_BY_STATUS.get(response.status, StoreUnavailableError)
            raise error_type(f"{method} {path} at {self.base_url}: status {response.status}")
        return response

    async def _send_request(self, method: str, path: str, options: dict[str, Any]) -> StoreResponse:
        response = await self.client.request(
            method, f"{self.base_url}{path}", unbuffered=True, **options
        )
        body = await response.content()
        version = int((response.headers.getRawHeaders("ETag") or ["0"])[0])
        return StoreResponse(status=response.code, version=version, body=body)

    def _connect(self) -> None:
        self.pool = HTTPConnectionPool(self.env.reactor)
        self.pool.cachedConnectionTimeout = IDLE_TIMEOUT_SECONDS
        # Twisted would also retry a DELETE, which hides that the first one took effect.
        self.pool.retryAutomatically = False
        agent = Agent(self.env.reactor, connectTimeout=CONNECT_TIMEOUT_SECONDS, pool=self.pool)
        self.client = HTTPClient(agent)

    def _reconnect(self) -> None:
        """Replace the connection pool, since its other idle connections may be dead too."""
        self.pool.closeCachedConnections()
        self._connect()


class HttpStorePlugin(Plugin):
    """Provides the ``ObjectStore`` of the platform."""

    name = "store_http"
    settings_type = StoreHttpSettings

    async def setup(self) -> None:
        """Provide the store to later plug-ins."""
        self.store = HttpStore(self.env, self.cfg)
        self.env.provide(ObjectStore, self.store)

    async def stop(self) -> None:
        """Close the connections."""
        await self.store.close()


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(HttpStorePlugin)


def _path(key: str) -> str:
    return f"/objects/{quote(key, safe='/')}"


def _parse(response: StoreResponse) -> dict[str, Any]:
    try:
        return json.loads(response.body)
    except ValueError as exc:
        raise StoreUnavailableError(f"the object API's response is not JSON: {exc}") from exc
