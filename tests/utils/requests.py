"""Helpers that run the task of one forwarded request on a virtual clock."""

from attrs import define, field

from chivewall.errors import StoreUnavailableError
from chivewall.gateway.channels import HttpResponse
from chivewall.gateway.exchange import RequestContext
from chivewall.gateway.exchange_messages import (
    CancelExchange,
    ExchangeFailed,
    ProbeAddress,
    Reachability,
    RequestWritten,
    ResponseData,
    ResponseEnded,
    ResponseStarted,
    SendRequest,
)
from chivewall.gateway.extra_attempts import ExtraAttempts
from chivewall.gateway.forwarded_request import ForwardedRequest
from chivewall.gateway.http_dialect import (
    CallerRequest,
    PromptPart,
    RequestFields,
    ResponseFields,
    ResponseHead,
)
from chivewall.gateway.part_guard import PartGuard
from chivewall.gateway.rate_limits import RateLimits
from chivewall.gateway.routing_configuration import Route, RouteKind, WeightedService
from chivewall.platform.headers import PlatformDialect
from tests.utils.fleets import RecordingSink, make_fleet

SERVICE = "engines"
STREAM_HEAD = ResponseHead(
    status=200,
    reason=b"OK",
    headers=((b"Content-Type", b"text/event-stream"),),
    fields=ResponseFields(request_id="r1", stamp=b"s"),
)
PLAIN_HEAD = ResponseHead(
    status=200,
    reason=b"OK",
    headers=((b"Content-Type", b"application/json"),),
    fields=ResponseFields(request_id="r1", stamp=b"s"),
)
REFUSAL_HEAD = ResponseHead(
    status=503, reason=b"Busy", headers=(), fields=ResponseFields(request_id="r1", not_run=True)
)


def make_stream_route(**fields):
    """Return a route of a stream that may be resumed."""
    known = {
        "name": "audit",
        "host": "a.example",
        "path_prefix": "/",
        "kind": RouteKind.STREAM,
        "services": (WeightedService(SERVICE, 1),),
        "attempts": 2,
        "timeout_ms": 6000,
        "objective_ms": 800,
        "priority": 0,
        "resumable": True,
    }
    return Route(**(known | fields))


@define(eq=False)
class FakeConnections:
    """Stand-in for the pool of connections; the test plays the endpoints."""

    sent: list = field(factory=list)  # outgoing requests, in order
    cancelled: list = field(factory=list)  # numbers of the cancelled exchanges
    reachability: Reachability = Reachability.REACHABLE  # result of each probe
    probes: int = 0
    fetched: int = 0  # requests of the gateway itself
    identity_status: int = 200  # of the answer to the question who is there
    identity: bytes = b"{}"

    def next_exchange(self):
        return len(self.sent) + 1

    def send(self, message):
        if isinstance(message, SendRequest):
            self.sent.append(message.request)
        elif isinstance(message, CancelExchange):
            self.cancelled.append(message.exchange)

    def query(self, message):
        assert isinstance(message, ProbeAddress)
        self.probes += 1
        message.reply(self.reachability)
        return message.deferred

    async def fetch(self, *arguments, **fields):
        """Answer the gateway's own requests: the question who is there, or to free a KV cache."""
        self.fetched += 1
        if self.reachability is not Reachability.REACHABLE:
            raise StoreUnavailableError("no response")
        return HttpResponse(self.identity_status, (), self.identity)


class RequestBench:
    """One request at a gateway that knows the given engines.

    ``policy``: the limits of extra attempts; ``None``: there are none. ``headers``: those that the
    caller sends beside ``Host``.

    Example: ``RequestBench(clock, d1=Stage.DECODE).begin()`` starts its stream at ``d1``.
    """

    def __init__(self, clock, route=None, parts=(), keys=(), policy=None, headers=(), **stages):
        self.clock = clock
        self.fleet = make_fleet(clock, **stages)
        self.env = self.fleet.env
        self.events = []
        self.env.log.subscribe(lambda event, fields: self.events.append((event.name, fields)))
        self.guard = PartGuard(self.env, self.fleet)
        self.guard.start()
        self.limits = RateLimits(self.env, self.fleet)
        self.limits.start()
        self.extra_attempts = None
        if policy is not None:
            self.extra_attempts = ExtraAttempts(self.env, policy)
            self.extra_attempts.start()
        self.connections = FakeConnections()
        self.caller = RecordingSink()
        context = RequestContext(
            env=self.env,
            fleet=self.fleet,
            guard=self.guard,
            limits=self.limits,
            connections=self.connections,
            dialect=PlatformDialect(),
            extra_attempts=self.extra_attempts,
        )
        fields = RequestFields(
            request_id="r1",
            prompt_tokens=100,
            prompt_parts=tuple(PromptPart(one, 10) for one in parts),
            workspace_keys=keys,
        )
        request = CallerRequest(
            method=b"POST",
            target=b"/1",
            headers=((b"Host", b"a.example"), *headers),
            body=b"{}",
            has_body=True,
            received_at=self.env.now,
            fields=fields,
        )
        self.context, self.request, self.route = context, request, route or make_stream_route()
        self.task = self.start_request()

    def start_request(self):
        """Start the task of one more request like the first, and return it."""
        task = ForwardedRequest(self.context, self.request, self.route, SERVICE, self.caller, 1)
        task.start()
        return task

    @property
    def exchange(self):
        """Return the number of the latest exchange."""
        return self.connections.sent[-1].exchange

    @property
    def engine(self):
        """Return the endpoint id that the latest exchange names."""
        headers = dict(self.connections.sent[-1].headers)
        return headers[b"X-Expect-Instance"].decode()

    def begin(self, events=1):
        """Let the engine of the latest exchange begin its stream with so many events."""
        self.task.send(RequestWritten(self.exchange, reused=False))
        self.task.send(ResponseStarted(self.exchange, STREAM_HEAD))
        for number in range(1, events + 1):
            self.send_event(number)
        return self

    def send_event(self, number):
        data = b"id: %d\ndata: token %d\n\n" % (number, number)
        self.task.send(ResponseData(self.exchange, data))

    def finish(self, *, until_closed=False):
        self.task.send(ResponseEnded(self.exchange, until_closed=until_closed))

    def answer_plainly(self, body):
        """Let the endpoint send a plain body whose end only its connection shows."""
        self.task.send(RequestWritten(self.exchange, reused=False))
        self.task.send(ResponseStarted(self.exchange, PLAIN_HEAD))
        self.task.send(ResponseData(self.exchange, body))
        self.finish(until_closed=True)

    def break_off(self):
        """Let the connection of the latest exchange break."""
        self.task.send(ExchangeFailed(self.exchange, sent=True, reason="connection lost"))

    def fail_to_connect(self):
        self.task.send(ExchangeFailed(self.exchange, sent=False, reason="refused"))

    def refuse(self):
        """Let the engine of the latest exchange refuse the request without running it."""
        self.task.send(RequestWritten(self.exchange, reused=False))
        self.task.send(ResponseStarted(self.exchange, REFUSAL_HEAD))
        self.task.send(ResponseEnded(self.exchange))

    def outcomes(self):
        """Return the types of the messages that ended the caller's response."""
        names = [type(one).__name__ for one in self.caller.messages]
        return [one for one in names if one in ("SendResponse", "FinishResponse", "AbortResponse")]
