"""Links to an agent's gRPC server over loopback sockets."""

import asyncio

from testtools import TestCase
from testtools.matchers import Equals, HasLength, Is

from chivewall.errors import LinkBrokenError
from chivewall.interfaces import LinkFactory
from chivewall.messages import AttemptBroken, ServeRequest
from chivewall.plugins.builtin.directory import Directory
from chivewall.plugins.builtin.dispatch import Dispatcher
from chivewall.task import Inbox
from chivewall.work import Attempt, Part
from tests.test_virtual_site import completion, expected_text, text_of
from tests.utils.loopback import LoopbackSite

WAIT_SECONDS = 20  # timeout of each wait; only a failing test reaches it


async def receive(sink):
    """Return the next message of an inbox."""
    waiting = sink.get().asFuture(asyncio.get_running_loop())
    return await asyncio.wait_for(waiting, WAIT_SECONDS)


def on_loopback(test):
    """Run a test against a site on loopback sockets."""

    def run(self):
        async def main():
            site = await LoopbackSite().start()
            try:
                await asyncio.wait_for(test(self, site), 2 * WAIT_SECONDS)
            finally:
                await site.stop()

        asyncio.run(main())

    run.__doc__ = test.__doc__
    return run


async def open_link(site, request):
    """Return a new link to the engine and an attempt for it."""
    link = site.entry.env.require(LinkFactory).open(site.instance)
    report = await link.probe().asFuture(asyncio.get_running_loop())
    attempt = Attempt(
        request=request, number=1, endpoint="engine-1", incarnation=report.incarnation
    )
    return link, attempt


class GrpcLinkTest(TestCase):
    """Guards against hanging, reused and leaking connections."""

    @on_loopback
    async def test_silent_connection_is_replaced(self, site):
        """Guards against a stream that hangs on a connection that went silent for good."""
        directory = site.entry.env.require(Directory)
        await site.wait_until(lambda: directory.fleet.selectable("m"))
        request = completion("r1", deadline=site.clock.seconds() + 60, tokens=120)
        sink = Inbox()
        site.entry.env.require(Dispatcher).send(ServeRequest(request=request, sink=sink))
        parts = [await receive(sink)]
        silent = directory.links["engine-1"]
        site.relay.silence()
        while not parts[-1].last:
            parts.append(await receive(sink))
        self.assertThat(text_of(parts), Equals(expected_text(request)))
        self.assertThat(silent.closed, Is(True))
        self.assertThat(silent.open_attempts, HasLength(0))
        self.assertIsNot(directory.links["engine-1"], silent)
        await site.wait_until(lambda: not site.engine._sinks)
        self.assertThat(directory.attempt_links, HasLength(0))

    @on_loopback
    async def test_close_fails_open_attempts(self, site):
        """Guards against attempts that wait for ever on a link that was closed."""
        request = completion("r1", deadline=site.clock.seconds() + 60, tokens=500)
        link, attempt = await open_link(site, request)
        sink = Inbox()
        link.submit(attempt, sink)
        self.assertIsInstance(await receive(sink), Part)
        link.close()
        last = await receive(sink)
        while isinstance(last, Part):
            last = await receive(sink)
        self.assertThat(
            last,
            Equals(AttemptBroken("r1", 1, may_have_arrived=True, reason="the link was closed")),
        )
        await site.wait_until(lambda: not site.engine._sinks)

    @on_loopback
    async def test_closed_link_is_not_used_again(self, site):
        """Guards against a channel that reconnects by itself after it was closed."""
        request = completion("r1", deadline=site.clock.seconds() + 60)
        link, attempt = await open_link(site, request)
        link.close()
        accepted = site.relay.accepted_count
        sink = Inbox()
        link.submit(attempt, sink)
        self.assertThat((await receive(sink)).may_have_arrived, Is(False))
        loop = asyncio.get_running_loop()
        for call in (link.probe(), link.exchange_configuration(b"")):
            with self.assertRaises(LinkBrokenError):
                await call.asFuture(loop)
        self.assertThat(site.relay.accepted_count, Equals(accepted))

    @on_loopback
    async def test_cancel_stops_the_engine(self, site):
        """Guards against an engine that generates for a caller who has gone."""
        request = completion("r1", deadline=site.clock.seconds() + 60, tokens=500)
        link, attempt = await open_link(site, request)
        sink = Inbox()
        link.submit(attempt, sink)
        await receive(sink)
        link.cancel("r1", 1)
        await site.wait_until(lambda: not site.engine._sinks)
        self.assertThat(link.open_attempts, HasLength(0))
        link.close()

    @on_loopback
    async def test_attempt_on_a_refused_connection_counts_as_not_sent(self, site):
        """Guards against "unknown" for an attempt that no agent can have received."""
        request = completion("r1", deadline=site.clock.seconds() + 60)
        link, attempt = await open_link(site, request)
        link.close()
        site.relay.stop()
        link = site.entry.env.require(LinkFactory).open(site.instance)
        sink = Inbox()
        link.submit(attempt, sink)
        self.assertThat((await receive(sink)).may_have_arrived, Is(False))
        link.close()
