"""The task of one caller's request: places it, sends it, and forwards the response."""

from functools import singledispatchmethod

from chivewall.decisions.crash_evidence import Verdict
from chivewall.decisions.event_stream import EventStream
from chivewall.decisions.forwarding import AttemptOutcome
from chivewall.decisions.request_ranks import RequestRanks
from chivewall.errors import DecodeError, EndpointError
from chivewall.gateway.caller_messages import CallerDisconnected, EndBy
from chivewall.gateway.caller_response import CallerResponse
from chivewall.gateway.exchange import (
    BrokenEndpointProbed,
    EndConfirmed,
    EndpointProbed,
    RequestContext,
    WaitEnded,
)
from chivewall.gateway.exchange_messages import (
    ExchangeFailed,
    RequestWritten,
    ResponseData,
    ResponseEnded,
    ResponseStarted,
)
from chivewall.gateway.extra_attempt_messages import AnswerSlow
from chivewall.gateway.fleet_messages import RequestReceived
from chivewall.gateway.http_dialect import CallerRequest
from chivewall.gateway.part_messages import PartsSuspected
from chivewall.gateway.request_exchanges import SILENCE_SECONDS
from chivewall.gateway.request_permits import MAX_DENIED, PermitsAcquired
from chivewall.gateway.request_stages import make_request_stages
from chivewall.gateway.request_terms import RequestTerms
from chivewall.gateway.response_receiver import SUCCESS_STATUSES
from chivewall.gateway.routing_configuration import Route, RouteKind, Workspace
from chivewall.gateway.workspace_messages import WorkspacesInForce
from chivewall.messages import Tick
from chivewall.task import Inbox, Task


