"""Messages between a caller's connection and the task that serves its request.

``request_number`` is the number of the request on its connection.
"""

from attrs import field, frozen

from chivewall.gateway.http_dialect import Headers


@frozen
class SendResponse:
    """A complete response."""

    request_number: int
    status: int
    headers: Headers
    body: bytes = field(repr=False)


@frozen
class StartResponse:
    """Status and headers of a response whose body follows in pieces."""

    request_number: int
    status: int
    headers: Headers


@frozen
class SendChunk:
    """The next bytes of the response body."""

    request_number: int
    data: bytes = field(repr=False)


@frozen
class FinishResponse:
    """The response body is complete."""

    request_number: int


@frozen
class AbortResponse:
    """The response body can't be completed; only closing the connection shows this."""

    request_number: int


@frozen
class CallerDisconnected:
    """The caller's connection has ended."""

    by_gateway: bool = False  # the gateway itself aborted it


@frozen
class EndBy:
    """The request must have its final response by a time, because the gateway shuts down."""

    deadline: float
