"""Tracks the connections of an HTTP server, so that a shutdown cuts no response short."""

from twisted.internet.defer import Deferred
from twisted.protocols.policies import ProtocolWrapper, WrappingFactory
from twisted.web.resource import Resource
from twisted.web.server import Request as HttpRequest
from twisted.web.server import Site


class RequestTrackingSite(Site):
    """A Twisted ``Site`` that tracks its requests in progress."""

    def __init__(self, resource: Resource) -> None:
        super().__init__(resource)
        self.in_progress: set[HttpRequest] = set()
        self.waiters: list[Deferred] = []

    def getResourceFor(self, request: HttpRequest) -> Resource:  # noqa: N802 - Twisted's name
        """Track the request until its response is written or its connection breaks."""
        self.in_progress.add(request)
        request.notifyFinish().addBoth(lambda _: self._on_finished(request))
        return super().getResourceFor(request)

    def when_idle(self) -> Deferred:
        """Return a Deferred that fires when no request is in progress."""
        return _when_empty(self.in_progress, self.waiters)

    def _on_finished(self, request: HttpRequest) -> None:
        self.in_progress.discard(request)
        _notify_if_empty(self.in_progress, self.waiters)


class TrackedConnections(WrappingFactory):
    """Wraps a site; ``close`` closes each connection once its responses are sent."""

    def __init__(self, site: RequestTrackingSite) -> None:
        super().__init__(site)
        self.site = site
        self.waiters: list[Deferred] = []

    def unregisterProtocol(self, p: ProtocolWrapper) -> None:  # noqa: N802 - Twisted's name
        """Remove a closed connection and notify whoever waits for the last one."""
        super().unregisterProtocol(p)
        _notify_if_empty(self.protocols, self.waiters)

    async def close(self) -> None:
        """Wait for the requests in progress, then for unsent output, and close the connections."""
        await self.site.when_idle()
        for protocol in list(self.protocols):
            # ``loseConnection`` has no effect while the idle HTTP channel is the producer.
            protocol.unregisterProducer()
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
