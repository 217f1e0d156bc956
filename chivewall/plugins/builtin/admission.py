"""Queues the attempts of an agent's endpoint, decides which run and relays their output."""

import uuid
from functools import singledispatchmethod

from attrs import evolve, field, frozen, validators

from chivewall.admission_messages import (
    AttemptStream,
    EndpointPolled,
    EndpointPollFailed,
    ReportLoad,
    RunMessage,
    RunSink,
)
from chivewall.configuration import Configuration
from chivewall.decisions.admission import Scheduler, attempt_key
from chivewall.decisions.estimates import Capacity
from chivewall.environment import Environment
from chivewall.errors import EndpointError
from chivewall.events import Event
from chivewall.interfaces import Endpoint, EndpointLoad, EndpointState, RunFailed, RunOutput
from chivewall.messages import (
    AttemptArrived,
    ConfigurationReceived,
    Drain,
    PauseWork,
    ResumeWork,
    Tick,
    WithdrawAttempt,
)
from chivewall.plugins.base import Plugin
from chivewall.plugins.builtin.configuration import ConfigurationKeeper, Subscribe
from chivewall.plugins.registry import Registry
from chivewall.results import ResultCode, RunState
from chivewall.task import Task
from chivewall.work import (
    Answer,
    Attempt,
    End,
    EngineRole,
    LoadReport,
    Part,
    PartBody,
    Refusal,
    Tokens,
    Waiting,
)

UPKEEP_INTERVAL_SECONDS = (
    1.0  # interval of heartbeats, checks of deadlines and polls of the endpoint
)


@frozen
class AdmissionSettings:
    """Settings of the endpoint that the agent serves."""

    endpoint: str = field(
        validator=validators.min_len(1),
        metadata={"help": "Name of the endpoint in the instance list."},
    )


