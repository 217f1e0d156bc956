"""Brings the endpoint of an agent to the state that the plan wants, by orders.

The plan is the only source of orders. The agent takes one step at a time and
reads the endpoint's actual state before each step.
"""

from functools import singledispatchmethod

from chivewall.decisions.orders import MAX_PLAN_AGE_SECONDS, Step, StepKind, matches, next_step
from chivewall.environment import Environment
from chivewall.errors import EndpointError, PlanError, StoreError
from chivewall.events import Event
from chivewall.interfaces import Endpoint, ObjectStore, Order
from chivewall.messages import PauseWork, ResumeWork, Tick
from chivewall.plan import Plan, decode_plan, plan_key
from chivewall.plugins.base import Plugin
from chivewall.plugins.builtin.admission import Admission
from chivewall.plugins.registry import Registry
from chivewall.task import Task
from chivewall.watch import ObjectChanged, ObjectWatcher

STEP_INTERVAL_SECONDS = 1.0  # interval of steps while the endpoint is not in the desired state
DRAINED_TICK = Tick("drained")
STEP_TICK = Tick("step")


class OrderExecutor(Task):
    """Task that owns the changes of one endpoint's role and models."""

    def __init__(self, env: Environment, endpoint: Endpoint, admission: Admission) -> None:
        super().__init__()
        self.env = env
        self.endpoint = endpoint
        self.admission = admission
        self.store = env.require(ObjectStore)
        self.key = plan_key(env.settings.core.data_centre)
        self.watcher = ObjectWatcher(env, self.store, self.key, self.inbox)
        self.plan: Plan | None = None
        self.holding = False  # whether admission was told to start no work
        self.drained = False  # whether no work runs at the endpoint while holding
        self.step_scheduled = False  # whether a timer for the next step is set

    def start(self) -> None:
        """Start watching the plan."""
        super().start()
        self.watcher.start()

    async def on_stop(self) -> None:
        """Stop watching the plan."""
        await self.watcher.stop()

    @singledispatchmethod
    async def receive(self, message: object) -> None:
        """Handle one message."""
        raise TypeError(f"unexpected message {message!r}")

    @receive.register
    async def _(self, message: ObjectChanged) -> None:
        try:
            self.plan = decode_plan(message.stored.value)
        except PlanError as exc:
            self.env.log.emit(Event.PLAN_REJECTED, error=str(exc))
            return
        await self._step()

    @receive.register
    async def _(self, message: Tick) -> None:
        if message == DRAINED_TICK:
            self.drained = self.holding
        else:
            self.step_scheduled = False
        await self._step()

    async def _step(self) -> None:
        desired = self.plan.desired.get(self.admission.name) if self.plan is not None else None
        if desired is None:
            self._resume_work()
            return
        try:
            actual = await self.endpoint.state()
            if matches(desired, actual) and not actual.changing:
                self._resume_work()
                return
            read_at = self.env.now
            stored = await self.store.get(self.key)
            self.plan = decode_plan(stored.value)
            actual = await self.endpoint.state()
        except (EndpointError, StoreError, PlanError) as exc:
            self.env.log.emit(Event.ORDER_HELD, reason=str(exc))
            self._schedule_step()
            return
        plan_deadline = read_at + MAX_PLAN_AGE_SECONDS
        step = next_step(
            self.plan,
            self.admission.name,
            actual,
            plan_deadline=plan_deadline,
            drained=self.drained,
            now=self.env.now,
        )
        await self._execute(step, plan_deadline)

    async def _execute(self, step: Step, plan_deadline: float) -> None:
        if step.kind is StepKind.NOTHING:
            self._resume_work()
            return
        if step.kind is StepKind.DRAIN:
            self._hold_work()
        elif step.kind is StepKind.SEND:
            await self._send(step.order, plan_deadline)
        else:
            self.env.log.emit(Event.ORDER_HELD, reason=step.reason)
        self._schedule_step()

    async def _send(self, order: Order, plan_deadline: float) -> None:
        if self.env.now >= plan_deadline:  # the process may have been paused since the decision
            return
        self.env.log.emit(
            Event.ORDER_SENT,
            endpoint=self.admission.name,
            fence=order.fence,
            role=order.role.value,
            targets=list(order.targets),
        )
        try:
            await self.endpoint.order(order)
        except EndpointError as exc:
            self.env.log.emit(Event.ORDER_FAILED, endpoint=self.admission.name, error=str(exc))

    def _hold_work(self) -> None:
        if self.holding:
            return
        self.holding = True
        hold = PauseWork()
        hold.deferred.addCallback(lambda _: self.send(DRAINED_TICK))
        self.admission.send(hold)

    def _resume_work(self) -> None:
        if self.holding:
            self.holding = self.drained = False
            self.admission.send(ResumeWork())

    def _schedule_step(self) -> None:
        if not self.step_scheduled:
            self.step_scheduled = True
            self.env.clock.callLater(STEP_INTERVAL_SECONDS, self.send, STEP_TICK)


class OrdersPlugin(Plugin):
    """Provides the ``Orders`` task."""

    name = "orders"

    async def setup(self) -> None:
        """Provide the task to later plug-ins."""
        self.executor = OrderExecutor(
            self.env, self.env.require(Endpoint), self.env.require(Admission)
        )
        self.env.provide(OrderExecutor, self.executor)

    async def start(self) -> None:
        """Start watching the plan."""
        self.executor.start()

    async def stop(self) -> None:
        """Stop watching the plan."""
        await self.executor.stop()


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(OrdersPlugin)
