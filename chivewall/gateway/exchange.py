"""One HTTP exchange with an endpoint: an attempt to serve a request, or its prefill."""

from attrs import define, field, frozen

from chivewall.decisions.placement import Placement
from chivewall.decisions.workspace_shares import WorkspaceUse
from chivewall.environment import Environment
from chivewall.errors import StoreUnavailableError
from chivewall.events import Event
from chivewall.gateway.byte_budget import MAX_TOTAL_RESPONSE_BYTES, ByteBudget
from chivewall.gateway.caller_response import NOT_RUN_STATUSES
from chivewall.gateway.channels import ConnectionPool
from chivewall.gateway.exchange_messages import OutgoingRequest, SendRequest
from chivewall.gateway.extra_attempts import ExtraAttempts
from chivewall.gateway.fleet import Fleet
from chivewall.gateway.fleet_messages import WorkSent
from chivewall.gateway.http_dialect import CallerRequest, ForwardedFields, HttpDialect, ResponseHead
from chivewall.gateway.part_guard import PartGuard
from chivewall.gateway.rate_limits import RateLimits
from chivewall.gateway.routing_configuration import EndpointInfo, Route, RouteKind
from chivewall.task import Inbox

# Maximum idle time, in seconds, of a kept connection that is reused for a request that must
# not run twice; one that was idle longer may be dead without the gateway knowing.
MAX_IDLE_UNSAFE_SECONDS = 0.5
MAX_IDLE_IDEMPOTENT_SECONDS = 4.0  # the same for idempotent requests, in seconds
CONFIRM_TIMEOUT_SECONDS = 0.4  # timeout of the question whether a process still runs
CONFIRM_TRIES = 2  # the first may be lost, or sent on a kept connection that is dead
RELEASE_TIMEOUT_SECONDS = 0.6  # timeout of the request that frees a KV cache
SERVICE_REQUEST_SECONDS = 0.05  # duration of a plain service's request in other gateways' estimates

MS_PER_SECOND = 1000.0
EVENT_STREAM = b"text/event-stream"


@define
class RequestContext:
    """Objects that the tasks of all requests share."""

    env: Environment
    fleet: Fleet
    guard: PartGuard
    limits: RateLimits
    connections: ConnectionPool
    dialect: HttpDialect
    usage: Inbox | None = None  # receives ``RequestBegan``; ``None``: usage isn't reported
    extra_attempts: ExtraAttempts | None = None  # unset: there are no extra attempts
    response_bytes: ByteBudget = field(factory=lambda: ByteBudget(MAX_TOTAL_RESPONSE_BYTES))


@frozen
class Exchange:
    """One HTTP exchange of an attempt with an endpoint."""

    number: int
    endpoint: EndpointInfo
    prefill: bool  # asks the engine only to compute and keep the KV cache of the prompt
    fetches_kv_cache: bool  # asks the engine to fetch the KV cache from a prefill engine
    events_before: int = 0  # events that the caller had received when the exchange began
    extra: bool = False  # it began beside a slow one


@frozen
class EndpointProbed:
    """Result of the reachability test of an endpoint that sent no bytes for a while."""

    exchange: int
    reachable: bool


@frozen
class BrokenAttempt:
    """An attempt that broke off, and whether that may be evidence against the prompt's parts."""

    exchange: Exchange
    reason: str
    begun: bool  # the head of its response was received
    is_evidence: bool


@frozen
class BrokenEndpointProbed:
    """Result of the test whether the endpoint of a broken attempt has ended."""

    attempt: BrokenAttempt
    endpoint_ended: bool


@frozen
class EndConfirmed:
    """Whether the process still runs that ended its response by closing the connection."""

    exchange: int
    same_process: bool


@frozen
class WaitEnded:
    """The wait for an endpoint is over; the request takes a step again."""

    step: str
    not_before: float
    endpoint_left: bool  # otherwise none will ever be allowed to run the request


def request_deadline(request: CallerRequest, route: Route) -> float:
    """Return the time until which the caller waits and the route allows."""
    timeout_ms = min(route.timeout_ms, request.fields.timeout_ms or route.timeout_ms)
    return request.received_at + timeout_ms / MS_PER_SECOND


