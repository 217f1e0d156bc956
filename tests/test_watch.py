"""Watching one object of the object API through a long outage."""

from testtools import TestCase
from testtools.matchers import Equals
from twisted.internet.defer import fail

from bench.site import Site
from chivewall.configuration import default_configuration
from chivewall.errors import StoreUnavailableError
from chivewall.plugins.builtin.configuration import ConfigurationKeeper, seed_configuration
from chivewall.standins.objects import MemoryStore

DAY_SECONDS = 86_400.0


class LongOutageTest(TestCase):
    """Guards against a backoff that overflows after some hours and ends the watch for good."""

    def test_configuration_is_watched_again_after_a_day(self):
        """Guards against an entry that misses every change after an outage of a day."""
        site = Site(seed=2)
        watch = MemoryStore.watch
        site.store.objects.clear()
        self.patch(MemoryStore, "watch", lambda *_: fail(StoreUnavailableError("down")))
        keeper = site.add_entry("entry-1", "Mombasa").env.require(ConfigurationKeeper)
        site.clock.run_until(DAY_SECONDS)
        self.patch(MemoryStore, "watch", watch)
        seed_configuration(site.store, default_configuration())
        site.clock.run_until(DAY_SECONDS + 13.0)
        self.assertThat(keeper.current, Equals(default_configuration()))
