"""The task that serves one request: it sends attempts until one gets a complete response."""

from functools import singledispatchmethod

from attrs import define, evolve, frozen
from twisted.internet.interfaces import IDelayedCall

from chivewall.decisions.attempts import Phase, RequestProgress
from chivewall.decisions.retries import (
    Failure,
    GiveUp,
    Retry,
    RetryCost,
    decide,
    is_transient,
    transient_wait,
    unknown_outcome,
)
from chivewall.decisions.routing import Route
from chivewall.decisions.streams import PartAction, ResponseStream
from chivewall.environment import Environment
from chivewall.events import Event
from chivewall.messages import (
    AttemptBroken,
    AttemptEnded,
    AttemptSent,
    CancelAttempt,
    CancelRequest,
    ChooseRoute,
    LinkFailed,
    OutputCounted,
    ReportReceived,
    ServeRequest,
    SubmitAttempt,
    Tick,
)
from chivewall.results import ResultCode, RunState
from chivewall.task import Query, Task
from chivewall.work import Attempt, End, Part, PartBody, Refusal, Request, Tokens, Waiting

CHECK_SECONDS = 0.5  # interval between checks of the agent's silence and of the deadline
START_ATTEMPT = Tick("try")
CHECK_PROGRESS = Tick("check")


@define(eq=False)
class SpendRetry(Query):
    """Query to take one retry from the budget of a rank; the reply is True if it was granted."""

    request: Request


@define(eq=False)
class SpendLateResponse(Query):
    """Query to serve an urgent request after its target; the reply is True if it was granted."""


@frozen
class RequestServed:
    """Tells the dispatcher that a request has ended."""

    request_id: str


@frozen
class InterruptRequest:
    """Tells a dispatch task to end its request now, because the entry stops."""


