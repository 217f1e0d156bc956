"""The keys and ranks of the routing configuration in force, and what the log says of them."""

from attrs import define, field, frozen

from chivewall.decisions.configuration_age import ConfigurationAge
from chivewall.decisions.request_ranks import RequestRanks
from chivewall.decisions.workspace_keys import KeyRuling, KeyVerdict, WorkspaceKeys
from chivewall.environment import Environment
from chivewall.events import Event
from chivewall.gateway.http_dialect import CallerRequest
from chivewall.gateway.routing_configuration import Route, RoutingConfiguration
from chivewall.gateway.workspace_messages import WorkspacesInForce
from chivewall.results import ResultCode

MAX_LOGGED_PAIRS = 8  # pairs of workspaces with a common key that one line names


@frozen
class KeyRefusal:
    """Why a request may not be sent to an endpoint, for its caller and for the log."""

    code: ResultCode
    reason: str


def key_refusal(ruling: KeyRuling) -> KeyRefusal | None:
    """Return why a request may not be sent, or ``None`` if it may."""
    if ruling.allows:
        return None
    denied = ruling.verdict is KeyVerdict.DENIED
    return KeyRefusal(ResultCode.UNKNOWN_KEY if denied else ResultCode.KEY_UNDECIDED, ruling.reason)


@define(eq=False)
class WorkspaceAccess:
    """Rules on the keys of arriving requests; a part of the ``Gateway`` task."""

    env: Environment
    age: ConfigurationAge = field(factory=ConfigurationAge, init=False)
    in_force: WorkspacesInForce | None = field(default=None, init=False)

    def apply(self, configuration: RoutingConfiguration) -> None:
        """Put the keys and ranks of a configuration in force."""
        keys = WorkspaceKeys(configuration)
        self.in_force = WorkspacesInForce(keys, RequestRanks(configuration))
        self.age.record_applied()
        if configuration.keys_required:
            self.env.log.emit(
                Event.WORKSPACES_IN_FORCE,
                version=configuration.version,
                workspaces=len(configuration.workspaces),
                keys=keys.count,
            )
        if configuration.odd_workspaces or keys.shared:
            self.env.log.emit(
                Event.WORKSPACE_ENTRY_ODD,
                version=configuration.version,
                odd_entries=configuration.odd_workspaces,
                common_keys=sorted(keys.shared)[:MAX_LOGGED_PAIRS],
            )

    def rule(self, request: CallerRequest, route: Route) -> KeyRuling:
        """Return what holds for a request that has arrived."""
        may_be_old = self.age.may_be_old(self.env.now)
        sent = request.fields.workspace_keys
        return self.in_force.keys.rule(sent, route, may_be_old=may_be_old)
