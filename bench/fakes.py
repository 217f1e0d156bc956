"""Fakes of endpoints in one process on a virtual clock."""

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

CALL_SECONDS = 0.02  # run time of one service call


@define(eq=False)
class EngineEndpoint:
    """Implements ``Endpoint`` around an engine model; remembers what it was told."""

    clock: IReactorTime
    targets: tuple[str, ...]
    speed: EngineSpeed = field(factory=EngineSpeed)
    report_lag: float = 0.0  # seconds
    down: bool = False
    checks_fence: bool = True
    priorities: bool = True  # False runs work in the order of arrival
    seen: set[str] = field(factory=set)  # requests that reached the engine
    prompt_pieces: int = 0  # full prompt pieces of all work
    cached_pieces: int = 0  # of those, pieces that the prefix cache held
    generated: Counter[Rank] = field(factory=Counter)  # tokens
    orders: list[Order] = field(factory=list)
    model: SimulatedEngine = field(init=False)
    actual: EndpointState = field(init=False)
    _runs: dict[tuple[str, int], Inbox] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.model = SimulatedEngine(clock=self.clock, speed=self.speed)
        self.actual = EndpointState(role=EngineRole.MIXED, targets=self.targets)

    def run(self, attempt: Attempt, sink: Inbox) -> None:
        """See ``Endpoint.run``."""
        key = (attempt.request.id, attempt.number)
        if self.down:
            sink.put(RunFailed(*key, may_have_arrived=False, reason="the engine is down"))
            return
        work = attempt.request.work
        self._runs[key] = sink
        self.seen.add(attempt.request.id)
        self.prompt_pieces += len(work.prefix_hashes)
        self.cached_pieces += sum(one in self.model.prefix_cache for one in work.prefix_hashes)
        rank = list(type(attempt.request.rank)).index(attempt.request.rank)

        def on_tokens(index: int, texts: tuple[str, ...]) -> None:
            self.generated[attempt.request.rank] += len(texts)
            sink.put(RunOutput(*key, Tokens(index=index, texts=texts)))

        def on_end(count: int) -> None:
            self._runs.pop(key, None)
            end = End("stop", prompt_tokens=work.prompt_tokens, completion_tokens=count)
            sink.put(RunOutput(*key, end))

        self.model.submit(
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
        """See ``Endpoint.cancel``."""
        self._runs.pop((request_id, attempt), None)
        self.model.cancel(f"{request_id}/{attempt}")

    def crash(self) -> None:
        """Fail everything that runs and refuse new work until ``recover``."""
        self.down = True
        for key, sink in list(self._runs.items()):
            self.model.cancel(f"{key[0]}/{key[1]}")
            sink.put(RunFailed(*key, may_have_arrived=True, reason="the engine crashed"))
        self._runs.clear()

    def recover(self) -> None:
        """Come back with an empty cache."""
        self.down = False
        self.model.prefix_cache.clear()

    def load(self) -> Deferred:
        """See ``Endpoint.load``; the report is as old as ``report_lag``."""
        if self.down:
            return fail(EndpointError("the engine is down"))
        seen = EndpointLoad(
            running=len(self.model.batch),
            waiting=len(self.model.waiting),
            parallel=self.speed.batch_slots,
            prefill_rate=self.speed.prefill_rate,
            decode_rate=1 / self.speed.full_step_seconds,
            kv_total_tokens=self.speed.kv_tokens,
            kv_free_tokens=self.model.kv_free_tokens,
            cached_prefixes=tuple(self.model.prefix_cache),
        )
        return later(self.clock, self.report_lag, seen)

    def state(self) -> Deferred:
        """See ``Endpoint.state``."""
        return fail(EndpointError("the engine is down")) if self.down else succeed(self.actual)

    def order(self, order: Order) -> Deferred:
        """See ``Endpoint.order``."""
        if self.checks_fence and order.fence < self.actual.fence:
            return fail(OrderRefusedError(f"fencing number {order.fence} is old"))
        self.orders.append(order)
        self.actual = EndpointState(role=order.role, targets=order.targets, fence=order.fence)
        return succeed(None)


@define(eq=False)
class ServiceEndpoint:
    """Implements ``Endpoint`` for a plain service; the witness of how often a body ran."""

    clock: IReactorTime
    name: str
    parallel: int = 16
    runs: Counter[bytes] = field(factory=Counter)
    requests: Counter[str] = field(factory=Counter)  # runs by request id
    seen: set[str] = field(factory=set)  # requests that reached the service
    down: bool = False
    fail_after_run: bool = False  # run the action and lose its answer
    running: int = 0

    def run(self, attempt: Attempt, sink: Inbox) -> None:
        """See ``Endpoint.run``."""
        key = (attempt.request.id, attempt.number)
        if self.down:
            sink.put(RunFailed(*key, may_have_arrived=False, reason="the service is down"))
            return
        self.running += 1
        self.seen.add(attempt.request.id)
        self.clock.callLater(CALL_SECONDS, self._finish, attempt, sink)

    def cancel(self, request_id: str, attempt: int) -> None:
        """See ``Endpoint.cancel``; an action that was sent can't be taken back."""

    def load(self) -> Deferred:
        """See ``Endpoint.load``."""
        if self.down:
            return fail(EndpointError("the service is down"))
        return succeed(EndpointLoad(running=self.running, parallel=self.parallel))

    def state(self) -> Deferred:
        """See ``Endpoint.state``."""
        return succeed(EndpointState(role=EngineRole.MIXED, targets=(self.name,)))

    def order(self, order: Order) -> Deferred:
        """See ``Endpoint.order``."""
        return fail(OrderRefusedError("a plain service takes no orders"))

    def _finish(self, attempt: Attempt, sink: Inbox) -> None:
        key = (attempt.request.id, attempt.number)
        self.running -= 1
        body = attempt.request.work.body
        self.runs[body] += 1
        self.requests[attempt.request.id] += 1
        if self.fail_after_run:
            sink.put(RunFailed(*key, may_have_arrived=True, reason="the connection broke"))
            return
        answer = Answer(status=201, headers=(), body=f"{self.name}-{self.runs.total()}".encode())
        sink.put(RunOutput(*key, answer))


def later(clock: IReactorTime, delay: float, value: object) -> Deferred:
    """Return a Deferred that fires with a value after a delay."""
    if delay <= 0:
        return succeed(value)
    reply: Deferred = Deferred()
    clock.callLater(delay, fire, reply, value)
    return reply


def fire(reply: Deferred, value: object) -> None:
    """Fire a Deferred unless it has fired before."""
    if not reply.called:
        reply.callback(value)
