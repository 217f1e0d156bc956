"""What a request's task has received of an endpoint's response."""

from attrs import define, field

from chivewall.errors import EndpointError
from chivewall.gateway.byte_budget import MAX_RESPONSE_BYTES, ByteBudget
from chivewall.gateway.http_dialect import ResponseHead


@define
class ReceivedResponse:
    """The head and the body of a response that is kept until it is complete."""

    budget: ByteBudget  # shared by the responses of all requests
    head: ResponseHead | None = None
    _body: bytearray = field(factory=bytearray, init=False)

    @property
    def body(self) -> bytes:
        """Return the body received so far."""
        return bytes(self._body)

    def start(self, head: ResponseHead | None) -> None:
        """Begin with a new response, or with none yet."""
        self.head = head
        self.budget.release(len(self._body))
        self._body.clear()

    def append(self, data: bytes) -> None:
        """Add bytes to the body; raise ``EndpointError`` if they exceed a limit."""
        if len(self._body) + len(data) > MAX_RESPONSE_BYTES:
            raise EndpointError(f"the response exceeds {MAX_RESPONSE_BYTES} bytes")
        if not self.budget.reserve(len(data)):
            raise EndpointError("too many responses are being received")
        self._body += data
