"""HTTP interface of the simulated object API, with rate limits, a size limit and faults."""

import base64
import json
from collections import Counter
from collections.abc import Callable
from typing import Any
from weakref import WeakSet

import cattrs
from attrs import define, evolve, field, frozen
from klein import Klein
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.task import deferLater
from twisted.web.server import Request as HttpRequest
from twisted.web.server import Site

from chivewall.errors import ObjectMissingError, ObjectTooLargeError, VersionConflictError
from chivewall.interfaces import Instance
from chivewall.standins.objects import MemoryStore

MS_PER_SECOND = 1000
TOO_MANY_REQUESTS = 429
NOT_MODIFIED = 304
ERROR_STATUSES = {
    ObjectMissingError: 404,
    VersionConflictError: 412,
    ObjectTooLargeError: 413,
}


@frozen
class Faults:
    """Faults that the server simulates at the moment."""

    down: bool = False  # close every connection without a response
    delay_ms: float = 0.0  # wait before each call takes effect
    lose_responses: int = 0  # number of next writes that take effect but get no response


@define
class TokenBucket:
    """Token bucket with a capacity of one second's calls."""

    per_second: float
    tokens: float = field(init=False)
    refilled_at: float = 0.0  # time of the last refill

    def __attrs_post_init__(self) -> None:
        self.tokens = self.per_second

    def take(self, now: float) -> bool:
        """Take a token for a call; return whether there was one."""
        refill = (now - self.refilled_at) * self.per_second
        self.tokens = min(self.per_second, self.tokens + refill)
        self.refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@define(eq=False)
