"""The platform's HTTP headers and bodies, behind the protocol ``HttpDialect``."""

import re

from chivewall.errors import DecodeError, RequestError
from chivewall.gateway.http_dialect import (
    CallerRequest,
    ForwardedFields,
    Headers,
    KvHandle,
    PromptPart,
    RequestFields,
    ResponseFields,
    StatedLimit,
)
from chivewall.integers import parse_digits
from chivewall.platform.fields import integer, json_object, parse_json, string
from chivewall.results import ResultCode

REQUEST_ID = b"x-request-id"
TIMEOUT_MS = b"x-deadline-ms"  # despite its name a duration in milliseconds
LAST_EVENT_ID = b"last-event-id"
TOKEN_COUNT = b"x-token-count"
PROMPT_PREFIX = b"x-prompt-prefix"
WORKSPACE_KEY = b"x-key"
WORKSPACE = b"x-tenant"
ANSWER_STAMP = b"x-answer-stamp"
NOT_RUN = b"x-not-run"
ENDPOINT_ID = b"x-runner-id"
RETRY_AFTER = b"retry-after"
LEAVING = b"server-leaving"
LIMIT = b"server-limit"  # requests a second from all gateways together
DECIMAL = re.compile(r"[0-9]{1,20}(\.[0-9]{0,20})?|\.[0-9]{1,20}")
LEAST_PRIORITY = 9  # the least urgent one that engines know
MAX_LOGGED_VALUE = 64  # characters of a value that can't be read
HOP_BY_HOP = frozenset(
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
        TIMEOUT_MS,
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
NOT_FOR_CALLERS = frozenset({NOT_RUN, ENDPOINT_ID})
# Headers that are kept even if a Connection header names them: the request would have another
# meaning without them.
ALWAYS_FORWARDED = frozenset(
    {REQUEST_ID, b"host", b"x-model", TOKEN_COUNT, PROMPT_PREFIX, ANSWER_STAMP}
)


class PlatformDialect:
    """Implements ``HttpDialect`` with the platform's header names."""

    def decode_request(self, headers: Headers) -> RequestFields:
        """Decode the headers of a caller's request."""
        prompt, output = _token_count(_first_value(headers, TOKEN_COUNT))
        return RequestFields(
            request_id=_first_value(headers, REQUEST_ID),
            timeout_ms=_milliseconds(_first_value(headers, TIMEOUT_MS)),
            last_event_id=_first_value(headers, LAST_EVENT_ID),
            prompt_tokens=prompt,
            max_output_tokens=output,
            prompt_parts=_prompt_parts(_first_value(headers, PROMPT_PREFIX)),
            workspace_keys=tuple(_values(headers, WORKSPACE_KEY)),
        )

    def request_headers(self, request: CallerRequest, sent: ForwardedFields) -> Headers:
        """Return the headers of the forwarded request."""
        dropped = HOP_BY_HOP | SET_BY_GATEWAY | _connection_options(request.headers)
        if sent.workspaces_in_use:
            dropped |= {WORKSPACE_KEY, WORKSPACE}
        kept = [(name, value) for name, value in request.headers if name.lower() not in dropped]
        set_here = (
            (b"X-Deadline-Ms", str(max(1, int(sent.time_left_ms)))),
            (b"X-Expect-Instance", sent.endpoint),
            (b"X-Request-Priority", _priority(sent.priority)),
            (b"X-Stage", sent.stage and sent.stage.value),
            (b"X-Kv-From", sent.kv_source),
            (b"Kv-Fetch", sent.prefix_source and "{}:{}".format(*sent.prefix_source)),
            (b"Last-Event-Id", sent.last_event_id),
            (b"X-Tenant", sent.workspace),
        )
        kept += [(name, value.encode("latin-1")) for name, value in set_here if value is not None]
        return tuple(kept)

    def decode_response(self, status: int, headers: Headers) -> ResponseFields:
        """Decode the headers of an endpoint's response."""
        stamp = _first_value(headers, ANSWER_STAMP)
        return ResponseFields(
            request_id=_first_value(headers, REQUEST_ID),
            stamp=None if stamp is None else stamp.encode("latin-1"),
            not_run=_first_value(headers, NOT_RUN) is not None or status == 421,
            endpoint=_first_value(headers, ENDPOINT_ID),
            retry_after=_longest_seconds(headers),
            leaving=_first_value(headers, LEAVING) == "1",
            limit=_limit(headers),
        )

    def response_headers(self, headers: Headers) -> Headers:
        """Return the headers of an endpoint's response that the caller gets."""
        dropped = HOP_BY_HOP | NOT_FOR_CALLERS | _connection_options(headers)
        return tuple((name, value) for name, value in headers if name.lower() not in dropped)

    def gateway_response_headers(
        self, request_id: str | None, retry_after: float | None
    ) -> Headers:
        """Return the headers of the gateway's own response."""
        headers = [(b"Content-Type", b"application/json")]
        if request_id is not None:
            headers.append((b"X-Request-Id", request_id.encode("latin-1")))
        if retry_after is not None:
            headers.append((b"Retry-After", f"{retry_after:.3g}".encode()))
        return tuple(headers)

    def decode_kv_handle(self, body: bytes) -> KvHandle:
        """Decode the body of a prefill response."""
        document = json_object(parse_json(body), "handle")
        return KvHandle(handle=string(document, "handle"), tokens=integer(document, "tokens", 0))

    def kv_source(self, address: tuple[str, int], handle: str) -> str:
        """Return the value of ``X-Kv-From`` for a kept KV cache."""
        return f"{address[0]}:{address[1]}/{handle}"

    def identity_request(self, endpoint: str) -> tuple[bytes, bytes, Headers]:
        """Return method, target and headers of the question whether an endpoint has an address.

        An engine answers with its report. A plain service refuses a request without an id.
        """
        return b"GET", b"/report", ((b"X-Expect-Instance", endpoint.encode("latin-1")),)

    def is_process(
        self, endpoint: str, started_ms: int | None, *, status: int, headers: Headers, body: bytes
    ) -> bool:
        """Return whether the answer to that question comes from a process of an endpoint."""
        if status == 421 or _first_value(headers, ENDPOINT_ID) not in (None, endpoint):
            return False
        try:
            document = parse_json(body)
        except DecodeError:
            return True  # no report; another endpoint would have refused the request
        born = document.get("born") if isinstance(document, dict) else None
        return None in (born, started_ms) or born == started_ms

    def release_request(self, handle: str) -> tuple[bytes, bytes]:
        """Return method and target of the request that frees a KV cache."""
        return b"DELETE", b"/kv-handle/" + handle.encode("latin-1")


def _first_value(headers: Headers, name: bytes) -> str | None:
    for key, value in headers:
        if key.lower() == name:
            return value.decode("latin-1")
    return None


def _priority(rank: int | None) -> str | None:
    return None if rank is None else str(min(LEAST_PRIORITY, rank))


def _connection_options(headers: Headers) -> frozenset[bytes]:
    named = {
        one.strip().lower()
        for key, value in headers
        if key.lower() == b"connection"
        for one in value.split(b",")
    }
    return frozenset(named - ALWAYS_FORWARDED)


def _milliseconds(value: str | None) -> float | None:
    if value is None:
        return None
    found = parse_digits(value)
    if found is None:
        raise RequestError(ResultCode.BAD_HEADER, "X-Deadline-Ms must be an integer")
    return float(found)


def _longest_seconds(headers: Headers) -> float | None:
    """Return the longest readable ``Retry-After``; dates, negative and other values are ignored."""
    return max(_decimals(headers, RETRY_AFTER), default=None)


def _decimals(headers: Headers, name: bytes) -> list[float]:
    """Return the decimal numbers among the values of a header that may be repeated."""
    found = [one.strip() for value in _values(headers, name) for one in value.split(",")]
    return [float(one) for one in found if DECIMAL.fullmatch(one)]


def _values(headers: Headers, name: bytes) -> list[str]:
    return [value.decode("latin-1") for key, value in headers if key.lower() == name]


def _limit(headers: Headers) -> StatedLimit | None:
    """Return the lowest of the limits that the headers name.

    Values that are no decimal numbers are left out: negative ones, exponents, infinity.
    """
    values = _values(headers, LIMIT)
    if not values:
        return None
    rate = min(_decimals(headers, LIMIT), default=None)
    return StatedLimit(rate, ",".join(values)[:MAX_LOGGED_VALUE])


def _token_count(value: str | None) -> tuple[int, int]:
    """Parse ``PROMPT,OUTPUT``; a malformed value counts as 0 tokens and is forwarded as it is."""
    if value is None:
        return 0, 0
    numbers = [parse_digits(one.strip()) for one in value.split(",")]
    if len(numbers) != 2 or None in numbers:
        return 0, 0
    return numbers[0], numbers[1]


def _prompt_parts(value: str | None) -> tuple[PromptPart, ...]:
    parts = []
    for entry in (value or "").split(","):
        name, _, digits = entry.strip().rpartition(":")
        tokens = parse_digits(digits)
        if not name or tokens is None:
            break  # only leading parts can be shared, so none after a malformed one
        parts.append(PromptPart(id=name, tokens=tokens))
    return tuple(parts)
