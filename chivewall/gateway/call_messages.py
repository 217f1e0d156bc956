"""Messages between a caller's connection and the task of its call."""

from attrs import field, frozen

from chivewall.gateway.calls import Headers


@frozen
class WholeAnswer:
    """A complete answer."""

    call: int
    status: int
    headers: Headers
    body: bytes = field(repr=False)


@frozen
class AnswerBegun:
    """Status and headers of an answer whose body follows in pieces."""

    call: int
    status: int
    headers: Headers


@frozen
class AnswerPiece:
    """Bytes of the body."""

    call: int
    data: bytes = field(repr=False)


@frozen
class AnswerDone:
    """The body is complete."""

    call: int


@frozen
class AnswerCut:
    """The body can't be completed; only a broken connection says so."""

    call: int


@frozen
class CallerGone:
    """The caller closed its connection."""
