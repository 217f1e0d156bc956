"""The agent's orders: brings its endpoint to the desired state of the plan.

The plan is the only source of orders; the agent takes one step at a time and
reads the endpoint's actual state before each.
"""

from functools import singledispatchmethod

from chivewall.decisions.orders import MAX_PLAN_AGE_SECONDS, Step, StepKind, matches, next_step
from chivewall.environment import Environment
from chivewall.errors import EndpointError, PlanError, StoreError
from chivewall.events import Event
from chivewall.interfaces import Endpoint, ObjectStore, Order
from chivewall.messages import HoldWork, ResumeWork, Tick
from chivewall.plan import Plan, decode_plan, plan_key
from chivewall.plugins.base import Plugin
from chivewall.plugins.builtin.admission import Admission
from chivewall.plugins.registry import Registry
from chivewall.task import Task
from chivewall.watch import ObjectChanged, ObjectWatcher

STEP_SECONDS = 1.0  # between steps while the endpoint is not as desired
DRAINED = Tick("drained")
STEP = Tick("step")


class Orders(Task):
    """Owns the changes of one endpoint."""

    def __init__(self, env: Environment, endpoint: Endpoint, admission: Admission) -> None:
        super().__init__()
        self.env = env
        self.endpoint = endpoint
        self.admission = admission
        self.store = env.require(ObjectStore)
        self.key = plan_key(env.settings.core.data_centre)
        self.watcher = ObjectWatcher(env, self.store, self.key, self.inbox)
        self.plan: Plan | None = None
        self.holding = False  # new work is held back for a change
        self.drained = False
        self.stepping = False  # a timer for the next step is set

    def start(self) -> None:
        """Begin to follow the plan."""
        super().start()
        self.watcher.start()

    async def on_stop(self) -> None:
        """Stop following the plan."""
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
        if message == DRAINED:
            self.drained = self.holding
        else:
            self.stepping = False
        await self._step()

    async def _step(self) -> None:
        desired = self.plan.desired.get(self.admission.name) if self.plan is not None else None
        if desired is None:
            self._resume()
            return
        try:
            actual = await self.endpoint.state()
            if matches(desired, actual) and not actual.changing:
                self._resume()
                return
            read_at = self.env.now
            stored = await self.store.get(self.key)
            self.plan = decode_plan(stored.value)
            actual = await self.endpoint.state()
        except (EndpointError, StoreError, PlanError) as exc:
            self.env.log.emit(Event.ORDER_HELD, reason=str(exc))
            self._step_later()
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
        await self._take(step, plan_deadline)

    async def _take(self, step: Step, plan_deadline: float) -> None:
        if step.kind is StepKind.NOTHING:
            self._resume()
            return
        if step.kind is StepKind.DRAIN:
            self._hold()
        elif step.kind is StepKind.SEND:
            await self._send(step.order, plan_deadline)
        else:
            self.env.log.emit(Event.ORDER_HELD, reason=step.reason)
        self._step_later()

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

    def _hold(self) -> None:
        if self.holding:
            return
        self.holding = True
        hold = HoldWork()
        hold.reply.addCallback(lambda _: self.tell(DRAINED))
        self.admission.tell(hold)

    def _resume(self) -> None:
        if self.holding:
            self.holding = self.drained = False
            self.admission.tell(ResumeWork())

    def _step_later(self) -> None:
        if not self.stepping:
            self.stepping = True
            self.env.clock.callLater(STEP_SECONDS, self.tell, STEP)


class OrdersPlugin(Plugin):
    """Offers the ``Orders`` task."""

    name = "orders"

    async def setup(self) -> None:
        """Offer the task."""
        self.orders = Orders(self.env, self.env.require(Endpoint), self.env.require(Admission))
        self.env.provide(Orders, self.orders)

    async def start(self) -> None:
        """Begin to follow the plan."""
        self.orders.start()

    async def stop(self) -> None:
        """Stop following the plan."""
        await self.orders.stop()


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(OrdersPlugin)
