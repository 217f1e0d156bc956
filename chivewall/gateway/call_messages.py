"""Messages between a caller's connection and the task that serves its request.

``call`` is the number of the request on its connection.
"""

from attrs import field, frozen

from chivewall.gateway.calls import Headers


@frozen
class WholeAnswer:
    """A complete response."""

    call: int
    status: int
    headers: Headers
    body: bytes = field(repr=False)


@frozen
class AnswerBegun:
    """Status and headers of a response whose body follows in pieces."""

    call: int
    status: int
    headers: Headers


@frozen
class AnswerPiece:
    """The next bytes of the response body."""

    call: int
    data: bytes = field(repr=False)


@frozen
class AnswerDone:
    """The response body is complete."""

    call: int


@frozen
class AnswerCut:
    """The response body can't be completed; only closing the connection shows this."""

    call: int


@frozen
class CallerGone:
    """The caller closed its connection."""
