"""Parts of the text of HTTP/1.1 messages that h11 leaves to its user."""

import re
from http import HTTPStatus

import h11

QUOTED_BYTES = re.compile(r"(?:bytearray\()?\bb['\"]")


def head_bytes(event: h11.Request) -> int:
    """Return the size of a request's head, without the line ends of its first line."""
    lines = sum(len(name) + len(value) + 4 for name, value in event.headers)
    return len(event.method) + len(event.target) + lines


def origin_form(target: bytes) -> bytes:
    """Return path and query of a request target, which may be in absolute form."""
    if not target.lower().startswith(b"http://"):
        return target
    rest = target[len(b"http://") :]
    slash = rest.find(b"/")
    return b"/" if slash < 0 else rest[slash:]


def reason_phrase(status: int) -> bytes:
    """Return the standard phrase of a status, or nothing for an unknown one."""
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b""


def without_quoted_bytes(text: str) -> str:
    """Return the text of a parser's error without the bytes that it quotes.

    A malformed header line may hold a key, which must not be logged or sent back.
    """
    return QUOTED_BYTES.split(text)[0].rstrip(" :(")
