"""Decodes the workspaces (``tenants``) of the routing configuration."""

from typing import Any

from attrs import frozen

from chivewall.decisions.workspace_keys import MAX_KEY_CHARS
from chivewall.errors import DecodeError
from chivewall.gateway.routing_configuration import Workspace
from chivewall.platform.fields import MAX_LABEL_CHARS, integer, list_items

FIELD = "tenants"
MAX_PRIORITY = 1000


@frozen
class DecodedWorkspaces:
    """The workspaces that could be read, and the number of entries with an odd part."""

    workspaces: tuple[Workspace, ...] = ()
    required: bool = False  # requests need a key
    odd: int = 0


def decode_workspaces(document: dict[str, Any]) -> DecodedWorkspaces:
    """Decode the workspaces; what can't be read is left out and counted.

    One odd entry hides neither the routes nor the other workspaces. Without the field, requests
    need no key; with an empty list, nobody has one.

    Raises ``DecodeError`` if the field itself is no list: all callers would lose their keys, and
    the version before is still known.
    """
    if document.get(FIELD) is None:
        return DecodedWorkspaces()
    found, odd = [], 0
    for entry in list_items(document, FIELD):
        workspace, complete = _workspace(entry)
        odd += not complete
        if workspace is not None:
            found.append(workspace)
    return DecodedWorkspaces(tuple(found), required=True, odd=odd)


def _workspace(entry: object) -> tuple[Workspace | None, bool]:
    """Return a workspace, and whether all of its entry could be read."""
    if not isinstance(entry, dict) or not _is_header_text(entry.get("name"), MAX_LABEL_CHARS):
        return None, False
    listed = entry.get("apiKeys")
    keys = listed if isinstance(listed, list) else []
    readable = tuple(one for one in keys if _is_header_text(one, MAX_KEY_CHARS))
    priority, complete = _priority(entry)
    complete = complete and (listed is None or len(readable) == len(keys) == len(listed))
    return Workspace(entry["name"], readable, priority), complete


def _priority(entry: dict[str, Any]) -> tuple[int | None, bool]:
    """Return the priority, or ``None`` if it is missing or odd, and whether it isn't odd."""
    if entry.get("priority") is None:
        return None, True
    try:
        value = integer(entry, "priority")
    except DecodeError:
        return None, False
    return (value, True) if 0 <= value <= MAX_PRIORITY else (None, False)


def _is_header_text(value: object, limit: int) -> bool:
    """Return whether a value can be sent in a header and arrives unchanged."""
    return (
        isinstance(value, str)
        and 0 < len(value) <= limit
        and value.isascii()
        and value.isprintable()
        and value == value.strip()
    )
