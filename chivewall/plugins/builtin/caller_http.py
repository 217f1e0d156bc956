"""HTTP API for callers: chat completions, the list of models and calls of plain services."""

import math
import time
import uuid

from twisted.web.server import Request as HttpRequest

from chivewall import chat
from chivewall.configuration import Configuration
from chivewall.environment import Environment
from chivewall.errors import RequestError
from chivewall.kernel import Application
from chivewall.messages import CancelRequest, ServeRequest
from chivewall.plugins.base import Plugin
from chivewall.plugins.builtin.configuration import ConfigurationKeeper, CurrentConfiguration
from chivewall.plugins.builtin.directory import Directory, ListTargets
from chivewall.plugins.builtin.dispatch import Dispatcher
from chivewall.plugins.builtin.http_api import HttpApi, write_event, write_json, write_refusal
from chivewall.plugins.registry import Registry
from chivewall.results import ResultCode
from chivewall.task import Inbox
from chivewall.work import Answer, Call, Completion, End, Header, Rank, Refusal, Request, Tokens

MS_PER_SECOND = 1000
DEFAULT_WORKSPACE = "default"
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})
# Request headers that are not forwarded to plain services.
UNFORWARDED_HEADERS = frozenset(
    {
        "host",
        "connection",
        "content-length",
        "transfer-encoding",
        "keep-alive",
        "upgrade",
        "te",
        "authorization",
        "x-workspace",
        "x-rank",
        "x-deadline-ms",
    }
)


