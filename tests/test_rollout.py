"""Where a configuration version is in force, as an entry knows it."""

from testtools import TestCase
from testtools.matchers import Equals

from bench.site import Site
from chivewall.configuration import default_configuration
from chivewall.decisions.rollout import lagging, summarise
from chivewall.messages import ConfigurationReceived
from chivewall.plugins.builtin.configuration import ConfigurationKeeper
from chivewall.plugins.builtin.directory import Directory, ListMembers, ProbeLagging


class RolloutTest(TestCase):
    """Guards against a change that is said to be in force where it is not."""

    def setUp(self):
        super().setUp()
        self.build()

    def build(self):
        self.site = Site(seed=1)
        for place, data_centre in (("1", "Mombasa"), ("2", "Diani"), ("3", "Diani")):
            self.site.add_engine(f"engine-{place}", data_centre, targets=("m",))
        self.site.add_entry("entry-1", "Mombasa")
        self.site.settle()
        self.directory = self.site.apps["entry-1"].env.require(Directory)

    def members(self):
        found = []
        self.directory.query(ListMembers()).addCallback(found.extend)
        return found

    def lags(self, version=2):
        return [one.endpoint for one in lagging(self.members(), version)]

    def accept(self):
        changed = default_configuration().successor(reason="vote")
        for name in self.site.apps:
            keeper = self.site.apps[name].env.require(ConfigurationKeeper)
            keeper.send(ConfigurationReceived(changed, origin="test"))

    def run_for(self, seconds):
        self.site.clock.run_until(self.site.clock.now + seconds)

    def test_idle_endpoints_are_probed_when_asked(self):
        self.accept()
        self.assertThat(len(self.lags()), Equals(3))  # no report since the change
        self.directory.send(ProbeLagging(2))
        self.run_for(0.2)
        self.assertThat(self.lags(), Equals([]))
        self.assertThat(self.directory.probing, Equals(set()))

    def test_dead_endpoint_lags_and_its_data_centre_with_it(self):
        self.site.kill_agent("engine-3")
        self.accept()
        for _ in range(20):
            self.directory.send(ProbeLagging(2))
            self.run_for(0.5)
        self.assertThat(self.lags(), Equals(["engine-3"]))
        versions = {one.name: one.version for one in summarise(self.members())}
        self.assertThat(versions, Equals({"Mombasa": 2, "Diani": 1}))

    def test_a_waiting_operator_adds_no_failed_probes(self):
        # Guards against longer pauses between the probes of a dead endpoint.
        counts = []
        for asked in (False, True):
            self.build()
            self.site.kill_agent("engine-3")
            self.run_for(10)
            self.accept()
            for _ in range(20):
                if asked:
                    self.directory.send(ProbeLagging(2))
                self.run_for(0.5)
            counts.append(self.directory.fleet.members["engine-3"].failed_probes)
        self.assertThat(counts[1], Equals(counts[0]))

    def test_unknown_endpoint_holds_no_version(self):
        self.assertThat(self.lags(version=1), Equals([]))
        member = self.members()[0]
        member.report = None
        self.assertThat(self.lags(version=1), Equals([member.instance.name]))
        lowest = {one.name: one.version for one in summarise([member])}
        self.assertThat(lowest, Equals({member.instance.data_centre: None}))
