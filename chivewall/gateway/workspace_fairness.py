"""Fairness between workspaces: what a gateway counts, logs and tells; a part of the ``Fleet``."""

from attrs import define, field, frozen

from chivewall.decisions.overload import Overloaded
from chivewall.decisions.placement import ON_TIME_SHARE, Placement
from chivewall.decisions.workspace_shares import (
    ShareGroup,
    ShareReport,
    WorkspaceShares,
    WorkspaceUse,
    request_cost,
    workspace_tag,
)
from chivewall.environment import Environment
from chivewall.events import Event
from chivewall.gateway.fleet_messages import FindPlacement
from chivewall.gateway.http_dialect import RequestFields
from chivewall.task import Inbox

REPORT_SECONDS = 1.0  # between two reports to the other gateways


@frozen
class ReportShares:
    """It is time to tell the other gateways what the workspaces use."""


def workspace_use(
    workspace: str | None, service: str, rank: int, fields: RequestFields
) -> WorkspaceUse | None:
    """Return what a request counts for its workspace, or ``None`` if it has none."""
    if workspace is None:
        return None
    cost = request_cost(fields.prompt_tokens, fields.max_output_tokens)
    return WorkspaceUse(ShareGroup(service, rank), workspace_tag(workspace), cost)


@define(eq=False)
class WorkspaceFairness:
    """Counts the requests of workspaces, and reports while room is short."""

    env: Environment
    fleet: Inbox  # receives ``ReportShares``
    shares: WorkspaceShares = field(factory=WorkspaceShares, init=False)
    _reporting: bool = field(default=False, init=False)  # a report is due

    def queue_weight(self, query: FindPlacement) -> float:
        """Return how many times a queue counts for a request."""
        use = self._use(query)
        if use is None or query.committed:
            return 1.0
        return self.shares.queue_weight(use, self.env.now)

    def record_choice(
        self, query: FindPlacement, found: Placement | Overloaded | None, queue_weight: float
    ) -> None:
        """Record what became of a request: whether room is short, and who yields.

        A search for a spare endpoint says nothing: the request is answered without one.
        """
        use = self._use(query)
        if use is None or found is None or query.committed or query.spare:
            return
        refused = isinstance(found, Overloaded)
        if refused or found.estimate > ON_TIME_SHARE * query.slack_seconds:
            self.shares.record_short(use.group, self.env.now)
            self._report_later()
        if found.yields:
            self.env.log.emit(
                Event.WORKSPACE_YIELDS,
                request=query.fields.request_id,
                workspace=query.workspace,
                service=query.service,
                rank=query.rank,
                queue_weight=round(queue_weight, 2),
                outcome="refused" if refused else "late",
            )

    def record_reports(self, reports: tuple[ShareReport, ...], weight: float) -> None:
        """Record what another gateway tells."""
        for one in reports:
            self.shares.record_report(one, weight, self.env.now)
        self._report_later()

    def due_reports(self) -> tuple[ShareReport, ...]:
        """Return the reports to send now, and schedule the next ones."""
        self._reporting = False
        found = self.shares.reports(self.env.now)
        self._report_later()
        return found

    def _report_later(self) -> None:
        if not self._reporting and self.shares.is_short(self.env.now):
            self._reporting = True
            self.env.clock.callLater(REPORT_SECONDS, self.fleet.put, ReportShares())

    def _use(self, query: FindPlacement) -> WorkspaceUse | None:
        return workspace_use(query.workspace, query.service, query.rank, query.fields)
