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
class OrderSeen:
    """An order that an engine accepted, with the state of the engine at that time."""

    order: Order
    at: float  # seconds
    accepted_fence: int  # highest fencing number before this order
    changing: bool  # whether a change was under way
    running: int  # completions that the order stopped


@define(eq=False)
class WitnessEngine(EngineEndpoint):
    """An engine whose role changes take time and stop running completions."""

    name: str = ""
    accepted: list[OrderSeen] = field(factory=list)
    ran: Counter[str] = field(factory=Counter)  # runs by request id
    _change: object = None  # order that is being carried out

    def run(self, attempt: Attempt, sink: Inbox) -> None:
        """Run an attempt; fail it while the engine changes its role."""
        if self.actual.changing:
            key = (attempt.request.id, attempt.number)
            sink.put(RunFailed(*key, may_have_arrived=False, reason="the engine is changing"))
            return
        if not self.down:
            self.ran[attempt.request.id] += 1
        super().run(attempt, sink)

    def order(self, order: Order) -> Deferred:
        """Start a role change, unless the engine is down or the fencing number is old."""
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
        """Fail all running attempts and abort a change that is under way."""
        super().crash()
        self._change = None

    def recover(self) -> None:
        """Accept attempts again, in the role from before the crash."""
        super().recover()
        self.actual = evolve(self.actual, changing=False)

    def _changed(self, order: Order, reply: Deferred) -> None:
        if self._change is not order:
            reply.errback(EndpointError("the engine crashed during the change"))
            return
        self._change = None
        self.actual = EndpointState(role=order.role, targets=order.targets, fence=order.fence)
        reply.callback(None)

    @property
    def busy(self) -> int:
        """Return the number of completions that run or wait in the engine."""
        return len(self._runs)


@define(eq=False)
class WitnessService(ServiceEndpoint):
    """A plain service that counts its calls by idempotency key."""

    by_key: Counter[str] = field(factory=Counter)  # request id if there is no key

    def run(self, attempt: Attempt, sink: Inbox) -> None:
        """Run a service call and count it."""
        request = attempt.request
        if not self.down and isinstance(request.work, Call):
            self.by_key[request.idempotency_key or request.id] += 1
        super().run(attempt, sink)

    def crash(self) -> None:
        """Refuse new calls until ``recover`` and lose the answers of running ones."""
        self.down = self.fail_after_run = True

    def recover(self) -> None:
        """Accept calls again."""
        self.down = self.fail_after_run = False

    @property
    def busy(self) -> int:
        """Return the number of running calls."""
        return self.running
