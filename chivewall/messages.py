"""Messages that the tasks of a process send to each other."""

from typing import TYPE_CHECKING

from attrs import define, frozen

from chivewall.task import Inbox, Query
from chivewall.work import Attempt, LoadReport, Request

if TYPE_CHECKING:
    from chivewall.configuration import Configuration
    from chivewall.decisions.routing import Route


@frozen
class ServeRequest:
    """Tells the dispatcher to serve a request and to send the response parts to ``sink``."""

    request: Request
    sink: Inbox


@frozen
class CancelRequest:
    """The caller has disconnected; the request need not be served any more."""

    request_id: str


@define(eq=False)
class ChooseRoute(Query):
    """Query to the directory for an endpoint; the reply is a ``Route`` or ``None``."""

    request: Request
    excluded: frozenset[str]  # names of endpoints that must not be chosen


@frozen
class AttemptSent:
    """An attempt was sent; the directory counts it as running until it ends."""

    route: "Route"
    attempt: Attempt


@frozen
class AttemptEnded:
    """An attempt has ended; the directory updates the state of its endpoint."""

    request_id: str
    attempt: int
    endpoint: str
    failed: bool
    incarnation: str | None = None  # incarnation of the agent that the attempt was sent to


@frozen
class OutputCounted:
    """The number of tokens of a complete answer."""

    request: Request
    tokens: int


@frozen
class ReportReceived:
    """A load report arrived, alone or attached to another message."""

    report: LoadReport
    round_trip_seconds: float | None = None  # seconds; None if it was not measured


@frozen
class LinkFailed:
    """The link to an agent broke, timed out or can't be opened."""

    endpoint: str
    reason: str
    incarnation: str | None = None  # incarnation of the agent that the attempt was sent to
    attempt_key: tuple[str, int] | None = (
        None  # request id and number of the attempt that noticed it
    )


@frozen
class SubmitAttempt:
    """Tells a link to send an attempt and to put its response parts into ``sink``."""

    attempt: Attempt
    sink: Inbox


@frozen
class CancelAttempt:
    """Tells a link to cancel an attempt whose response is no longer needed."""

    request_id: str
    attempt: int
    endpoint: str


@frozen
class AttemptBroken:
    """Tells a dispatch task that the link broke and no more parts of an attempt will arrive."""

    request_id: str
    attempt: int
    may_have_arrived: bool  # False if the agent can't have received the attempt
    reason: str


@frozen
class AttemptArrived:
    """Tells admission that an attempt arrived; its response parts go to ``sink``."""

    attempt: Attempt
    sink: Inbox


@frozen
class WithdrawAttempt:
    """Tells admission that the entry has cancelled an attempt."""

    request_id: str
    attempt: int


@frozen
class Tick:
    """A timer of the receiving task has fired."""

    purpose: str = ""


@frozen
class ConfigurationReceived:
    """A configuration document arrived from the object API or a peer."""

    configuration: "Configuration"
    origin: str


@define(eq=False)
class PauseWork(Query):
    """Query to pause new work until ``ResumeWork``; answered when the endpoint is idle."""


@frozen
class ResumeWork:
    """The endpoint may run work again."""


@define(eq=False)
class Drain(Query):
    """Query to refuse new work; answered when nothing is in flight any more."""
