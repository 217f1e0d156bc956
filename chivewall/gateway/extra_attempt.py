"""The extra attempt of one request: a second one at another endpoint, beside a slow first one.

It belongs to the request's task, which passes it the messages about its exchange. The attempt that
first brings the head of a successful response goes on, and the other one is cancelled at once, so
that nothing of two responses can be mixed.
"""

from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from attrs import define, evolve, field

from chivewall.decisions.forwarding import AttemptHistory, AttemptOutcome
from chivewall.decisions.placement import Placement
from chivewall.gateway.exchange import (
    Exchange,
    RequestContext,
    response_problem,
    send_exchange,
)
from chivewall.gateway.exchange_messages import (
    CancelExchange,
    ExchangeFailed,
    RequestWritten,
    ResponseStarted,
)
from chivewall.gateway.extra_attempt_messages import (
    AnswerSlow,
    AnswerTime,
    EndpointTime,
    SlowAnswerDelay,
    SpendExtraAttempt,
)
from chivewall.gateway.fleet_messages import SpendRepeat, WorkEnded
from chivewall.gateway.http_dialect import CallerRequest, ForwardedFields, ResponseHead
from chivewall.gateway.request_log import RequestLog
from chivewall.gateway.routing_configuration import Route, RouteKind, Stage
from chivewall.task import Inbox

MS_PER_SECOND = 1000.0
SUCCESS_STATUSES = range(200, 300)
SERVER_ERROR_STATUSES = range(500, 600)
# Share of the repeat budget that extra attempts may use; the rest stays for retries.
REPEAT_SHARE = 0.5
FindSpare = Callable[[frozenset[str]], Awaitable[Placement | None]]


