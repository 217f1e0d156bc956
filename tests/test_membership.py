"""Decisions about which endpoints may get new work."""

import random

from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, HasLength, Is, LessThan

from chivewall.decisions.membership import (
    MAX_PROBE_INTERVAL_SECONDS,
    REMOTE_SUBSET_SIZE,
    SUBSET_SIZE,
    Fleet,
    MemberState,
)
from chivewall.interfaces import Instance, InstanceKind
from chivewall.work import LoadReport


def instance(name, data_centre="Mombasa", port=1, leaving=False):
    return Instance(
        name=name,
        kind=InstanceKind.ENGINE,
        data_centre=data_centre,
        host="10.0.0.1",
        port=port,
        targets=("m",),
        leaving=leaving,
    )


def report(name, incarnation="a", sequence=1, **options):
    return LoadReport(
        endpoint=name, incarnation=incarnation, targets=("m",), sequence=sequence, **options
    )


def live_fleet(size, observer="entry-1"):
    fleet = Fleet(observer=observer, data_centre="Mombasa", rng=random.Random(1))
    fleet.merge_list(tuple(instance(f"e{n}") for n in range(size)), now=0.0)
    for n in range(size):
        fleet.merge_report(report(f"e{n}"), 0.01, now=0.0)
    return fleet


def names(members):
    return {one.instance.name for one in members}


class MembershipTest(TestCase):
    """Guards against wrong states of single members."""

    def test_leaving_member_gets_no_new_work(self):
        """Guards against work sent to an endpoint that is about to stop."""
        fleet = live_fleet(3)
        fleet.merge_report(report("e0", sequence=2, leaving=True), None, now=1.0)
        self.assertThat(names(fleet.selectable("m")), Equals({"e1", "e2"}))

    def test_leave_in_the_list_is_not_undone_by_a_report(self):
        """Guards against a report from before the leave that brings the endpoint back."""
        fleet = live_fleet(2)
        fleet.merge_list((instance("e0", leaving=True), instance("e1")), now=1.0)
        fleet.merge_report(report("e0", sequence=2), None, now=2.0)
        self.assertThat(names(fleet.selectable("m")), Equals({"e1"}))

    def test_two_failures_or_one_silence_make_a_suspect(self):
        """Guards against work that keeps going to a dead endpoint."""
        fleet = live_fleet(5)
        fleet.count_failure("e0", now=1.0, silent=False)
        self.assertThat(names(fleet.selectable("m")), Equals({"e0", "e1", "e2", "e3", "e4"}))
        fleet.count_failure("e0", now=1.0, silent=False)
        fleet.count_failure("e1", now=1.0, silent=True)
        self.assertThat(names(fleet.selectable("m")), Equals({"e2", "e3", "e4"}))

    def test_probes_of_a_dead_member_back_off(self):
        """Guards against a stream of probes to an endpoint that is down for hours."""
        fleet = live_fleet(5)
        now, gaps = 1.0, []
        fleet.count_failure("e0", now=now, silent=True)
        member = fleet.members["e0"]
        for _ in range(10):
            gaps.append(member.probe_at - now)
            now = member.probe_at
            self.assertIn("e0", names(fleet.due_probes(now)))
            fleet.count_failed_probe("e0", now)
        self.assertThat(gaps[0], LessThan(0.51))
        self.assertThat(gaps[-1], GreaterThan(MAX_PROBE_INTERVAL_SECONDS / 2))
        self.assertThat(max(gaps), LessThan(MAX_PROBE_INTERVAL_SECONDS + 0.01))

    def test_paused_member_is_readmitted_by_its_report(self):
        """Guards against capacity lost for good after a pause."""
        fleet = live_fleet(3)
        fleet.count_failure("e0", now=1.0, silent=True)
        fleet.merge_report(report("e0", sequence=2), 0.01, now=2.0)
        self.assertIn("e0", names(fleet.selectable("m")))

    def test_majority_is_not_evicted(self):
        """Guards against a cut-off observer that evicts the whole fleet."""
        fleet = live_fleet(5)
        for n in range(4):
            fleet.count_failure(f"e{n}", now=1.0, silent=True)
        self.assertThat(names(fleet.selectable("m")), HasLength(5))

    def test_lagging_list(self):
        """Guards against a member dropped because of an empty or incomplete list."""
        fleet = live_fleet(3)
        fleet.merge_list((), now=1.0)
        for now in (2.0, 4.0, 6.0):
            fleet.merge_list((instance("e1"), instance("e2")), now=now)
        self.assertIn("e0", names(fleet.selectable("m")))
        fleet.count_failure("e0", now=7.0, silent=True)
        changes = fleet.merge_list((instance("e1"), instance("e2")), now=8.0)
        self.assertThat([one.removed for one in changes], Equals([True]))
        self.assertThat(fleet.members.keys(), Equals({"e1", "e2"}))

    def test_empty_list_drops_no_suspect(self):
        """Guards against suspects forgotten during an outage of the list."""
        fleet = live_fleet(3)
        fleet.count_failure("e0", now=1.0, silent=True)
        for now in (2.0, 4.0, 6.0):
            self.assertThat(fleet.merge_list((), now=now), Equals([]))
        self.assertThat(fleet.members.keys(), Equals({"e0", "e1", "e2"}))

    def test_replaced_instance_starts_afresh(self):
        """Guards against the report of an earlier instance used for its replacement."""
        fleet = live_fleet(3)
        moved = (instance("e0", port=2), instance("e1"), instance("e2"))
        changes = fleet.merge_list(moved, now=1.0)
        self.assertThat([one.replaced for one in changes], Equals([True]))
        self.assertThat(names(fleet.selectable("m")), Equals({"e1", "e2"}))
        fleet.merge_report(report("e0", sequence=9), None, now=1.5)
        self.assertThat(names(fleet.selectable("m")), Equals({"e1", "e2"}))
        fleet.merge_report(report("e0", incarnation="b"), 0.01, now=2.0)
        self.assertIn("e0", names(fleet.selectable("m")))

    def test_reports_of_an_earlier_incarnation_or_sequence_are_ignored(self):
        """Guards against late parts that overwrite newer knowledge."""
        fleet = live_fleet(2)
        fleet.merge_report(report("e0", sequence=5, running=5), None, now=1.0)
        fleet.merge_report(report("e0", sequence=4, running=4), None, now=1.0)
        self.assertThat(fleet.members["e0"].report.running, Equals(5))
        fleet.merge_report(report("e0", incarnation="b"), None, now=1.0)
        self.assertThat(fleet.merge_report(report("e0", sequence=6), None, now=1.0), Is(None))
        self.assertThat(fleet.members["e0"].report.incarnation, Equals("b"))

    def test_failure_of_an_earlier_incarnation_is_ignored(self):
        """Guards against a replacement avoided for the faults of its predecessor."""
        fleet = live_fleet(2)
        fleet.merge_report(report("e0", incarnation="b"), None, now=1.0)
        fleet.count_failure("e0", now=1.0, silent=True, incarnation="a")
        self.assertIn("e0", names(fleet.selectable("m")))

    def test_idle_probes_stay_within_their_rate(self):
        """Guards against probes of hundreds of idle members that use up the network budget."""
        fleet = Fleet(observer="entry-1", data_centre="Mombasa", rng=random.Random(1))
        listed = tuple(evolve(instance(f"e{n}"), targets=(f"m{n % 20}",)) for n in range(600))
        fleet.merge_list(listed, now=0.0)
        probes = 0
        for quarter in range(4 * 400):
            now = quarter / 4
            for member in fleet.due_probes(now):
                name = member.instance.name
                fleet.merge_report(
                    evolve(report(name, sequence=quarter + 1), targets=member.instance.targets),
                    0.01,
                    now,
                )
                probes += now >= 200
        self.assertThat(sum(one.in_subset for one in fleet.members.values()), Equals(320))
        # 2 probes a second before jitter, which shortens an interval by at most a quarter.
        self.assertThat(probes / 200, LessThan(2 / 0.75))

    def test_subset_is_bounded_and_keeps_places_for_other_data_centres(self):
        """Guards against every entry connected to every agent, and against one left alone."""
        fleet = Fleet(observer="entry-1", data_centre="Mombasa", rng=random.Random(1))
        listed = [instance(f"e{n}", "Mombasa" if n < 100 else "Diani") for n in range(600)]
        fleet.merge_list(tuple(listed), now=0.0)
        used = [one for one in fleet.members.values() if one.in_subset]
        self.assertThat(used, HasLength(SUBSET_SIZE))
        remote = [one for one in used if one.instance.data_centre == "Diani"]
        self.assertThat(remote, HasLength(REMOTE_SUBSET_SIZE))

    def test_subsets_of_many_entries_cover_the_fleet(self):
        """Guards against entries that all choose the same few endpoints."""
        used = set()
        for entry in range(360):
            fleet = Fleet(observer=f"entry-{entry}", data_centre="Mombasa", rng=random.Random(1))
            fleet.merge_list(tuple(instance(f"e{n}") for n in range(200)), now=0.0)
            used |= {name for name, one in fleet.members.items() if one.in_subset}
        self.assertThat(used, HasLength(200))


