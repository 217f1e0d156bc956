"""Messages about the requests that workspaces are billed for."""

from collections.abc import Mapping

from attrs import define, frozen

from chivewall.task import Query


@frozen
class RequestBegan:
    """A request of a workspace began to run: its first token, or its run at a plain service."""

    workspace: str
    at: float  # Unix time in seconds, by the clock of this gateway


@frozen
class WindowUsage:
    """What is known of the requests of one window."""

    counts: Mapping[str, int]  # requests by workspace
    missing: tuple[str, ...]  # live gateways whose counts are not known to be complete


@define(eq=False)
class ReadUsage(Query):
    """Ask for the ``WindowUsage`` of a window."""

    window: int


@define(eq=False)
class ShareLast(Query):
    """Ask to tell the collectors the last counts of this process; the reply is ``None``."""
