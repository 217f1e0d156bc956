"""Tests of the configuration in force while the object API is down and processes restart."""

from testtools import TestCase
from testtools.matchers import Equals, Is
from twisted.internet.defer import ensureDeferred, fail

from bench.site import Site
from chivewall.configuration import default_configuration
from chivewall.configuration_changes import apply_change
from chivewall.errors import StoreUnavailableError
from chivewall.messages import ConfigurationReceived
from chivewall.plugins.builtin.configuration import ConfigurationKeeper
from chivewall.plugins.builtin.directory import Directory
from chivewall.standins.objects import MemoryStore

CHANGE_SECONDS = 13.0  # time in which a change must be in force everywhere


class OutageStore(MemoryStore):
    """Object API that fails every read, watch and list of instances while ``down``."""

    down = False

    def get(self, key):
        return fail(StoreUnavailableError("down")) if self.down else super().get(key)

    def watch(self, key, after, deadline):
        if self.down:
            return fail(StoreUnavailableError("down"))
        return super().watch(key, after, deadline)

    def instances(self):
        return fail(StoreUnavailableError("down")) if self.down else super().instances()


class ConfigurationOutageTest(TestCase):
    """Guards against a restarted process that brings back an older version."""

    def setUp(self):
        super().setUp()
        self.site = Site(seed=1, store_class=OutageStore)
        for index in (1, 2, 3):
            self.site.add_engine(f"engine-{index}", "Mombasa", targets=("m",))
        self.site.add_entry("entry-1", "Mombasa")
        self.site.add_entry("entry-2", "Mombasa")
        self.site.settle()
        accepted = []
        change = default_configuration().successor(reason="vote")
        ensureDeferred(apply_change(self.site.store, change)).addCallback(accepted.append)
        self.assertThat(accepted, Equals([change]))
        self.run_for(CHANGE_SECONDS)
        self.site.store.down = True

    def run_for(self, seconds):
        self.site.clock.run_until(self.site.clock.now + seconds)

    def version(self, name):
        current = self.site.apps[name].env.require(ConfigurationKeeper).current
        return None if current is None else current.version

    def assert_versions(self, names, seconds):
        """Check step by step that each process has version 2 or, after a restart, none."""
        for _ in range(int(seconds / 0.1)):
            self.run_for(0.1)
            for name, allowed in names.items():
                self.assertIn(self.version(name), allowed, name)

    def test_restarted_agent_takes_the_version_from_the_entry(self):
        """Guards against an agent without a configuration until the outage ends."""
        self.site.kill_agent("engine-2")
        self.site.seed += 1  # so that the restarted process draws another incarnation
        self.site.start_agent("engine-2")
        self.assertThat(self.version("engine-2"), Is(None))
        others = dict.fromkeys(("entry-1", "engine-1", "engine-3"), (2,))
        self.assert_versions({**others, "engine-2": (None, 2)}, CHANGE_SECONDS)
        self.assertThat(self.version("engine-2"), Equals(2))

    def test_entry_that_missed_the_change_takes_it_and_brings_nothing_back(self):
        """Guards against an entry that spreads an older version.

        An entry that missed a change offers its older document to every agent that reports a
        newer version.
        """
        first = default_configuration()
        env = self.site.apps["entry-2"].env
        env.require(ConfigurationKeeper).current = first
        env.require(Directory).send(ConfigurationReceived(first, origin="test"))
        others = dict.fromkeys(("entry-1", "engine-1", "engine-2", "engine-3"), (2,))
        self.assert_versions({**others, "entry-2": (1, 2)}, CHANGE_SECONDS)
        self.assertThat(self.version("entry-2"), Equals(2))
        offered = sum(link.exchange_count for link in self.site.links.opened)
        self.assertTrue(offered > 0)

    def test_restarted_entry_is_not_ready_until_the_outage_ends(self):
        """Guards against an entry that serves requests without a configuration."""
        ensureDeferred(self.site.apps["entry-1"].stop())
        self.site.add_entry("entry-3", "Mombasa")
        self.assert_versions({"entry-3": (None,), "engine-1": (2,)}, CHANGE_SECONDS)
        self.assertFalse(self.site.apps["entry-3"].ready())
        self.site.store.down = False
        self.assert_versions({"entry-3": (None, 2), "engine-1": (2,)}, CHANGE_SECONDS)
        self.assertThat(self.version("entry-3"), Equals(2))
        self.assertTrue(self.site.apps["entry-3"].ready())
