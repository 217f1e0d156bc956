"""Agent links that simulate network delay between data centres, for the embedded role."""

from attrs import define, field
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from chivewall.interfaces import AgentLink, Instance, LinkFactory
from chivewall.task import Inbox
from chivewall.work import Attempt


@define(eq=False)
class DelayedInbox:
    """Delivers messages to an inbox after a fixed delay, in order."""

    clock: IReactorTime
    delay_seconds: float  # seconds, one way
    inbox: Inbox

    def put(self, message: object) -> None:
        """Deliver a message to the inbox after the delay."""
        self.clock.callLater(self.delay_seconds, self.inbox.put, message)


@define(eq=False)
class DelayedLink:
    """Implements ``AgentLink``: wraps another link and delays its traffic in both directions."""

    clock: IReactorTime
    delay_seconds: float  # seconds, one way
    link: AgentLink

    def submit(self, attempt: Attempt, sink: Inbox) -> None:
        """Send an attempt after the delay; its parts reach ``sink`` with the same delay."""
        delayed = DelayedInbox(clock=self.clock, delay_seconds=self.delay_seconds, inbox=sink)
        self.clock.callLater(self.delay_seconds, self.link.submit, attempt, delayed)

    def cancel(self, request_id: str, attempt: int) -> None:
        """Stop an attempt after the delay."""
        self.clock.callLater(self.delay_seconds, self.link.cancel, request_id, attempt)

    def probe(self) -> Deferred:
        """Fire with a ``LoadReport``, one round trip late; fails with ``LinkBrokenError``."""
        return self._delay(self.link.probe())

    def exchange_configuration(self, document: bytes) -> Deferred:
        """Offer a configuration document; fire with the peer's newer one or ``b""``, delayed."""
        return self._delay(self.link.exchange_configuration(document))

    def close(self) -> None:
        """Close the wrapped link at once."""
        self.link.close()

    def _delay(self, reply: Deferred) -> Deferred:
        delayed: Deferred = Deferred()
        round_trip = 2 * self.delay_seconds
        reply.addCallbacks(
            lambda value: self.clock.callLater(round_trip, delayed.callback, value),
            lambda failure: self.clock.callLater(round_trip, delayed.errback, failure),
        )
        return delayed


@define(eq=False)
class DelayedLinkFactory:
    """Implements ``LinkFactory``; links to other data centres are delayed."""

    clock: IReactorTime
    data_centre: str  # data centre of the entry
    delay_seconds: float  # seconds, one way
    factory: LinkFactory = field()

    def open(self, instance: Instance) -> AgentLink:
        """Return a new link to the agent of an instance."""
        link = self.factory.open(instance)
        if instance.data_centre == self.data_centre:
            return link
        return DelayedLink(clock=self.clock, delay_seconds=self.delay_seconds, link=link)
