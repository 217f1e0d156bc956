"""HTTP server of the process, to which other plug-ins add their routes."""

import json
import math
from collections.abc import Callable
from typing import Any, TypeVar

from attrs import field, frozen, validators
from klein import Klein
from twisted.internet.defer import CancelledError
from twisted.internet.interfaces import IListeningPort
from twisted.logger import Logger
from twisted.web.server import Request as HttpRequest
from werkzeug.exceptions import HTTPException, MethodNotAllowed

from chivewall import chat
from chivewall.addresses import check_address, parse_address
from chivewall.environment import Environment
from chivewall.errors import PluginError, RequestError
from chivewall.http_connections import RequestTrackingSite, TrackedConnections
from chivewall.kernel import Application
from chivewall.plugins.base import Plugin
from chivewall.plugins.registry import Registry
from chivewall.results import ResultCode, RunState
from chivewall.work import Refusal

HandlerT = TypeVar("HandlerT", bound=Callable[..., Any])

_log = Logger()  # Twisted's log; the daemon forwards it to the event log


@frozen
class HttpApiSettings:
    """Settings of the HTTP server: its address and its limit for request bodies."""

    host: str = field(default="127.0.0.1", metadata={"help": "IP address to listen on."})
    port: int = field(
        default=0,
        validator=[validators.ge(0), validators.le(65535)],
        metadata={"help": "TCP port to listen on; 0 picks a free one."},
    )
    address: str = field(
        default="",
        validator=validators.or_(validators.in_([""]), check_address),
        metadata={"help": "IP:PORT to listen on; replaces host and port."},
    )
    max_body_bytes: int = field(
        default=8_000_000,
        validator=validators.gt(0),
        metadata={"help": "Largest request body, in bytes."},
    )


class HttpApi:
    """HTTP routes of the process, including health checks and error responses.

    Example: ``api.route("/v1/models", methods=["GET"])(self.list_models)``.
    """

    def __init__(self, env: Environment, max_body_bytes: int) -> None:
        self.env = env
        self.max_body_bytes = max_body_bytes
        self.app = env.require(Application)
        self.klein = Klein()
        self._handlers: dict[str, Callable[..., Any]] = {}
        self.route("/healthz", methods=["GET"])(self.show_health)
        self.route("/readyz", methods=["GET"])(self.show_readiness)
        self.klein.handle_errors(RequestError)(self.refuse)
        self.klein.handle_errors(HTTPException)(self.refuse_unknown_route)
        self.klein.handle_errors(Exception)(self.refuse_unexpected)

    def route(self, path: str, **options: Any) -> Callable[[HandlerT], HandlerT]:
        """Return a decorator that registers a handler for a path.

        One handler may serve several paths. The decorator raises ``PluginError``
        if another handler has the same name: Klein finds handlers by name, so the
        second one would silently replace the first on all of its paths.
        """

        def add(handler: HandlerT) -> HandlerT:
            existing = self._handlers.get(handler.__name__)
            if existing is not None and existing != handler:
                raise PluginError(
                    f"route {path}: another route has a handler named {handler.__name__!r}; "
                    "rename this handler"
                )
            self._handlers[handler.__name__] = handler
            return self.klein.route(path, **options)(handler)

        return add

    def show_health(self, http: HttpRequest) -> bytes:
        """Report that the process is alive."""
        return write_json(http, {"alive": True})

    def show_readiness(self, http: HttpRequest) -> bytes:
        """Report whether the process is ready to serve."""
        ready = self.app.ready()
        if not ready:
            http.setResponseCode(ResultCode.NOT_READY.http_status)
        return write_json(http, {"ready": ready})

    def read_body(self, http: HttpRequest) -> bytes:
        """Return the request body; raises ``RequestError`` if it is larger than the limit."""
        body = http.content.read(self.max_body_bytes + 1)
        if len(body) > self.max_body_bytes:
            raise RequestError(
                ResultCode.BODY_TOO_LARGE, f"the limit is {self.max_body_bytes} bytes"
            )
        return body

    def refuse(self, http: HttpRequest, failure: Any) -> bytes:
        """Respond with the refusal that a ``RequestError`` describes."""
        exc: RequestError = failure.value
        return write_refusal(http, Refusal(code=exc.code, message=str(exc), run=exc.run))

    def refuse_unknown_route(self, http: HttpRequest, failure: Any) -> bytes:
        """Respond to a path or method that no plug-in serves."""
        code = ResultCode.NOT_FOUND
        if failure.check(MethodNotAllowed):
            code = ResultCode.METHOD_NOT_ALLOWED
        message = f"{http.method.decode('ascii')} {http.path.decode('latin-1')} is not served"
        return write_refusal(http, Refusal(code=code, message=message, run=RunState.NO))

    def refuse_unexpected(self, http: HttpRequest, failure: Any) -> bytes:
        """Log an unexpected exception and respond with an internal error."""
        if failure.check(CancelledError):
            return b""
        _log.failure("request {path} failed", failure=failure, path=http.path)
        message = "an unexpected error occurred"
        code = ResultCode.INTERNAL_ERROR
        return write_refusal(http, Refusal(code=code, message=message, run=code.run))


class HttpApiPlugin(Plugin):
    """Provides ``HttpApi`` and listens once all plug-ins have added their routes."""

    name = "http_api"
    settings_type = HttpApiSettings

    async def setup(self) -> None:
        """Provide the API to later plug-ins."""
        self.api = HttpApi(self.env, self.cfg.max_body_bytes)
        self.env.provide(HttpApi, self.api)

    async def start(self) -> None:
        """Bind the port."""
        self.connections = TrackedConnections(RequestTrackingSite(self.api.klein.resource()))
        host, port = self.cfg.host, self.cfg.port
        if self.cfg.address:
            host, port = parse_address(self.cfg.address)
        self.listener: IListeningPort = self.env.reactor.listenTCP(
            port, self.connections, interface=host
        )

    async def drain(self) -> None:
        """Close the connections once their responses were sent; ``dispatch`` drains first."""
        await self.connections.close()

    async def stop(self) -> None:
        """Stop listening."""
        await self.listener.stopListening()

    @property
    def port(self) -> int:
        """TCP port that the server listens on."""
        return self.listener.getHost().port


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(HttpApiPlugin)


def write_json(http: HttpRequest, value: dict[str, Any]) -> bytes:
    """Return a JSON body and set the content type of the response."""
    http.setHeader("Content-Type", "application/json")
    return json.dumps(value).encode()


def write_refusal(http: HttpRequest, refusal: Refusal) -> bytes:
    """Return the body of a refusal and set the status of the response."""
    http.setResponseCode(refusal.code.http_status)
    if refusal.retry_after is not None:
        http.setHeader("Retry-After", str(math.ceil(refusal.retry_after)))
    return write_json(http, chat.error_body(refusal))


def write_event(http: HttpRequest, value: dict[str, Any]) -> None:
    """Send one server-sent event."""
    http.write(b"data: " + json.dumps(value).encode() + b"\n\n")
