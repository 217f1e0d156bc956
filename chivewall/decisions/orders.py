"""Decides the next step that brings an endpoint to its desired state."""

from enum import Enum

from attrs import frozen

from chivewall.interfaces import EndpointState, Order
from chivewall.plan import DesiredState, Plan

MAX_PLAN_AGE_SECONDS = 10.0  # an agent sends orders only if it read the plan within this time


class StepKind(Enum):
    """Kind of the next step of an agent for its endpoint."""

    NOTHING = "nothing"  # the endpoint is in its desired state, or the plan has none for it
    WAIT = "wait"  # the endpoint is changing, or the plan is too old or was superseded
    DRAIN = "drain"  # let running work finish before the change
    SEND = "send"  # send the order now


@frozen
class Step:
    """The next step, with its reason and the order to send, if any."""

    kind: StepKind
    reason: str
    order: Order | None = None


def next_step(
    plan: Plan | None,
    endpoint: str,
    actual: EndpointState,
    *,
    plan_deadline: float,
    drained: bool,
    now: float,
) -> Step:
    """Return the next step for an endpoint.

    ``plan_deadline`` is the time when the agent's copy of the plan becomes too old.
    """
    desired = plan.desired.get(endpoint) if plan is not None else None
    if desired is None:
        return Step(StepKind.NOTHING, "the plan has no desired state for the endpoint")
    if now >= plan_deadline:
        return Step(StepKind.WAIT, "the plan was not read recently")
    if actual.changing:
        return Step(StepKind.WAIT, "the endpoint is changing")
    if matches(desired, actual):
        return Step(StepKind.NOTHING, "the endpoint is in its desired state")
    if plan.fence < actual.fence:
        return Step(StepKind.WAIT, f"fencing number {plan.fence} is older than {actual.fence}")
    if not drained:
        return Step(StepKind.DRAIN, "work is still running")
    order = Order(fence=plan.fence, role=desired.role, targets=desired.targets)
    return Step(StepKind.SEND, "the endpoint is drained", order=order)


def matches(desired: DesiredState, actual: EndpointState) -> bool:
    """Return whether an endpoint is in its desired state."""
    return desired.role is actual.role and set(desired.targets) == set(actual.targets)
