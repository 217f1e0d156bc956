"""The end of one request: its final response, and what is given back."""

from attrs import define

from chivewall.decisions.forwarding import AttemptHistory, AttemptOutcome, NextStep
from chivewall.gateway.attempt_judge import AttemptJudge
from chivewall.gateway.caller_response import CallerResponse
from chivewall.gateway.exchange import RequestContext, release_kv_cache
from chivewall.gateway.extra_attempt import ExtraAttempt
from chivewall.gateway.guarded_prompt import GuardedPrompt
from chivewall.gateway.prefill_progress import PrefillProgress
from chivewall.gateway.received_response import ReceivedResponse
from chivewall.gateway.request_exchanges import RequestExchanges
from chivewall.gateway.request_log import RequestLog
from chivewall.gateway.request_permits import RequestPermits
from chivewall.gateway.request_terms import RequestTerms
from chivewall.gateway.response_receiver import ResponseReceiver
from chivewall.results import ResultCode
from chivewall.task import Inbox, Stop


@define(eq=False)
class RequestEnding:
    """Ends the request once: answers, refuses or breaks off, logs it, and stops its task."""

    context: RequestContext
    terms: RequestTerms
    log: RequestLog
    history: AttemptHistory
    prefill: PrefillProgress
    prompt: GuardedPrompt
    permits: RequestPermits
    extra: ExtraAttempt
    response: CallerResponse
    received: ReceivedResponse
    exchanges: RequestExchanges
    receiver: ResponseReceiver
    judge: AttemptJudge
    inbox: Inbox  # of the request's task
    ended: bool = False

    def complete(self) -> None:
        """End with the endpoint's response, which is complete."""
        self.receiver.complete()
        self._finish("answered", status=self.received.head.status)

    def give_up(
        self,
        outcome: AttemptOutcome,
        reason: str,
        *,
        code: ResultCode = ResultCode.NO_ENDPOINT,
        retry_after: float | None = None,
    ) -> None:
        """End without another attempt; ``outcome``: of the last one.

        ``code`` and ``retry_after`` are for the caller of a request that hasn't run.
        """
        next_step = self.judge.final_step(outcome)
        if next_step is NextStep.CLOSE_CONNECTION:
            self.response.abort()
        elif next_step is NextStep.FORWARD:
            self.response.send_response(self.received.head, self.received.body)
        elif next_step is NextStep.REFUSE:
            self.response.refuse(code, reason, retry_after)
        else:
            self.response.refuse(ResultCode.ENDPOINT_FAILED, reason)
        self._finish(next_step.value, reason=reason)

    def end_without_key(self, outcome: AttemptOutcome) -> None:
        """End the request, whose key no longer holds, before another attempt."""
        refusal = self.terms.key_refusal
        self.log.log_key_revoked(refusal.reason)
        self.give_up(outcome, refusal.reason, code=refusal.code)

    def time_out(self) -> None:
        """End because the deadline of the response has come."""
        current = self.exchanges.current
        may_have_run = current is not None and not current.prefill
        if may_have_run and self.received.head is None:
            self.exchanges.report_answer()
        self.exchanges.end("left")
        if self.response.started:
            self.response.abort()
        elif may_have_run or self.history.may_have_run:
            self.response.refuse(ResultCode.DEADLINE_MISSED, "no response within the time limit")
        else:
            self.response.refuse(ResultCode.NO_ENDPOINT, "no endpoint within the time limit")
        self._finish("out of time")

    def abandon(self, *, by_gateway: bool) -> None:
        """End because the caller's connection is closed; ``by_gateway``: the gateway cut it."""
        self.exchanges.end("left")
        self._finish("connection aborted" if by_gateway else "caller gone")

    def _finish(self, outcome: str, **fields: object) -> None:
        self.ended = True
        self.extra.cancel()
        self.prompt.end()
        self.permits.release()
        self.received.start(None)
        if (kept := self.prefill.release()) is not None:
            self.context.fleet.spawn(release_kv_cache(self.context, *kept))
        self.log.log_ended(
            outcome, self.response, self.exchanges.arrivals, self.prefill.prefilled_at, **fields
        )
        self.inbox.put(Stop())
