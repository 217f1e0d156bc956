"""The agent's admission: decides what runs at its endpoint and relays the output."""

import uuid
from functools import singledispatchmethod

from attrs import evolve, field, frozen, validators

from chivewall.answers import (
    AnswerSink,
    EndpointLost,
    EndpointSeen,
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
    Arrive,
    ConfigurationSeen,
    Drain,
    HoldWork,
    ResumeWork,
    Tick,
    Withdraw,
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

TICK_SECONDS = 1.0  # heartbeats, expired deadlines and the endpoint's load


@frozen
class AdmissionSettings:
    """How the agent describes itself."""

    endpoint: str = field(
        validator=validators.min_len(1),
        metadata={"help": "Name of the endpoint in the instance list."},
    )


class Admission(Task):
    """Owns the queue of one endpoint and the answer streams of its attempts."""

    def __init__(self, env: Environment, endpoint: Endpoint, name: str) -> None:
        super().__init__()
        self.env = env
        self.endpoint = endpoint
        self.name = name
        self.incarnation = uuid.uuid4().hex  # a seeded source would repeat it after a restart
        self.scheduler = Scheduler(capacity=Capacity(parallel=1))
        self.sinks: dict[tuple[str, int], AnswerSink] = {}
        self.seen: dict[tuple[str, int], float] = {}  # attempts until their deadline
        self.configuration: Configuration | None = None
        self.state: EndpointState | None = None
        self.load = EndpointLoad()
        self.draining = False
        self.drain_waiters: list[Drain] = []
        self.holds: list[HoldWork] = []
        self.reports = 0

    def start(self) -> None:
        """Begin to poll the endpoint and to take attempts."""
        super().start()
        self.tell(Tick())

    async def on_stop(self) -> None:
        """Stop what still runs; a drained agent has nothing left."""
        for request_id, number in list(self.scheduler.running):
            self.endpoint.cancel(request_id, number)

    @singledispatchmethod
    async def receive(self, message: object) -> None:
        """Handle one message."""
        raise TypeError(f"unexpected message {message!r}")

    @receive.register
    async def _(self, message: Arrive) -> None:
        attempt = message.attempt
        key = attempt_key(attempt)
        refusal = self._refuse_at_the_door(attempt)
        if refusal is None:
            self.seen[key] = attempt.request.deadline
            refusal = self.scheduler.offer(
                attempt, self.configuration, now=self.env.now, unix_time=self.env.unix_time()
            )
        sink = AnswerSink(attempt=attempt, inbox=message.sink)
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
            self._run_failed(sink, inner)
        else:
            self._run_output(sink, inner)

    def _run_output(self, sink: AnswerSink, message: RunOutput) -> None:
        body = message.body
        prefilled = self.scheduler.record_first_token(
            message.request_id, message.attempt, now=self.env.now
        )
        self._send(sink, body)
        if isinstance(body, Tokens):
            sink.texts.extend(body.texts)
        if isinstance(body, End | Answer | Refusal):
            tokens = body.completion_tokens if isinstance(body, End) else None
            self._end(sink, outcome="complete", output_tokens=tokens)
        elif prefilled:
            self._start_work()

    def _run_failed(self, sink: AnswerSink, message: RunFailed) -> None:
        run = RunState.UNKNOWN if message.reached else RunState.NO
        code = ResultCode.ENDPOINT_FAILED if message.reached else ResultCode.NO_ENDPOINT
        self._send(sink, Refusal(code=code, message=message.reason, run=run))
        self._end(sink, outcome=message.reason)

    @receive.register
    async def _(self, message: Withdraw) -> None:
        sink = self.sinks.get((message.request_id, message.attempt))
        if sink is not None:
            self.endpoint.cancel(message.request_id, message.attempt)
            self._end(sink, outcome="withdrawn")

    @receive.register
    async def _(self, message: Tick) -> None:
        self._expire()
        for sink in self.sinks.values():
            if sink.silent:
                self._send(sink, Waiting())
            sink.silent = True
        self.spawn(self._poll())
        self.env.clock.callLater(TICK_SECONDS, self.tell, message)

    @receive.register
    async def _(self, message: EndpointSeen) -> None:
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
    async def _(self, message: EndpointLost) -> None:
        self.state = None

    @receive.register
    async def _(self, message: ConfigurationSeen) -> None:
        self.configuration = message.configuration

    @receive.register
    async def _(self, message: ReportLoad) -> None:
        message.answer(self.report())

    @receive.register
    async def _(self, message: Drain) -> None:
        self.draining = True
        self.drain_waiters.append(message)
        self._answer_drain()

    @receive.register
    async def _(self, message: HoldWork) -> None:
        self.holds.append(message)
        self.scheduler.clear_queues(self.env.now)
        self._refuse_doomed()
        self._answer_holds()

    @receive.register
    async def _(self, message: ResumeWork) -> None:
        self.holds = []
        self._start_work()

    def report(self) -> LoadReport:
        """Return a fresh load report."""
        self.reports += 1
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
            sequence=self.reports,
        )

    def ready(self) -> bool:
        """Return whether the endpoint answers and a configuration is in force."""
        return self.state is not None and self.configuration is not None and not self.holds

    async def _poll(self) -> None:
        try:
            load = await self.endpoint.load()
            state = await self.endpoint.state()
        except EndpointError as exc:
            self.tell(EndpointLost(str(exc)))
        else:
            self.tell(EndpointSeen(load, state))

    def _refuse_at_the_door(self, attempt: Attempt) -> Refusal | None:
        if attempt.incarnation != self.incarnation:
            return _not_run(ResultCode.STALE_INCARNATION, "the agent was replaced")
        if attempt_key(attempt) in self.seen:
            return Refusal(
                code=ResultCode.DUPLICATE_ATTEMPT,
                message="the attempt arrived before",
                run=RunState.UNKNOWN,
            )
        if attempt.request.deadline <= self.env.now:
            return _not_run(ResultCode.DEADLINE_PASSED, "the deadline has passed")
        if self.draining:
            return _not_run(ResultCode.DRAINING, "the agent is shutting down")
        if not self.ready():
            return _not_run(ResultCode.NOT_READY, "the endpoint or the configuration is missing")
        if attempt.request.work.target not in self.state.targets:
            return _not_run(ResultCode.NO_ENDPOINT, "the endpoint doesn't offer this target")
        return None

    def _start_work(self) -> None:
        while not self.holds and (start := self.scheduler.start_next(self.env.now)) is not None:
            if start.preempted is not None:
                self._stop_run(start.preempted)
            self.env.log.emit(
                Event.WORK_CHOSEN,
                request=start.attempt.request.id,
                attempt=start.attempt.number,
                reason=start.reason,
                waited=round(start.waited_seconds, 3),
            )
            self._launch(start.attempt)
        self._refuse_doomed()

    def _stop_run(self, attempt: Attempt) -> None:
        """Stop a run for more urgent work; its attempt goes on later from its last token."""
        key = attempt_key(attempt)
        sink = self.sinks[key]
        self.endpoint.cancel(*key)
        sink.generation += 1
        delivered = (*sink.attempt.delivered, *sink.texts)
        self.scheduler.requeue(evolve(sink.attempt, delivered=delivered), self.env.now)
        self.env.log.emit(Event.WORK_PREEMPTED, request=key[0], attempt=key[1])

    def _launch(self, attempt: Attempt) -> None:
        self.env.log.emit(Event.WORK_STARTED, request=attempt.request.id, attempt=attempt.number)
        sink = self.sinks[attempt_key(attempt)]
        self.endpoint.run(attempt, RunSink(self.inbox, sink.generation))

    def _expire(self) -> None:
        now = self.env.now
        self.scheduler.shed(now)
        self._start_work()
        self.seen = {key: deadline for key, deadline in self.seen.items() if deadline > now}

    def _answer_holds(self) -> None:
        if not self.scheduler.running:
            for hold in self.holds:
                hold.answer(None)

    def _refuse_doomed(self) -> None:
        for dropped in self.scheduler.take_dropped():
            sink = self.sinks.pop(attempt_key(dropped.attempt))
            self._refuse(sink, dropped.refusal)
            self._answer_drain()

    def _answer_drain(self) -> None:
        if self.sinks:
            return
        for waiter in self.drain_waiters:
            waiter.answer(None)
        self.drain_waiters = []

    def _refuse(self, sink: AnswerSink, refusal: Refusal) -> None:
        self.env.log.emit(
            Event.WORK_REFUSED,
            request=sink.attempt.request.id,
            attempt=sink.attempt.number,
            code=refusal.code.name,
            limit=refusal.limit,
            reason=refusal.reason or refusal.message,
        )
        self._send(sink, refusal)

    def _end(self, sink: AnswerSink, outcome: str, output_tokens: int | None = None) -> None:
        key = attempt_key(sink.attempt)
        self.scheduler.finish(*key, now=self.env.now, output_tokens=output_tokens)
        self.sinks.pop(key, None)
        self._answer_drain()
        self._answer_holds()
        self.env.log.emit(Event.WORK_ENDED, request=key[0], attempt=key[1], outcome=outcome)
        self._start_work()

    def _send(self, sink: AnswerSink, body: PartBody) -> None:
        request_id, number = attempt_key(sink.attempt)
        part = Part(request_id=request_id, attempt=number, seq=sink.seq, body=body)
        if sink.seq == 0 or part.last:
            part = evolve(part, report=self.report())
        sink.seq += 1
        sink.silent = False
        sink.inbox.put(part)


class AdmissionPlugin(Plugin):
    """Offers the ``Admission`` task of the endpoint."""

    name = "admission"
    settings_type = AdmissionSettings

    async def setup(self) -> None:
        """Offer the task."""
        endpoint = self.env.require(Endpoint)
        self.admission = Admission(self.env, endpoint, self.cfg.endpoint)
        self.env.provide(Admission, self.admission)

    async def start(self) -> None:
        """Begin to take attempts."""
        self.admission.start()
        self.env.require(ConfigurationKeeper).tell(Subscribe(self.admission.inbox))

    async def drain(self) -> None:
        """Refuse new work and wait for what is queued and running."""
        await self.admission.ask(Drain())

    async def stop(self) -> None:
        """Stop the task."""
        await self.admission.stop()

    def ready(self) -> bool:
        """Return whether the endpoint answers and a configuration is in force."""
        return self.admission.ready()


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(AdmissionPlugin)


def _not_run(code: ResultCode, message: str) -> Refusal:
    return Refusal(code=code, message=message, run=RunState.NO)
