"""Client of the platform's store: lists, watches, reads and writes objects."""

import json
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from typing import Any
from urllib.parse import quote

from attrs import frozen
from twisted.internet.defer import Deferred, ensureDeferred

from chivewall.environment import Environment
from chivewall.errors import (
    DecodeError,
    HistoryLostError,
    ObjectMissingError,
    StoreRestoredError,
    StoreThrottledError,
    StoreUnavailableError,
    VersionConflictError,
)
from chivewall.events import MAX_ERROR_CHARS, Event
from chivewall.gateway.channels import ConnectionPool, HttpResponse
from chivewall.gateway.store_collections import (
    CollectionChanges,
    CollectionItem,
    CollectionSnapshot,
)
from chivewall.integers import parse_digits
from chivewall.platform.fields import (
    MAX_LABEL_CHARS,
    boolean,
    integer,
    json_object,
    list_items,
    parse_json,
    string,
)

# Timeout of a request; the store normally responds in milliseconds, and in 0.3 s when it is slow.
CALL_TIMEOUT_SECONDS = 2.0
MAX_WATCH_MS = 30_000  # maximum duration of a watch that the store accepts
HTTP_OK = range(200, 300)
ERA_HEADER = b"store-era"  # in each response; rises by one when the store comes back from a copy
MAX_ERA = 2**31 - 1  # fencing numbers have room for no larger one

Decoder = Callable[[str, object], Any]


@frozen
class ObjectPage:
    """A page of a list."""

    items: list[Any]
    truncated: bool  # whether more pages follow
    revision: int
    era: int | None


@frozen
class ObjectEvents:
    """Events of a watch, and the revision for the next watch."""

    events: list[Any]
    revision: int
    era: int | None


@frozen
class StoredObject:
    """The ``spec`` of an object, and the revision of its last change."""

    spec: Any
    revision: int
    era: int | None


