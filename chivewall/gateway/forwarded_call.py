"""The task of one caller's request: places it, sends it, passes the answer on."""

from functools import singledispatchmethod

from chivewall.decisions.event_stream import EventStream
from chivewall.decisions.forwarding import (
    AttemptHistory,
    AttemptOutcome,
    FailedAttempt,
    NextStep,
    decide,
    final_step,
)
from chivewall.decisions.placement import Placement, PromptState
from chivewall.errors import DecodeError
from chivewall.gateway.call_log import CallLog
from chivewall.gateway.call_messages import CallerGone
from chivewall.gateway.caller_answer import CallerAnswer
from chivewall.gateway.calls import AnswerHead, Call, SentFields
from chivewall.gateway.catalogue import EndpointInfo, Kind, Route, Stage
from chivewall.gateway.channel_messages import (
    AnswerData,
    AnswerEnded,
    AnswerStarted,
    CallWritten,
    CancelCall,
    ExchangeFailed,
    ProbeAddress,
    SendCall,
)
from chivewall.gateway.exchange import (
    CallContext,
    EndpointTested,
    Exchange,
    invalid_answer,
    longest_seconds,
    outgoing_call,
    release_kv_cache,
)
from chivewall.gateway.fleet_messages import (
    KvCacheLost,
    Place,
    PromptRead,
    RequestSeen,
    SpendRepeat,
    WorkOver,
    WorkSent,
)
from chivewall.gateway.prompt_reading import PromptReading
from chivewall.messages import Tick
from chivewall.results import ResultCode
from chivewall.task import Inbox, Task

MS_PER_SECOND = 1000.0
ANSWER_MARGIN = 0.03  # seconds before the caller's deadline that an own answer is sent
SILENCE_SECONDS = 0.5  # without a byte, after which the endpoint is tested
SUCCESS = range(200, 300)
SERVER_ERROR = range(500, 600)


