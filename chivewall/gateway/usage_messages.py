"""Messages about the requests that workspaces are billed for."""

from attrs import frozen


@frozen
class RequestBegan:
    """A request of a workspace began to run: its first token, or its run at a plain service."""

    workspace: str
    at: float  # Unix time in seconds, by the clock of this gateway