class CallerHttp:
    """Route handlers that pass requests to the dispatcher and respond with the parts."""

    def __init__(self, env: Environment) -> None:
        self.env = env
        self.api = env.require(HttpApi)
        self.dispatcher = env.require(Dispatcher)
        self.directory = env.require(Directory)
        self.keeper = env.require(ConfigurationKeeper)
        self.app = env.require(Application)

    def add_routes(self) -> None:
        """Add the routes for callers to the process's HTTP API."""
        route = self.api.route
        route("/v1/chat/completions", methods=["POST"])(self.complete)
        route("/v1/models", methods=["GET"])(self.list_models)
        route("/services/<name>", defaults={"path": ""})(self.call_service)
        route("/services/<name>/", defaults={"path": ""})(self.call_service)
        route("/services/<name>/<path:path>")(self.call_service)

    async def complete(self, http: HttpRequest) -> bytes:
        """Serve a chat completion, as server-sent events or as one JSON document."""
        chat_request = chat.parse_chat_request(self.api.read_body(http))
        request = await self._build_request(http, chat_request.to_completion())
        if chat_request.model not in await self.directory.query(ListTargets()):
            raise RequestError(ResultCode.UNKNOWN_MODEL, f"no engine offers {chat_request.model!r}")
        parts = self._dispatch(http, request)
        if chat_request.stream:
            return await self._respond_streamed(http, request, chat_request, parts)
        return await self._respond_whole(http, request, parts)

    async def list_models(self, http: HttpRequest) -> bytes:
        """List the models and services that endpoints offer."""
        targets = await self.directory.query(ListTargets())
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": "chivewall"}
            for name in targets
        ]
        return write_json(http, {"object": "list", "data": data})

    async def call_service(self, http: HttpRequest, name: str, path: str) -> bytes:
        """Forward a call to a plain service and return its response."""
        body = self.api.read_body(http)
        method = http.method.decode("ascii")
        headers = tuple(
            Header(name=key.decode("latin-1"), value=value.decode("latin-1"))
            for key, values in http.requestHeaders.getAllRawHeaders()
            if key.decode("latin-1").lower() not in UNFORWARDED_HEADERS
            for value in values
        )
        _, _, query = http.uri.decode("latin-1").partition("?")
        work = Call(
            service=name,
            method=method,
            path=f"/{path}?{query}" if query else f"/{path}",
            headers=headers,
            body=body,
            idempotent=method in IDEMPOTENT_METHODS,
        )
        request = await self._build_request(http, work)
        if name not in await self.directory.query(ListTargets()):
            raise RequestError(ResultCode.UNKNOWN_SERVICE, f"no endpoint offers {name!r}")
        parts = self._dispatch(http, request)
        part = await parts.get()
        if isinstance(part.body, Refusal):
            return write_refusal(http, part.body)
        return _write_answer(http, part.body)

    async def _build_request(self, http: HttpRequest, work: Completion | Call) -> Request:
        configuration = await self.keeper.query(CurrentConfiguration())
        if configuration is None:
            raise RequestError(ResultCode.NOT_READY, "no configuration is in force yet")
        if self.app.draining:
            raise RequestError(ResultCode.DRAINING, "this entry is shutting down")
        rank = _read_rank(http)
        return Request(
            id=f"req-{uuid.uuid4().hex}",
            workspace=http.getHeader("X-Workspace") or DEFAULT_WORKSPACE,
            rank=rank,
            deadline=self._read_deadline(http, configuration, rank),
            work=work,
            idempotency_key=http.getHeader("Idempotency-Key"),
            first_token_deadline=self.env.now
            + configuration.ranks[rank].first_token_ms / MS_PER_SECOND,
        )

    def _read_deadline(self, http: HttpRequest, cfg: Configuration, rank: Rank) -> float:
        raw = http.getHeader("X-Deadline-Ms")
        if raw is None:
            return self.env.now + cfg.ranks[rank].default_deadline_ms / MS_PER_SECOND
        try:
            remaining_ms = float(raw)
        except ValueError:
            remaining_ms = math.nan
        if not math.isfinite(remaining_ms):
            raise RequestError(
                ResultCode.BAD_HEADER, f"X-Deadline-Ms is {raw!r}; a number is expected"
            )
        if remaining_ms <= 0:
            raise RequestError(ResultCode.DEADLINE_PASSED, "the deadline has passed")
        return self.env.now + remaining_ms / MS_PER_SECOND

    def _dispatch(self, http: HttpRequest, request: Request) -> Inbox:
        parts = Inbox()
        http.setHeader("X-Request-Id", request.id)
        http.notifyFinish().addErrback(lambda _: self.dispatcher.send(CancelRequest(request.id)))
        self.dispatcher.send(ServeRequest(request=request, sink=parts))
        return parts

    async def _respond_whole(self, http: HttpRequest, request: Request, parts: Inbox) -> bytes:
        texts: list[str] = []
        while True:
            body = (await parts.get()).body
            if isinstance(body, Tokens):
                texts.extend(body.texts)
            elif isinstance(body, End):
                model = request.work.target
                document = chat.completion_body(
                    request.id, model, created=int(time.time()), text="".join(texts), end=body
                )
                return write_json(http, document)
            else:
                return write_refusal(http, body)

    async def _respond_streamed(
        self, http: HttpRequest, request: Request, chat_request: chat.ChatRequest, parts: Inbox
    ) -> bytes:
        created = int(time.time())
        first = True
        while True:
            body = (await parts.get()).body
            if isinstance(body, Refusal) and first:
                return write_refusal(http, body)
            if first:
                http.setHeader("Content-Type", "text/event-stream")
                http.setHeader("Cache-Control", "no-cache")
                first = False
            if isinstance(body, Tokens):
                text = "".join(body.texts)
                write_event(http, chat.chunk_body(request.id, chat_request.model, created, text))
            elif isinstance(body, End):
                write_event(http, chat.chunk_body(request.id, chat_request.model, created, None))
                if (
                    chat_request.stream_options is not None
                    and chat_request.stream_options.include_usage
                ):
                    last = chat.chunk_body(request.id, chat_request.model, created, None)
                    write_event(http, {**last, "choices": [], "usage": chat.usage_counts(body)})
                return b"data: [DONE]\n\n"
            else:
                write_event(http, chat.error_body(body))
                return b""


class CallerHttpPlugin(Plugin):
    """Adds the routes for callers."""

    name = "caller_http"

    async def setup(self) -> None:
        """Add the routes."""
        CallerHttp(self.env).add_routes()


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(CallerHttpPlugin)


def _write_answer(http: HttpRequest, answer: Answer) -> bytes:
    http.setResponseCode(answer.status)
    for header in answer.headers:
        http.responseHeaders.addRawHeader(header.name, header.value)
    return answer.body


def _read_rank(http: HttpRequest) -> Rank:
    raw = http.getHeader("X-Rank") or Rank.STANDARD.value
    try:
        return Rank(raw)
    except ValueError:
        allowed = ", ".join(one.value for one in Rank)
        raise RequestError(
            ResultCode.UNKNOWN_RANK, f"X-Rank is {raw!r}; allowed: {allowed}"
        ) from None
