"""Client of the platform's store: lists, watches, reads and writes objects."""

import json
from collections.abc import Callable
from typing import Any
from urllib.parse import quote

from twisted.internet.defer import Deferred, ensureDeferred

from chivewall.environment import Environment
from chivewall.errors import (
    DecodeError,
    HistoryLostError,
    ObjectMissingError,
    StoreThrottledError,
    StoreUnavailableError,
    VersionConflictError,
)
from chivewall.events import Event
from chivewall.gateway.channels import ConnectionPool, HttpResponse
from chivewall.gateway.store_collections import (
    CollectionChanges,
    CollectionItem,
    CollectionSnapshot,
)
from chivewall.platform.fields import boolean, integer, json_object, list_items, parse_json, string

# Timeout of a call; the store normally responds in milliseconds, and in 0.3 s when it is slow.
CALL_TIMEOUT_SECONDS = 2.0
MAX_WATCH_MS = 30_000  # maximum duration of a watch that the store accepts
HTTP_OK = range(200, 300)

Decoder = Callable[[str, object], Any]


class ObjectClient:
    """Calls the object API of the platform's store."""

    def __init__(
        self, env: Environment, connections: ConnectionPool, address: tuple[str, int]
    ) -> None:
        self.env = env
        self.connections = connections
        self.address = address

    async def list_page(self, kind: str, after: str | None) -> tuple[list[Any], bool, int]:
        """Return the objects of one page, whether more pages follow, and the revision."""
        query = "" if after is None else f"?after={quote(after, safe='')}"
        document = await self._read(f"/objects/{kind}{query}", self.env.now + CALL_TIMEOUT_SECONDS)
        return (
            list_items(document, "items"),
            boolean(document, "truncated"),
            integer(document, "asOf"),
        )

    async def watch(self, kind: str, revision: int, deadline: float) -> tuple[list[Any], int]:
        """Return the events after a revision, and the revision for the next watch."""
        wait_ms = max(1, min(MAX_WATCH_MS, int((deadline - self.env.now) * 1000)))
        document = await self._read(
            f"/objects/{kind}?watch={revision}&waitMs={wait_ms}", deadline + CALL_TIMEOUT_SECONDS
        )
        return list_items(document, "events"), integer(document, "asOf")

    async def get(self, kind: str, name: str) -> tuple[Any, int]:
        """Return the ``spec`` and revision of one object; raises ``ObjectMissingError``."""
        document = await self._read(_path(kind, name), self.env.now + CALL_TIMEOUT_SECONDS)
        return document.get("spec"), _revision(document)

    async def put(self, kind: str, name: str, spec: Any, revision: int) -> int:
        """Replace an object at a revision, or create it at 0; return the new revision.

        Raises ``VersionConflictError`` if the object has another revision, and
        ``StoreUnavailableError`` if the write may have taken effect.
        """
        metadata: dict[str, Any] = {"name": name}
        method, target = b"POST", f"/objects/{quote(kind, safe='')}"
        if revision:
            metadata["rev"] = revision
            method, target = b"PUT", _path(kind, name)
        body = json.dumps({"metadata": metadata, "spec": spec}).encode()
        response = await self.connections.fetch(
            self.address,
            method,
            target.encode(),
            self.env.now + CALL_TIMEOUT_SECONDS,
            headers=((b"Content-Type", b"application/json"),),
            body=body,
        )
        _raise_for_status(response)
        try:
            return _revision(json_object(parse_json(response.body), "answer"))
        except DecodeError as exc:
            raise StoreUnavailableError(f"malformed response: {exc}") from exc

    async def _read(self, target: str, deadline: float) -> dict[str, Any]:
        response = await self.connections.fetch(self.address, b"GET", target.encode(), deadline)
        _raise_for_status(response)
        try:
            return json_object(parse_json(response.body), "answer")
        except DecodeError as exc:
            raise StoreUnavailableError(f"malformed response: {exc}") from exc


class ObjectCollection:
    """Implements ``CollectionSource`` for one kind of object."""

    def __init__(self, client: ObjectClient, kind: str, decode: Decoder) -> None:
        self.client = client
        self.name = kind
        self.decode = decode

    def read_all(self) -> Deferred:
        """List all objects (``CollectionSource.read_all``)."""
        return ensureDeferred(self._read_all())

    def watch(self, revision: int, deadline: float) -> Deferred:
        """Wait for changes after a revision (``CollectionSource.watch``)."""
        return ensureDeferred(self._watch(revision, deadline))

    async def _read_all(self) -> CollectionSnapshot:
        found: list[CollectionItem] = []
        after, first_revision = None, None
        while True:
            page, truncated, revision = await self.client.list_page(self.name, after)
            # Pages may be read at different revisions; the watch starts at the oldest of them.
            first_revision = revision if first_revision is None else min(first_revision, revision)
            found += self._items((one, False) for one in page)
            if not truncated or not page:
                break
            after = found[-1].name
        return CollectionSnapshot(self.name, tuple(found), first_revision)

    async def _watch(self, revision: int, deadline: float) -> CollectionChanges:
        events, reached = await self.client.watch(self.name, revision, deadline)
        pairs = ((one.get("object"), one.get("tombstone") is True) for one in events)
        return CollectionChanges(self.name, tuple(self._items(pairs)), reached)

    def _items(self, pairs: Any) -> list[CollectionItem]:
        return [one for raw, gone in pairs if (one := self._item(raw, gone)) is not None]

    def _item(self, raw: object, gone: bool) -> CollectionItem | None:
        try:
            document = json_object(raw, "object")
            metadata = json_object(document.get("metadata"), "metadata")
            name, revision = string(metadata, "name"), integer(metadata, "rev", 0)
        except DecodeError as exc:
            self._reject("", exc)
            return None
        if gone:
            return CollectionItem(name, None, revision)
        try:
            return CollectionItem(name, self.decode(name, document.get("spec")), revision)
        except DecodeError as exc:
            self._reject(name, exc)
            return CollectionItem(name, None, revision)

    def _reject(self, name: str, exc: DecodeError) -> None:
        self.client.env.log.emit(
            Event.DOCUMENT_REJECTED, collection=self.name, object=name, error=str(exc)
        )


def _path(kind: str, name: str) -> str:
    return f"/objects/{quote(kind, safe='')}/{quote(name, safe='')}"


def _revision(document: dict[str, Any]) -> int:
    return integer(json_object(document.get("metadata"), "metadata"), "rev")


def _raise_for_status(response: HttpResponse) -> None:
    if response.status in HTTP_OK:
        return
    errors = {
        404: ObjectMissingError,
        409: VersionConflictError,
        410: HistoryLostError,
        429: StoreThrottledError,
    }
    raise errors.get(response.status, StoreUnavailableError)(f"status {response.status}")
