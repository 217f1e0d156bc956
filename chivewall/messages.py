"""Messages between tasks of one process."""

from typing import TYPE_CHECKING

from attrs import define, frozen

from chivewall.task import Inbox, Query
from chivewall.work import Attempt, LoadReport, Request

if TYPE_CHECKING:
    from chivewall.configuration import Configuration
    from chivewall.decisions.routing import Route


@frozen
class Serve:
    """From a front end to the dispatcher: serve a request, send its parts to ``sink``."""

    request: Request
    sink: Inbox


@frozen
class Abandon:
    """The caller has gone; nobody reads the parts of this request any more."""

    request_id: str


@define(eq=False)
class ChooseRoute(Query):
    """Ask the directory for an endpoint; answered with a ``Route``."""

    request: Request
    excluded: frozenset[str]


@frozen
class AttemptSent:
    """An attempt is on its way; the directory counts it until it ends."""

    route: "Route"
    attempt: Attempt


@frozen
class AttemptEnded:
    """An attempt has ended, with what the directory may learn from it."""

    request_id: str
    attempt: int
    endpoint: str
    failed: bool
    incarnation: str | None = None  # that the attempt was addressed to


@frozen
class OutputSeen:
    """A complete answer had this many tokens."""

    request: Request
    tokens: int


@frozen
class ReportSeen:
    """A load report arrived on some message."""

    report: LoadReport
    round_trip: float | None = None  # seconds


@frozen
class EndpointSilent:
    """The link to an agent broke, went silent or can't be opened."""

    endpoint: str
    reason: str
    incarnation: str | None = None  # of the attempt that noticed it
    key: tuple[str, int] | None = None  # request and attempt that noticed it


@frozen
class SubmitAttempt:
    """From a dispatch task to a link: send an attempt, put its parts in ``sink``."""

    attempt: Attempt
    sink: Inbox


@frozen
class CancelAttempt:
    """Stop an attempt that nobody waits for."""

    request_id: str
    attempt: int
    endpoint: str


@frozen
class AttemptBroken:
    """From a link to a dispatch task: no more parts of this attempt will come."""

    request_id: str
    attempt: int
    sent: bool  # False if the agent can't have seen the attempt
    reason: str


@frozen
class Arrive:
    """From the gate to admission: an attempt arrived, its parts go to ``sink``."""

    attempt: Attempt
    sink: Inbox


@frozen
class Withdraw:
    """From the gate to admission: the entry no longer wants this attempt."""

    request_id: str
    attempt: int


@frozen
class Tick:
    """A timer that a task set for itself has fired."""

    purpose: str = ""


@frozen
class ConfigurationSeen:
    """A configuration document arrived from the object API or a peer."""

    configuration: "Configuration"
    origin: str


@define(eq=False)
class HoldWork(Query):
    """Start no work until ``ResumeWork``; answered when nothing runs at the endpoint."""


@frozen
class ResumeWork:
    """The endpoint may run work again."""


@define(eq=False)
class Drain(Query):
    """Take no new work; answered when nothing is in flight any more."""
