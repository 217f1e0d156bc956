"""Messages about the keys of workspaces."""

from attrs import frozen

from chivewall.decisions.workspace_keys import WorkspaceKeys


@frozen
class KeysInForce:
    """A new routing configuration is in force; its keys hold for attempts not yet sent."""

    keys: WorkspaceKeys
