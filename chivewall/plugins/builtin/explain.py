"""Keeps the events of recent requests, so that an operator can ask what happened to one."""

from collections import OrderedDict
from typing import Any

from attrs import field, frozen, validators
from twisted.web.server import Request as HttpRequest

from chivewall.errors import RequestError
from chivewall.events import Event
from chivewall.plugins.base import Plugin
from chivewall.plugins.builtin.credentials import Credentials
from chivewall.plugins.builtin.http_api import HttpApi, write_json
from chivewall.plugins.builtin.operator_http import authenticate
from chivewall.plugins.registry import Registry
from chivewall.results import ResultCode

EVENTS_PER_REQUEST = 50  # a request that is retried for long doesn't grow without bound


@frozen
class ExplainSettings:
    """How much is kept."""

    requests: int = field(
        default=1000, validator=validators.ge(1), metadata={"help": "Recent requests kept."}
    )


class RequestHistory:
    """Events by request; the oldest request is dropped first."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.requests: OrderedDict[str, list[str]] = OrderedDict()

    def observe(self, event: Event, fields: dict[str, Any]) -> None:
        """Keep the event if it is about a request."""
        request = fields.get("request")
        if request is None:
            return
        lines = self.requests.setdefault(request, [])
        if len(lines) < EVENTS_PER_REQUEST:
            lines.append(describe(event, fields))
        while len(self.requests) > self.size:
            self.requests.popitem(last=False)


def describe(event: Event, fields: dict[str, Any]) -> str:
    """Return one line, for example ``endpoint chosen: endpoint engine-1, reason ...``."""
    shown = ", ".join(f"{name} {value}" for name, value in fields.items() if name != "request")
    return f"{event.number} {event.text}: {shown}" if shown else f"{event.number} {event.text}"


class ExplainPlugin(Plugin):
    """Answers what happened to a recent request."""

    name = "explain"
    settings_type = ExplainSettings

    async def setup(self) -> None:
        """Follow the event log and add the route."""
        self.history = RequestHistory(self.cfg.requests)
        self.credentials = self.env.require(Credentials)
        self.env.log.subscribe(self.history.observe)
        route = self.env.require(HttpApi).route
        route("/operator/requests/<name>", methods=["GET"])(self.show_request)

    def show_request(self, http: HttpRequest, name: str) -> bytes:
        """Answer with the lines of one request."""
        authenticate(self.credentials, http)
        lines = self.history.requests.get(name)
        if lines is None:
            raise RequestError(ResultCode.UNKNOWN_REQUEST, f"{name!r} is not a recent request")
        return write_json(http, {"request": name, "lines": lines})


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(ExplainPlugin)