class ObjectClient:
    """Sends requests to the object API of the platform's store."""

    def __init__(
        self, env: Environment, connections: ConnectionPool, address: tuple[str, int]
    ) -> None:
        self.env = env
        self.connections = connections
        self.address = address

    async def list_page(self, kind: str, after: str | None) -> ObjectPage:
        """Return the objects of one page."""
        query = "" if after is None else f"?after={quote(after, safe='')}"
        document, era = await self._read(
            f"/objects/{kind}{query}", self.env.now + CALL_TIMEOUT_SECONDS
        )
        with _malformed_response(era):
            return ObjectPage(
                items=list_items(document, "items"),
                truncated=boolean(document, "truncated"),
                revision=integer(document, "asOf"),
                era=era,
            )

    async def watch(self, kind: str, revision: int, deadline: float) -> ObjectEvents:
        """Return the events after a revision, and the revision for the next watch."""
        wait_ms = max(1, min(MAX_WATCH_MS, int((deadline - self.env.now) * 1000)))
        document, era = await self._read(
            f"/objects/{kind}?watch={revision}&waitMs={wait_ms}", deadline + CALL_TIMEOUT_SECONDS
        )
        with _malformed_response(era):
            return ObjectEvents(list_items(document, "events"), integer(document, "asOf"), era)

    async def get(self, kind: str, name: str) -> StoredObject:
        """Return one object; raises ``ObjectMissingError``."""
        document, era = await self._read(_path(kind, name), self.env.now + CALL_TIMEOUT_SECONDS)
        with _malformed_response(era):
            return StoredObject(document.get("spec"), _revision(document), era)

    async def put(self, kind: str, name: str, spec: Any, revision: int) -> int | None:
        """Replace an object at a revision, or create it if that is 0; return the store's era.

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
        return _era(response)

    async def _read(self, target: str, deadline: float) -> tuple[dict[str, Any], int | None]:
        response = await self.connections.fetch(self.address, b"GET", target.encode(), deadline)
        _raise_for_status(response)
        era = _era(response)
        with _malformed_response(era):
            return json_object(parse_json(response.body), "answer"), era


class ObjectCollection:
    """Implements ``CollectionSource`` for one kind of object."""

    def __init__(self, client: ObjectClient, kind: str, decode: Decoder) -> None:
        self.client = client
        self.name = kind
        self.decode = decode
        # Revisions of the objects whose rejection was logged, by name; every list has them again.
        self._rejected: dict[str, int] = {}

    def read_all(self) -> Deferred:
        """List all objects (``CollectionSource.read_all``)."""
        return ensureDeferred(self._read_all())

    def watch(self, revision: int, deadline: float) -> Deferred:
        """Wait for changes after a revision (``CollectionSource.watch``)."""
        return ensureDeferred(self._watch(revision, deadline))

    async def _read_all(self) -> CollectionSnapshot:
        found: list[CollectionItem] = []
        page = await self.client.list_page(self.name, None)
        era, first_revision = page.era, page.revision
        found += self._items((one, False) for one in page.items)
        last = None
        while page.truncated and page.items:
            last = _name_to_go_on(found, last)
            page = await self.client.list_page(self.name, last)
            if page.era != era:
                exc = StoreRestoredError(f"pages of eras {era} and {page.era}")
                exc.era = page.era
                raise exc
            # Pages may be read at different revisions; the watch starts at the oldest of them.
            first_revision = min(first_revision, page.revision)
            found += self._items((one, False) for one in page.items)
        names = {"", *(one.name for one in found)}
        self._rejected = {name: at for name, at in self._rejected.items() if name in names}
        return CollectionSnapshot(self.name, tuple(found), first_revision, era)

    async def _watch(self, revision: int, deadline: float) -> CollectionChanges:
        answer = await self.client.watch(self.name, revision, deadline)
        items = tuple(self._items(_event_fields(one) for one in answer.events))
        return CollectionChanges(self.name, items, answer.revision, answer.era)

    def _items(self, pairs: Iterable[tuple[object, bool]]) -> list[CollectionItem]:
        return [one for raw, gone in pairs if (one := self._item(raw, gone)) is not None]

    def _item(self, raw: object, gone: bool) -> CollectionItem | None:
        try:
            document = json_object(raw, "object")
            metadata = json_object(document.get("metadata"), "metadata")
            name, revision = string(metadata, "name"), integer(metadata, "rev", 0)
        except DecodeError as exc:
            self._reject("", 0, exc)
            return None
        if gone:
            self._rejected.pop(name, None)
            return CollectionItem(name, None, revision)
        try:
            spec = document.get("spec")
            item = CollectionItem(name, self.decode(name, spec), revision, spec)
        except DecodeError as exc:
            self._reject(name, revision, exc)
            return CollectionItem(name, None, revision)
        self._rejected.pop(name, None)
        return item

    def _reject(self, name: str, revision: int, exc: DecodeError) -> None:
        logged = self._rejected.get(name)
        self._rejected[name] = revision
        if logged == revision:
            return
        self.client.env.log.emit(
            Event.DOCUMENT_REJECTED,
            collection=self.name,
            object=name[:MAX_LABEL_CHARS],
            revision=revision,
            error=str(exc)[:MAX_ERROR_CHARS],
        )


@contextmanager
def _malformed_response(era: int | None) -> Iterator[None]:
    """Raise ``StoreUnavailableError`` if a response of this era can't be decoded."""
    try:
        yield
    except DecodeError as exc:
        found = StoreUnavailableError(f"malformed response: {exc}")
        found.era = era
        raise found from exc


def _event_fields(event: object) -> tuple[object, bool]:
    """Return the object of an event, and whether it was deleted."""
    if not isinstance(event, dict):
        return None, False
    return event.get("object"), event.get("tombstone") is True


def _name_to_go_on(items: list[CollectionItem], last: str | None) -> str:
    """Return the last name with which a list can go on; a URL can't hold lone surrogates.

    Raises ``StoreUnavailableError`` if there is none after ``last``.
    """
    names = [one.name for one in items if one.name.isprintable()]
    if not names or names[-1] == last:
        raise StoreUnavailableError("malformed response: a page without a name to go on")
    return names[-1]


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
    exc = errors.get(response.status, StoreUnavailableError)(f"status {response.status}")
    exc.era = _era(response)
    raise exc


def _era(response: HttpResponse) -> int | None:
    """Return the era that a response names, or ``None`` if it names none."""
    for name, value in response.headers:
        if name.lower() == ERA_HEADER:
            era = parse_digits(value.decode("latin-1").strip())
            return era if era is not None and era <= MAX_ERA else None
    return None
