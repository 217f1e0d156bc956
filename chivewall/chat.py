"""Conversion of chat completions between callers' JSON and domain values."""

import hashlib
import json
from typing import Any

from attrs import field, frozen, validators
from cattrs import BaseValidationError, Converter, transform_error

from chivewall.errors import RequestError
from chivewall.results import ResultCode
from chivewall.work import TOKENS_PER_PIECE, Completion, End, Message, Refusal

CHARS_PER_TOKEN = 4  # estimate; tokenizers differ between models
DEFAULT_MAX_TOKENS = 256  # for requests that set no maximum


def _check_content(_: object, _attribute: Any, value: object) -> None:
    parts = value if isinstance(value, list) else []
    if value is not None and not isinstance(value, str | list):
        raise ValueError("content must be a string or a list of parts")
    if not all(isinstance(one, dict) for one in parts):
        raise ValueError("every content part must be an object")


@frozen
class ChatMessage:
    """One message of a chat request."""

    role: str
    content: Any = field(default=None, validator=_check_content)

    def text(self) -> str:
        """Return the text of a content string, or of all content parts joined."""
        if isinstance(self.content, list):
            return "".join(str(part.get("text", "")) for part in self.content)
        return self.content or ""


@frozen
class StreamOptions:
    """Options of a streamed response."""

    include_usage: bool = False


@frozen
class ChatRequest:
    """Body of ``POST /v1/chat/completions``; unknown fields are ignored."""

    model: str = field(validator=validators.min_len(1))
    messages: list[ChatMessage] = field(validator=validators.min_len(1))
    stream: bool = False
    stream_options: StreamOptions | None = None
    max_tokens: int | None = field(default=None, validator=validators.optional(validators.ge(1)))
    max_completion_tokens: int | None = field(
        default=None, validator=validators.optional(validators.ge(1))
    )

    def to_completion(self) -> Completion:
        """Return the completion that this body asks for."""
        messages = tuple(Message(role=one.role, content=one.text()) for one in self.messages)
        text = "\0".join(f"{one.role}\0{one.content}" for one in messages)
        return Completion(
            model=self.model,
            messages=messages,
            prompt_tokens=max(1, len(text) // CHARS_PER_TOKEN),
            max_tokens=self.max_completion_tokens or self.max_tokens or DEFAULT_MAX_TOKENS,
            prefix_hashes=prefix_hashes(self.model, text),
        )


def parse_chat_request(body: bytes) -> ChatRequest:
    """Parse a request body; raises ``RequestError`` that names every invalid key."""
    try:
        return _CONVERTER.structure(json.loads(body), ChatRequest)
    except BaseValidationError as exc:
        problems = "; ".join(transform_error(exc, path="$"))
        raise RequestError(ResultCode.BAD_JSON, problems) from exc
    except (ValueError, TypeError, AttributeError) as exc:
        raise RequestError(ResultCode.BAD_JSON, f"the body is not valid JSON: {exc}") from exc


def prefix_hashes(model: str, text: str) -> tuple[str, ...]:
    """Return one hash for each full piece of the prompt; each also covers the pieces before it."""
    size = TOKENS_PER_PIECE * CHARS_PER_TOKEN
    chain = hashlib.blake2b(model.encode(), digest_size=8)
    hashes = []
    for start in range(0, len(text) - size + 1, size):
        chain.update(text[start : start + size].encode())
        hashes.append(chain.hexdigest())
    return tuple(hashes)


def chunk_body(request_id: str, model: str, created: int, text: str | None) -> dict[str, Any]:
    """Return one chunk of a streamed response; without ``text`` the one that ends the choice."""
    delta = {"content": text} if text is not None else {}
    choice = {"index": 0, "delta": delta, "finish_reason": None if text is not None else "stop"}
    return {
        "id": request_id,
        "object": "chat.completion.chunk",
        "created": created,
        "model": model,
        "choices": [choice],
    }


def completion_body(
    request_id: str, model: str, created: int, text: str, end: End
) -> dict[str, Any]:
    """Return the body of a response that isn't streamed."""
    message = {"role": "assistant", "content": text}
    return {
        "id": request_id,
        "object": "chat.completion",
        "created": created,
        "model": model,
        "choices": [{"index": 0, "message": message, "finish_reason": end.finish_reason}],
        "usage": usage_counts(end),
    }


def usage_counts(end: End) -> dict[str, int]:
    """Return the token counts of a completion."""
    return {
        "prompt_tokens": end.prompt_tokens,
        "completion_tokens": end.completion_tokens,
        "total_tokens": end.prompt_tokens + end.completion_tokens,
    }


def error_body(refusal: Refusal) -> dict[str, Any]:
    """Return the JSON body of a refusal."""
    body: dict[str, Any] = {
        "code": refusal.code.number,
        "name": refusal.code.name,
        "message": refusal.message,
        "run": refusal.run.value,
        "advice": refusal.code.advice,
    }
    if refusal.limit is not None:
        body["limit"] = refusal.limit
        body["reason"] = refusal.reason
    return {"error": body}


def _make_converter() -> Converter:
    converter = Converter()
    for kind in (str, int, bool):
        converter.register_structure_hook(kind, _require_exact_type)
    return converter


def _require_exact_type(value: object, kind: type) -> object:
    if type(value) is not kind:
        raise ValueError(f"{kind.__name__} is expected")
    return value


_CONVERTER = _make_converter()
