"""Decides the one next step that brings an endpoint to its desired state."""

from enum import Enum

from attrs import frozen

from chivewall.interfaces import EndpointState, Order
from chivewall.plan import DesiredState, Plan

PLAN_FRESH_SECONDS = 10.0  # an agent acts only on a plan that it has read this recently


class StepKind(Enum):
    """What an agent does next for its endpoint."""

    NOTHING = "nothing"  # the endpoint is as desired, or nothing is desired
    WAIT = "wait"  # the endpoint is changing, or the plan is too old to act on
    DRAIN = "drain"  # let running work end before the change
    SEND = "send"  # send the order now


@frozen
class Step:
    """The next step and why."""

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
    """Return the next step.

    ``plan_deadline`` is when the agent's reading of the plan gets too old.
    """
    desired = plan.desired.get(endpoint) if plan is not None else None
    if desired is None:
        return Step(StepKind.NOTHING, "nothing is desired")
    if now >= plan_deadline:
        return Step(StepKind.WAIT, "the plan was not read recently")
    if actual.changing:
        return Step(StepKind.WAIT, "the endpoint is changing")
    if matches(desired, actual):
        return Step(StepKind.NOTHING, "the endpoint is as desired")
    if plan.fence < actual.fence:
        return Step(StepKind.WAIT, f"fencing number {plan.fence} is older than {actual.fence}")
    if not drained:
        return Step(StepKind.DRAIN, "work is running")
    order = Order(fence=plan.fence, role=desired.role, targets=desired.targets)
    return Step(StepKind.SEND, "the endpoint is drained", order=order)


def matches(desired: DesiredState, actual: EndpointState) -> bool:
    """Return whether an endpoint is as desired."""
    return desired.role is actual.role and set(desired.targets) == set(actual.targets)