@define(eq=False)
class ExtraAttempt:
    """The extra attempt of one request, of which there is one at most."""

    context: RequestContext
    request: CallerRequest
    route: Route
    service: str
    log: RequestLog
    history: AttemptHistory  # of the request
    failed_endpoints: set[str]  # ids of endpoints that failed to serve the request
    sender: Inbox  # of the request's task
    exchange: Exchange | None = None  # while it runs
    placement: Placement | None = None
    head: ResponseHead | None = None  # of a response that makes it win
    written_at: float | None = None
    used: bool = False  # the request has had its extra attempt
    _delay: float = field(default=0.0, init=False)

    @property
    def running(self) -> bool:
        """Return whether an extra attempt is in progress."""
        return self.exchange is not None

    def may_follow(self, first: Exchange) -> bool:
        """Return whether the request may run twice, and waits for a plain response.

        A second stream would cost a second prefill, and its engine might still be at work when the
        other one has gone on for a while.
        """
        return (
            self._is_measured(first)
            and not self.used
            and self.route.kind is RouteKind.SAFE
            and len(self.history.tried_endpoints) < self.route.attempts
        )

    async def await_slowness(self, first: Exchange) -> None:
        """Tell the request's task when the first attempt is slow."""
        delay = await self.context.extra_attempts.query(
            SlowAnswerDelay(self.service, self.route.name)
        )
        if delay is not None:
            self._delay = delay
            self.context.env.clock.callLater(delay, self.sender.put, AnswerSlow(first.number))

    async def begin(
        self, first: Exchange, deadline: float, find: FindSpare, fields: Mapping[str, Any]
    ) -> bool:
        """Begin beside the first attempt, and return whether limits and endpoints allowed it.

        ``fields``: those of ``ForwardedFields`` that hold for every attempt of the request now.
        """
        now = self.context.env.now
        if not self.may_follow(first) or deadline - now < self._delay:
            return False
        placement = await find(frozenset({*self.failed_endpoints, first.endpoint.id}))
        if placement is None or placement.needs or placement.not_before > now:
            return False
        if not await self.context.extra_attempts.query(SpendExtraAttempt(self.service)):
            return False
        if not await self.context.fleet.query(SpendRepeat(self.service, REPEAT_SHARE)):
            return False
        self.used = True
        self.placement = evolve(placement, reason="extra attempt beside a slow one")
        number = self.context.connections.next_exchange()
        self.exchange = Exchange(
            number, placement.endpoint, prefill=False, fetches_kv_cache=False, extra=True
        )
        sent = ForwardedFields(
            time_left_ms=(deadline - now) * MS_PER_SECOND,
            endpoint=placement.endpoint.id,
            **fields,
        )
        self.log.log_attempt(self.exchange, self.placement, sent)
        self.log.log_extra_attempt(self.exchange, self._delay)
        send_exchange(
            self.context,
            self.exchange,
            self.placement,
            self.request,
            self.route,
            sent=sent,
            deadline=deadline,
            reply_to=self.sender,
        )
        return True

    def is_current(self, exchange: int) -> bool:
        """Return whether a message is about the extra attempt in progress."""
        return self.exchange is not None and self.exchange.number == exchange

    def record_written(self, message: RequestWritten) -> None:
        """Record that the endpoint may have received the request."""
        if self.is_current(message.exchange):
            self.written_at = self.context.env.now
            self.history.record_sent(self.exchange.endpoint.id)

    def wins_with(self, message: ResponseStarted) -> bool:
        """Return whether it has brought the head of a successful response.

        With any other head it has failed, and the first attempt goes on alone.
        """
        if not self.is_current(message.exchange):
            return False
        head = message.head
        if head.fields.not_run:
            self._fail(AttemptOutcome.NOT_RUN, "refused", f"status {head.status}")
        elif (problem := response_problem(head)) is not None:
            self._fail(AttemptOutcome.BROKEN, "failed", problem)
        elif head.status in SERVER_ERROR_STATUSES:
            self._fail(AttemptOutcome.FAILED, "failed", f"status {head.status}")
        elif head.status not in SUCCESS_STATUSES:
            self.cancel("another answer")  # the first endpoint's is as good
        else:
            self.head = head
            return True
        return False

    def record_failed(self, message: ExchangeFailed) -> None:
        """Record that it failed; the first attempt goes on alone."""
        if not self.is_current(message.exchange):
            return
        if message.sent:
            self._fail(AttemptOutcome.BROKEN, "failed", message.reason)
        else:
            self._fail(AttemptOutcome.NOT_SENT, "missed", message.reason)

    def take(self, outcome: str) -> Exchange:
        """Return its exchange, which is the request's only one from now on.

        ``outcome``: "won", or "took over" after a failure of the first attempt.
        """
        exchange, self.exchange = self.exchange, None
        self.log.log_extra_attempt_ended(exchange, outcome, self._doubled_seconds())
        return exchange

    def cancel(self, outcome: str = "cancelled") -> None:
        """Cancel it at its endpoint; that says nothing about the endpoint."""
        if self.exchange is not None:
            if self.written_at is not None:
                self.history.may_have_run = True
            self._end("left", outcome)

    def report(self, exchange: Exchange, outcome: str, written_at: float) -> None:
        """Report the endpoint time of a first attempt or a retry to the limits."""
        if self._is_measured(exchange) and not exchange.extra and outcome != "missed":
            seconds = max(0.0, self.context.env.now - written_at)
            self.context.extra_attempts.send(
                EndpointTime(self.service, seconds, refused=outcome == "refused")
            )

    def report_answer(self, exchange: Exchange, written_at: float) -> None:
        """Report for how long a request has waited for its answer, or has had none."""
        if self._is_measured(exchange):
            seconds = self.context.env.now - written_at
            self.context.extra_attempts.send(AnswerTime(self.service, self.route.name, seconds))

    def _is_measured(self, exchange: Exchange) -> bool:
        """Return whether the times of an exchange say when answers like it are slow."""
        return self.context.extra_attempts is not None and exchange.endpoint.stage is Stage.NONE

    def _fail(self, outcome: AttemptOutcome, work_outcome: str, reason: str) -> None:
        exchange = self.exchange
        self.history.record_failure(outcome)
        self.failed_endpoints.add(exchange.endpoint.id)
        self.log.log_attempt_failed(
            exchange, outcome, reason, begun=self.head is not None, events=0
        )
        if outcome is AttemptOutcome.NOT_RUN:
            self.history.forget_endpoint(exchange.endpoint.id)
        self._end(work_outcome, "failed")

    def _end(self, work_outcome: str, outcome: str) -> None:
        exchange, self.exchange = self.exchange, None
        self.context.connections.send(CancelExchange(exchange.number))
        self.context.fleet.send(WorkEnded(exchange.endpoint.id, exchange.number, work_outcome))
        if work_outcome == "refused":
            self.context.extra_attempts.send(EndpointTime(self.service, 0.0, refused=True))
        self.log.log_extra_attempt_ended(exchange, outcome, self._doubled_seconds())

    def _doubled_seconds(self) -> float:
        """Return and report for how long two endpoints have worked on the request."""
        if self.written_at is None:
            return 0.0
        seconds = self.context.env.now - self.written_at
        self.context.extra_attempts.send(EndpointTime(self.service, seconds, doubled=True))
        return seconds
