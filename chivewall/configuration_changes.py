"""Stores configuration changes: one conditional write of the document and its history."""

import json
from typing import Any

from attrs import frozen

from chivewall.configuration import Configuration, from_document, to_document
from chivewall.errors import (
    ChangeUnknownError,
    ConfigurationError,
    ObjectTooLargeError,
    StoreError,
    StoreUnavailableError,
    VersionConflictError,
)
from chivewall.interfaces import ObjectStore, StoredObject

CONFIGURATION_KEY = "config"
ARCHIVE_FORMAT = 1  # version of the stored format
SEPARATOR_BYTES = 2  # size of the separator between two documents in the stored list
MAX_HISTORY_VERSIONS = 50  # versions
MAX_ARCHIVE_BYTES = 900_000  # maximum size of the whole object; the platform accepts 1 MB
# Maximum size of a document. Two must fit in the object: after a lost response, the history
# shows whether the write took effect.
MAX_DOCUMENT_BYTES = 400_000
MAX_WRITES = 2


@frozen
class Archive:
    """Value of the stored configuration object: the current document and its history.

    ``history`` holds earlier versions, newest first.
    """

    current: Configuration
    history: tuple[Configuration, ...] = ()

    def with_current(self, configuration: Configuration) -> "Archive":
        """Return the archive with a new current document and as much history as fits."""
        free_bytes = MAX_ARCHIVE_BYTES - _stored_size(configuration)
        kept: list[Configuration] = []
        for one in (self.current, *self.history)[:MAX_HISTORY_VERSIONS]:
            free_bytes -= _stored_size(one)
            if free_bytes < 0:
                break
            kept.append(one)
        return Archive(current=configuration, history=tuple(kept))


def _stored_size(configuration: Configuration) -> int:
    return len(json.dumps(to_document(configuration))) + SEPARATOR_BYTES


def encode_archive(archive: Archive) -> bytes:
    """Return an archive as the bytes that are stored."""
    history = [to_document(one) for one in archive.history]
    value = {"format": ARCHIVE_FORMAT, "current": to_document(archive.current), "history": history}
    return json.dumps(value).encode()


def decode_archive(value: bytes) -> Archive:
    """Return the archive of stored bytes; raises ``ConfigurationError``."""
    try:
        raw = json.loads(value)
    except ValueError as exc:
        raise ConfigurationError(f"not JSON: {exc}") from exc
    if not isinstance(raw, dict) or raw.get("format") != ARCHIVE_FORMAT:
        raise ConfigurationError(f"the stored configuration does not have format {ARCHIVE_FORMAT}")
    history = tuple(from_document(one) for one in raw.get("history", ()))
    return Archive(current=from_document(raw.get("current")), history=history)


def difference(old: Any, new: Any, path: str = "") -> list[str]:
    """Return one line for each value that differs between two documents."""
    if isinstance(old, dict) and isinstance(new, dict):
        keys = sorted(old.keys() | new.keys())
        return [
            line
            for key in keys
            for line in difference(old.get(key), new.get(key), f"{path}.{key}".strip("."))
        ]
    return [] if old == new else [f"{path}: {json.dumps(old)} -> {json.dumps(new)}"]


async def apply_change(store: ObjectStore, configuration: Configuration) -> Configuration:
    """Store a configuration as the successor of the stored version.

    If a write gets no response, the object is read back to see whether it took
    effect; writing again is safe, since both writes have the same condition.

    Raises ``VersionConflictError`` with the difference if another version was
    accepted first, ``ObjectTooLargeError`` for a document over the limit, and
    ``ChangeUnknownError`` if the change may or may not have been accepted.
    After any other ``StoreError`` nothing was written.
    """
    _check_size(configuration)
    stored: StoredObject = await store.get(CONFIGURATION_KEY)
    outcome_unknown = False  # True after a write that got no response
    for _ in range(MAX_WRITES):
        archive = decode_archive(stored.value)
        if _is_stored(archive, configuration):
            return configuration
        value = encode_archive(archive.with_current(configuration))
        try:
            await store.update(CONFIGURATION_KEY, value, stored.version)
        except (StoreUnavailableError, VersionConflictError) as exc:
            outcome_unknown = outcome_unknown or isinstance(exc, StoreUnavailableError)
            stored = await _read_back(store, outcome_unknown=outcome_unknown)
        except StoreError as exc:
            _raise_unknown(exc, outcome_unknown=outcome_unknown)
            raise
        else:
            return configuration
    if _is_stored(decode_archive(stored.value), configuration):
        return configuration
    raise ChangeUnknownError(f"{MAX_WRITES} writes got no response; one may still take effect")


async def _read_back(store: ObjectStore, *, outcome_unknown: bool) -> StoredObject:
    try:
        return await store.get(CONFIGURATION_KEY)
    except StoreError as exc:
        _raise_unknown(exc, outcome_unknown=outcome_unknown)
        raise


def _raise_unknown(exc: StoreError, *, outcome_unknown: bool) -> None:
    """Raise ``ChangeUnknownError`` if an earlier write got no response."""
    if outcome_unknown:
        raise ChangeUnknownError(f"a write got no response; afterwards: {exc}") from exc


def _is_stored(archive: Archive, configuration: Configuration) -> bool:
    """Return whether the change is already stored.

    Raises ``VersionConflictError`` if it does not follow the stored version.
    """
    if configuration in (archive.current, *archive.history):
        return True
    if configuration.version == archive.current.version + 1:
        return False
    lines = difference(to_document(archive.current), to_document(configuration))
    raise VersionConflictError(
        f"version {archive.current.version} is in force; difference: {'; '.join(lines)}"
    )


def _check_size(configuration: Configuration) -> None:
    size = _stored_size(configuration)
    if size > MAX_DOCUMENT_BYTES:
        raise ObjectTooLargeError(
            f"the document has {size} bytes; at most {MAX_DOCUMENT_BYTES} are allowed"
        )
