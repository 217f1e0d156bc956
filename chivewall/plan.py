"""The plan of a data centre: its lease and the desired state that the lease protects."""

import json

import cattrs
from attrs import evolve, field, frozen

from chivewall.errors import PlanError
from chivewall.work import EngineRole

PLAN_FORMAT = 1
PLAN_PREFIX = "plan/"


@frozen
class DesiredState:
    """What an endpoint is to become."""

    role: EngineRole
    targets: tuple[str, ...]


@frozen
class Plan:
    """One version of the plan object.

    ``holder`` is the random token of the process life that holds the lease,
    ``fence`` grows with each change of holder, and ``lease_deadline`` is Unix
    time in seconds.
    """

    holder: str
    holder_name: str
    fence: int
    lease_deadline: float
    desired: dict[str, DesiredState] = field(factory=dict)
    format: int = PLAN_FORMAT

    def with_desired(self, endpoint: str, state: DesiredState) -> "Plan":
        """Return the plan with another desired state of one endpoint."""
        return evolve(self, desired={**self.desired, endpoint: state})


def plan_key(data_centre: str) -> str:
    """Return the key of a data centre's plan object."""
    return f"{PLAN_PREFIX}{data_centre}"


def encode_plan(plan: Plan) -> bytes:
    """Return the stored form of a plan."""
    return json.dumps(_CONVERTER.unstructure(plan)).encode()


def decode_plan(value: bytes) -> Plan:
    """Read the stored form; raises ``PlanError``."""
    try:
        plan = _CONVERTER.structure(json.loads(value), Plan)
    except cattrs.BaseValidationError as exc:
        raise PlanError("; ".join(cattrs.transform_error(exc, path="$"))) from exc
    except (ValueError, TypeError, AttributeError) as exc:
        raise PlanError(f"the plan can't be read: {exc}") from exc
    if plan.format != PLAN_FORMAT:
        raise PlanError(f"plan format {plan.format} is not {PLAN_FORMAT}")
    return plan


_CONVERTER = cattrs.Converter(forbid_extra_keys=True)
