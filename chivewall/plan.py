"""The stored plan of a data centre: its lease and the desired states of its endpoints."""

import json

import cattrs
from attrs import evolve, field, frozen

from chivewall.errors import PlanError
from chivewall.work import EngineRole

PLAN_FORMAT = 1
PLAN_PREFIX = "plan/"


@frozen
class DesiredState:
    """Role and models that an endpoint should have."""

    role: EngineRole
    targets: tuple[str, ...]


@frozen
class Plan:
    """One version of the plan object.

    The holder of the lease alone may change the plan. ``holder`` is a random
    token that the process draws at its start, and ``holder_name`` is its instance.
    ``fence`` increases with each change of holder. ``lease_deadline`` is Unix
    time in seconds.
    """

    holder: str
    holder_name: str
    fence: int
    lease_deadline: float
    desired: dict[str, DesiredState] = field(factory=dict)
    format: int = PLAN_FORMAT

    def with_desired(self, endpoint: str, state: DesiredState) -> "Plan":
        """Return the plan with the desired state of one endpoint replaced."""
        return evolve(self, desired={**self.desired, endpoint: state})


def plan_key(data_centre: str) -> str:
    """Return the key of a data centre's plan object."""
    return f"{PLAN_PREFIX}{data_centre}"


def encode_plan(plan: Plan) -> bytes:
    """Return a plan as the bytes that are stored."""
    return json.dumps(_CONVERTER.unstructure(plan)).encode()


def decode_plan(value: bytes) -> Plan:
    """Return the plan of stored bytes; raises ``PlanError``."""
    try:
        plan = _CONVERTER.structure(json.loads(value), Plan)
    except cattrs.BaseValidationError as exc:
        raise PlanError("; ".join(cattrs.transform_error(exc, path="$"))) from exc
    except (ValueError, TypeError, AttributeError) as exc:
        raise PlanError(f"the plan can't be decoded: {exc}") from exc
    if plan.format != PLAN_FORMAT:
        raise PlanError(f"plan format {plan.format} is not supported; expected {PLAN_FORMAT}")
    return plan


_CONVERTER = cattrs.Converter(forbid_extra_keys=True)
