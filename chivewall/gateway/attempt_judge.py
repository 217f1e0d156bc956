"""Judges the attempts of one request: whether one has failed, and what may follow it."""

from attrs import define

from chivewall.decisions.forwarding import (
    AttemptHistory,
    AttemptOutcome,
    FailedAttempt,
    NextStep,
    decide,
    final_step,
    may_hand_over,
    may_wait,
)
from chivewall.gateway.endpoint_search import EndpointSearch
from chivewall.gateway.exchange import (
    BrokenAttempt,
    BrokenEndpointProbed,
    EndConfirmed,
    EndpointProbed,
    Exchange,
    RequestContext,
    is_same_process,
)
from chivewall.gateway.exchange_messages import ExchangeFailed, ProbeAddress, Reachability
from chivewall.gateway.extra_attempt import ExtraAttempt
from chivewall.gateway.fleet_messages import KvCacheLost
from chivewall.gateway.guarded_prompt import GuardedPrompt
from chivewall.gateway.prefill_progress import PrefillProgress
from chivewall.gateway.request_exchanges import RequestExchanges
from chivewall.gateway.request_log import RequestLog
from chivewall.gateway.request_terms import RequestTerms
from chivewall.gateway.response_receiver import ResponseReceiver
from chivewall.gateway.routing_configuration import Route
from chivewall.task import Inbox

SERVER_ERROR_STATUSES = range(500, 600)


