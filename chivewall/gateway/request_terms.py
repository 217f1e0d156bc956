"""The terms of one request: its deadlines, its workspace, and its rank among others."""

from typing import Any

from attrs import define, field

from chivewall.decisions.request_ranks import RequestRanks
from chivewall.decisions.workspace_shares import WorkspaceUse
from chivewall.environment import Environment
from chivewall.gateway.exchange import request_deadline
from chivewall.gateway.http_dialect import CallerRequest
from chivewall.gateway.routing_configuration import Route, Workspace
from chivewall.gateway.workspace_access import KeyRefusal, key_refusal
from chivewall.gateway.workspace_fairness import workspace_use
from chivewall.gateway.workspace_messages import WorkspacesInForce

MS_PER_SECOND = 1000.0
RESPONSE_MARGIN_SECONDS = 0.03  # the gateway's own error is sent this long before the deadline


@define(eq=False)
class RequestTerms:
    """What a request may claim; a shutdown or a new configuration may change it."""

    env: Environment
    request: CallerRequest
    route: Route
    service: str
    workspace: Workspace | None  # None: the route is public, or there are no workspaces
    workspaces_in_use: bool
    ranks: RequestRanks | None  # None: the route's priority alone counts
    key_refusal: KeyRefusal | None = None  # why no further attempt may be sent
    deadline: float = field(init=False)
    response_deadline: float = field(init=False)  # of the gateway's own error

    def __attrs_post_init__(self) -> None:
        self.deadline = request_deadline(self.request, self.route)
        self.response_deadline = max(
            self.deadline - RESPONSE_MARGIN_SECONDS, self.request.received_at
        )

    def end_by(self, deadline: float) -> bool:
        """Take an earlier deadline, and return whether it is earlier."""
        if deadline >= self.deadline:
            return False
        self.deadline = deadline
        self.response_deadline = deadline - RESPONSE_MARGIN_SECONDS
        return True

    def apply(self, message: WorkspacesInForce) -> None:
        """Apply the keys and ranks of a new configuration."""
        ruling = message.keys.rule(self.request.fields.workspace_keys, self.route)
        self.workspace = ruling.workspace
        self.workspaces_in_use = ruling.workspaces_in_use
        self.ranks = message.ranks
        self.key_refusal = key_refusal(ruling)

    @property
    def rank(self) -> int:
        """Return the rank of the request by the priorities of its workspace and its route."""
        if self.ranks is None:
            return self.route.priority
        return self.ranks.rank(self.workspace, self.route)

    @property
    def workspace_name(self) -> str | None:
        """Return the name of the workspace, if there is one."""
        return None if self.workspace is None else self.workspace.name

    def workspace_fields(self) -> dict[str, Any]:
        """Return the fields of ``ForwardedFields`` that tell an endpoint the workspace."""
        return {"workspace": self.workspace_name, "workspaces_in_use": self.workspaces_in_use}

    def workspace_use(self) -> WorkspaceUse | None:
        """Return what the request counts for its workspace."""
        return workspace_use(self.workspace_name, self.service, self.rank, self.request.fields)

    def slack_seconds(self) -> float:
        """Return the seconds that are left until the route's objective is missed."""
        return self.route.objective_ms / MS_PER_SECOND - (self.env.now - self.request.received_at)

    def time_left_ms(self) -> float:
        """Return the milliseconds until the deadline."""
        return (self.deadline - self.env.now) * MS_PER_SECOND

    def seconds_to_answer(self) -> float:
        """Return the seconds until the gateway's own error is due."""
        return self.response_deadline - self.env.now
