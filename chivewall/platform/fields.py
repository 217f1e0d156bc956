"""Typed reads of JSON fields; a wrong type raises ``DecodeError`` that names the field."""

import json
from typing import Any

from chivewall.errors import DecodeError


def parse(body: bytes) -> Any:
    """Return the JSON value of a body."""
    try:
        return json.loads(body)
    except (ValueError, RecursionError) as exc:
        raise DecodeError(f"not JSON: {exc}") from exc


def mapping(value: object, name: str) -> dict[str, Any]:
    """Return a JSON object."""
    if not isinstance(value, dict):
        raise DecodeError(f"{name}: an object is expected")
    return value


def items(document: dict[str, Any], name: str) -> list[Any]:
    """Return a list; a missing one is empty."""
    value = document.get(name)
    if value is None:
        return []
    if not isinstance(value, list):
        raise DecodeError(f"{name}: a list is expected")
    return value


def text(document: dict[str, Any], name: str, default: str | None = None) -> str:
    """Return a string."""
    value = document.get(name, default)
    if not isinstance(value, str):
        raise DecodeError(f"{name}: a string is expected")
    return value


def number(document: dict[str, Any], name: str, default: float | None = None) -> float:
    """Return a finite number."""
    value = document.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise DecodeError(f"{name}: a number is expected")
    if not -1e18 < value < 1e18:
        raise DecodeError(f"{name}: the number is out of range")
    return float(value)


def whole(document: dict[str, Any], name: str, default: int | None = None) -> int:
    """Return a whole number."""
    value = number(document, name, default)
    if value != int(value):
        raise DecodeError(f"{name}: a whole number is expected")
    return int(value)


def flag(document: dict[str, Any], name: str) -> bool:
    """Return true or false; a missing one is false."""
    value = document.get(name, False)
    if not isinstance(value, bool):
        raise DecodeError(f"{name}: true or false is expected")
    return value
