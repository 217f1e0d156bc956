"""One sending of a call to one endpoint."""

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

REUSE_UNSAFE = 0.5  # seconds; a kept connection that was idle longer may be dead unnoticed
REUSE_IDEMPOTENT = 4.0  # seconds
RELEASE_SECONDS = 0.6  # for the call that frees a KV cache
SERVICE_SECONDS = 0.05  # of a plain call, for the estimates of other gateways


@define
class CallContext:
    """What the tasks of all calls share."""

    env: Environment
    fleet: Fleet
    channels: Channels
    dialect: CallDialect


@frozen
class Exchange:
    """A call on its way to an endpoint."""

    number: int
    endpoint: EndpointInfo
    prefill: bool  # asks for the KV cache only
    handed_over: bool  # names a KV cache to fetch


@frozen
class EndpointTested:
    """Whether the silent endpoint of an exchange is reachable."""

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
    """Return the request to send."""
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
    """Return why an answer can't be the endpoint's whole answer to the call."""
    if head.fields.proof is None:
        return "answer without a proof"
    if any(name.lower() == b"content-encoding" for name, _ in head.headers):
        return "answer with an encoding that nobody asked for"
    if head.status in PROMISES and not head.fields.not_run:
        return f"status {head.status} without saying that it has not run"
    return None


def longest_seconds(route: Route, time_left: float) -> float:
    """Return how long other gateways count a call whose end they don't hear of."""
    return time_left if route.kind is Kind.STREAM else min(time_left, SERVICE_SECONDS)


async def release_kv_cache(context: CallContext, endpoint: EndpointInfo, handle: str) -> None:
    """Free a KV cache that nobody fetches; without an answer it expires by itself."""
    method, target = context.dialect.release_target(handle)
    deadline = context.env.now + RELEASE_SECONDS
    try:
        await context.channels.fetch(endpoint.address, method, target, deadline)
    except StoreUnavailableError as exc:
        context.env.log.emit(Event.KV_CACHE_LEFT, handle=handle, error=str(exc))
