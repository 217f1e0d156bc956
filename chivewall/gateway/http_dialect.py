"""Requests and responses as the gateway represents them, and the protocol for their headers."""

from typing import Protocol

from attrs import field, frozen

from chivewall.gateway.routing_configuration import Stage

Headers = tuple[tuple[bytes, bytes], ...]  # header names keep the sender's case


@frozen
class PromptPart:
    """A part of a prompt that several requests may have in common."""

    id: str
    tokens: int


@frozen
class RequestFields:
    """Decoded headers of a caller's request."""

    request_id: str | None = None
    timeout_ms: float | None = None  # time that the caller waits for the response, ms
    last_event_id: str | None = None
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()
    # All values of the header with the workspace key, of which there must be one.
    workspace_keys: tuple[str, ...] = field(default=(), repr=False)


@frozen
class CallerRequest:
    """A complete request of a caller."""

    method: bytes
    target: bytes  # path and query as sent
    headers: Headers = field(repr=False)  # with the caller's key
    body: bytes = field(repr=False)
    has_body: bool
    received_at: float
    fields: RequestFields

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    def header(self, name: bytes) -> str | None:
        """Return the first value of a header; ``name`` must be in lower case."""
        for key, value in self.headers:
            if key.lower() == name:
                return value.decode("latin-1")
        return None


@frozen
class ForwardedFields:
    """Values that the gateway sets in the headers of a forwarded request."""

    time_left_ms: float
    endpoint: str | None = None  # endpoint id; any other endpoint at the address refuses
    priority: int | None = None
    stage: Stage | None = None  # PREFILL: only compute and keep the KV cache of the prompt
    kv_source: str | None = None  # location from which to fetch the KV cache of the prompt
    last_event_id: str | None = None
    workspace: str | None = None  # name of the workspace whose key the caller sent
    # The caller's own values of the headers with its key and its workspace are dropped.
    workspaces_in_use: bool = False


@frozen
class StatedLimit:
    """A limit on the requests of all gateways that an endpoint names in a response."""

    rate: float | None  # requests a second; ``None``: the value can't be read
    text: str = ""  # as received, for the log


@frozen
class ResponseFields:
    """Decoded headers of an endpoint's response."""

    request_id: str | None = None
    stamp: bytes | None = None  # shows that the endpoint itself responded
    not_run: bool = False  # the endpoint says that it has not run the request
    endpoint: str | None = None
    retry_after: float | None = None  # seconds
    leaving: bool = False  # the endpoint says that it is being taken out of service
    limit: StatedLimit | None = None  # ``None``: the endpoint names none


@frozen
class ResponseHead:
    """Status line and headers of an endpoint's response."""

    status: int
    reason: bytes
    headers: Headers
    fields: ResponseFields = field(factory=ResponseFields)


@frozen
class KvHandle:
    """A KV cache that an engine keeps until another engine fetches it."""

    handle: str
    tokens: int


class HttpDialect(Protocol):
    """Decodes and encodes the headers and bodies of callers, gateway and endpoints."""

    def decode_request(self, headers: Headers) -> RequestFields:
        """Decode a caller's headers; raise ``RequestError`` on a malformed value."""

    def request_headers(self, request: CallerRequest, sent: ForwardedFields) -> Headers:
        """Return the end-to-end headers of the forwarded request."""

    def decode_response(self, status: int, headers: Headers) -> ResponseFields:
        """Decode the headers of an endpoint's response."""

    def response_headers(self, headers: Headers) -> Headers:
        """Return the end-to-end headers of a response for the caller."""

    def gateway_response_headers(
        self, request_id: str | None, retry_after: float | None
    ) -> Headers:
        """Return the headers of a response of the gateway itself; ``retry_after`` is in seconds."""

    def decode_kv_handle(self, body: bytes) -> KvHandle:
        """Decode the body of a prefill response; raise ``DecodeError`` if it is malformed."""

    def kv_source(self, address: tuple[str, int], handle: str) -> str:
        """Return the value that tells an engine where to fetch a kept KV cache."""

    def identity_request(self, endpoint: str) -> tuple[bytes, bytes, Headers]:
        """Return method, target and headers of the question whether an endpoint has an address.

        Any other endpoint there refuses it, and none runs it.
        """

    def is_process(
        self, endpoint: str, started_ms: int | None, *, status: int, headers: Headers, body: bytes
    ) -> bool:
        """Return whether the answer to that question comes from a process of an endpoint.

        ``started_ms``: start of the process as Unix time in ms; ``None`` if it isn't known.
        """

    def release_request(self, handle: str) -> tuple[bytes, bytes]:
        """Return method and target of the request that frees a kept KV cache."""