@define(eq=False)
class AttemptJudge:
    """Finds out how an attempt ended, records that, and tells what the request may do next."""

    context: RequestContext
    route: Route
    terms: RequestTerms
    log: RequestLog
    history: AttemptHistory
    prefill: PrefillProgress
    prompt: GuardedPrompt
    extra: ExtraAttempt
    exchanges: RequestExchanges
    receiver: ResponseReceiver
    search: EndpointSearch
    inbox: Inbox  # of the request's task

    def failure_of_response(self) -> tuple[AttemptOutcome, str] | None:
        """Return how the attempt failed whose response has ended, or ``None`` if it didn't."""
        head = self.receiver.received.head
        if self.receiver.refused_to_run:
            return AttemptOutcome.NOT_RUN, f"status {head.status}"
        if (problem := self.receiver.problem()) is not None:
            return AttemptOutcome.BROKEN, problem
        if head.status in SERVER_ERROR_STATUSES or (
            self.receiver.response.started and not self.receiver.streaming
        ):
            return AttemptOutcome.FAILED, f"status {head.status}"
        return None

    def failure_of_exchange(self, message: ExchangeFailed) -> tuple[AttemptOutcome, str]:
        """Return how the attempt failed whose exchange broke off."""
        if not message.sent:
            return AttemptOutcome.NOT_SENT, message.reason
        if self.receiver.refused_to_run:
            return AttemptOutcome.NOT_RUN, f"status {self.receiver.received.head.status}"
        return AttemptOutcome.BROKEN, message.reason

    async def confirm_end(self, exchange: Exchange) -> None:
        """Find out whether the process still runs that ended its response with the connection."""
        same_process = await is_same_process(self.context, exchange.endpoint)
        self.inbox.put(EndConfirmed(exchange.number, same_process))

    async def test_endpoint(self, exchange: Exchange) -> None:
        """Find out whether a silent endpoint can be reached."""
        found = await self.context.connections.query(ProbeAddress(exchange.endpoint.address))
        self.inbox.put(EndpointProbed(exchange.number, found is Reachability.REACHABLE))

    async def probe_broken_endpoint(self, attempt: BrokenAttempt) -> None:
        """Find out whether the endpoint has ended, which then doesn't count as tried."""
        probe = ProbeAddress(attempt.exchange.endpoint.address, connect=True)
        ended = await self.context.connections.query(probe) is Reachability.REFUSED
        self.inbox.put(BrokenEndpointProbed(attempt, ended))

    def record_probed(self, message: BrokenEndpointProbed) -> None:
        """Record whether the endpoint of a broken attempt has ended."""
        attempt = message.attempt
        if message.endpoint_ended:
            self.history.forget_endpoint(attempt.exchange.endpoint.id)
            if attempt.is_evidence:
                self.prompt.record_crash(attempt.exchange.endpoint, begun=attempt.begun)

    def end_prefill(self, reason: str, *, missed: bool) -> None:
        """End a prefill that failed; ``missed``: it reached no engine."""
        failed = self.exchanges.current.endpoint
        self._log_failed(AttemptOutcome.NOT_SENT if missed else AttemptOutcome.NOT_RUN, reason)
        refused = not missed and self.receiver.refused_to_run
        self.exchanges.end("missed" if missed else "refused" if refused else "failed")
        if missed:
            self.prefill.record_missed()
        else:
            self.exchanges.arrivals += 1  # only a prefill that succeeds costs no repeat
            self.search.failed_endpoints.add(failed.id)

    def end_attempt(
        self, outcome: AttemptOutcome, reason: str, work_outcome: str | None = None
    ) -> BrokenAttempt | None:
        """End a failed attempt, and return it if its endpoint should be probed.

        ``work_outcome``: how the work at the endpoint ended, if the outcome doesn't tell.
        """
        self.history.record_failure(outcome)
        self._log_failed(outcome, reason)
        exchange = self.exchanges.current
        if (
            outcome is AttemptOutcome.NOT_RUN
            and self.search.committed
            and self.exchanges.first_sent_to
        ):
            self.history.forget_endpoint(exchange.endpoint.id)
        broken = None
        if outcome is AttemptOutcome.BROKEN and work_outcome is None:
            broken = self._broken_attempt(reason)
        if exchange is not None:
            if outcome is AttemptOutcome.NOT_RUN and exchange.fetches_kv_cache:
                self.context.fleet.send(KvCacheLost(self.prefill.kv_source.id))
                work_outcome = "left"
            else:
                self.search.failed_endpoints.add(exchange.endpoint.id)
            self.exchanges.end(work_outcome or _work_outcome(outcome))
        if outcome is AttemptOutcome.NOT_SENT:
            self.exchanges.arrivals -= 1
        if broken is not None and (broken.is_evidence or self.search.allowed_endpoints()):
            return broken
        return None

    def _broken_attempt(self, reason: str) -> BrokenAttempt:
        return BrokenAttempt(
            exchange=self.exchanges.current,
            reason=reason,
            begun=self.receiver.begun,
            is_evidence=bool(self.prompt.keys) and not self.exchanges.events,
        )

    def _log_failed(self, outcome: AttemptOutcome, reason: str) -> None:
        self.log.log_attempt_failed(
            self.exchanges.current,
            outcome,
            reason,
            begun=self.receiver.begun,
            events=self.exchanges.events,
        )

    def may_withdraw(self) -> bool:
        """Return whether the request waits at an engine and may be sent again."""
        return (
            self.exchanges.current is not None
            and not self.exchanges.current.prefill
            and not self.receiver.response.stream.data_events
            and self.route.idempotent
        )

    def withdraw(self) -> None:
        """Take the request back from an engine that one of its parts may crash."""
        self.history.may_have_run = True
        self._log_failed(AttemptOutcome.BROKEN, "withdrawn: a part of its prompt is suspected")
        self.exchanges.end("left")

    async def reserve_hand_over(self) -> bool:
        """Return whether a sound endpoint takes over from that of the current exchange.

        Otherwise the exchange goes on: an endpoint that has fallen silent may still answer.
        """
        if self.terms.key_refusal is not None:
            return False
        if self.extra.running:
            return True
        if not may_hand_over(self._situation(AttemptOutcome.BROKEN), self.history):
            return False
        return await self.search.reserve_successor(
            self.exchanges.current.endpoint.id, repeat=self.exchanges.arrivals > 0
        )

    def may_retry(self, outcome: AttemptOutcome) -> bool:
        """Return whether another attempt may follow at once; the budget is checked later."""
        step = decide(self._situation(outcome), self.history)
        return step is NextStep.RETRY and self.search.has_endpoint_left()

    def may_wait(self, outcome: AttemptOutcome) -> bool:
        """Return whether the request may wait until an endpoint can take it."""
        return may_wait(self._situation(outcome), self.history)

    def final_step(self, outcome: AttemptOutcome) -> NextStep:
        """Return how the request ends if it gets no further attempt."""
        return final_step(self._situation(outcome), self.history)

    def _situation(self, outcome: AttemptOutcome) -> FailedAttempt:
        return FailedAttempt(
            route=self.route,
            outcome=outcome,
            now=self.context.env.now,
            response_deadline=self.terms.response_deadline,
            response_started=self.receiver.response.started,
        )


def _work_outcome(outcome: AttemptOutcome) -> str:
    if outcome is AttemptOutcome.NOT_SENT:
        return "missed"
    return "refused" if outcome is AttemptOutcome.NOT_RUN else "failed"
