"""The exchanges of one request: sends each, and knows the one in progress."""

from attrs import define, field

from chivewall.decisions.event_stream import EventStream
from chivewall.decisions.forwarding import AttemptHistory
from chivewall.decisions.placement import Placement
from chivewall.gateway.exchange import Exchange, RequestContext, send_exchange
from chivewall.gateway.exchange_messages import CancelExchange
from chivewall.gateway.extra_attempt import ExtraAttempt
from chivewall.gateway.fleet_messages import WorkEnded
from chivewall.gateway.http_dialect import CallerRequest, ForwardedFields
from chivewall.gateway.prefill_progress import PrefillProgress
from chivewall.gateway.request_log import RequestLog
from chivewall.gateway.request_permits import RequestPermits
from chivewall.gateway.request_terms import RequestTerms
from chivewall.gateway.routing_configuration import EndpointInfo, Route, Stage
from chivewall.task import Inbox

SILENCE_SECONDS = 0.5  # time without a byte after which the endpoint's reachability is tested


@define(eq=False)
class RequestExchanges:
    """Sends a request or its prefill, one exchange at a time, and counts what reached endpoints."""

    context: RequestContext
    request: CallerRequest
    route: Route
    terms: RequestTerms
    log: RequestLog
    history: AttemptHistory
    prefill: PrefillProgress
    permits: RequestPermits
    extra: ExtraAttempt
    stream: EventStream
    inbox: Inbox  # of the request's task
    current: Exchange | None = None  # in progress
    placement: Placement | None = None  # of the current exchange, or of the latest one
    first_sent_to: bool = False  # the current exchange is the first one with its endpoint
    # Exchanges that reached an endpoint, except a first prefill.
    arrivals: int = 0
    begun: int = 0
    last_data_at: float = field(init=False)  # time of the last byte, or of sending the request
    written_at: float = field(init=False)  # when the current exchange's request was written

    def __attrs_post_init__(self) -> None:
        self.last_data_at = self.written_at = self.request.received_at

    def is_current(self, exchange: int) -> bool:
        """Return whether a message is about the exchange in progress."""
        return self.current is not None and self.current.number == exchange

    def send_prefill(self, placement: Placement) -> None:
        """Ask the prefill engine of a placement to compute and keep the KV cache."""
        self.placement = placement
        self.prefill.sent += 1
        sent = ForwardedFields(
            time_left_ms=self.terms.time_left_ms(),
            endpoint=placement.prefill_engine.id,
            priority=self._priority(),
            **self.terms.workspace_fields(),
            stage=Stage.PREFILL,
            prefix_source=self._prefix_source(),
        )
        self._start(placement.prefill_engine, sent, prefill=True)

    def send_request(self, placement: Placement, kv_source: str | None) -> None:
        """Send the request to the endpoint of a placement.

        ``kv_source``: address and handle of the KV cache that it fetches, if it does.
        """
        self.placement = placement
        sent = ForwardedFields(
            time_left_ms=self.terms.time_left_ms(),
            endpoint=placement.endpoint.id,
            priority=self._priority(),
            **self.terms.workspace_fields(),
            kv_source=kv_source,
            prefix_source=None if kv_source else self._prefix_source(),
            last_event_id=self.stream.last_id,
        )
        self.arrivals += 1
        self._start(placement.endpoint, sent, prefill=False)

    def _start(self, endpoint: EndpointInfo, sent: ForwardedFields, *, prefill: bool) -> None:
        self.permits.use(endpoint.id)
        is_first = self.begun == 0
        self.begun += 1
        number = self.context.connections.next_exchange()
        fetches_kv_cache = sent.kv_source is not None
        self.current = Exchange(
            number,
            endpoint,
            prefill=prefill,
            fetches_kv_cache=fetches_kv_cache,
            events_before=self.stream.data_events,
        )
        self.log.log_attempt(self.current, self.placement, sent)
        send_exchange(
            self.context,
            self.current,
            self.placement,
            self.request,
            self.route,
            sent=sent,
            deadline=self.terms.deadline,
            reply_to=self.inbox,
            use=self.terms.workspace_use() if is_first else None,
        )

    def _priority(self) -> int | None:
        return self.placement.rank if self.route.prefix_affinity else None

    def _prefix_source(self) -> tuple[str, int] | None:
        source = self.placement.prefix_source
        return None if source is None else source.address

    def record_written(self) -> None:
        """Record that the endpoint may have received the current exchange's request."""
        # The first prefill doesn't count as an attempt, a second one does.
        if not self.current.prefill or self.prefill.reached > 1:
            endpoint = self.current.endpoint.id
            self.first_sent_to = endpoint not in self.history.tried_endpoints
            self.history.record_sent(endpoint)
        self.last_data_at = self.written_at = self.context.env.now

    def record_data(self) -> None:
        """Record that the endpoint has sent bytes."""
        self.last_data_at = self.context.env.now

    @property
    def silent(self) -> bool:
        """Return whether the endpoint has sent no bytes for a while."""
        return self.context.env.now - self.last_data_at >= SILENCE_SECONDS

    @property
    def events(self) -> int:
        """Return how many events the current exchange has brought."""
        if self.current is None:
            return 0
        return self.stream.data_events - self.current.events_before

    def report_answer(self) -> None:
        """Report the time until the answer to the limits of extra attempts."""
        self.extra.report_answer(self.current, self.written_at)

    def take_extra(self, outcome: str) -> None:
        """Go on with the extra attempt alone."""
        if self.current is not None:
            self.history.may_have_run = True
            self.report_answer()
            self.end("left")
        self.current = self.extra.take(outcome)
        self.placement = self.extra.placement
        self.first_sent_to = True
        self.last_data_at = self.context.env.now
        if self.extra.written_at is not None:
            self.written_at = self.extra.written_at

    def end(self, outcome: str) -> None:
        """End the exchange in progress, if there is one, and report its outcome."""
        exchange, self.current = self.current, None
        if exchange is None:
            return
        self.context.connections.send(CancelExchange(exchange.number))
        self.context.fleet.send(WorkEnded(exchange.endpoint.id, exchange.number, outcome))
        self.extra.report(exchange, outcome, self.written_at)
        if exchange.fetches_kv_cache and outcome in ("answered", "failed"):
            self.prefill.release()
