"""Fake endpoints that record what they were asked: the oracles of the matrix."""

from collections import Counter

from attrs import define, evolve, field, frozen
from twisted.internet.defer import Deferred, fail

from bench.fakes import EngineEndpoint, ServiceEndpoint
from chivewall.errors import EndpointError, OrderRefusedError
from chivewall.interfaces import EndpointState, Order, RunFailed
from chivewall.task import Inbox
from chivewall.work import Attempt, Call

CHANGE_SECONDS = 2.0  # a role change takes an engine out of service that long


@frozen
class OrderSeen:
    """An order that an engine accepted, with what stood against it."""

    order: Order
    at: float  # seconds
    accepted_fence: int  # highest before this order
    changing: bool
    running: int  # completions that it cut off


@define(eq=False)
class WitnessEngine(EngineEndpoint):
    """An engine whose changes take time and cut off what runs."""

    name: str = ""
    accepted: list[OrderSeen] = field(factory=list)
    ran: Counter[str] = field(factory=Counter)  # runs by request id
    _change: object = None

    def run(self, attempt: Attempt, sink: Inbox) -> None:
        """See ``Endpoint.run``; an engine in a change takes no work."""
        if self.actual.changing:
            key = (attempt.request.id, attempt.number)
            sink.put(RunFailed(*key, may_have_arrived=False, reason="the engine is changing"))
            return
        if not self.down:
            self.ran[attempt.request.id] += 1
        super().run(attempt, sink)

    def order(self, order: Order) -> Deferred:
        """See ``Endpoint.order``."""
        if self.down:
            return fail(EndpointError("the engine is down"))
        if self.checks_fence and order.fence < self.actual.fence:
            return fail(OrderRefusedError(f"fencing number {order.fence} is old"))
        seen = OrderSeen(
            order=order,
            at=self.clock.seconds(),
            accepted_fence=self.actual.fence,
            changing=self.actual.changing,
            running=len(self._runs),
        )
        self.accepted.append(seen)
        reply: Deferred = Deferred()
        self.actual = evolve(self.actual, fence=order.fence, changing=True)
        self._change = order
        self.clock.callLater(CHANGE_SECONDS, self._changed, order, reply)
        return reply

    def crash(self) -> None:
        """See ``EngineEndpoint.crash``; a change under way is lost."""
        super().crash()
        self._change = None

    def recover(self) -> None:
        """Come back in the role of before the crash."""
        super().recover()
        self.actual = evolve(self.actual, changing=False)

    def _changed(self, order: Order, reply: Deferred) -> None:
        if self._change is not order:
            reply.errback(EndpointError("the change was cut off"))
            return
        self._change = None
        self.actual = EndpointState(role=order.role, targets=order.targets, fence=order.fence)
        reply.callback(None)

    @property
    def busy(self) -> int:
        """Completions that run or wait in the engine."""
        return len(self._runs)


@define(eq=False)
class WitnessService(ServiceEndpoint):
    """A plain service that records its calls by idempotency key."""

    by_key: Counter[str] = field(factory=Counter)

    def run(self, attempt: Attempt, sink: Inbox) -> None:
        """See ``Endpoint.run``."""
        request = attempt.request
        if not self.down and isinstance(request.work, Call):
            self.by_key[request.idempotency_key or request.id] += 1
        super().run(attempt, sink)

    def crash(self) -> None:
        """Refuse new calls until ``recover``; answers of running ones are lost."""
        self.down = self.fail_after_run = True

    def recover(self) -> None:
        """Take calls again."""
        self.down = self.fail_after_run = False

    @property
    def busy(self) -> int:
        """Calls that run."""
        return self.running
