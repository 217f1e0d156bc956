"""Typed access to JSON fields; a wrong type raises a ``DecodeError`` that names the field."""

import json
import re
from typing import Any

from chivewall.errors import DecodeError
from chivewall.integers import MAX_DIGITS

MAX_LABEL_CHARS = 200  # of the name of an endpoint, a service or a data centre
MAX_DEPTH = 32  # of lists and objects in each other; the platform's documents use 8 at most
# Strings, whose brackets don't count, and runs of opening or of closing brackets.
JSON_BRACKETS = re.compile(r'"[^"\\]*+(?:\\.[^"\\]*+)*+"|[\[{]+|[\]}]+', re.DOTALL)


def parse_json(body: bytes) -> Any:
    """Parse a body as JSON, in which single values may be unreadable.

    A page of the store has the entries of many writers, and one of them must not hide the others.
    Values nested too deeply become ``None``, integers of too many digits infinite, and bytes that
    are no UTF-8 lone surrogates, which the fields' own checks reject.

    Example: ``parse_json(b"[7, " + b"9" * 5000 + b"]") == [7, math.inf]``.
    """
    try:
        return json.loads(body)
    except (ValueError, RecursionError):
        return _parse_damaged(body.decode("utf-8", "surrogateescape"))


def _parse_damaged(text: str) -> Any:
    try:
        return json.loads(without_deep_values(text), parse_int=_parse_integer, strict=False)
    except (ValueError, RecursionError) as exc:
        raise DecodeError(f"invalid JSON: {exc}") from exc


def _parse_integer(digits: str) -> int | float:
    return int(digits) if len(digits) <= MAX_DIGITS else float(digits)


def without_deep_values(text: str) -> str:
    """Return JSON text with ``null`` in place of the values nested deeper than ``MAX_DEPTH``."""
    kept, depth, start = [], 0, 0
    for found in JSON_BRACKETS.finditer(text):
        count = len(found[0])
        if found[0][0] in "[{":
            if depth <= MAX_DEPTH < depth + count:
                kept.append(text[start : found.start() + MAX_DEPTH - depth])
            depth += count
        elif found[0][0] in "]}":
            depth -= count
            if depth <= MAX_DEPTH < depth + count:
                start = found.end() + depth - MAX_DEPTH
                kept.append("null")
    if depth <= MAX_DEPTH:
        kept.append(text[start:])
    return "".join(kept)


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


def label(document: dict[str, Any], name: str) -> str:
    """Return a string field that names something: short, and of printable characters."""
    return check_label(string(document, name), name)


def check_label(value: str, name: str) -> str:
    """Return a name from the platform, or raise ``DecodeError`` if it can't be one."""
    if not 0 < len(value) <= MAX_LABEL_CHARS or not value.isprintable():
        raise DecodeError(f"{name}: not 1 to {MAX_LABEL_CHARS} printable characters")
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


def bounded(value: float, limit: float, name: str) -> float:
    """Return a number from 0 to a limit; raise ``DecodeError`` if it is another one."""
    if not 0 <= value <= limit:
        raise DecodeError(f"{name}: number out of range")
    return value


def boolean(document: dict[str, Any], name: str) -> bool:
    """Return a boolean field; ``False`` if it is missing."""
    value = document.get(name, False)
    if not isinstance(value, bool):
        raise DecodeError(f"{name}: expected true or false")
    return value