class ForwardedCall(Task):
    """Owns the state of one call from its arrival to its final answer."""

    def __init__(
        self,
        context: CallContext,
        call: Call,
        route: Route,
        service: str,
        sink: Inbox,
        number: int,
    ) -> None:
        super().__init__()
        self.context = context
        self.env = context.env
        self.call = call
        self.route = route
        self.service = service
        wait = min(route.timeout_ms, call.fields.wait_ms or route.timeout_ms)
        self.deadline = call.received_at + wait / MS_PER_SECOND
        self.answer_by = max(self.deadline - ANSWER_MARGIN, call.received_at)
        self.log = CallLog(context.env, call, route)
        self.ledger = AttemptHistory()
        self.answer = CallerAnswer(
            env=context.env,
            dialect=context.dialect,
            sink=sink,
            call=number,
            request_id=call.fields.request_id,
            stream=EventStream(last_id=call.fields.last_event_id),
        )
        self.exchange: Exchange | None = None
        self.placement: Placement | None = None
        self.head: AnswerHead | None = None
        self.body = bytearray()
        self.prompt_read = False  # by the endpoint of the exchange
        self.heard_at = call.received_at  # when the exchange was written or had bytes
        self.over = False
        self.failed: set[str] = set()  # endpoints that failed this call
        self.arrivals = 0  # sends beyond a first prefill that reached an endpoint
        self.prompt = PromptReading()
        self._timers: list = []

    def start(self) -> None:
        """Begin to place the call."""
        super().start()
        self.context.fleet.tell(RequestSeen(self.service))
        self._after(self.answer_by - self.env.now, Tick("answer_by"))
        self.tell(Tick("place"))

    async def on_stop(self) -> None:
        """Release the exchange."""
        for timer in self._timers:
            if timer.active():
                timer.cancel()

    @singledispatchmethod
    async def receive(self, message: object) -> None:
        """Handle one message."""
        raise TypeError(f"unexpected message {message!r}")

    @receive.register
    async def _(self, message: Tick) -> None:
        if self.over:
            return
        if message.purpose == "place":
            await self._place()
        elif message.purpose == "answer_by":
            await self._out_of_time()
        elif self.exchange is not None and message.purpose == f"silence {self.exchange.number}":
            self._check_silence()

    @receive.register
    async def _(self, message: CallWritten) -> None:
        if not self._current(message.exchange):
            return
        # The first prefill doesn't count as an attempt, a second one does.
        if not self.exchange.prefill or self.prompt.reached > 1:
            self.ledger.record_sent(self.exchange.endpoint.id)
        self.heard_at = self.env.now
        if self.exchange.prefill or self.route.idempotent:
            self._after(SILENCE_SECONDS, Tick(f"silence {message.exchange}"))

    @receive.register
    async def _(self, message: AnswerStarted) -> None:
        if self._current(message.exchange):
            self.head = message.head
            self.body.clear()

    @receive.register
    async def _(self, message: AnswerData) -> None:
        if not self._current(message.exchange):
            return
        self.heard_at = self.env.now
        if not (self.exchange.prefill or self.exchange.handed_over or self.prompt_read):
            self.prompt_read = True
            self.context.fleet.tell(PromptRead(self.exchange.endpoint.id, message.exchange))
        if self._streams():
            self.answer.send_events(self.head, message.data)
        else:
            self.body += message.data

    @receive.register
    async def _(self, message: AnswerEnded) -> None:
        if self._current(message.exchange):
            await self._answered()

    @receive.register
    async def _(self, message: ExchangeFailed) -> None:
        if not self._current(message.exchange):
            return
        if self.exchange.prefill:
            await self._prefill_failed(message.reason, missed=not message.sent)
        elif not message.sent:
            await self._attempt_failed(AttemptOutcome.NOT_SENT, message.reason)
        elif self._refused_to_run():
            await self._attempt_failed(AttemptOutcome.NOT_RUN, f"status {self.head.status}")
        else:
            await self._attempt_failed(AttemptOutcome.BROKEN, message.reason)

    @receive.register
    async def _(self, message: EndpointTested) -> None:
        if not self._current(message.exchange):
            return
        if message.reachable:
            self._after(SILENCE_SECONDS, Tick(f"silence {message.exchange}"))
        elif self.exchange.prefill:
            await self._prefill_failed("endpoint is not reachable", missed=True)
        else:
            await self._attempt_failed(
                AttemptOutcome.BROKEN, "endpoint is not reachable", reported="missed"
            )

    @receive.register
    async def _(self, message: CallerGone) -> None:
        if not self.over:
            self._end_exchange("left")
            self._finish("caller gone")

    async def _ask_placement(self, prompt: PromptState) -> Placement | None:
        allowed = None
        if len(self.ledger.tried_endpoints) >= self.route.attempts:
            allowed = frozenset(self.ledger.tried_endpoints)
        return await self.context.fleet.ask(
            Place(
                service=self.service,
                fields=self.call.fields,
                excluded=frozenset(
                    self.failed - self.ledger.tried_endpoints if allowed else self.failed
                ),
                allowed=allowed,
                prompt=prompt,
                rank=self.route.priority,
                slack=self._slack(),
                kv_home=self.prompt.kv_home,
            )
        )

    async def _place(self) -> None:
        repeated = self.prompt.reached > 0
        attempts_left = self.route.attempts - len(self.ledger.tried_endpoints)
        placement = await self._ask_placement(self.prompt.next(attempts_left))
        read_again = repeated and placement is not None and placement.prefill_engine is not None
        if read_again and not await self.context.fleet.ask(SpendRepeat(self.service)):
            placement = await self._ask_placement(PromptState.PREFILL_AT_DECODER)
        if placement is None:
            await self._attempt_failed(AttemptOutcome.NO_ENDPOINT, "no endpoint can take the call")
            return
        self.placement = placement
        if placement.prefill_engine is not None:
            self._send_prefill(placement)
        else:
            await self._send(placement.endpoint, kv_source=None)

    def _send_prefill(self, placement: Placement) -> None:
        self.prompt.sent += 1
        sent = SentFields(
            time_left_ms=self._time_left_ms(),
            endpoint=placement.prefill_engine.id,
            priority=self._priority(),
            stage=Stage.PREFILL,
        )
        self._send_call(placement.prefill_engine, sent, prefill=True)

    async def _send(self, endpoint: EndpointInfo, kv_source: str | None) -> None:
        if self.arrivals and not await self.context.fleet.ask(SpendRepeat(self.service)):
            await self._give_up(AttemptOutcome.NOT_RUN, "allowance of repeats is spent")
            return
        sent = SentFields(
            time_left_ms=self._time_left_ms(),
            endpoint=endpoint.id,
            priority=self._priority(),
            kv_source=kv_source,
            last_event_id=self.answer.stream.last_id,
        )
        self.arrivals += 1
        self._send_call(endpoint, sent, prefill=False)

    def _send_call(self, endpoint: EndpointInfo, sent: SentFields, *, prefill: bool) -> None:
        number = self.context.channels.next_exchange()
        handed_over = sent.kv_source is not None
        self.exchange = Exchange(number, endpoint, prefill=prefill, handed_over=handed_over)
        self.head = None
        self.prompt_read = False
        self.log.attempt(self.exchange, self.placement, sent)
        self.context.fleet.tell(
            WorkSent(
                endpoint=endpoint.id,
                read_seconds=0.0 if handed_over else self.placement.prefill_seconds,
                fields=self.call.fields,
                seconds=longest_seconds(self.route, self.deadline - self.env.now),
                time_left=self.deadline - self.env.now,
                exchange=number,
                rank=self.placement.rank,
            )
        )
        outgoing = outgoing_call(
            exchange=self.exchange,
            call=self.call,
            route=self.route,
            sent=sent,
            dialect=self.context.dialect,
            sink=self.inbox,
        )
        self.context.channels.tell(SendCall(outgoing))

    async def _answered(self) -> None:
        if self.exchange.prefill:
            await self._prefill_answered()
        elif self._refused_to_run():
            await self._attempt_failed(AttemptOutcome.NOT_RUN, f"status {self.head.status}")
        elif (problem := invalid_answer(self.head)) is not None:
            await self._attempt_failed(AttemptOutcome.BROKEN, problem)
        elif self.head.status in SERVER_ERROR or (self.answer.begun and not self._streams()):
            await self._attempt_failed(AttemptOutcome.FAILED, f"status {self.head.status}")
        else:
            self._complete()

    def _complete(self) -> None:
        streams = self._streams()
        self._end_exchange("answered")
        if streams:
            self.answer.finish_events(self.head)
        else:
            self.answer.send_whole(self.head, bytes(self.body))
        self._finish("answered", status=self.head.status)

    def _streams(self) -> bool:
        return (
            self.route.kind is Kind.STREAM
            and self.head is not None
            and self.head.status in SUCCESS
            and not self.exchange.prefill
            and invalid_answer(self.head) is None
        )

    def _refused_to_run(self) -> bool:
        return self.head is not None and self.head.fields.not_run

    async def _prefill_answered(self) -> None:
        if self.head.status not in SUCCESS:
            await self._prefill_failed(f"status {self.head.status}")
            return
        try:
            kept = self.context.dialect.read_kv_handle(bytes(self.body))
        except DecodeError as exc:
            await self._prefill_failed(str(exc))
            return
        source = self.exchange.endpoint
        self.prompt.keep(source, kept.handle, self.env.now)
        self.context.fleet.tell(PromptRead(source.id, self.exchange.number))
        self._end_exchange("answered")
        # The prompt may have waited for seconds; the engine that was to decode may leave by now.
        placement = await self._ask_placement(PromptState.PREFILLED)
        if placement is None:
            await self._attempt_failed(AttemptOutcome.NO_ENDPOINT, "no endpoint can decode")
            return
        self.placement = placement
        kv_source = self.context.dialect.kv_source(source.address, kept.handle)
        await self._send(placement.endpoint, kv_source=kv_source)

    async def _prefill_failed(self, reason: str, *, missed: bool = False) -> None:
        failed = self.exchange.endpoint
        self.log.failed(
            self.exchange, AttemptOutcome.NOT_SENT if missed else AttemptOutcome.NOT_RUN, reason
        )
        refused = not missed and self._refused_to_run()
        self._end_exchange("missed" if missed else "refused" if refused else "failed")
        if missed:
            self.prompt.miss()
        else:
            self.arrivals += 1  # only a prefill that was accepted is free
            self.failed.add(failed.id)
        await self._place()

    async def _attempt_failed(
        self, outcome: AttemptOutcome, reason: str, reported: str | None = None
    ) -> None:
        self.ledger.record_failure(outcome)
        self.log.failed(self.exchange, outcome, reason)
        handed_over = self.exchange is not None and self.exchange.handed_over
        if self.exchange is not None:
            if outcome is AttemptOutcome.NOT_RUN and handed_over:
                self.context.fleet.tell(KvCacheLost(self.prompt.kv_source.id))
                reported = "left"
            else:
                self.failed.add(self.exchange.endpoint.id)
            self._end_exchange(reported or _reported(outcome))
        if outcome is AttemptOutcome.NOT_SENT:
            self.arrivals -= 1
        self.answer.stream.discard_incomplete()
        at = self._situation(outcome)
        if decide(at, self.ledger) is NextStep.RETRY and self._endpoint_left():
            await self._place()
        else:
            await self._give_up(outcome, reason)

    def _check_silence(self) -> None:
        """Have an endpoint tested that sent nothing for a while."""
        if self.env.now - self.heard_at >= SILENCE_SECONDS:
            self.spawn(self._test_endpoint(self.exchange))
        else:
            self._after(SILENCE_SECONDS, Tick(f"silence {self.exchange.number}"))

    async def _test_endpoint(self, exchange: Exchange) -> None:
        reachable = await self.context.channels.ask(ProbeAddress(exchange.endpoint.address))
        self.tell(EndpointTested(exchange.number, reachable))

    def _endpoint_left(self) -> bool:
        return len(self.ledger.tried_endpoints) < self.route.attempts or bool(
            self.ledger.tried_endpoints - self.failed
        )

    async def _give_up(self, outcome: AttemptOutcome, reason: str) -> None:
        next_step = final_step(self._situation(outcome), self.ledger)
        if next_step is NextStep.CLOSE_CONNECTION:
            self.answer.cut()
        elif next_step is NextStep.FORWARD:
            self.answer.send_whole(self.head, bytes(self.body))
        elif next_step is NextStep.REFUSE:
            self.answer.refuse(ResultCode.NO_ENDPOINT, reason)
        else:
            self.answer.refuse(ResultCode.ENDPOINT_FAILED, reason)
        self._finish(next_step.value, reason=reason)

    async def _out_of_time(self) -> None:
        may_have_run = self.exchange is not None and not self.exchange.prefill
        self._end_exchange("left")
        if self.answer.begun:
            self.answer.cut()
        elif may_have_run or self.ledger.may_have_run:
            self.answer.refuse(ResultCode.DEADLINE_MISSED, "no answer within the time limit")
        else:
            self.answer.refuse(ResultCode.NO_ENDPOINT, "not sent within the time limit")
        self._finish("out of time")

    def _situation(self, outcome: AttemptOutcome) -> FailedAttempt:
        return FailedAttempt(
            route=self.route,
            outcome=outcome,
            now=self.env.now,
            response_deadline=self.answer_by,
            response_started=self.answer.begun,
        )

    def _end_exchange(self, outcome: str) -> None:
        exchange, self.exchange = self.exchange, None
        if exchange is None:
            return
        self.context.channels.tell(CancelCall(exchange.number))
        self.context.fleet.tell(WorkOver(exchange.endpoint.id, exchange.number, outcome))
        if exchange.handed_over and outcome in ("answered", "failed"):
            self.prompt.release()

    def _finish(self, outcome: str, **fields: object) -> None:
        self.over = True
        if (kept := self.prompt.release()) is not None:
            self.context.fleet.spawn(release_kv_cache(self.context, *kept))
        self.log.ended(outcome, self.answer, self.arrivals, self.prompt.read_at, **fields)
        self.stop()

    def _priority(self) -> int | None:
        return self.placement.rank if self.route.prefix_affinity else None

    def _slack(self) -> float:
        """Return the seconds until the objective is missed."""
        return self.route.objective_ms / MS_PER_SECOND - (self.env.now - self.call.received_at)

    def _time_left_ms(self) -> float:
        return (self.deadline - self.env.now) * MS_PER_SECOND

    def _current(self, exchange: int) -> bool:
        return not self.over and self.exchange is not None and self.exchange.number == exchange

    def _after(self, seconds: float, message: Tick) -> None:
        self._timers.append(self.env.clock.callLater(max(0.0, seconds), self.tell, message))


def _reported(outcome: AttemptOutcome) -> str:
    if outcome is AttemptOutcome.NOT_SENT:
        return "missed"
    return "refused" if outcome is AttemptOutcome.NOT_RUN else "failed"
