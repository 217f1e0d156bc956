"""Log lines of one forwarded call."""

from attrs import frozen

from chivewall.decisions.forwarding import AttemptOutcome
from chivewall.decisions.placement import Placement
from chivewall.environment import Environment
from chivewall.events import Event
from chivewall.gateway.caller_answer import CallerAnswer
from chivewall.gateway.calls import Call, SentFields
from chivewall.gateway.catalogue import Route
from chivewall.gateway.exchange import Exchange


@frozen
class CallLog:
    """Writes the decisions on one call with its request id."""

    env: Environment
    call: Call
    route: Route

    def attempt(self, exchange: Exchange, placement: Placement, sent: SentFields) -> None:
        """Log what is sent where, and what decided it."""
        self.env.log.emit(
            Event.CALL_ATTEMPT,
            request=self.call.fields.request_id,
            endpoint=exchange.endpoint.id,
            prefill=exchange.prefill,
            handed_over=exchange.handed_over,
            estimate=round(placement.estimate, 4),
            uncached=placement.uncached_tokens,
            reason=placement.reason,
            rank=placement.rank,
            time_left_ms=round(sent.time_left_ms),
        )

    def failed(self, exchange: Exchange | None, outcome: AttemptOutcome, reason: str) -> None:
        """Log how an attempt failed."""
        self.env.log.emit(
            Event.CALL_ATTEMPT_FAILED,
            request=self.call.fields.request_id,
            endpoint=None if exchange is None else exchange.endpoint.id,
            outcome=outcome.value,
            reason=reason,
        )

    def ended(
        self,
        outcome: str,
        answer: CallerAnswer,
        arrivals: int,
        prefilled_at: float | None,
        **fields: object,
    ) -> None:
        """Log the end of the call; times are seconds since it was received."""
        self.env.log.emit(
            Event.CALL_ENDED,
            request=self.call.fields.request_id,
            route=self.route.name,
            outcome=outcome,
            arrivals=arrivals,
            events=answer.stream.forwarded_events,
            seconds=self._since_start(self.env.now),
            prefilled_after=self._since_start(prefilled_at),
            first_after=self._since_start(answer.first_at),
            longest_pause=round(answer.longest_pause, 4),
            prompt_tokens=self.call.fields.prompt_tokens,
            **fields,
        )

    def _since_start(self, at: float | None) -> float | None:
        return None if at is None else round(at - self.call.received_at, 4)
