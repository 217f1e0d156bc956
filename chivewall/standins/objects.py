"""In-memory object API: versions, conditional updates, watches and an instance list."""

from attrs import define, field
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.interfaces import IReactorTime

from chivewall.errors import ObjectMissingError, ObjectTooLargeError, VersionConflictError
from chivewall.interfaces import Instance, StoredObject

MAX_VALUE_BYTES = 1_000_000  # bytes


@define(eq=False)
class Watcher:
    """A pending watch for a newer version of an object."""

    key: str
    after: int  # version that the watching side already has
    reply: Deferred  # fires with the newer object, or with ``None`` at the deadline


@define(eq=False)
class MemoryStore:
    """Implements the ``ObjectStore`` protocol in the memory of one process."""

    clock: IReactorTime
    objects: dict[str, StoredObject] = field(factory=dict)
    instance_list: tuple[Instance, ...] = ()
    watchers: list[Watcher] = field(factory=list)
    _last_version: int = 0

    def get(self, key: str) -> Deferred:
        """Fire with a ``StoredObject``; fails with ``ObjectMissingError``."""
        found = self.objects.get(key)
        return succeed(found) if found else fail(ObjectMissingError(f"no object {key!r}"))

    def list(self, prefix: str) -> Deferred:
        """Fire with a tuple of all objects whose key has the prefix, by key."""
        keys = sorted(key for key in self.objects if key.startswith(prefix))
        return succeed(tuple(self.objects[key] for key in keys))

    def create(self, key: str, value: bytes) -> Deferred:
        """Fire with the version; fails with ``VersionConflictError`` if the object exists."""
        if key in self.objects:
            return fail(VersionConflictError(f"object {key!r} exists"))
        return self._write(key, value)

    def update(self, key: str, value: bytes, version: int) -> Deferred:
        """Fire with the new version; fails with ``VersionConflictError`` on another version."""
        conflict = self._check_version(key, version)
        return fail(conflict) if conflict else self._write(key, value)

    def delete(self, key: str, version: int) -> Deferred:
        """Fire with ``None``; fails with ``VersionConflictError`` on another version."""
        conflict = self._check_version(key, version)
        if conflict:
            return fail(conflict)
        del self.objects[key]
        return succeed(None)

    def watch(self, key: str, after: int, deadline: float) -> Deferred:
        """Fire with the first object newer than ``after``, or with ``None`` at the deadline."""
        found = self.objects.get(key)
        if found is not None and found.version > after:
            return succeed(found)
        watcher = Watcher(
            key=key, after=after, reply=Deferred(lambda _: self._remove_watcher(watcher))
        )
        self.watchers.append(watcher)
        timer = self.clock.callLater(
            max(0.0, deadline - self.clock.seconds()), self._expire_watcher, watcher
        )
        watcher.reply.addBoth(_cancel_timer, timer)
        return watcher.reply

    def instances(self) -> Deferred:
        """Fire with the tuple of instances."""
        return succeed(self.instance_list)

    def _check_version(self, key: str, version: int) -> Exception | None:
        found = self.objects.get(key)
        if found is None:
            return ObjectMissingError(f"no object {key!r}")
        if found.version != version:
            return VersionConflictError(
                f"object {key!r} has version {found.version}, not {version}"
            )
        return None

    def _write(self, key: str, value: bytes) -> Deferred:
        if len(value) > MAX_VALUE_BYTES:
            return fail(
                ObjectTooLargeError(f"{len(value)} bytes; at most {MAX_VALUE_BYTES} are allowed")
            )
        self._last_version += 1
        stored = StoredObject(key=key, value=value, version=self._last_version)
        self.objects[key] = stored
        for watcher in [one for one in self.watchers if one.key == key]:
            self._remove_watcher(watcher)
            watcher.reply.callback(stored)
        return succeed(stored.version)

    def _expire_watcher(self, watcher: Watcher) -> None:
        if watcher in self.watchers:
            self.watchers.remove(watcher)
            watcher.reply.callback(None)

    def _remove_watcher(self, watcher: Watcher) -> None:
        if watcher in self.watchers:
            self.watchers.remove(watcher)


def _cancel_timer(result: object, timer: object) -> object:
    if timer.active():
        timer.cancel()
    return result