def outgoing_request(
    exchange: Exchange,
    request: CallerRequest,
    route: Route,
    sent: ForwardedFields,
    dialect: HttpDialect,
    reply_to: Inbox,
) -> OutgoingRequest:
    """Return the outgoing HTTP request for an exchange."""
    idempotent = route.idempotent or exchange.prefill
    return OutgoingRequest(
        exchange=exchange.number,
        address=exchange.endpoint.address,
        method=request.method,
        target=request.target,
        headers=dialect.request_headers(request, sent),
        reply_to=reply_to,
        body=request.body,
        has_body=request.has_body,
        request_id=request.fields.request_id,
        max_idle_seconds=MAX_IDLE_IDEMPOTENT_SECONDS if idempotent else MAX_IDLE_UNSAFE_SECONDS,
        endpoint=exchange.endpoint,
    )


def send_exchange(
    context: RequestContext,
    exchange: Exchange,
    placement: Placement,
    request: CallerRequest,
    route: Route,
    *,
    sent: ForwardedFields,
    deadline: float,
    reply_to: Inbox,
    use: WorkspaceUse | None = None,
) -> None:
    """Send an exchange to its endpoint, and count it as work there.

    ``use``: what it counts for its workspace.
    """
    seconds_left = deadline - context.env.now
    context.fleet.send(
        WorkSent(
            endpoint=exchange.endpoint.id,
            reference_seconds=0.0 if exchange.fetches_kv_cache else placement.reference_seconds,
            fields=request.fields,
            counted_seconds=shared_work_seconds(route, seconds_left),
            seconds_left=seconds_left,
            exchange=exchange.number,
            rank=placement.rank,
            use=use,
        )
    )
    outgoing = outgoing_request(exchange, request, route, sent, context.dialect, reply_to)
    context.connections.send(SendRequest(outgoing))


def response_problem(head: ResponseHead) -> str | None:
    """Return why a response can't be the endpoint's complete response, or ``None``."""
    if head.fields.stamp is None:
        return "response without the endpoint's stamp"
    if any(name.lower() == b"content-encoding" for name, _ in head.headers):
        return "response with a Content-Encoding that was not requested"
    if head.status in NOT_RUN_STATUSES and not head.fields.not_run:
        return f"status {head.status} without the statement that the request has not run"
    return None


def is_event_stream(head: ResponseHead) -> bool:
    """Return whether the response's body is an event stream, by its content type."""
    return any(
        name.lower() == b"content-type" and value.lower().startswith(EVENT_STREAM)
        for name, value in head.headers
    )


def shared_work_seconds(route: Route, seconds_left: float) -> float:
    """Return for how long other gateways count an attempt whose end isn't reported."""
    return (
        seconds_left
        if route.kind is RouteKind.STREAM
        else min(seconds_left, SERVICE_REQUEST_SECONDS)
    )


def run_began_at(env: Environment, route: Route, written_at: float) -> float:
    """Return the Unix time at which a run began whose first bytes arrive now.

    A stream's first event follows its first token at once. A plain service responds at the end of
    the run, before which the request may have waited.
    """
    if route.kind is RouteKind.STREAM:
        return env.unix_time()
    return env.unix_time() - min(SERVICE_REQUEST_SECONDS, env.now - written_at)


async def is_same_process(context: RequestContext, endpoint: EndpointInfo) -> bool:
    """Return whether the process that a request was sent to still runs.

    No answer counts as an end: it may have crashed behind a cut.
    """
    method, target, headers = context.dialect.identity_request(endpoint.id)
    for _ in range(CONFIRM_TRIES):
        deadline = context.env.now + CONFIRM_TIMEOUT_SECONDS
        try:
            found = await context.connections.fetch(
                endpoint.address, method, target, deadline, headers=headers, endpoint=endpoint
            )
        except StoreUnavailableError:
            continue  # the attempt that isn't confirmed is logged
        return context.dialect.is_process(
            endpoint.id,
            endpoint.started_ms,
            status=found.status,
            headers=found.headers,
            body=found.body,
        )
    return False


async def release_kv_cache(context: RequestContext, endpoint: EndpointInfo, handle: str) -> None:
    """Free a KV cache that won't be fetched; if this fails, it expires by itself."""
    method, target = context.dialect.release_request(handle)
    deadline = context.env.now + RELEASE_TIMEOUT_SECONDS
    try:
        await context.connections.fetch(endpoint.address, method, target, deadline)
    except StoreUnavailableError as exc:
        context.env.log.emit(Event.KV_CACHE_LEFT, handle=handle, error=str(exc))