NAMES = st.sampled_from(["e0", "e1", "e2", "e3", "e4"])
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("fail"), NAMES, st.booleans()),
        st.tuples(st.just("report"), NAMES, st.sampled_from(["ready", "leaving", "unready"])),
        st.tuples(st.just("list"), st.sets(NAMES), st.sets(NAMES)),
        st.tuples(st.just("probe"), NAMES, st.just(None)),
    ),
    max_size=40,
)


class MembershipPropertyTest(TestCase):
    """Guards against sequences that no single test covers."""

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(STEPS)
    def test_selection_holds_for_any_sequence(self, steps):
        """Guards against a leaving or unknown member chosen, and a majority evicted."""
        fleet = live_fleet(5)
        for place, (kind, first, second) in enumerate(steps, start=2):
            now = float(place)
            if kind == "fail":
                fleet.count_failure(first, now, silent=second)
            elif kind == "probe":
                fleet.count_failed_probe(first, now)
            elif kind == "report":
                ready, leaving = second != "unready", second == "leaving"
                seen = report(first, sequence=place, ready=ready, leaving=leaving)
                fleet.merge_report(seen, None, now)
            else:
                listed = tuple(instance(n, leaving=n in second) for n in sorted(first))
                fleet.merge_list(listed, now)
            self.check(fleet)

    def check(self, fleet):
        chosen = fleet.selectable("m")
        for member in chosen:
            self.assertNotIn(member.state, (MemberState.LEAVING, MemberState.UNKNOWN))
            self.assertIsNotNone(member.report)
        known = [one for one in fleet.members.values() if one.report is not None]
        dead = [one for one in known if one.state is MemberState.SUSPECT and one.failures > 0]
        if len(known) > 1 and len(dead) > len(known) / 2:
            missing = names(one for one in dead if one.report.ready) - names(chosen)
            self.assertThat(missing, Equals(set()))
