"""Messages about workspaces."""

from attrs import frozen

from chivewall.decisions.request_ranks import RequestRanks
from chivewall.decisions.workspace_keys import WorkspaceKeys


@frozen
class WorkspacesInForce:
    """A new routing configuration is in force; this holds for attempts that are not yet sent."""

    keys: WorkspaceKeys
    ranks: RequestRanks