class Admission(Task):
    """Task that owns the queue of one endpoint and the response streams of its attempts."""

    def __init__(self, env: Environment, endpoint: Endpoint, name: str) -> None:
        super().__init__()
        self.env = env
        self.endpoint = endpoint
        self.name = name
        # Not from ``env.random``: a seeded generator repeats its values after a restart.
        self.incarnation = uuid.uuid4().hex
        self.scheduler = Scheduler(capacity=Capacity(parallel=1))
        self.sinks: dict[tuple[str, int], AttemptStream] = {}
        self.attempt_deadlines: dict[tuple[str, int], float] = {}  # deadline of each known attempt
        self.configuration: Configuration | None = None
        self.state: EndpointState | None = None
        self.load = EndpointLoad()
        self.draining = False
        self.drain_waiters: list[Drain] = []
        self.holds: list[PauseWork] = []  # requests to start no attempt, until ``ResumeWork``
        self.report_count = 0  # number of load reports made

    def start(self) -> None:
        """Start polling the endpoint and accepting attempts."""
        super().start()
        self.send(Tick())

    async def on_stop(self) -> None:
        """Cancel the attempts that still run; after a drain there are none."""
        for request_id, number in list(self.scheduler.running):
            self.endpoint.cancel(request_id, number)

    @singledispatchmethod
    async def receive(self, message: object) -> None:
        """Handle one message."""
        raise TypeError(f"unexpected message {message!r}")

    @receive.register
    async def _(self, message: AttemptArrived) -> None:
        attempt = message.attempt
        key = attempt_key(attempt)
        refusal = self._check_arrival(attempt)
        if refusal is None:
            self.attempt_deadlines[key] = attempt.request.deadline
            refusal = self.scheduler.offer(
                attempt, self.configuration, now=self.env.now, unix_time=self.env.unix_time()
            )
        sink = AttemptStream(attempt=attempt, inbox=message.sink)
        if refusal is not None:
            self._refuse(sink, refusal)
            return
        self.sinks[key] = sink
        self.env.log.emit(
            Event.WORK_QUEUED,
            request=attempt.request.id,
            attempt=attempt.number,
            rank=attempt.request.rank.value,
            workspace=attempt.request.workspace,
            waits=self.scheduler.waits(self.env.now),
        )
        self._start_work()

    @receive.register
    async def _(self, message: RunMessage) -> None:
        inner = message.message
        sink = self.sinks.get((inner.request_id, inner.attempt))
        if sink is None or sink.generation != message.generation:
            return
        if isinstance(inner, RunFailed):
            self._handle_failure(sink, inner)
        else:
            self._handle_output(sink, inner)

    def _handle_output(self, sink: AttemptStream, message: RunOutput) -> None:
        body = message.body
        prefilled = self.scheduler.record_first_token(
            message.request_id, message.attempt, now=self.env.now
        )
        self._send_part(sink, body)
        if isinstance(body, Tokens):
            sink.delivered_texts.extend(body.texts)
        if isinstance(body, End | Answer | Refusal):
            tokens = body.completion_tokens if isinstance(body, End) else None
            self._end_attempt(sink, outcome="complete", output_tokens=tokens)
        elif prefilled:
            self._start_work()

    def _handle_failure(self, sink: AttemptStream, message: RunFailed) -> None:
        run = RunState.UNKNOWN if message.may_have_arrived else RunState.NO
        code = ResultCode.ENDPOINT_FAILED if message.may_have_arrived else ResultCode.NO_ENDPOINT
        self._send_part(sink, Refusal(code=code, message=message.reason, run=run))
        self._end_attempt(sink, outcome=message.reason)

    @receive.register
    async def _(self, message: WithdrawAttempt) -> None:
        sink = self.sinks.get((message.request_id, message.attempt))
        if sink is not None:
            self.endpoint.cancel(message.request_id, message.attempt)
            self._end_attempt(sink, outcome="withdrawn")

    @receive.register
    async def _(self, message: Tick) -> None:
        self._drop_expired()
        for sink in self.sinks.values():
            if sink.idle:
                self._send_part(sink, Waiting())
            sink.idle = True
        self.spawn(self._poll())
        self.env.clock.callLater(UPKEEP_INTERVAL_SECONDS, self.send, message)

    @receive.register
    async def _(self, message: EndpointPolled) -> None:
        self.load, self.state = message.load, message.state
        self.scheduler.capacity = Capacity(
            parallel=message.load.parallel,
            prefill_rate=message.load.prefill_rate,
            decode_rate=message.load.decode_rate,
            kv_total_tokens=message.load.kv_total_tokens,
            cached_prefixes=frozenset(message.load.cached_prefixes),
        )
        self._start_work()

    @receive.register
    async def _(self, message: EndpointPollFailed) -> None:
        self.state = None

    @receive.register
    async def _(self, message: ConfigurationReceived) -> None:
        self.configuration = message.configuration

    @receive.register
    async def _(self, message: ReportLoad) -> None:
        message.reply(self.report())

    @receive.register
    async def _(self, message: Drain) -> None:
        self.draining = True
        self.drain_waiters.append(message)
        self._reply_to_drain()

    @receive.register
    async def _(self, message: PauseWork) -> None:
        self.holds.append(message)
        self.scheduler.clear_queues(self.env.now)
        self._refuse_dropped()
        self._reply_to_holds()

    @receive.register
    async def _(self, message: ResumeWork) -> None:
        self.holds = []
        self._start_work()

    def report(self) -> LoadReport:
        """Return a fresh load report."""
        self.report_count += 1
        version = self.configuration.version if self.configuration is not None else 0
        return LoadReport(
            endpoint=self.name,
            incarnation=self.incarnation,
            targets=self.state.targets if self.state is not None else (),
            role=self.state.role if self.state is not None else EngineRole.MIXED,
            waits=self.scheduler.waits(self.env.now),
            running=len(self.scheduler.running),
            parallel=self.load.parallel,
            prefill_rate=self.load.prefill_rate,
            decode_rate=self.load.decode_rate,
            kv_free_tokens=self.load.kv_free_tokens,
            cached_prefixes=self.load.cached_prefixes,
            configuration_version=version,
            ready=self.ready(),
            leaving=self.draining,
            sequence=self.report_count,
        )

    def ready(self) -> bool:
        """Return whether the endpoint answers and a configuration is in force."""
        return self.state is not None and self.configuration is not None and not self.holds

    async def _poll(self) -> None:
        try:
            load = await self.endpoint.load()
            state = await self.endpoint.state()
        except EndpointError as exc:
            self.send(EndpointPollFailed(str(exc)))
        else:
            self.send(EndpointPolled(load, state))

    def _check_arrival(self, attempt: Attempt) -> Refusal | None:
        if attempt.incarnation != self.incarnation:
            return _refusal_not_run(
                ResultCode.STALE_INCARNATION, "the agent was restarted or replaced"
            )
        if attempt_key(attempt) in self.attempt_deadlines:
            return Refusal(
                code=ResultCode.DUPLICATE_ATTEMPT,
                message="this attempt has already arrived",
                run=RunState.UNKNOWN,
            )
        if attempt.request.deadline <= self.env.now:
            return _refusal_not_run(ResultCode.DEADLINE_PASSED, "the deadline has passed")
        if self.draining:
            return _refusal_not_run(ResultCode.DRAINING, "the agent is shutting down")
        if not self.ready():
            return _refusal_not_run(
                ResultCode.NOT_READY, "the endpoint or the configuration is not available"
            )
        if attempt.request.work.target not in self.state.targets:
            return _refusal_not_run(
                ResultCode.NO_ENDPOINT, "the endpoint doesn't offer this target"
            )
        return None

    def _start_work(self) -> None:
        while not self.holds and (start := self.scheduler.start_next(self.env.now)) is not None:
            if start.preempted is not None:
                self._preempt(start.preempted)
            self.env.log.emit(
                Event.WORK_CHOSEN,
                request=start.attempt.request.id,
                attempt=start.attempt.number,
                reason=start.reason,
                waited=round(start.waited_seconds, 3),
            )
            self._start_run(start.attempt)
        self._refuse_dropped()

    def _preempt(self, attempt: Attempt) -> None:
        """Preempt a run for more urgent work; its attempt resumes later after its last token."""
        key = attempt_key(attempt)
        sink = self.sinks[key]
        self.endpoint.cancel(*key)
        sink.generation += 1
        delivered = (*sink.attempt.delivered, *sink.delivered_texts)
        self.scheduler.requeue(evolve(sink.attempt, delivered=delivered), self.env.now)
        self.env.log.emit(Event.WORK_PREEMPTED, request=key[0], attempt=key[1])

    def _start_run(self, attempt: Attempt) -> None:
        self.env.log.emit(Event.WORK_STARTED, request=attempt.request.id, attempt=attempt.number)
        sink = self.sinks[attempt_key(attempt)]
        self.endpoint.run(attempt, RunSink(self.inbox, sink.generation))

    def _drop_expired(self) -> None:
        now = self.env.now
        self.scheduler.shed(now)
        self._start_work()
        self.attempt_deadlines = {
            key: deadline for key, deadline in self.attempt_deadlines.items() if deadline > now
        }

    def _reply_to_holds(self) -> None:
        if not self.scheduler.running:
            for hold in self.holds:
                hold.reply(None)

    def _refuse_dropped(self) -> None:
        for dropped in self.scheduler.take_dropped():
            sink = self.sinks.pop(attempt_key(dropped.attempt))
            self._refuse(sink, dropped.refusal)
            self._reply_to_drain()

    def _reply_to_drain(self) -> None:
        if self.sinks:
            return
        for waiter in self.drain_waiters:
            waiter.reply(None)
        self.drain_waiters = []

    def _refuse(self, sink: AttemptStream, refusal: Refusal) -> None:
        self.env.log.emit(
            Event.WORK_REFUSED,
            request=sink.attempt.request.id,
            attempt=sink.attempt.number,
            code=refusal.code.name,
            limit=refusal.limit,
            reason=refusal.reason or refusal.message,
        )
        self._send_part(sink, refusal)

    def _end_attempt(
        self, sink: AttemptStream, outcome: str, output_tokens: int | None = None
    ) -> None:
        key = attempt_key(sink.attempt)
        self.scheduler.finish(*key, now=self.env.now, output_tokens=output_tokens)
        self.sinks.pop(key, None)
        self._reply_to_drain()
        self._reply_to_holds()
        self.env.log.emit(Event.WORK_ENDED, request=key[0], attempt=key[1], outcome=outcome)
        self._start_work()

    def _send_part(self, sink: AttemptStream, body: PartBody) -> None:
        request_id, number = attempt_key(sink.attempt)
        part = Part(request_id=request_id, attempt=number, seq=sink.seq, body=body)
        if sink.seq == 0 or part.last:
            part = evolve(part, report=self.report())
        sink.seq += 1
        sink.idle = False
        sink.inbox.put(part)


class AdmissionPlugin(Plugin):
    """Provides the ``Admission`` task of the endpoint."""

    name = "admission"
    settings_type = AdmissionSettings

    async def setup(self) -> None:
        """Provide the task to later plug-ins."""
        endpoint = self.env.require(Endpoint)
        self.admission = Admission(self.env, endpoint, self.cfg.endpoint)
        self.env.provide(Admission, self.admission)

    async def start(self) -> None:
        """Start accepting attempts."""
        self.admission.start()
        self.env.require(ConfigurationKeeper).send(Subscribe(self.admission.inbox))

    async def drain(self) -> None:
        """Refuse new attempts and wait until those queued or running have ended."""
        await self.admission.query(Drain())

    async def stop(self) -> None:
        """Stop the task."""
        await self.admission.stop()

    def ready(self) -> bool:
        """Return whether the endpoint answers and a configuration is in force."""
        return self.admission.ready()


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(AdmissionPlugin)


def _refusal_not_run(code: ResultCode, message: str) -> Refusal:
    return Refusal(code=code, message=message, run=RunState.NO)
