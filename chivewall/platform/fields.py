"""Typed access to JSON fields; a wrong type raises a ``DecodeError`` that names the field."""

import json
from typing import Any

from chivewall.errors import DecodeError


def parse_json(body: bytes) -> Any:
    """Parse a body as JSON."""
    try:
        return json.loads(body)
    except (ValueError, RecursionError) as exc:
        raise DecodeError(f"invalid JSON: {exc}") from exc


def json_object(value: object, name: str) -> dict[str, Any]:
    """Return a value that must be a JSON object; ``name`` is for the error message."""
    if not isinstance(value, dict):
        raise DecodeError(f"{name}: expected an object")
    return value


def list_items(document: dict[str, Any], name: str) -> list[Any]:
    """Return a list field; an empty list if it is missing."""
    value = document.get(name)
    if value is None:
        return []
    if not isinstance(value, list):
        raise DecodeError(f"{name}: expected a list")
    return value


def string(document: dict[str, Any], name: str, default: str | None = None) -> str:
    """Return a string field."""
    value = document.get(name, default)
    if not isinstance(value, str):
        raise DecodeError(f"{name}: expected a string")
    return value


def number(document: dict[str, Any], name: str, default: float | None = None) -> float:
    """Return a number field, which must be finite."""
    value = document.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise DecodeError(f"{name}: expected a number")
    if not -1e18 < value < 1e18:
        raise DecodeError(f"{name}: number out of range")
    return float(value)


def integer(document: dict[str, Any], name: str, default: int | None = None) -> int:
    """Return an integer field."""
    value = number(document, name, default)
    if value != int(value):
        raise DecodeError(f"{name}: expected an integer")
    return int(value)


def boolean(document: dict[str, Any], name: str) -> bool:
    """Return a boolean field; ``False`` if it is missing."""
    value = document.get(name, False)
    if not isinstance(value, bool):
        raise DecodeError(f"{name}: expected true or false")
    return value
