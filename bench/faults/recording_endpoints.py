"""Fake endpoints that record their requests and orders, which the checks compare with."""

from collections import Counter

from attrs import define, evolve, field, frozen
from twisted.internet.defer import Deferred, fail

from bench.fakes import EngineEndpoint, ServiceEndpoint
from chivewall.errors import EndpointError, OrderRefusedError
from chivewall.interfaces import EndpointState, Order, RunFailed
from chivewall.task import Inbox
from chivewall.work import Attempt, Call

CHANGE_SECONDS = 2.0  # for which a role change takes an engine out of service


@frozen
class RecordedOrder:
    """An order that an engine accepted, with the state of the engine at that time."""

    order: Order
    at: float  # seconds
    accepted_fence: int  # highest fencing number before this order
    changing: bool  # whether a change was under way
    stopped_completions: int  # completions that the order stopped


@define(eq=False)
class RecordingEngine(EngineEndpoint):
    """An engine whose role changes take time and stop running completions."""

    name: str = ""
    accepted_orders: list[RecordedOrder] = field(factory=list)
    runs_by_request: Counter[str] = field(factory=Counter)  # runs by request id
    _current_change: object = None  # order that is being carried out

    def run(self, attempt: Attempt, sink: Inbox) -> None:
        """Run an attempt; fail it while the engine changes its role."""
        if self.current_state.changing:
            key = (attempt.request.id, attempt.number)
            sink.put(RunFailed(*key, may_have_arrived=False, reason="the engine is changing"))
            return
        if not self.down:
            self.runs_by_request[attempt.request.id] += 1
        super().run(attempt, sink)

    def order(self, order: Order) -> Deferred:
        """Start a role change, unless the engine is down or the fencing number is old."""
        if self.down:
            return fail(EndpointError("the engine is down"))
        if self.checks_fence and order.fence < self.current_state.fence:
            return fail(OrderRefusedError(f"fencing number {order.fence} is old"))
        seen = RecordedOrder(
            order=order,
            at=self.clock.seconds(),
            accepted_fence=self.current_state.fence,
            changing=self.current_state.changing,
            stopped_completions=len(self._sinks),
        )
        self.accepted_orders.append(seen)
        reply: Deferred = Deferred()
        self.current_state = evolve(self.current_state, fence=order.fence, changing=True)
        self._current_change = order
        self.clock.callLater(CHANGE_SECONDS, self._finish_change, order, reply)
        return reply

    def crash(self) -> None:
        """Fail all running attempts and abort a change that is under way."""
        super().crash()
        self._current_change = None

    def recover(self) -> None:
        """Accept attempts again, in the role from before the crash."""
        super().recover()
        self.current_state = evolve(self.current_state, changing=False)

    def _finish_change(self, order: Order, reply: Deferred) -> None:
        if self._current_change is not order:
            reply.errback(EndpointError("the engine crashed during the change"))
            return
        self._current_change = None
        self.current_state = EndpointState(
            role=order.role, targets=order.targets, fence=order.fence
        )
        reply.callback(None)

    @property
    def active_count(self) -> int:
        """Return the number of completions that run or wait in the engine."""
        return len(self._sinks)


@define(eq=False)
class RecordingService(ServiceEndpoint):
    """A plain service that counts its calls by idempotency key."""

    runs_by_key: Counter[str] = field(factory=Counter)  # request id if there is no key

    def run(self, attempt: Attempt, sink: Inbox) -> None:
        """Run a service call and count it."""
        request = attempt.request
        if not self.down and isinstance(request.work, Call):
            self.runs_by_key[request.idempotency_key or request.id] += 1
        super().run(attempt, sink)

    def crash(self) -> None:
        """Refuse new calls until ``recover`` and lose the answers of running ones."""
        self.down = self.fail_after_run = True

    def recover(self) -> None:
        """Accept calls again."""
        self.down = self.fail_after_run = False

    @property
    def active_count(self) -> int:
        """Return the number of running calls."""
        return self.running
