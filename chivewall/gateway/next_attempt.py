"""Begins the next attempt of one request, or lets the request wait for a place."""

from collections.abc import Callable, Coroutine
from typing import Any

from attrs import define

from chivewall.decisions.crash_evidence import Verdict
from chivewall.decisions.forwarding import AttemptOutcome
from chivewall.decisions.overload import Overloaded
from chivewall.decisions.placement import Placement, PromptState
from chivewall.gateway.attempt_judge import AttemptJudge
from chivewall.gateway.endpoint_search import EndpointSearch
from chivewall.gateway.exchange import RequestContext
from chivewall.gateway.guarded_prompt import GuardedPrompt
from chivewall.gateway.prefill_progress import PrefillProgress
from chivewall.gateway.request_ending import RequestEnding
from chivewall.gateway.request_exchanges import RequestExchanges
from chivewall.gateway.request_permits import RequestPermits
from chivewall.gateway.request_terms import RequestTerms
from chivewall.gateway.request_waits import RequestWaits
from chivewall.gateway.response_receiver import ResponseReceiver
from chivewall.results import ResultCode

# ``spawn`` of the request's task, passed with each call: stored here it would make a reference
# cycle, and an ended request with its body would stay in memory until the next garbage collection.
Spawn = Callable[[Coroutine[Any, Any, Any]], object]


@define(eq=False)
class NextAttempt:
    """Takes the steps ``place`` and ``decode`` from the check of the prompt to the sending."""

    context: RequestContext
    terms: RequestTerms
    prefill: PrefillProgress
    prompt: GuardedPrompt
    permits: RequestPermits
    exchanges: RequestExchanges
    receiver: ResponseReceiver
    search: EndpointSearch
    waits: RequestWaits
    judge: AttemptJudge
    ending: RequestEnding

    async def place(self, spawn: Spawn) -> bool:
        """Send the request or its prefill; return false if no endpoint can take it.

        Otherwise it was sent, waits for the same step, or has ended.
        """
        if not await self._may_send("place"):
            return True
        placement = await self.search.find_next()
        if isinstance(placement, Overloaded):
            self.ending.give_up(
                AttemptOutcome.NOT_RUN,
                "its workspace uses more than its share of too little room"
                if placement.yields
                else f"its first event is expected after {placement.estimate:.2f} s",
                retry_after=placement.retry_after,
            )
            return True
        if placement is None:
            return False
        if self._must_wait("place", placement, spawn):
            return True
        if placement.prefill_engine is not None:
            self.search.prefill_repeat_spent = False
            self.receiver.begin_exchange()
            self.exchanges.send_prefill(placement)
        else:
            await self._send_request(placement, None, spawn)
        return True

    async def decode(self, spawn: Spawn) -> bool:
        """Send the request to the engine that decodes it, with the KV cache of its prefill.

        Return false if no engine can take it, as ``place`` does.
        """
        if not await self._may_send("decode"):
            return True
        # The prefill may have waited for seconds; the chosen decode engine may be leaving by now.
        placement = await self.search.find(PromptState.PREFILLED)
        if placement is None:
            return False
        if self._must_wait("decode", placement, spawn):
            return True
        kv_source = self.context.dialect.kv_source(
            self.prefill.kv_source.address, self.prefill.kv_handle
        )
        await self._send_request(placement, kv_source, spawn)
        return True

    async def _may_send(self, step: str) -> bool:
        """Return whether the parts of the prompt allow an attempt now.

        If not, the request has ended, or its ``step`` is taken again soon.
        """
        if self.terms.key_refusal is not None:
            self.ending.end_without_key(AttemptOutcome.NOT_RUN)
            return False
        if self.receiver.response.stream.data_events:
            return True  # an engine began to answer it and survived
        check = await self.prompt.check()
        if check.verdict is Verdict.WAIT:
            self.waits.await_trial(step)
        elif check.verdict is Verdict.REFUSE:
            names = ", ".join(one.part for one in check.suspects)
            self.ending.give_up(
                AttemptOutcome.NOT_RUN,
                f"engines crashed on a part of the prompt: {names}",
                code=ResultCode.PROMPT_PART_BLOCKED,
                retry_after=check.until - self.context.env.now,
            )
        return check.verdict in (Verdict.PASS, Verdict.TRIAL)

    def _must_wait(self, step: str, placement: Placement, spawn: Spawn) -> bool:
        """Return whether the endpoints of a placement don't take the request now.

        The step is taken again when a pause has ended or permits are decided, or the request ends.
        """
        now = self.context.env.now
        if placement.not_before > now:
            if not self.waits.await_pause(step, placement.not_before):
                self.ending.give_up(
                    AttemptOutcome.NOT_RUN,
                    "the endpoints pause",
                    retry_after=placement.not_before - now,
                )
        elif placement.needs:
            spawn(
                self.permits.acquire(
                    step, placement, self.terms.response_deadline, committed=self.search.committed
                )
            )
        else:
            return False
        return True

    async def _send_request(
        self, placement: Placement, kv_source: str | None, spawn: Spawn
    ) -> None:
        if not await self.search.may_attempt(repeat=self.exchanges.arrivals > 0):
            reason = "the repeat budget is spent"
            if self.judge.may_wait(AttemptOutcome.NOT_RUN):
                self.wait("decode" if kv_source else "place", reason, spawn)
            else:
                self.ending.give_up(AttemptOutcome.NOT_RUN, reason)
            return
        self.receiver.begin_exchange()
        self.exchanges.send_request(placement, kv_source)

    def wait(self, step: str, reason: str, spawn: Spawn) -> None:
        """Take a step again once an endpoint can answer the request."""
        not_before = self.waits.begin(reason)
        spawn(self.waits.await_endpoint(step, not_before))
