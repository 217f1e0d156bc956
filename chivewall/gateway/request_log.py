"""Log events of one forwarded request."""

from attrs import frozen

from chivewall.decisions.forwarding import AttemptOutcome
from chivewall.decisions.placement import Placement
from chivewall.environment import Environment
from chivewall.events import Event
from chivewall.gateway.caller_response import CallerResponse
from chivewall.gateway.exchange import Exchange
from chivewall.gateway.http_dialect import CallerRequest, ForwardedFields
from chivewall.gateway.routing_configuration import Route

MAX_LOGGED_PARTS = 8  # prompt parts named in one line


@frozen
class RequestLog:
    """Logs the decisions about one request under its request id."""

    env: Environment
    request: CallerRequest
    route: Route

    def log_attempt(self, exchange: Exchange, placement: Placement, sent: ForwardedFields) -> None:
        """Log an attempt: the endpoint, the headers sent, and the placement behind them."""
        self.env.log.emit(
            Event.CALL_ATTEMPT,
            request=self.request.fields.request_id,
            endpoint=exchange.endpoint.id,
            prefill=exchange.prefill,
            handed_over=exchange.fetches_kv_cache,
            estimate=round(placement.estimate, 4),
            uncached=placement.uncached_tokens,
            fetched_from=None if placement.prefix_source is None else placement.prefix_source.id,
            reason=placement.reason,
            rank=placement.rank,
            time_left_ms=round(sent.time_left_ms),
        )

    def log_attempt_failed(
        self,
        exchange: Exchange | None,
        outcome: AttemptOutcome,
        reason: str,
        *,
        begun: bool,
        events: int,
    ) -> None:
        """Log why an attempt failed.

        ``begun``: the head of its response was received; ``events``: events that it brought.
        """
        self.env.log.emit(
            Event.CALL_ATTEMPT_FAILED,
            request=self.request.fields.request_id,
            endpoint=None if exchange is None else exchange.endpoint.id,
            outcome=outcome.value,
            reason=reason,
            begun=begun,
            events=events,
            prompt_parts=[one.id for one in self.request.fields.prompt_parts[:MAX_LOGGED_PARTS]],
        )

    def log_extra_attempt(self, exchange: Exchange, delay: float) -> None:
        """Log an extra attempt, and the seconds without an answer after which it began."""
        self.env.log.emit(
            Event.EXTRA_ATTEMPT,
            request=self.request.fields.request_id,
            route=self.route.name,
            endpoint=exchange.endpoint.id,
            delay=round(delay, 4),
        )

    def log_extra_attempt_ended(self, exchange: Exchange, outcome: str, seconds: float) -> None:
        """Log how an extra attempt ended, and for how long two endpoints worked."""
        self.env.log.emit(
            Event.EXTRA_ATTEMPT_ENDED,
            request=self.request.fields.request_id,
            route=self.route.name,
            endpoint=exchange.endpoint.id,
            outcome=outcome,
            doubled_seconds=round(seconds, 4),
        )

    def log_waiting(self, reason: str, seconds_left: float) -> None:
        """Log that the request waits until an endpoint can take it, and its time left."""
        self.env.log.emit(
            Event.CALL_WAITING,
            request=self.request.fields.request_id,
            route=self.route.name,
            reason=reason,
            seconds_left=round(seconds_left, 3),
        )

    def log_key_revoked(self, reason: str) -> None:
        """Log that the request's key no longer holds, so that no attempt follows."""
        self.env.log.emit(
            Event.KEY_REVOKED,
            request=self.request.fields.request_id,
            route=self.route.name,
            reason=reason,
        )

    def log_paused(self, seconds: float) -> None:
        """Log that the request waits until the endpoints that it would go to end their pauses."""
        self.env.log.emit(
            Event.CALL_PAUSED,
            request=self.request.fields.request_id,
            route=self.route.name,
            seconds=round(seconds, 3),
        )

    def log_ended(
        self,
        outcome: str,
        response: CallerResponse,
        arrivals: int,
        prefilled_at: float | None,
        **fields: object,
    ) -> None:
        """Log the end of the request; times are in seconds since it was received."""
        self.env.log.emit(
            Event.CALL_ENDED,
            request=self.request.fields.request_id,
            route=self.route.name,
            outcome=outcome,
            arrivals=arrivals,
            events=response.stream.forwarded_events,
            seconds=self._since_start(self.env.now),
            prefilled_after=self._since_start(prefilled_at),
            first_after=self._since_start(response.first_event_at),
            longest_pause=round(response.longest_pause, 4),
            prompt_tokens=self.request.fields.prompt_tokens,
            **fields,
        )

    def _since_start(self, at: float | None) -> float | None:
        return None if at is None else round(at - self.request.received_at, 4)
