"""Accepts configuration changes: one conditional write of the document and its history."""

import json
from typing import Any

from attrs import frozen

from chivewall.configuration import Configuration, from_document, to_document
from chivewall.errors import ConfigurationError, StoreUnavailableError, VersionConflictError
from chivewall.interfaces import ObjectStore, StoredObject

CONFIGURATION_KEY = "config"
FORMAT = 1
HISTORY_LENGTH = 50  # versions; keeps the object well below the platform's 1 MB
WRITE_TRIES = 2


@frozen
class Archive:
    """Value of the configuration object: the current document and older ones, newest first."""

    current: Configuration
    history: tuple[Configuration, ...] = ()

    def succeed(self, configuration: Configuration) -> "Archive":
        """Return the archive after a change."""
        history = (self.current, *self.history)[:HISTORY_LENGTH]
        return Archive(current=configuration, history=history)


def encode_archive(archive: Archive) -> bytes:
    """Return the stored form."""
    history = [to_document(one) for one in archive.history]
    value = {"format": FORMAT, "current": to_document(archive.current), "history": history}
    return json.dumps(value).encode()


def decode_archive(value: bytes) -> Archive:
    """Read the stored form; raises ``ConfigurationError``."""
    try:
        raw = json.loads(value)
    except ValueError as exc:
        raise ConfigurationError(f"not JSON: {exc}") from exc
    if not isinstance(raw, dict) or raw.get("format") != FORMAT:
        raise ConfigurationError(f"the stored configuration is not of format {FORMAT}")
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
    """Make the successor of the stored version accepted.

    Raises ``VersionConflictError`` with the difference if another version was
    accepted first, and ``StoreUnavailableError`` if the outcome is unknown.
    A write without an answer is decided by reading the object back; writing
    again is safe, since both writes have the same condition.
    """
    stored: StoredObject = await store.get(CONFIGURATION_KEY)
    for last in [False] * (WRITE_TRIES - 1) + [True]:
        archive = decode_archive(stored.value)
        if configuration in (archive.current, *archive.history):
            return configuration
        if configuration.version != archive.current.version + 1:
            lines = difference(to_document(archive.current), to_document(configuration))
            raise VersionConflictError(
                f"version {archive.current.version} is in force; difference: {'; '.join(lines)}"
            )
        value = encode_archive(archive.succeed(configuration))
        try:
            await store.update(CONFIGURATION_KEY, value, stored.version)
        except (StoreUnavailableError, VersionConflictError):
            if last:
                raise
            stored = await store.get(CONFIGURATION_KEY)
        else:
            return configuration
    raise AssertionError("the last try returns or raises")
