"""Fake endpoints for simulations in one process on a virtual clock."""

from collections import Counter

from attrs import define, field
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.interfaces import IReactorTime

from chivewall.errors import EndpointError, OrderRefusedError
from chivewall.interfaces import (
    EndpointLoad,
    EndpointState,
    Order,
    RunFailed,
    RunOutput,
)
from chivewall.standins.engine import EngineSpeed, Sequence, SimulatedEngine
from chivewall.task import Inbox
from chivewall.work import Answer, Attempt, End, EngineRole, Rank, Tokens

CALL_SECONDS = 0.02  # run time of a service call


@define(eq=False)
class EngineEndpoint:
    """An ``Endpoint`` that runs an engine model and records its requests and orders."""

    clock: IReactorTime
    targets: tuple[str, ...]
    speed: EngineSpeed = field(factory=EngineSpeed)
    report_lag: float = 0.0  # seconds from reading the load to its report
    down: bool = False
    checks_fence: bool = True  # refuse orders with an old fencing number
    priorities: bool = True  # run by rank; otherwise in the order of arrival
    received_ids: set[str] = field(factory=set)  # ids of requests that reached the engine
    prompt_pieces: int = 0  # full prompt pieces of all attempts
    cached_pieces: int = 0  # prompt pieces that were in the prefix cache
    generated: Counter[Rank] = field(factory=Counter)  # tokens by rank
    orders: list[Order] = field(factory=list)  # carried out
    engine: SimulatedEngine = field(init=False)
    current_state: EndpointState = field(init=False)  # role, models and fencing number
    _sinks: dict[tuple[str, int], Inbox] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.engine = SimulatedEngine(clock=self.clock, speed=self.speed)
        self.current_state = EndpointState(role=EngineRole.MIXED, targets=self.targets)

    def run(self, attempt: Attempt, sink: Inbox) -> None:
        """Run an attempt on the engine model."""
        key = (attempt.request.id, attempt.number)
        if self.down:
            sink.put(RunFailed(*key, may_have_arrived=False, reason="the engine is down"))
            return
        work = attempt.request.work
        self._sinks[key] = sink
        self.received_ids.add(attempt.request.id)
        self.prompt_pieces += len(work.prefix_hashes)
        self.cached_pieces += sum(one in self.engine.prefix_cache for one in work.prefix_hashes)
        rank = list(type(attempt.request.rank)).index(attempt.request.rank)

        def on_tokens(index: int, texts: tuple[str, ...]) -> None:
            self.generated[attempt.request.rank] += len(texts)
            sink.put(RunOutput(*key, Tokens(index=index, texts=texts)))

        def on_end(count: int) -> None:
            self._sinks.pop(key, None)
            end = End("stop", prompt_tokens=work.prompt_tokens, completion_tokens=count)
            sink.put(RunOutput(*key, end))

        self.engine.submit(
            Sequence(
                id=f"{key[0]}/{key[1]}",
                completion=work,
                priority=rank if self.priorities else 0,
                next_token=attempt.resume_from,
                on_tokens=on_tokens,
                on_end=on_end,
            )
        )

    def cancel(self, request_id: str, attempt: int) -> None:
        """Stop a running attempt."""
        self._sinks.pop((request_id, attempt), None)
        self.engine.cancel(f"{request_id}/{attempt}")

    def crash(self) -> None:
        """Fail all running attempts and refuse new ones until ``recover``."""
        self.down = True
        for key, sink in list(self._sinks.items()):
            self.engine.cancel(f"{key[0]}/{key[1]}")
            sink.put(RunFailed(*key, may_have_arrived=True, reason="the engine crashed"))
        self._sinks.clear()

    def recover(self) -> None:
        """Accept attempts again, with an empty prefix cache."""
        self.down = False
        self.engine.prefix_cache.clear()

    def load(self) -> Deferred:
        """Return the load of the engine after ``report_lag``."""
        if self.down:
            return fail(EndpointError("the engine is down"))
        seen = EndpointLoad(
            running=len(self.engine.batch),
            waiting=len(self.engine.waiting),
            parallel=self.speed.batch_slots,
            prefill_rate=self.speed.prefill_rate,
            decode_rate=1 / self.speed.full_step_seconds,
            kv_total_tokens=self.speed.kv_tokens,
            kv_free_tokens=self.engine.kv_free_tokens,
            cached_prefixes=tuple(self.engine.prefix_cache),
        )
        return fire_later(self.clock, self.report_lag, seen)

    def state(self) -> Deferred:
        """Return role, models and fencing number of the engine."""
        return (
            fail(EndpointError("the engine is down")) if self.down else succeed(self.current_state)
        )

    def order(self, order: Order) -> Deferred:
        """Change role and models at once, unless the fencing number is old."""
        if self.checks_fence and order.fence < self.current_state.fence:
            return fail(OrderRefusedError(f"fencing number {order.fence} is old"))
        self.orders.append(order)
        self.current_state = EndpointState(
            role=order.role, targets=order.targets, fence=order.fence
        )
        return succeed(None)


@define(eq=False)
class ServiceEndpoint:
    """An ``Endpoint`` of a plain service that counts how often each call ran."""

    clock: IReactorTime
    name: str
    parallel: int = 16  # parallel calls that it reports
    runs_by_body: Counter[bytes] = field(factory=Counter)  # runs by request body
    runs_by_request: Counter[str] = field(factory=Counter)  # runs by request id
    received_ids: set[str] = field(factory=set)  # ids of requests that reached the service
    down: bool = False
    fail_after_run: bool = False  # run calls, then break the connection
    running: int = 0  # calls

    def run(self, attempt: Attempt, sink: Inbox) -> None:
        """Run an attempt of a service call."""
        key = (attempt.request.id, attempt.number)
        if self.down:
            sink.put(RunFailed(*key, may_have_arrived=False, reason="the service is down"))
            return
        self.running += 1
        self.received_ids.add(attempt.request.id)
        self.clock.callLater(CALL_SECONDS, self._finish, attempt, sink)

    def cancel(self, request_id: str, attempt: int) -> None:
        """Do nothing; a call that was sent to the service can't be withdrawn."""

    def load(self) -> Deferred:
        """Return the load of the service."""
        if self.down:
            return fail(EndpointError("the service is down"))
        return succeed(EndpointLoad(running=self.running, parallel=self.parallel))

    def state(self) -> Deferred:
        """Return the state of the service, which never changes."""
        return succeed(EndpointState(role=EngineRole.MIXED, targets=(self.name,)))

    def order(self, order: Order) -> Deferred:
        """Refuse the order."""
        return fail(OrderRefusedError("a plain service takes no orders"))

    def _finish(self, attempt: Attempt, sink: Inbox) -> None:
        key = (attempt.request.id, attempt.number)
        self.running -= 1
        body = attempt.request.work.body
        self.runs_by_body[body] += 1
        self.runs_by_request[attempt.request.id] += 1
        if self.fail_after_run:
            sink.put(RunFailed(*key, may_have_arrived=True, reason="the connection broke"))
            return
        answer = Answer(
            status=201, headers=(), body=f"{self.name}-{self.runs_by_body.total()}".encode()
        )
        sink.put(RunOutput(*key, answer))


def fire_later(clock: IReactorTime, delay: float, value: object) -> Deferred:
    """Return a Deferred that fires with a value after a delay."""
    if delay <= 0:
        return succeed(value)
    reply: Deferred = Deferred()
    clock.callLater(delay, fire_once, reply, value)
    return reply


def fire_once(reply: Deferred, value: object) -> None:
    """Fire a Deferred unless it has fired before."""
    if not reply.called:
        reply.callback(value)