class ForwardedRequest(Task):
    """Serves one request, from its arrival to the end of its response."""

    def __init__(
        self,
        context: RequestContext,
        request: CallerRequest,
        route: Route,
        service: str,
        connection: Inbox,
        request_number: int,
        workspace: Workspace | None = None,
        *,
        workspaces_in_use: bool = False,
        ranks: RequestRanks | None = None,
    ) -> None:
        super().__init__()
        self.context = context
        self.env = context.env
        self.request = request
        self.route = route
        self.service = service
        self.terms = RequestTerms(
            env=context.env,
            request=request,
            route=route,
            service=service,
            workspace=workspace,
            workspaces_in_use=workspaces_in_use,
            ranks=ranks,
        )
        response = CallerResponse(
            env=context.env,
            dialect=context.dialect,
            connection=connection,
            request_number=request_number,
            request_id=request.fields.request_id,
            stream=EventStream(last_id=request.fields.last_event_id),
        )
        stages = make_request_stages(context, self.terms, response, self.inbox)
        self.timers = stages.timers
        self.history = stages.history
        self.received = stages.received
        self.prefill = stages.prefill
        self.prompt = stages.prompt
        self.permits = stages.permits
        self.extra = stages.extra
        self.exchanges = stages.exchanges
        self.receiver = stages.receiver
        self.search = stages.search
        self.judge = stages.judge
        self.ending = stages.ending
        self.next_attempt = stages.next_attempt

    def start(self) -> None:
        """Start the task and place the request."""
        super().start()
        self.context.fleet.send(RequestReceived(self.service, self.terms.workspace_use()))
        self.timers.schedule(self.terms.seconds_to_answer(), Tick("answer_by"))
        self.send(Tick("place"))

    async def on_stop(self) -> None:
        """Cancel the timers."""
        self.timers.cancel()

    @singledispatchmethod
    async def receive(self, message: object) -> None:
        """Handle one message."""
        raise TypeError(f"unexpected message {message!r}")

    @receive.register
    async def _(self, message: Tick) -> None:
        if self.ending.ended:
            return
        if message.purpose == "answer_by":
            self.ending.time_out()
        elif message.purpose == "place" and self.exchanges.current is None:
            await self._place()
        elif message.purpose == "decode" and self.exchanges.current is None:
            await self._decode()
        elif self.exchanges.current is not None:
            await self._check_exchange(message.purpose)

    @receive.register
    async def _(self, message: AnswerSlow) -> None:
        waits = self._is_current(message.exchange) and self.received.head is None
        if waits and self.terms.key_refusal is None:
            self.exchanges.arrivals += await self.extra.begin(
                self.exchanges.current,
                self.terms.response_deadline,
                self.search.find_spare,
                self.terms.workspace_fields(),
            )

    @receive.register
    async def _(self, message: EndBy) -> None:
        if not self.ending.ended and self.terms.end_by(message.deadline):
            self.timers.schedule(self.terms.seconds_to_answer(), Tick("answer_by"))

    @receive.register
    async def _(self, message: WorkspacesInForce) -> None:
        if self.ending.ended:
            return
        self.terms.apply(message)
        if self.terms.key_refusal is not None and self.exchanges.current is None:
            self.ending.end_without_key(AttemptOutcome.NOT_RUN)

    @receive.register
    async def _(self, message: RequestWritten) -> None:
        if not self._is_current(message.exchange):
            self.extra.record_written(message)
            return
        self.exchanges.record_written()
        if self.exchanges.current.prefill or self.route.idempotent:
            self.timers.schedule(SILENCE_SECONDS, Tick(f"silence {message.exchange}"))
        if self.extra.may_follow(self.exchanges.current):
            self.spawn(self.extra.await_slowness(self.exchanges.current))

    @receive.register
    async def _(self, message: ResponseStarted) -> None:
        if self.extra.wins_with(message):
            self._take_extra("won")
        elif self._is_current(message.exchange):
            self.received.start(message.head)
            if self.receiver.succeeded:
                self.exchanges.report_answer()
                self.extra.cancel()
        else:
            return
        if self.route.kind is not RouteKind.STREAM:
            self.receiver.report_began()

    @receive.register
    async def _(self, message: ResponseData) -> None:
        if not self._is_current(message.exchange):
            return
        self.exchanges.record_data()
        if not (self.exchanges.current.prefill or self.receiver.first_bytes_reported):
            self.receiver.report_first_bytes(prefilled=not self.exchanges.current.fetches_kv_cache)
            if self.receiver.streaming:
                self.receiver.report_began()
        try:
            self.receiver.take_data(message.data)
        except EndpointError as exc:
            await self._attempt_failed(AttemptOutcome.BROKEN, str(exc))

    @receive.register
    async def _(self, message: ResponseEnded) -> None:
        if self._is_current(message.exchange):
            await self._handle_response(until_closed=message.until_closed)

    @receive.register
    async def _(self, message: ExchangeFailed) -> None:
        if not self._is_current(message.exchange):
            self.extra.record_failed(message)
            return
        if self.exchanges.current.prefill:
            await self._prefill_failed(message.reason, missed=not message.sent)
        else:
            await self._attempt_failed(*self.judge.failure_of_exchange(message))

    @receive.register
    async def _(self, message: EndpointProbed) -> None:
        if not self._is_current(message.exchange):
            return
        silent = not message.reachable and self.exchanges.silent
        if silent and self.exchanges.current.prefill:
            await self._prefill_failed("endpoint is not reachable", missed=True)
        elif silent and await self.judge.reserve_hand_over():
            await self._attempt_failed(
                AttemptOutcome.BROKEN, "endpoint is not reachable", work_outcome="missed"
            )
        else:
            self.timers.schedule(SILENCE_SECONDS, Tick(f"silence {message.exchange}"))

    @receive.register
    async def _(self, message: BrokenEndpointProbed) -> None:
        if self.ending.ended:
            return
        self.judge.record_probed(message)
        await self._continue_after(AttemptOutcome.BROKEN, message.attempt.reason)

    @receive.register
    async def _(self, message: EndConfirmed) -> None:
        if not self._is_current(message.exchange):
            return
        if message.same_process:
            self.ending.complete()
        else:
            await self._attempt_failed(
                AttemptOutcome.BROKEN, "the endpoint may have ended inside its response"
            )

    @receive.register
    async def _(self, message: WaitEnded) -> None:
        if self.ending.ended:
            return
        if message.endpoint_left:
            self.timers.schedule(message.not_before - self.env.now, Tick(message.step))
        else:
            self.ending.give_up(AttemptOutcome.NO_ENDPOINT, "no endpoint is left that may run it")

    @receive.register
    async def _(self, message: PermitsAcquired) -> None:
        if self.ending.ended:
            self.permits.release(message.permits)
            return
        self.permits.record(message)
        if self.permits.denied > MAX_DENIED:
            await self._permits_denied(message)
        elif message.step == "decode":
            await self._decode()
        else:
            await self._place()

    @receive.register
    async def _(self, message: PartsSuspected) -> None:
        if not self.ending.ended and self.judge.may_withdraw():
            check = await self.prompt.check()
            if check.verdict in (Verdict.WAIT, Verdict.REFUSE):
                # Events that were received during the check come first.
                self.send(Tick(f"withdraw {self.exchanges.current.number}"))

    @receive.register
    async def _(self, message: CallerDisconnected) -> None:
        if not self.ending.ended:
            self.ending.abandon(by_gateway=message.by_gateway)

    async def _check_exchange(self, purpose: str) -> None:
        """Take the step that a tick names, if it is for the exchange in progress."""
        number = self.exchanges.current.number
        if purpose == f"silence {number}":
            self._check_silence()
        elif purpose == f"stall {number}":
            await self._check_stall()
        elif purpose == f"withdraw {number}":
            self._withdraw()

    async def _check_stall(self) -> None:
        if self.env.now < self.receiver.next_event_by:
            left = self.receiver.next_event_by - self.env.now
            self.receiver.schedule_stall_check(left)
        elif self.route.resumable:
            if await self.judge.reserve_hand_over():
                await self._attempt_failed(
                    AttemptOutcome.BROKEN, "the stream makes no progress", work_outcome="failed"
                )
            else:
                self.receiver.schedule_stall_check(SILENCE_SECONDS)

    async def _place(self) -> None:
        if not await self.next_attempt.place(self.spawn):
            await self._attempt_failed(
                AttemptOutcome.NO_ENDPOINT, "no endpoint can take the request"
            )

    async def _decode(self) -> None:
        if not await self.next_attempt.decode(self.spawn):
            await self._attempt_failed(
                AttemptOutcome.NO_ENDPOINT, "no engine can decode", next_step="decode"
            )

    async def _permits_denied(self, message: PermitsAcquired) -> None:
        """Refuse the request after too many denied permits, or wait if it can't be refused."""
        reason = "the endpoints take no more requests"
        if self.search.committed:
            await self._attempt_failed(AttemptOutcome.NO_ENDPOINT, reason, next_step=message.step)
        else:
            wait = message.denied.wait
            self.ending.give_up(AttemptOutcome.NOT_RUN, reason, retry_after=wait)

    async def _handle_response(self, *, until_closed: bool) -> None:
        if self.exchanges.current.prefill:
            await self._handle_prefill_response()
        elif (failure := self.judge.failure_of_response()) is not None:
            await self._attempt_failed(*failure)
        elif until_closed:
            # A crash ends the connection too, where a response has neither a length nor chunks.
            self.spawn(self.judge.confirm_end(self.exchanges.current))
        else:
            self.ending.complete()

    async def _handle_prefill_response(self) -> None:
        if self.received.head.status not in SUCCESS_STATUSES:
            await self._prefill_failed(f"status {self.received.head.status}")
            return
        try:
            kept = self.context.dialect.decode_kv_handle(self.received.body)
        except DecodeError as exc:
            await self._prefill_failed(str(exc))
            return
        source = self.exchanges.current.endpoint
        self.prefill.record_prefilled(source, kept.handle, self.env.now)
        self.receiver.report_first_bytes(prefilled=True)
        self.exchanges.end("answered")
        await self._decode()

    async def _prefill_failed(self, reason: str, *, missed: bool = False) -> None:
        self.judge.end_prefill(reason, missed=missed)
        await self._place()

    async def _attempt_failed(
        self,
        outcome: AttemptOutcome,
        reason: str,
        *,
        work_outcome: str | None = None,
        next_step: str = "place",
    ) -> None:
        broken = self.judge.end_attempt(outcome, reason, work_outcome)
        if self.extra.running:
            self._take_extra("took over")
        elif broken is not None:
            self.spawn(self.judge.probe_broken_endpoint(broken))
        else:
            await self._continue_after(outcome, reason, next_step=next_step)

    def _take_extra(self, outcome: str) -> None:
        """Go on with the extra attempt alone."""
        self.exchanges.take_extra(outcome)
        self.receiver.begin_exchange(self.extra.head)
        if self.extra.written_at is not None:
            if self.extra.head is not None:
                self.exchanges.report_answer()
            self.timers.schedule(SILENCE_SECONDS, Tick(f"silence {self.exchanges.current.number}"))

    async def _continue_after(
        self, outcome: AttemptOutcome, reason: str, *, next_step: str = "place"
    ) -> None:
        """Retry, wait or give up after a failed attempt."""
        if self.terms.key_refusal is not None:
            self.ending.end_without_key(outcome)
        elif self.judge.may_retry(outcome):
            await self._place()
        elif self.judge.may_wait(outcome):
            self.next_attempt.wait(next_step, reason, self.spawn)
        else:
            self.ending.give_up(outcome, reason)

    def _withdraw(self) -> None:
        """Take the request back from an engine that one of its parts may crash."""
        if self.judge.may_withdraw():
            self.judge.withdraw()
            self.send(Tick("place"))

    def _check_silence(self) -> None:
        """Test the endpoint's reachability if it has sent no bytes for a while."""
        if self.exchanges.silent:
            self.spawn(self.judge.test_endpoint(self.exchanges.current))
        else:
            self.timers.schedule(SILENCE_SECONDS, Tick(f"silence {self.exchanges.current.number}"))

    def _is_current(self, exchange: int) -> bool:
        return not self.ending.ended and self.exchanges.is_current(exchange)
