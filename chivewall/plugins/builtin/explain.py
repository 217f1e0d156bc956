"""Keeps the events of recent requests, to explain to operators what happened to each one."""

from collections import OrderedDict
from functools import singledispatchmethod
from typing import Any

from attrs import define, field, frozen, validators
from twisted.web.server import Request as HttpRequest

from chivewall.configuration import Configuration
from chivewall.environment import Environment
from chivewall.errors import RequestError
from chivewall.events import Event
from chivewall.explanation import RequestRecord, TimedEvent, explain_request
from chivewall.messages import ConfigurationReceived
from chivewall.plugins.base import Plugin
from chivewall.plugins.builtin.configuration import ConfigurationKeeper, Subscribe
from chivewall.plugins.builtin.credentials import Credentials, authenticate
from chivewall.plugins.builtin.http_api import HttpApi, write_json
from chivewall.plugins.registry import Registry
from chivewall.results import ResultCode
from chivewall.task import Query, Task

MAX_EVENTS_PER_REQUEST = 50  # bounds the memory of a request that is retried often


@frozen
class ExplainSettings:
    """Settings of the request history."""

    requests: int = field(
        default=1000,
        validator=validators.ge(1),
        metadata={"help": "Number of recent requests whose events are kept."},
    )


@frozen
class RequestEvent:
    """An event of the event log about a request, with the time when it was logged."""

    event: Event
    fields: dict[str, Any]
    logged_at: float  # seconds on the process's clock
    unix_time: float


@define(eq=False)
class FindRecord(Query):
    """Query for the ``RequestRecord`` of a request; the reply is ``None`` if it is not kept."""

    request_id: str


@define
class RequestHistory:
    """Records of the most recent requests; the oldest request is dropped first."""

    max_requests: int
    requests: OrderedDict[str, RequestRecord] = field(factory=OrderedDict)

    def add(self, message: RequestEvent, configuration: Configuration | None) -> None:
        """Add an event; the first one of a request also records the configuration in force.

        The event that ends a request is kept even if the request already has
        ``MAX_EVENTS_PER_REQUEST`` events.
        """
        request_id = message.fields["request"]
        record = self.requests.get(request_id)
        if record is None:
            record = self.requests[request_id] = RequestRecord(
                configuration=configuration,
                unix_time=message.unix_time,
                accepted_at=message.logged_at,
            )
        if len(record.events) < MAX_EVENTS_PER_REQUEST or message.event is Event.REQUEST_ENDED:
            after = message.logged_at - record.accepted_at
            record.events.append(TimedEvent(message.event, message.fields, after))
        else:
            record.dropped_events += 1
        while len(self.requests) > self.max_requests:
            self.requests.popitem(last=False)


class Explainer(Task):
    """Task that owns the history of recent requests."""

    def __init__(self, env: Environment, max_requests: int) -> None:
        super().__init__()
        self.env = env
        self.history = RequestHistory(max_requests)
        self.configuration: Configuration | None = None

    def observe(self, event: Event, fields: dict[str, Any]) -> None:
        """Forward an event of the event log to the task if it is about a request."""
        if "request" in fields:
            self.send(
                RequestEvent(event, fields, logged_at=self.env.now, unix_time=self.env.unix_time())
            )

    @singledispatchmethod
    async def receive(self, message: object) -> None:
        """Handle one message."""
        raise TypeError(f"unexpected message {message!r}")

    @receive.register
    async def _(self, message: RequestEvent) -> None:
        self.history.add(message, self.configuration)

    @receive.register
    async def _(self, message: ConfigurationReceived) -> None:
        self.configuration = message.configuration

    @receive.register
    async def _(self, message: FindRecord) -> None:
        message.reply(self.history.requests.get(message.request_id))


class ExplainPlugin(Plugin):
    """Serves the explanations of recent requests."""

    name = "explain"
    settings_type = ExplainSettings

    async def setup(self) -> None:
        """Subscribe to the event log and the configuration, and add the route."""
        self.credentials = self.env.require(Credentials)
        self.explainer = Explainer(self.env, self.cfg.requests)
        self.env.log.subscribe(self.explainer.observe)
        self.env.require(ConfigurationKeeper).send(Subscribe(self.explainer.inbox))
        route = self.env.require(HttpApi).route
        route("/operator/requests/<name>", methods=["GET"])(self.show_request)

    async def start(self) -> None:
        """Start keeping events."""
        self.explainer.start()

    async def stop(self) -> None:
        """Stop keeping events."""
        await self.explainer.stop()

    async def show_request(self, http: HttpRequest, name: str) -> bytes:
        """Return the explanation and the events of one request."""
        authenticate(self.credentials, http)
        record: RequestRecord | None = await self.explainer.query(FindRecord(name))
        if record is None:
            raise RequestError(ResultCode.UNKNOWN_REQUEST, f"{name!r} is not a recent request")
        events = [
            {"event": one.event.name, "after": round(one.after_seconds, 4), "fields": one.fields}
            for one in record.events
        ]
        return write_json(
            http, {"request": name, "lines": explain_request(record), "events": events}
        )


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(ExplainPlugin)
