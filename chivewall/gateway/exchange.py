"""One HTTP exchange with an endpoint: an attempt to serve a request, or its prefill."""

from attrs import define, frozen

from chivewall.environment import Environment
from chivewall.errors import StoreUnavailableError
from chivewall.events import Event
from chivewall.gateway.caller_answer import PROMISES
from chivewall.gateway.calls import AnswerHead, Call, CallDialect, SentFields
from chivewall.gateway.catalogue import EndpointInfo, Kind, Route
from chivewall.gateway.channel_messages import OutgoingCall
from chivewall.gateway.channels import Channels
from chivewall.gateway.fleet import Fleet
from chivewall.task import Inbox

# Maximum idle time, in seconds, of a kept connection that is reused for a request that must
# not run twice; one that was idle longer may be dead without the gateway knowing.
REUSE_UNSAFE = 0.5
REUSE_IDEMPOTENT = 4.0  # the same for idempotent requests, in seconds
RELEASE_SECONDS = 0.6  # timeout of the request that frees a KV cache
SERVICE_SECONDS = 0.05  # duration of a plain service's request in other gateways' estimates


@define
class CallContext:
    """Objects that the tasks of all requests share."""

    env: Environment
    fleet: Fleet
    channels: Channels
    dialect: CallDialect


@frozen
class Exchange:
    """One HTTP exchange of an attempt with an endpoint."""

    number: int
    endpoint: EndpointInfo
    prefill: bool  # asks the engine only to compute and keep the KV cache of the prompt
    handed_over: bool  # asks the engine to fetch the KV cache from a prefill engine


@frozen
class EndpointTested:
    """Result of the reachability test of an endpoint that sent no bytes for a while."""

    exchange: int
    reachable: bool


def outgoing_call(
    exchange: Exchange,
    call: Call,
    route: Route,
    sent: SentFields,
    dialect: CallDialect,
    sink: Inbox,
) -> OutgoingCall:
    """Return the outgoing HTTP request for an exchange."""
    idempotent = route.idempotent or exchange.prefill
    return OutgoingCall(
        exchange=exchange.number,
        address=exchange.endpoint.address,
        method=call.method,
        target=call.target,
        headers=dialect.call_headers(call, sent),
        sink=sink,
        body=call.body,
        has_body=call.has_body,
        request_id=call.fields.request_id,
        longest_idle=REUSE_IDEMPOTENT if idempotent else REUSE_UNSAFE,
    )


def invalid_answer(head: AnswerHead) -> str | None:
    """Return why a response can't be the endpoint's complete response, or ``None``."""
    if head.fields.proof is None:
        return "response without the endpoint's stamp"
    if any(name.lower() == b"content-encoding" for name, _ in head.headers):
        return "response with a Content-Encoding that was not requested"
    if head.status in PROMISES and not head.fields.not_run:
        return f"status {head.status} without the statement that the request has not run"
    return None


def longest_seconds(route: Route, time_left: float) -> float:
    """Return for how long other gateways count an attempt whose end they don't hear of."""
    return time_left if route.kind is Kind.STREAM else min(time_left, SERVICE_SECONDS)


async def release_kv_cache(context: CallContext, endpoint: EndpointInfo, handle: str) -> None:
    """Free a KV cache that won't be fetched; if this fails, it expires by itself."""
    method, target = context.dialect.release_target(handle)
    deadline = context.env.now + RELEASE_SECONDS
    try:
        await context.channels.fetch(endpoint.address, method, target, deadline)
    except StoreUnavailableError as exc:
        context.env.log.emit(Event.KV_CACHE_LEFT, handle=handle, error=str(exc))
