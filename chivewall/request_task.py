"""The task that serves one request: it tries endpoints until the answer is whole."""

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
    Abandon,
    AttemptBroken,
    AttemptEnded,
    AttemptSent,
    CancelAttempt,
    ChooseRoute,
    EndpointSilent,
    OutputSeen,
    ReportSeen,
    Serve,
    SubmitAttempt,
    Tick,
)
from chivewall.results import ResultCode, RunState
from chivewall.task import Query, Task
from chivewall.work import Attempt, End, Part, PartBody, Refusal, Request, Tokens, Waiting

WATCH_SECONDS = 0.5  # between checks for silence and the deadline
TRY = Tick("try")
CHECK = Tick("check")


@define(eq=False)
class SpendRetry(Query):
    """Ask for one retry from the budget of a rank; answered with a bool."""

    request: Request


@define(eq=False)
class SpendLate(Query):
    """Ask to serve one urgent request after its target; answered with a bool."""


@frozen
class Served:
    """A dispatch task has ended its request."""

    request_id: str


@frozen
class Interrupt:
    """The entry stops; the request ends now."""


class Dispatch(Task):
    """Serves one request."""

    def __init__(self, env: Environment, directory: Task, dispatcher: Task, serve: Serve) -> None:
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
        self.timer: IDelayedCall | None = None
        self.retry_timer: IDelayedCall | None = None

    def start(self) -> None:
        """Begin the first attempt."""
        super().start()
        self.tell(TRY)
        self._watch()

    async def on_stop(self) -> None:
        """Stop the timers."""
        for timer in (self.timer, self.retry_timer):
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
        if message == TRY:
            await self._try()
            return
        await self._check()
        if not self.progress.ended:
            self._watch()

    @receive.register
    async def _(self, message: Part) -> None:
        if message.report is not None:
            self.directory.tell(ReportSeen(message.report))
        if self.progress.phase is not Phase.ATTEMPTING:
            return
        if _is_duplicate_notice(message):
            return  # the attempt itself arrived as well; its parts follow
        verdict, part = self.stream.check_part(message)
        if verdict is PartAction.DROP:
            self.env.log.emit(Event.PART_DROPPED, request=self.request.id, attempt=message.attempt)
            return
        if verdict is PartAction.BROKEN:
            await self._fail(unknown_outcome(self.request, "parts of the answer are missing"))
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
        if message.sent:
            refusal = unknown_outcome(self.request, message.reason)
        else:
            refusal = Refusal(code=ResultCode.NO_ENDPOINT, message=message.reason, run=RunState.NO)
        await self._fail(refusal)

    @receive.register
    async def _(self, message: Abandon) -> None:
        self._interrupt(ResultCode.CANCELLED, "the caller closed the connection")

    @receive.register
    async def _(self, message: Interrupt) -> None:
        self._interrupt(ResultCode.DRAINING, "this entry stops")

    async def _try(self) -> None:
        refusal = self.progress.start_search()
        query = ChooseRoute(request=self.request, excluded=frozenset(self.progress.excluded))
        route = await self.directory.ask(query)
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
            await self._decide(Failure(endpoint=None, refusal=refusal))
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
        self.directory.tell(AttemptSent(route=route, attempt=attempt))
        self.directory.tell(SubmitAttempt(attempt=attempt, sink=self.inbox))

    async def _check(self) -> None:
        now = self.env.now
        if now >= self.request.deadline:
            await self._miss_deadline()
        elif self.progress.is_silent(now):
            self.directory.tell(
                EndpointSilent(
                    endpoint=self.route.endpoint,
                    reason="no part in time",
                    incarnation=self.route.incarnation,
                    key=(self.request.id, self.progress.attempt),
                )
            )
            await self._fail(unknown_outcome(self.request, "the agent went silent"))

    def _watch(self) -> None:
        until_deadline = max(0.0, self.request.deadline - self.env.now)
        delay = min(WATCH_SECONDS, until_deadline)
        self.timer = self.env.clock.callLater(delay, self.tell, CHECK)

    async def _miss_deadline(self) -> None:
        run = self.progress.run_tracker.run_state  # an attempt that is still out may have run
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
        await self._decide(Failure(endpoint=endpoint, refusal=refusal))

    async def _decide(self, failure: Failure) -> None:
        decision = decide(
            self.request, failure, self.progress.run_tracker, self.progress.searches, self.env.now
        )
        if isinstance(decision, GiveUp):
            self._end_with(decision.refusal)
        elif decision.cost is RetryCost.FREE or await self.dispatcher.ask(SpendRetry(self.request)):
            self._schedule(decision)
        else:
            await self._wait_or_end(failure.refusal, code=ResultCode.RETRIES_SPENT)

    async def _serve_late(self, refusal: Refusal) -> bool:
        """Ask once more without a target if no endpoint was in time and the budget allows it."""
        if refusal.code is not ResultCode.TARGET_MISSED:
            return False
        if not await self.dispatcher.ask(SpendLate()):
            return False
        self.request = evolve(self.request, first_token_by=None)
        self._schedule(Retry(at=self.env.now, reason="late rather than refused"), forget=True)
        return True

    async def _wait_or_end(self, refusal: Refusal, code: ResultCode | None = None) -> None:
        """Wait as the refusal asks and then use every endpoint again, or end with it."""
        if await self._serve_late(refusal):
            return
        wait = transient_wait(self.request, refusal, self.env.now, self.env.random)
        if wait is None:
            code = refusal.code if is_transient(refusal) else code or refusal.code
            self._end_with(evolve(refusal, code=code))
            return
        self._schedule(wait, forget=True)

    def _schedule(self, retry: Retry, *, forget: bool = False) -> None:
        self.progress.wait(clear_excluded=forget)
        self.env.log.emit(
            Event.RETRY_DECIDED,
            request=self.request.id,
            attempt=self.progress.attempt,
            reason=retry.reason,
            excluded=sorted(self.progress.excluded),
        )
        delay = max(0.0, retry.at - self.env.now)
        self.retry_timer = self.env.clock.callLater(delay, self.tell, TRY)

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
            self.directory.tell(OutputSeen(self.request, body.completion_tokens))
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
        self.directory.tell(CancelAttempt(self.request.id, self.progress.attempt, endpoint))
        self.directory.tell(
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
        self.dispatcher.tell(Served(self.request.id))

    def _ending_fields(self, last: PartBody) -> dict[str, object]:
        """Return the event fields of the first token and of a refusal."""
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
