"""Orders: an agent brings its endpoint to the desired state, one step at a time."""

from attrs import evolve
from testtools import TestCase
from testtools.matchers import Equals, HasLength

from bench.site import Site, pending_messages
from chivewall.decisions.orders import StepKind, next_step
from chivewall.interfaces import EndpointState
from chivewall.plan import DesiredState, Plan, decode_plan, encode_plan, plan_key
from chivewall.work import End, EngineRole
from tests.test_virtual_site import completion, expected_text, text_of

KEY = plan_key("Mombasa")
PREFILL = DesiredState(role=EngineRole.PREFILL, targets=("m",))
ACTUAL = EndpointState(role=EngineRole.MIXED, targets=("m",), fence=3)


def plan(fence=3, desired=PREFILL):
    return Plan(
        holder="h",
        holder_name="entry-1",
        fence=fence,
        lease_deadline=1e9,
        desired={"engine-1": desired},
    )


def step_kind(plan_, actual=ACTUAL, *, deadline=10.0, drained=True, now=0.0):
    return next_step(
        plan_, "engine-1", actual, plan_deadline=deadline, drained=drained, now=now
    ).kind


class NextStepTest(TestCase):
    """Guards against orders that are stale, conflict or cut off running work."""

    def test_old_fencing_number_is_not_sent(self):
        """Guards against engines that ignore fencing numbers: the agent checks them itself."""
        self.assertThat(step_kind(plan(fence=2)), Equals(StepKind.WAIT))

    def test_plan_that_was_not_read_recently_is_not_followed(self):
        """Guards against orders from a plan that may have been replaced since."""
        self.assertThat(step_kind(plan(), deadline=5.0, now=5.0), Equals(StepKind.WAIT))

    def test_endpoint_drains_before_an_order(self):
        """Guards against work that is cut off by an order."""
        self.assertThat(step_kind(plan(), drained=False), Equals(StepKind.DRAIN))

    def test_no_second_order_while_the_endpoint_changes(self):
        """Guards against a second order while the endpoint carries out the first."""
        changing = evolve(ACTUAL, changing=True)
        self.assertThat(step_kind(plan(), changing), Equals(StepKind.WAIT))

    def test_endpoint_in_the_desired_state_gets_no_order(self):
        """Guards against orders to an endpoint that is already in the desired state."""
        actual = evolve(ACTUAL, role=EngineRole.PREFILL)
        self.assertThat(step_kind(plan(fence=2), actual), Equals(StepKind.NOTHING))

    def test_changed_desired_state_is_ordered(self):
        """Guards against a desired state that is never ordered."""
        self.assertThat(step_kind(plan()), Equals(StepKind.SEND))


class OrdersTest(TestCase):
    """Guards against wrong steps of the agent's task, with a real queue and a fake engine."""

    def setUp(self):
        super().setUp()
        self.site = Site(seed=4)
        self.engine = self.site.add_engine(
            "engine-1", "Mombasa", targets=("m",), extra_plugins=("orders",)
        )
        self.site.add_engine("engine-2", "Mombasa", targets=("m",))
        self.site.add_entry("entry-1", "Mombasa")
        self.site.settle()

    def test_change_drains_first_and_cuts_no_answer(self):
        """Guards against responses that are cut off by a change of role."""
        requests = [completion(f"r{index}", deadline=90, tokens=150) for index in range(6)]
        sinks = [self.site.serve("entry-1", one) for one in requests]
        self.site.clock.run_until(2)
        self.assertTrue(self.engine.engine.batch, "the engine should be busy")
        self.site.store.create(KEY, encode_plan(plan()))
        self.site.clock.run_until(2.5)
        self.assertThat(self.engine.orders, HasLength(0))
        self.site.clock.run_until(60)
        self.assertThat(self.engine.orders, HasLength(1))
        self.assertThat(self.engine.current_state.role, Equals(EngineRole.PREFILL))
        for request, sink in zip(requests, sinks, strict=True):
            parts = pending_messages(sink)
            self.assertThat(text_of(parts), Equals(expected_text(request)))
            self.assertIsInstance(parts[-1].body, End)

    def test_engine_serves_again_after_the_change(self):
        """Guards against an endpoint that stays drained after its change."""
        self.site.store.create(KEY, encode_plan(plan()))
        self.site.clock.run_until(10)
        self.site.kill_agent("engine-2")
        sink = self.site.serve("entry-1", completion("after", deadline=60))
        self.site.clock.run_until(40)
        self.assertIsInstance(pending_messages(sink)[-1].body, End)

    def test_unreadable_plan_causes_no_order(self):
        """Guards against orders from a plan of an unknown format."""
        self.site.store.create(KEY, b'{"format": 9}')
        self.site.clock.run_until(10)
        self.assertThat(self.engine.orders, HasLength(0))

    def test_encoded_plan_is_decoded_unchanged(self):
        """Guards against fields of a plan that are lost between writing and reading."""
        self.assertThat(decode_plan(encode_plan(plan())), Equals(plan()))
