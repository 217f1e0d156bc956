"""Messages about prompt parts that crash engines."""

from attrs import define, frozen

from chivewall.decisions.crash_evidence import PartKey, PartNews, Verdict
from chivewall.gateway.routing_configuration import EndpointInfo
from chivewall.task import Inbox, Query


@define(eq=False)
class CheckParts(Query):
    """Ask whether a request with these parts may be sent; the reply is a ``PartCheck``.

    A reply of ``TRIAL`` makes the request the trial that others wait for.
    """

    keys: tuple[PartKey, ...]
    sender: Inbox  # of the request; gets ``PartsSuspected`` until it is served or ended
    request_id: str | None
    last_verdict: Verdict = Verdict.PASS  # the reply to its previous check


@frozen
class PartsServed:
    """An engine sent the first event of a request with these parts."""

    keys: tuple[PartKey, ...]
    sender: Inbox


@frozen
class PartsSuspected:
    """There is new evidence against a part of a request that may have been sent."""


@frozen
class EngineCrashed:
    """An engine crashed while a request with these parts was starting."""

    engine: EndpointInfo
    keys: tuple[PartKey, ...]
    request_id: str | None
    begun: bool  # its response had begun


@frozen
class GuardedRequestEnded:
    """A request with these parts ended."""

    keys: tuple[PartKey, ...]
    sender: Inbox
    in_trial: bool  # it was a trial, and did not show whether the parts are sound


@frozen
class SharePartNews:
    """Pass news to the other gateways, together: of parts of one request, one explains others."""

    news: tuple[PartNews, ...]


@frozen
class SubscribeToPartNews:
    """Set the inbox that receives ``SharePartNews``."""

    inbox: Inbox


@define(eq=False)
class CurrentPartNews(Query):
    """Ask for the main news of suspected parts; the reply is a tuple of ``PartNews``."""


@frozen
class PeerPartNews:
    """What another gateway knows about suspected parts."""

    news: tuple[PartNews, ...]
    relay: bool = False  # too many gateways for each to have it from its source