class ObjectServer:
    """Serves a ``MemoryStore`` over HTTP and counts the calls by kind."""

    store: MemoryStore
    write_bucket: TokenBucket = field(factory=lambda: TokenBucket(per_second=400))
    read_bucket: TokenBucket = field(factory=lambda: TokenBucket(per_second=2000))
    list_lag_seconds: float = 0.0  # seconds by which the served instance list lags
    faults: Faults = field(factory=Faults)
    calls: Counter[str] = field(factory=Counter)
    _instance_lists: list[tuple[float, tuple[Instance, ...]]] = field(
        factory=list
    )  # time of each change, new list
    _channels: WeakSet[Any] = field(factory=WeakSet)
    _silenced: WeakSet[Any] = field(factory=WeakSet)  # connections that get no more responses

    def site(self) -> Site:
        """Return the HTTP site."""
        app = Klein()
        app.route("/objects", methods=["GET"])(self.list)
        app.route("/objects/<path:key>", methods=["GET"])(self.get)
        app.route("/objects/<path:key>", methods=["PUT"])(self.put)
        app.route("/objects/<path:key>", methods=["DELETE"])(self.delete)
        app.route("/instances", methods=["GET"])(self.instances)
        app.route("/faults", methods=["PUT"])(self.put_faults)
        app.route("/calls", methods=["GET"])(self.show_calls)
        app.route("/readyz", methods=["GET"])(lambda _http: b"{}")
        return Site(app.resource())

    def set_instances(self, instances: tuple[Instance, ...]) -> None:
        """Set the instances; the served list changes ``list_lag_seconds`` seconds later."""
        self._instance_lists.append((self.store.clock.seconds(), instances))

    def silence_connections(self) -> None:
        """Stop responding on the connections that are open now; new ones work normally."""
        self._silenced.update(self._channels)

    def set_faults(self, faults: Faults) -> None:
        """Set the faults; ``down`` also closes connections with pending watches."""
        self.faults = faults
        if faults.down:
            for channel in list(self._channels):
                channel.loseConnection()

    async def get(self, http: HttpRequest, key: str) -> bytes:
        """Return an object, or wait for a newer version of it."""
        watched = http.args.get(b"watch")
        await self._begin_call(http, "read" if watched is None else "watch", self.read_bucket)
        if watched is None:
            return await self._respond(http, lambda: self.store.get(key))
        timeout_ms = float(http.args[b"timeout_ms"][0])
        deadline = self.store.clock.seconds() + timeout_ms / MS_PER_SECOND
        return await self._respond(
            http,
            lambda: self.store.watch(key, int(watched[0]), deadline),
            empty_status=NOT_MODIFIED,
        )

    async def list(self, http: HttpRequest) -> bytes:
        """Return all objects whose key has a prefix."""
        await self._begin_call(http, "list", self.read_bucket)
        found = await self.store.list(http.args[b"prefix"][0].decode())
        objects = [
            {
                "key": one.key,
                "version": one.version,
                "value": base64.b64encode(one.value).decode(),
            }
            for one in found
        ]
        return _json(http, {"objects": objects})

    async def put(self, http: HttpRequest, key: str) -> bytes:
        """Create an object, or update it if its version matches ``If-Match``."""
        await self._begin_call(http, "write", self.write_bucket)
        value = http.content.read()
        version = http.getHeader("If-Match")
        if version is None:
            return await self._write(http, lambda: self.store.create(key, value))
        return await self._write(http, lambda: self.store.update(key, value, int(version)))

    async def delete(self, http: HttpRequest, key: str) -> bytes:
        """Delete an object if its version matches ``If-Match``."""
        await self._begin_call(http, "write", self.write_bucket)
        version = int(http.getHeader("If-Match"))
        return await self._write(http, lambda: self.store.delete(key, version))

    async def instances(self, http: HttpRequest) -> bytes:
        """Return the instance list as it was ``list_lag_seconds`` seconds ago."""
        await self._begin_call(http, "instances", self.read_bucket)
        as_of = self.store.clock.seconds() - self.list_lag_seconds
        while len(self._instance_lists) > 1 and self._instance_lists[1][0] <= as_of:
            self._instance_lists.pop(0)
        shown = (
            self._instance_lists[0][1]
            if self._instance_lists and self._instance_lists[0][0] <= as_of
            else ()
        )
        return _json(http, {"instances": cattrs.unstructure(shown)})

    def put_faults(self, http: HttpRequest) -> bytes:
        """Set the faults from the request body, for tests in another process."""
        self.set_faults(cattrs.structure(json.loads(http.content.read()), Faults))
        return _json(http, {})

    def show_calls(self, http: HttpRequest) -> bytes:
        """Return the number of calls by kind."""
        return _json(http, dict(self.calls))

    async def _begin_call(self, http: HttpRequest, kind: str, bucket: TokenBucket) -> None:
        self._channels.add(http.channel)
        if http.channel in self._silenced:
            await Deferred()
        if self.faults.down:
            await _close_connection(http)
        self.calls[kind] += 1
        if not bucket.take(self.store.clock.seconds()):
            http.setResponseCode(TOO_MANY_REQUESTS)
            http.finish()
            raise CancelledError
        if self.faults.delay_ms:
            delay = self.faults.delay_ms / MS_PER_SECOND
            await deferLater(self.store.clock, delay, lambda: None)

    async def _write(self, http: HttpRequest, write: Callable[[], Deferred]) -> bytes:
        body = await self._respond(http, write)
        if self.faults.lose_responses:
            self.faults = evolve(self.faults, lose_responses=self.faults.lose_responses - 1)
            await _close_connection(http)
        return body

    async def _respond(
        self, http: HttpRequest, call: Callable[[], Deferred], empty_status: int = 200
    ) -> bytes:
        try:
            result = await call()
        except tuple(ERROR_STATUSES) as exc:
            http.setResponseCode(ERROR_STATUSES[type(exc)])
            return _json(http, {"error": str(exc)})
        if result is None:
            http.setResponseCode(empty_status)
            return b""
        if isinstance(result, int):
            http.setHeader("ETag", str(result))
            return b""
        http.setHeader("ETag", str(result.version))
        return result.value


async def _close_connection(http: HttpRequest) -> None:
    http.loseConnection()
    await Deferred()  # klein cancels the Deferred when the connection is closed


def _json(http: HttpRequest, value: dict[str, Any]) -> bytes:
    http.setHeader("Content-Type", "application/json")
    return json.dumps(value).encode()