class RequestTask(Task):
    """Task that serves one request, with retries at other endpoints."""

    def __init__(
        self, env: Environment, directory: Task, dispatcher: Task, serve: ServeRequest
    ) -> None:
        super().__init__()
        self.env = env
        self.directory = directory
        self.dispatcher = dispatcher
        self.request = serve.request
        self.sink = serve.sink
        self.stream = ResponseStream(request_id=self.request.id)
        self.route: Route | None = None
        self.progress = RequestProgress()
        self.parts_sent = 0
        self.started_at = env.now
        self.first_token_at: float | None = None
        self.check_timer: IDelayedCall | None = None
        self.retry_timer: IDelayedCall | None = None

    def start(self) -> None:
        """Start the task and its first attempt."""
        super().start()
        self.send(START_ATTEMPT)
        self._schedule_check()

    async def on_stop(self) -> None:
        """Stop the timers."""
        for timer in (self.check_timer, self.retry_timer):
            if timer is not None and timer.active():
                timer.cancel()

    @singledispatchmethod
    async def receive(self, message: object) -> None:
        """Handle one message."""
        raise TypeError(f"unexpected message {message!r}")

    @receive.register
    async def _(self, message: Tick) -> None:
        if self.progress.ended:
            return
        if message == START_ATTEMPT:
            await self._start_attempt()
            return
        await self._check_progress()
        if not self.progress.ended:
            self._schedule_check()

    @receive.register
    async def _(self, message: Part) -> None:
        if message.report is not None:
            self.directory.send(ReportReceived(message.report))
        if self.progress.phase is not Phase.ATTEMPTING:
            return
        if _is_duplicate_notice(message):
            return  # the agent also received the attempt itself; its parts follow
        verdict, part = self.stream.check_part(message)
        if verdict is PartAction.DROP:
            self.env.log.emit(Event.PART_DROPPED, request=self.request.id, attempt=message.attempt)
            return
        if verdict is PartAction.BROKEN:
            await self._fail(unknown_outcome(self.request, "parts of the response are missing"))
            return
        self.progress.last_part_at = self.env.now
        if isinstance(part.body, Refusal):
            await self._fail(part.body, failed=part.body.code is ResultCode.ENDPOINT_FAILED)
        elif not isinstance(part.body, Waiting):
            self._forward(part.body)

    @receive.register
    async def _(self, message: AttemptBroken) -> None:
        if not self.progress.expects(message.attempt):
            return
        if message.may_have_arrived:
            refusal = unknown_outcome(self.request, message.reason)
        else:
            refusal = Refusal(code=ResultCode.NO_ENDPOINT, message=message.reason, run=RunState.NO)
        await self._fail(refusal)

    @receive.register
    async def _(self, message: CancelRequest) -> None:
        self._interrupt(ResultCode.CANCELLED, "the caller closed the connection")

    @receive.register
    async def _(self, message: InterruptRequest) -> None:
        self._interrupt(ResultCode.DRAINING, "this entry stops")

    async def _start_attempt(self) -> None:
        refusal = self.progress.start_search()
        query = ChooseRoute(request=self.request, excluded=frozenset(self.progress.excluded))
        route = await self.directory.query(query)
        if route is not None and route.reused and is_transient(refusal):
            await self._wait_or_end(refusal)
            return
        if route is None:
            refusal = Refusal(
                code=ResultCode.NO_ENDPOINT,
                message=f"no endpoint offers {self.request.work.target!r} now",
                run=RunState.NO,
                retry_after=1.0,
            )
            await self._retry_or_end(Failure(endpoint=None, refusal=refusal))
            return
        self.route = route
        number = self.progress.start_attempt(self.env.now)
        self.stream.begin_attempt(number)
        attempt = Attempt(
            request=self.request,
            number=number,
            endpoint=route.endpoint,
            incarnation=route.incarnation,
            delivered=tuple(self.stream.delivered),
        )
        self.directory.send(AttemptSent(route=route, attempt=attempt))
        self.directory.send(SubmitAttempt(attempt=attempt, sink=self.inbox))

    async def _check_progress(self) -> None:
        now = self.env.now
        if now >= self.request.deadline:
            await self._miss_deadline()
        elif self.progress.is_silent(now):
            self.directory.send(
                LinkFailed(
                    endpoint=self.route.endpoint,
                    reason="no response part in time",
                    incarnation=self.route.incarnation,
                    attempt_key=(self.request.id, self.progress.attempt),
                )
            )
            await self._fail(unknown_outcome(self.request, "the agent stopped responding"))

    def _schedule_check(self) -> None:
        until_deadline = max(0.0, self.request.deadline - self.env.now)
        delay = min(CHECK_SECONDS, until_deadline)
        self.check_timer = self.env.clock.callLater(delay, self.send, CHECK_PROGRESS)

    async def _miss_deadline(self) -> None:
        run = self.progress.run_tracker.run_state  # an attempt in flight may have run
        self._cancel_attempt(failed=False)
        self._end_with(
            Refusal(code=ResultCode.DEADLINE_MISSED, message="the deadline passed", run=run)
        )

    async def _fail(self, refusal: Refusal, *, failed: bool = True) -> None:
        endpoint = self.route.endpoint
        self.env.log.emit(
            Event.ATTEMPT_FAILED,
            request=self.request.id,
            attempt=self.progress.attempt,
            endpoint=endpoint,
            code=refusal.code.name,
            run=refusal.run.value,
            reason=refusal.message,
            **_limit_fields(refusal),
        )
        self.progress.fail_attempt(endpoint, refusal)
        self._cancel_attempt(failed=failed)
        await self._retry_or_end(Failure(endpoint=endpoint, refusal=refusal))

    async def _retry_or_end(self, failure: Failure) -> None:
        decision = decide(
            self.request, failure, self.progress.run_tracker, self.progress.searches, self.env.now
        )
        if isinstance(decision, GiveUp):
            self._end_with(decision.refusal)
        elif decision.cost is RetryCost.FREE or await self.dispatcher.query(
            SpendRetry(self.request)
        ):
            self._schedule_retry(decision)
        else:
            await self._wait_or_end(failure.refusal, code=ResultCode.RETRIES_SPENT)

    async def _retry_without_target(self, refusal: Refusal) -> bool:
        """Retry without the first-token target if no endpoint can meet it and the budget allows.

        Return whether a retry was scheduled.
        """
        if refusal.code is not ResultCode.TARGET_MISSED:
            return False
        if not await self.dispatcher.query(SpendLateResponse()):
            return False
        self.request = evolve(self.request, first_token_deadline=None)
        self._schedule_retry(
            Retry(at=self.env.now, reason="served late instead of refused"), clear_excluded=True
        )
        return True

    async def _wait_or_end(self, refusal: Refusal, code: ResultCode | None = None) -> None:
        """Retry at any endpoint after the wait that the refusal asks for, or end the request."""
        if await self._retry_without_target(refusal):
            return
        wait = transient_wait(self.request, refusal, self.env.now, self.env.random)
        if wait is None:
            code = refusal.code if is_transient(refusal) else code or refusal.code
            self._end_with(evolve(refusal, code=code))
            return
        self._schedule_retry(wait, clear_excluded=True)

    def _schedule_retry(self, retry: Retry, *, clear_excluded: bool = False) -> None:
        self.progress.wait(clear_excluded=clear_excluded)
        self.env.log.emit(
            Event.RETRY_DECIDED,
            request=self.request.id,
            attempt=self.progress.attempt,
            reason=retry.reason,
            excluded=sorted(self.progress.excluded),
        )
        delay = max(0.0, retry.at - self.env.now)
        self.retry_timer = self.env.clock.callLater(delay, self.send, START_ATTEMPT)

    def _interrupt(self, code: ResultCode, message: str) -> None:
        if self.progress.ended:
            return
        run = self.progress.run_tracker.run_state
        self._cancel_attempt(failed=False)
        self._end_with(Refusal(code=code, message=message, run=run))

    def _forward(self, body: PartBody) -> None:
        if self.first_token_at is None:
            self.first_token_at = self.env.now
        if isinstance(body, End):
            self.directory.send(OutputCounted(self.request, body.completion_tokens))
        if isinstance(body, Tokens):
            self._put(body)
        else:
            self._cancel_attempt(failed=False)
            self._finish(body, "complete" if not isinstance(body, End) else body.finish_reason)

    def _end_with(self, refusal: Refusal) -> None:
        refusal = self.progress.run_tracker.with_true_run_state(refusal)
        self._finish(refusal, refusal.code.name)

    def _put(self, body: PartBody) -> None:
        self.sink.put(Part(self.request.id, attempt=0, seq=self.parts_sent, body=body))
        self.parts_sent += 1

    def _cancel_attempt(self, *, failed: bool) -> None:
        if self.route is None:
            return
        endpoint, incarnation = self.route.endpoint, self.route.incarnation
        self.route = None
        self.directory.send(CancelAttempt(self.request.id, self.progress.attempt, endpoint))
        self.directory.send(
            AttemptEnded(
                self.request.id,
                self.progress.attempt,
                endpoint=endpoint,
                failed=failed,
                incarnation=incarnation,
            )
        )

    def _finish(self, last: PartBody, outcome: str) -> None:
        self.progress.finish()
        self._put(last)
        self.env.log.emit(
            Event.REQUEST_ENDED,
            request=self.request.id,
            workspace=self.request.workspace,
            rank=self.request.rank.value,
            attempts=self.progress.attempt,
            outcome=outcome,
            seconds=round(self.env.now - self.started_at, 4),
            **self._ending_fields(last),
        )
        self.dispatcher.send(RequestServed(self.request.id))

    def _ending_fields(self, last: PartBody) -> dict[str, object]:
        """Return the fields of ``REQUEST_ENDED`` for the first token and for a refusal."""
        fields: dict[str, object] = {}
        if self.first_token_at is not None:
            fields["first_token_seconds"] = round(self.first_token_at - self.started_at, 4)
        if isinstance(last, Refusal):
            fields |= {"run": last.run.value, "reason": last.message, **_limit_fields(last)}
            if last.retry_after is not None:
                fields["retry_after"] = last.retry_after
        return fields


def _limit_fields(refusal: Refusal) -> dict[str, str]:
    """Return the event fields that name the limit behind a refusal, if there is one."""
    if refusal.limit is None:
        return {}
    return {"limit": refusal.limit, "limit_reason": refusal.reason or ""}


def _is_duplicate_notice(part: Part) -> bool:
    return isinstance(part.body, Refusal) and part.body.code is ResultCode.DUPLICATE_ATTEMPT
