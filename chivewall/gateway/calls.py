"""Calls and answers as the gateway sees them, and the protocol that names their headers."""

from typing import Protocol

from attrs import field, frozen

from chivewall.gateway.catalogue import Stage

Headers = tuple[tuple[bytes, bytes], ...]  # names in the sender's case


@frozen
class PromptPart:
    """A part of a prompt that requests may share."""

    id: str
    tokens: int


@frozen
class CallFields:
    """What the headers of a caller's request say, decoded once."""

    request_id: str | None = None
    wait_ms: float | None = None  # how long the caller waits
    last_event_id: str | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0  # at most
    parts: tuple[PromptPart, ...] = ()


@frozen
class Call:
    """A whole request of a caller."""

    method: bytes
    target: bytes  # path and query as sent
    headers: Headers
    body: bytes
    has_body: bool
    received_at: float
    fields: CallFields

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    def header(self, name: bytes) -> str | None:
        """Return the first header of that lower-case name."""
        for key, value in self.headers:
            if key.lower() == name:
                return value.decode("latin-1")
        return None


@frozen
class SentFields:
    """What the gateway itself says in the headers of a forwarded request."""

    time_left_ms: float
    endpoint: str | None = None  # id; another endpoint at the address refuses the request
    priority: int | None = None
    stage: Stage | None = None  # PREFILL asks for the KV cache only
    kv_source: str | None = None  # where the KV cache of the prompt can be fetched
    last_event_id: str | None = None


@frozen
class AnswerFields:
    """What the headers of an endpoint's answer say, decoded once."""

    request_id: str | None = None
    proof: bytes | None = None  # the endpoint's own mark on the answer
    not_run: bool = False
    endpoint: str | None = None
    retry_after: float | None = None  # seconds


@frozen
class AnswerHead:
    """Status line and headers of an endpoint's answer."""

    status: int
    reason: bytes
    headers: Headers
    fields: AnswerFields = field(factory=AnswerFields)


@frozen
class KvHandle:
    """A KV cache that an engine keeps for another one to fetch."""

    handle: str
    tokens: int


class CallDialect(Protocol):
    """Names and formats of headers and bodies between callers, gateway and endpoints."""

    def read_call(self, headers: Headers) -> CallFields:
        """Decode a caller's headers; raises ``RequestError`` on a malformed value."""

    def call_headers(self, call: Call, sent: SentFields) -> Headers:
        """Return the end-to-end headers of the forwarded request."""

    def read_answer(self, status: int, headers: Headers) -> AnswerFields:
        """Decode an answer's headers."""

    def answer_headers(self, headers: Headers) -> Headers:
        """Return the end-to-end headers of an answer for the caller."""

    def own_answer_headers(self, request_id: str | None, retry_after: float | None) -> Headers:
        """Return the headers of an answer of the gateway itself; ``retry_after`` in seconds."""

    def read_kv_handle(self, body: bytes) -> KvHandle:
        """Decode the answer to a prefill; raises ``DecodeError``."""

    def kv_source(self, info_address: tuple[str, int], handle: str) -> str:
        """Return the value that names a kept KV cache at an engine."""

    def release_target(self, handle: str) -> tuple[bytes, bytes]:
        """Return method and target of the call that frees a kept KV cache."""
