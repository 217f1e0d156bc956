"""The platform's HTTP headers and bodies, behind the protocol ``CallDialect``."""

from chivewall.errors import RequestError
from chivewall.gateway.calls import (
    AnswerFields,
    Call,
    CallFields,
    Headers,
    KvHandle,
    PromptPart,
    SentFields,
)
from chivewall.platform.fields import mapping, parse, text, whole
from chivewall.results import ResultCode

REQUEST_ID = b"x-request-id"
WAIT_MS = b"x-deadline-ms"  # despite its name a duration in milliseconds
LAST_EVENT_ID = b"last-event-id"
TOKEN_COUNT = b"x-token-count"
PROMPT_PREFIX = b"x-prompt-prefix"
PROOF = b"x-answer-stamp"
NOT_RUN = b"x-not-run"
RUNNER_ID = b"x-runner-id"
RETRY_AFTER = b"retry-after"
PER_CHANNEL = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
SET_BY_GATEWAY = frozenset(
    {
        WAIT_MS,
        LAST_EVENT_ID,
        b"x-expect-instance",
        b"x-expect-version",
        b"x-request-priority",
        b"x-stage",
        b"x-kv-from",
        b"x-kv-hold",
        b"x-kv-backup",
        b"x-pin-ms",
        b"kv-fetch",
    }
)
NOT_FOR_CALLERS = frozenset({NOT_RUN, RUNNER_ID})
# Headers that are kept even if a Connection header names them: the request would have another
# meaning without them.
END_TO_END = frozenset({REQUEST_ID, b"host", b"x-model", TOKEN_COUNT, PROMPT_PREFIX, PROOF})


class PlatformDialect:
    """Implements ``CallDialect`` with the platform's header names."""

    def read_call(self, headers: Headers) -> CallFields:
        """Decode the headers of a caller's request."""
        prompt, output = _token_count(_first(headers, TOKEN_COUNT))
        return CallFields(
            request_id=_first(headers, REQUEST_ID),
            wait_ms=_milliseconds(_first(headers, WAIT_MS)),
            last_event_id=_first(headers, LAST_EVENT_ID),
            prompt_tokens=prompt,
            output_tokens=output,
            parts=_parts(_first(headers, PROMPT_PREFIX)),
        )

    def call_headers(self, call: Call, sent: SentFields) -> Headers:
        """Return the headers of the forwarded request."""
        dropped = PER_CHANNEL | SET_BY_GATEWAY | _named_by_connection(call.headers)
        kept = [(name, value) for name, value in call.headers if name.lower() not in dropped]
        set_here = (
            (b"X-Deadline-Ms", str(max(1, int(sent.time_left_ms)))),
            (b"X-Expect-Instance", sent.endpoint),
            (b"X-Request-Priority", None if sent.priority is None else str(sent.priority)),
            (b"X-Stage", sent.stage and sent.stage.value),
            (b"X-Kv-From", sent.kv_source),
            (b"Last-Event-Id", sent.last_event_id),
        )
        kept += [(name, value.encode("latin-1")) for name, value in set_here if value is not None]
        return tuple(kept)

    def read_answer(self, status: int, headers: Headers) -> AnswerFields:
        """Decode the headers of an endpoint's response."""
        proof = _first(headers, PROOF)
        return AnswerFields(
            request_id=_first(headers, REQUEST_ID),
            proof=None if proof is None else proof.encode("latin-1"),
            not_run=_first(headers, NOT_RUN) is not None or status == 421,
            endpoint=_first(headers, RUNNER_ID),
            retry_after=_seconds(_first(headers, RETRY_AFTER)),
        )

    def answer_headers(self, headers: Headers) -> Headers:
        """Return the headers of an endpoint's response that the caller gets."""
        dropped = PER_CHANNEL | NOT_FOR_CALLERS | _named_by_connection(headers)
        return tuple((name, value) for name, value in headers if name.lower() not in dropped)

    def own_answer_headers(self, request_id: str | None, retry_after: float | None) -> Headers:
        """Return the headers of the gateway's own response."""
        headers = [(b"Content-Type", b"application/json")]
        if request_id is not None:
            headers.append((b"X-Request-Id", request_id.encode("latin-1")))
        if retry_after is not None:
            headers.append((b"Retry-After", f"{retry_after:.3g}".encode()))
        return tuple(headers)

    def read_kv_handle(self, body: bytes) -> KvHandle:
        """Decode the body of a prefill response."""
        document = mapping(parse(body), "handle")
        return KvHandle(handle=text(document, "handle"), tokens=whole(document, "tokens", 0))

    def kv_source(self, info_address: tuple[str, int], handle: str) -> str:
        """Return the value of ``X-Kv-From`` for a kept KV cache."""
        return f"{info_address[0]}:{info_address[1]}/{handle}"

    def release_target(self, handle: str) -> tuple[bytes, bytes]:
        """Return method and target of the request that frees a KV cache."""
        return b"DELETE", b"/kv-handle/" + handle.encode("latin-1")


def _first(headers: Headers, name: bytes) -> str | None:
    for key, value in headers:
        if key.lower() == name:
            return value.decode("latin-1")
    return None


def _named_by_connection(headers: Headers) -> frozenset[bytes]:
    named = {
        one.strip().lower()
        for key, value in headers
        if key.lower() == b"connection"
        for one in value.split(b",")
    }
    return frozenset(named - END_TO_END)


def _milliseconds(value: str | None) -> float | None:
    if value is None:
        return None
    if not value.isdigit():
        raise RequestError(ResultCode.BAD_HEADER, "X-Deadline-Ms must be an integer")
    return float(value[:12])


def _seconds(value: str | None) -> float | None:
    try:
        return None if value is None else max(0.0, float(value))
    except ValueError:
        return None  # a date or an invalid value; the header is only a hint


def _token_count(value: str | None) -> tuple[int, int]:
    """Parse ``PROMPT,OUTPUT``; a malformed value counts as 0 tokens and is forwarded as it is."""
    if value is None:
        return 0, 0
    numbers = value.split(",")
    if len(numbers) != 2 or not all(one.strip().isdigit() for one in numbers):
        return 0, 0
    return int(numbers[0]), int(numbers[1])


def _parts(value: str | None) -> tuple[PromptPart, ...]:
    parts = []
    for entry in (value or "").split(","):
        name, _, tokens = entry.strip().rpartition(":")
        if not name or not tokens.isdigit():
            break  # only leading parts can be shared, so none after a malformed one
        parts.append(PromptPart(id=name, tokens=int(tokens)))
    return tuple(parts)
