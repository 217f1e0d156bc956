"""Receives the responses to one request's exchanges, and forwards streams."""

from attrs import define, field

from chivewall.decisions.forwarding import stall_seconds
from chivewall.gateway.caller_response import CallerResponse
from chivewall.gateway.exchange import (
    RequestContext,
    is_event_stream,
    response_problem,
    run_began_at,
)
from chivewall.gateway.fleet_messages import FirstBytesReceived
from chivewall.gateway.guarded_prompt import GuardedPrompt
from chivewall.gateway.http_dialect import ResponseHead
from chivewall.gateway.received_response import ReceivedResponse
from chivewall.gateway.request_exchanges import RequestExchanges
from chivewall.gateway.request_terms import RequestTerms
from chivewall.gateway.request_timers import RequestTimers
from chivewall.gateway.routing_configuration import Route, RouteKind
from chivewall.gateway.usage_messages import RequestBegan
from chivewall.messages import Tick

SUCCESS_STATUSES = range(200, 300)


@define(eq=False)
class ResponseReceiver:
    """Knows what the exchange in progress has brought, and whether that is a whole response."""

    context: RequestContext
    route: Route
    terms: RequestTerms
    timers: RequestTimers
    exchanges: RequestExchanges
    prompt: GuardedPrompt
    response: CallerResponse
    received: ReceivedResponse
    first_bytes_reported: bool = False  # of the exchange
    began: bool = False  # the request is known to have begun to run
    next_event_by: float = 0.0  # time by which the stream must have made progress
    _stall_checked: bool = field(default=False, init=False)  # of the exchange's stream

    def begin_exchange(self, head: ResponseHead | None = None) -> None:
        """Begin with the response to another exchange; ``head``: what it has brought so far."""
        self.received.start(head)
        self.response.stream.begin_run()
        self.first_bytes_reported = self._stall_checked = False

    @property
    def begun(self) -> bool:
        """Return whether the head of the response was received."""
        return self.received.head is not None

    @property
    def succeeded(self) -> bool:
        """Return whether the head is that of a success which the endpoint itself has sent."""
        head = self.received.head
        return (
            head is not None and head.status in SUCCESS_STATUSES and response_problem(head) is None
        )

    @property
    def refused_to_run(self) -> bool:
        """Return whether the endpoint reported that it did not run the request."""
        return self.received.head is not None and self.received.head.fields.not_run

    @property
    def streaming(self) -> bool:
        """Return whether the response is a stream whose events are forwarded."""
        return (
            self.route.kind is RouteKind.STREAM
            and self.succeeded
            and not self.exchanges.current.prefill
            and is_event_stream(self.received.head)
        )

    def problem(self) -> str | None:
        """Return why what was received can't be the endpoint's complete response, or ``None``."""
        if not self.streaming:
            return response_problem(self.received.head)
        return self.response.stream.problem_at_end()

    def take_data(self, data: bytes) -> None:
        """Forward the events of a stream, or keep the bytes of another response.

        Raises ``EndpointError`` if the bytes exceed a limit or don't continue the stream.
        """
        if self.streaming:
            events = self.response.stream.data_events
            self.response.send_events(self.received.head, data)
            if self.response.stream.data_events > events:
                if events == self.exchanges.current.events_before:
                    self.prompt.record_served()
                self._await_next_event()
            return
        self.received.append(data)

    def _await_next_event(self) -> None:
        """Restart the time in which the stream must make progress.

        Only events count, since a stalled endpoint may send a byte or a comment now and then.
        """
        self.next_event_by = self.context.env.now + stall_seconds(self.route)
        if not self._stall_checked:
            self._stall_checked = True
            self.schedule_stall_check(stall_seconds(self.route))

    def schedule_stall_check(self, seconds: float) -> None:
        """Check the progress of the stream after some seconds."""
        self.timers.schedule(seconds, Tick(f"stall {self.exchanges.current.number}"))

    def report_first_bytes(self, *, prefilled: bool) -> None:
        """Report how long the endpoint took to send the first bytes."""
        self.first_bytes_reported = True
        self.context.fleet.send(
            FirstBytesReceived(
                endpoint=self.exchanges.current.endpoint.id,
                exchange=self.exchanges.current.number,
                seconds=self.context.env.now - self.exchanges.written_at,
                succeeded=self.received.head.status in SUCCESS_STATUSES,
                prefilled=prefilled,
            )
        )

    def report_began(self) -> None:
        """Report that the request began to run, once."""
        fields = self.received.head.fields
        workspace = self.terms.workspace
        if workspace is None or self.began or fields.not_run or fields.stamp is None:
            return
        self.began = True
        if self.context.usage is not None:
            at = run_began_at(self.context.env, self.route, self.exchanges.written_at)
            self.context.usage.put(RequestBegan(workspace.name, at))

    def complete(self) -> None:
        """Send the caller the rest of the response; the exchange must still be in progress."""
        streaming = self.streaming
        self.exchanges.end("answered")
        if streaming:
            self.response.finish_stream(self.received.head)
        else:
            self.response.send_response(self.received.head, self.received.body)
