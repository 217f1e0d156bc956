"""Parts of the text of HTTP/1.1 messages that h11 leaves to its user."""

from http import HTTPStatus

import h11


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
