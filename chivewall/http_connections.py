"""The open connections of an HTTP listener, so that a shutdown cuts no response off."""

from twisted.internet.defer import Deferred
from twisted.protocols.policies import ProtocolWrapper, WrappingFactory
from twisted.web.resource import Resource
from twisted.web.server import Request as HttpRequest
from twisted.web.server import Site


class CountingSite(Site):
    """A site that knows its requests in progress."""

    def __init__(self, resource: Resource) -> None:
        super().__init__(resource)
        self.in_progress: set[HttpRequest] = set()
        self.waiters: list[Deferred] = []

    def getResourceFor(self, request: HttpRequest) -> Resource:  # noqa: N802 - Twisted's name
        """Count the request until its response was written or its connection broke."""
        self.in_progress.add(request)
        request.notifyFinish().addBoth(lambda _: self._end(request))
        return super().getResourceFor(request)

    def idle(self) -> Deferred:
        """Return a Deferred that fires when no request is in progress."""
        return _when_empty(self.in_progress, self.waiters)

    def _end(self, request: HttpRequest) -> None:
        self.in_progress.discard(request)
        _notify_if_empty(self.in_progress, self.waiters)


class Connections(WrappingFactory):
    """Wraps a site; ``close`` ends its connections when their responses were sent."""

    def __init__(self, site: CountingSite) -> None:
        super().__init__(site)
        self.site = site
        self.waiters: list[Deferred] = []

    def unregisterProtocol(self, p: ProtocolWrapper) -> None:  # noqa: N802 - Twisted's name
        """Forget a connection that has ended."""
        super().unregisterProtocol(p)
        _notify_if_empty(self.protocols, self.waiters)

    async def close(self) -> None:
        """Wait for the requests in progress, then for the bytes that the system has not taken."""
        await self.site.idle()
        for protocol in list(self.protocols):
            protocol.unregisterProducer()  # with the idle HTTP channel as producer it stays open
            protocol.loseConnection()
        await _when_empty(self.protocols, self.waiters)


def _when_empty(items: object, waiters: list[Deferred]) -> Deferred:
    waiter: Deferred = Deferred()
    waiters.append(waiter)
    _notify_if_empty(items, waiters)
    return waiter


def _notify_if_empty(items: object, waiters: list[Deferred]) -> None:
    if items:
        return
    while waiters:
        waiters.pop().callback(None)
