"""The object API over HTTP, with the faults of the platform."""

import random
from io import StringIO

from testtools import TestCase
from testtools.matchers import Equals
from twisted.internet import reactor

from chivewall.environment import Environment
from chivewall.errors import (
    ObjectMissingError,
    ObjectTooLargeError,
    StoreThrottledError,
    StoreUnavailableError,
    VersionConflictError,
)
from chivewall.events import EventLog
from chivewall.interfaces import Instance, InstanceKind
from chivewall.plugins.builtin.store_http import HttpStore, StoreHttpSettings
from chivewall.settings import CoreSettings, Role, Settings
from chivewall.standins.objects import MAX_VALUE_BYTES, MemoryStore
from chivewall.standins.objects_http import Faults, ObjectServer, TokenBucket
from tests.utils.reactors import run_on_reactor

KEY = "claims/shift-booking/7"


def environment():
    core = CoreSettings(role=Role.ENTRY, instance="e", data_centre="Mombasa", plugins=("x",))
    return Environment(
        settings=Settings(core=core),
        clock=reactor,
        random=random.Random(1),
        log=EventLog(StringIO()),
        reactor=reactor,
    )


class HttpStoreTest(TestCase):
    """Tests of the plug-in and the stand-in over real sockets on Twisted's reactor."""

    def setUp(self):
        super().setUp()
        self.server = ObjectServer(store=MemoryStore(clock=reactor))
        port = reactor.listenTCP(0, self.server.site(), interface="127.0.0.1")
        cfg = StoreHttpSettings(host="127.0.0.1", port=port.getHost().port, timeout_seconds=0.3)
        self.store = HttpStore(environment(), cfg)
        self.addCleanup(lambda: run_on_reactor(self.close(port)))

    async def close(self, port):
        await self.store.close()
        await port.stopListening()

    async def expect(self, kind, call):
        try:
            await call
        except kind:
            return
        self.fail(f"{kind.__name__} is expected")

    def test_conditional_write_needs_the_current_version(self):
        """Guards against a write that overwrites a version it has not seen."""

        async def scenario():
            first = await self.store.create(KEY, b"\x00a")
            await self.expect(VersionConflictError, self.store.create(KEY, b"b"))
            second = await self.store.update(KEY, b"c", first)
            await self.expect(VersionConflictError, self.store.update(KEY, b"d", first))
            self.assertThat((await self.store.get(KEY)).value, Equals(b"c"))
            listed = await self.store.list("claims/")
            self.assertThat([(one.key, one.value) for one in listed], Equals([(KEY, b"c")]))
            await self.expect(VersionConflictError, self.store.delete(KEY, first))
            await self.store.delete(KEY, second)
            await self.expect(ObjectMissingError, self.store.get(KEY))

        run_on_reactor(scenario())

    def test_watch_returns_the_next_change_with_one_call(self):
        """Guards against a change that a watch misses, and a watch of more than one call."""

        async def scenario():
            watch = self.store.watch(KEY, 0, reactor.seconds() + 5)
            await self.store.list("")  # the watch was sent before this call
            await self.store.create(KEY, b"a")
            seen = await watch
            self.assertThat(seen.value, Equals(b"a"))
            nothing = await self.store.watch(KEY, seen.version, reactor.seconds() + 0.05)
            self.assertThat(nothing, Equals(None))
            self.assertThat(self.server.calls["watch"], Equals(2))

        run_on_reactor(scenario())

    def test_lost_response_is_reported_as_unavailable(self):
        """Guards against a lost response reported as a write that had no effect."""

        async def scenario():
            self.server.set_faults(Faults(lose_responses=1))
            await self.expect(StoreUnavailableError, self.store.create(KEY, b"a"))
            self.assertThat((await self.store.get(KEY)).value, Equals(b"a"))
            self.assertThat(self.server.calls["write"], Equals(1))

        run_on_reactor(scenario())

    def test_outage_and_slow_responses_time_out(self):
        """Guards against a call that hangs during an outage."""

        async def scenario():
            self.server.set_faults(Faults(down=True))
            await self.expect(StoreUnavailableError, self.store.get(KEY))
            self.server.set_faults(Faults(delay_ms=2000))
            await self.expect(StoreUnavailableError, self.store.create(KEY, b"a"))
            self.server.set_faults(Faults())
            await self.store.list("")

        run_on_reactor(scenario())

    def test_silent_connection(self):
        """Guards against a reused connection that went silent and hangs every later call."""

        async def scenario():
            await self.store.create(KEY, b"a")
            self.server.silence_connections()
            self.assertThat((await self.store.get(KEY)).value, Equals(b"a"))

        run_on_reactor(scenario())

    def test_size_and_rate_refusals_have_their_own_errors(self):
        """Guards against size and rate refusals that are reported as another error."""

        async def scenario():
            await self.expect(
                ObjectTooLargeError, self.store.create(KEY, b" " * (MAX_VALUE_BYTES + 1))
            )
            self.server.write_bucket = TokenBucket(per_second=0.5)
            await self.expect(StoreThrottledError, self.store.create(KEY, b"a"))
            await self.expect(ObjectMissingError, self.store.get(KEY))

        run_on_reactor(scenario())

    def test_instance_list_is_complete_and_lags(self):
        """Guards against fields of an instance that are lost, and a list that ignores its lag."""

        async def scenario():
            one = Instance("engine-1", InstanceKind.ENGINE, "Mombasa", "127.0.0.1", 9, ("m",))
            self.server.set_instances((one,))
            self.assertThat(await self.store.instances(), Equals((one,)))
            self.server.list_lag_seconds = 60.0
            self.assertThat(await self.store.instances(), Equals(()))

        run_on_reactor(scenario())
