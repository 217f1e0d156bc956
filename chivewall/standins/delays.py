"""Links with the delay of a network between data centres, for an embedded site."""

from attrs import define, field
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from chivewall.interfaces import AgentLink, Instance, LinkFactory
from chivewall.task import Inbox
from chivewall.work import Attempt


@define(eq=False)
class DelayedSink:
    """Hands messages on after a delay, in order."""

    clock: IReactorTime
    delay: float  # seconds
    sink: Inbox

    def put(self, message: object) -> None:
        """Hand a message on after the delay."""
        self.clock.callLater(self.delay, self.sink.put, message)


@define(eq=False)
class DelayedLink:
    """Implements ``AgentLink`` around another link, with a one-way delay."""

    clock: IReactorTime
    delay: float  # seconds
    link: AgentLink

    def submit(self, attempt: Attempt, sink: Inbox) -> None:
        """See ``AgentLink.submit``."""
        delayed = DelayedSink(clock=self.clock, delay=self.delay, sink=sink)
        self.clock.callLater(self.delay, self.link.submit, attempt, delayed)

    def cancel(self, request_id: str, attempt: int) -> None:
        """See ``AgentLink.cancel``."""
        self.clock.callLater(self.delay, self.link.cancel, request_id, attempt)

    def probe(self) -> Deferred:
        """See ``AgentLink.probe``."""
        return self._delay(self.link.probe())

    def exchange_configuration(self, document: bytes) -> Deferred:
        """See ``AgentLink.exchange_configuration``."""
        return self._delay(self.link.exchange_configuration(document))

    def close(self) -> None:
        """See ``AgentLink.close``."""
        self.link.close()

    def _delay(self, reply: Deferred) -> Deferred:
        delayed: Deferred = Deferred()
        round_trip = 2 * self.delay
        reply.addCallbacks(
            lambda value: self.clock.callLater(round_trip, delayed.callback, value),
            lambda failure: self.clock.callLater(round_trip, delayed.errback, failure),
        )
        return delayed


@define(eq=False)
class DelayedLinks:
    """Implements ``LinkFactory``; delays links to other data centres."""

    clock: IReactorTime
    home: str  # data centre of the entry
    delay: float  # seconds one way
    factory: LinkFactory = field()

    def open(self, instance: Instance) -> AgentLink:
        """See ``LinkFactory.open``."""
        link = self.factory.open(instance)
        if instance.data_centre == self.home:
            return link
        return DelayedLink(clock=self.clock, delay=self.delay, link=link)
