"""Context managers that each break one safeguard of the system.

The tests of the fault matrix use them to prove that its checks can fail.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from unittest.mock import patch

from attrs import evolve

from chivewall.decisions import claims, membership, orders, retries
from chivewall.decisions.orders import Step, StepKind
from chivewall.decisions.retries import RunTracker
from chivewall.decisions.streams import PartAction, ResponseStream
from chivewall.interfaces import Order
from chivewall.kernel import Application
from chivewall.plugins.builtin import orders as orders_plugin
from chivewall.plugins.builtin.admission import Admission
from chivewall.plugins.builtin.configuration import ConfigurationKeeper
from chivewall.plugins.builtin.dispatch import Dispatcher
from chivewall.plugins.builtin.orders import OrderExecutor
from chivewall.request_task import RequestServed, RequestTask
from chivewall.results import RunState
from chivewall.work import Rank, Tokens


@contextmanager
def repeat_any_request() -> Iterator[None]:
    """Repeat requests of every kind, also after an attempt that may have run."""
    with patch.object(retries, "may_repeat", lambda _request, _run: True):
        yield


@contextmanager
def no_claim() -> Iterator[None]:
    """Run calls that have an idempotency key without a claim."""
    with patch.object(claims, "needs_claim", lambda _request: False):
        yield


@contextmanager
def no_freshness_check() -> Iterator[None]:
    """Send orders from a plan of any age."""
    with patch.object(orders_plugin, "MAX_PLAN_AGE_SECONDS", 1e9):
        yield


@contextmanager
def no_fence() -> Iterator[None]:
    """Send orders without a fencing number, also while the engine is changing."""

    def next_step(plan, endpoint, actual, *, drained, **_):
        desired = plan.desired.get(endpoint)
        if desired is None or orders.matches(desired, actual):
            return Step(StepKind.NOTHING, "")
        if not drained:
            return Step(StepKind.DRAIN, "")
        order = Order(fence=0, role=desired.role, targets=desired.targets)
        return Step(StepKind.SEND, "", order=order)

    with patch.object(orders_plugin, "next_step", next_step):
        yield


@contextmanager
def order_without_drain() -> Iterator[None]:
    """Order engines to change while they still run work."""
    original = orders.next_step

    def next_step(*args, **kwargs):
        return original(*args, **{**kwargs, "drained": True})

    with patch.object(orders_plugin, "next_step", next_step):
        yield


@contextmanager
def accept_any_version() -> Iterator[None]:
    """Accept every version of the configuration, also one older than the current."""
    original = ConfigurationKeeper._apply

    def apply(self, configuration, origin):
        if self.current is not None and self.current.version > configuration.version:
            self.current = None
        original(self, configuration, origin)

    with patch.object(ConfigurationKeeper, "_apply", apply):
        yield


@contextmanager
def ignore_later_versions() -> Iterator[None]:
    """Keep the first version of the configuration and ignore all later ones."""
    original = ConfigurationKeeper._apply

    def apply(self, configuration, origin):
        if self.current is None:
            original(self, configuration, origin)

    with patch.object(ConfigurationKeeper, "_apply", apply):
        yield


@contextmanager
def report_always_not_run() -> Iterator[None]:
    """Mark every refusal as not run, also if an attempt may have run."""
    with patch.object(
        RunTracker, "with_true_run_state", lambda _, refusal: evolve(refusal, run=RunState.NO)
    ):
        yield


@contextmanager
def no_sequence_check() -> Iterator[None]:
    """Forward every part without a check of its sequence number."""

    def check_part(self, part):
        if isinstance(part.body, Tokens):
            self.delivered.extend(part.body.texts)
        return PartAction.FORWARD, part

    with patch.object(ResponseStream, "check_part", check_part):
        yield


@contextmanager
def ignore_leaving() -> Iterator[None]:
    """Treat leaving endpoints as live, so that they still get work."""
    original = membership._reported_state

    def reported_state(report, instance):
        return original(evolve(report, leaving=False), evolve(instance, leaving=False))

    with patch.object(membership, "_reported_state", reported_state):
        yield


@contextmanager
def no_drain() -> Iterator[None]:
    """Shut down without waiting for requests in flight."""

    async def drain_until(_self, _deadline):
        return None

    with patch.object(Application, "_drain_until", drain_until):
        yield


@contextmanager
def keep_ended_dispatches() -> Iterator[None]:
    """Keep the tasks of requests that have ended."""
    original = Dispatcher.__dict__["receive"]

    async def receive(self, message):
        if not isinstance(message, RequestServed):
            await original.__get__(self, Dispatcher)(message)

    with patch.object(Dispatcher, "receive", receive):
        yield


@contextmanager
def drop_patient_work() -> Iterator[None]:
    """Drop patient work at the agent without a refusal, and let the entry wait for ever."""
    original = Admission._start_run

    def start_run(self, attempt):
        if attempt.request.rank is not Rank.PATIENT:
            original(self, attempt)

    def watch(self):
        self.check_timer = self.env.clock.callLater(1.0, lambda: None)

    with (
        patch.object(Admission, "_start_run", start_run),
        patch.object(RequestTask, "_schedule_check", watch),
    ):
        yield


@contextmanager
def overlapping_orders() -> Iterator[None]:
    """Send the next order while the engine still applies the last one."""
    original = orders.next_step

    def next_step(plan, endpoint, actual, **kwargs):
        return original(plan, endpoint, evolve(actual, changing=False), **kwargs)

    async def send(self, order, _plan_deadline):
        self.endpoint.order(order).addErrback(lambda _: None)

    with (
        patch.object(orders_plugin, "next_step", next_step),
        patch.object(OrderExecutor, "_send", send),
    ):
        yield
