"""Choice of the endpoint of an attempt."""

import random
import time
from collections import Counter

from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from bench.clock import VirtualClock
from chivewall.decisions.membership import Fleet, MemberState
from chivewall.decisions.output_lengths import MIN_SAMPLES, OutputLengths
from chivewall.decisions.routing import choose, estimate_finish, uncached_tokens
from chivewall.work import Call, Completion, LoadReport, Message, Rank, Request
from tests.test_membership import instance

PARALLEL = 4


def completion(prefixes=(), prompt=1000, tokens=100):
    work = Completion(
        model="m",
        messages=(Message("user", "x"),),
        prompt_tokens=prompt,
        max_tokens=tokens,
        prefix_hashes=tuple(prefixes),
    )
    return Request(id="r", workspace="w", rank=Rank.STANDARD, deadline=99.0, work=work)


def load(name, wait=0.0, sequence=1, **options):
    return LoadReport(
        endpoint=name,
        incarnation="a",
        targets=("m",),
        waits=(wait,) * 3,
        parallel=PARALLEL,
        prefill_rate=10_000.0,
        decode_rate=50.0,
        sequence=sequence,
        **options,
    )


def fleet_of(size, observer="entry-1", wait=0.0):
    fleet = Fleet(observer=observer, data_centre="Mombasa", rng=random.Random(observer))
    fleet.merge_list(tuple(instance(f"e{n}") for n in range(size)), now=0.0)
    for n in range(size):
        fleet.merge_report(load(f"e{n}", wait), 0.001, now=0.0)
    return fleet


def route(fleet, request, excluded=(), rng=None):
    members = fleet.selectable(request.work.target)
    return choose(request, members, frozenset(excluded), "Mombasa", rng or random.Random(1))


class RoutingTest(TestCase):
    """Guards against slow or wrong choices."""

    def test_excluded_endpoint_is_used_only_when_no_other_is_left(self):
        """Guards against a retry at the endpoint that just failed."""
        fleet = fleet_of(2)
        for seed in range(20):
            chosen = route(fleet, completion(), {"e0"}, random.Random(seed))
            self.assertThat((chosen.endpoint, chosen.reused), Equals(("e1", False)))
        self.assertThat(route(fleet, completion(), {"e0", "e1"}).reused, Is(True))

    def test_prefix_affinity_is_bounded_by_load(self):
        """Guards against one popular prefix that overloads one endpoint."""
        fleet = fleet_of(9)
        request = completion(prefixes=("p",), prompt=5000)
        rng = random.Random(1)
        home = {route(fleet, request, rng=rng).endpoint for _ in range(50)}
        self.assertThat(home, Equals({route(fleet, request).endpoint}))
        (name,) = home
        fleet.merge_report(load(name, wait=30.0, sequence=2), None, now=1.0)
        moved = {route(fleet, request, rng=rng).endpoint for _ in range(50)}
        self.assertNotIn(name, moved)

    def test_key_goes_home(self):
        """Guards against write conflicts between agents that claim keys of one shard."""
        fleet = fleet_of(3)
        work = Call(service="m", method="POST", path="/", body=b"")
        homes = set()
        for key in range(30):
            request = Request("r", "w", Rank.URGENT, 9.0, work, idempotency_key=f"k{key}")
            rng = random.Random(key)
            chosen = {route(fleet, request, rng=rng).endpoint for _ in range(20)}
            self.assertThat(len(chosen), Equals(1))
            homes |= chosen
        self.assertThat(homes, Equals({"e0", "e1", "e2"}))

    def test_belief_about_a_cached_prefix_is_corrected_by_reports(self):
        """Guards against affinity to a prefix that the endpoint has evicted."""
        fleet = fleet_of(1)
        member = fleet.members["e0"]
        work = completion(prefixes=("p",), prompt=5000).work
        self.assertThat(uncached_tokens(work, member), Equals(5000))
        member.add_work(("r", 1), 1.0, ("p",), now=1.0)
        self.assertThat(uncached_tokens(work, member), Equals(5000 - 4096))
        fleet.merge_report(load("e0", sequence=2), None, now=5.0)
        self.assertThat(uncached_tokens(work, member), Equals(5000 - 4096))
        fleet.merge_report(load("e0", sequence=3), None, now=12.0)
        self.assertThat(uncached_tokens(work, member), Equals(5000))

    def test_learned_output_length_replaces_max_tokens(self):
        """Guards against callers who ask for many tokens and use few."""
        lengths, request = OutputLengths(), completion(tokens=8000)
        self.assertThat(lengths.expected(request), Is(None))
        for _ in range(MIN_SAMPLES):
            lengths.learn(request, 50)
        member = fleet_of(1).members["e0"]
        expected = lengths.expected(request)
        self.assertThat(expected, Equals(50))
        self.assertThat(estimate_finish(request, member, expected), LessThan(2.0))
        self.assertThat(estimate_finish(request, member), GreaterThan(100.0))

    def test_cost_is_flat_from_9_to_600_endpoints(self):
        """Guards against a choice that scans all members."""
        small, large = fleet_of(9), fleet_of(600)
        pairs = [(self.seconds(small), self.seconds(large)) for _ in range(7)]
        ratio = min(large for _, large in pairs) / min(small for small, _ in pairs)
        # The subset has 16 members instead of 9; a scan would cost 600/9.
        self.assertThat(ratio, LessThan(3.0))

    def seconds(self, fleet):
        request, rng = completion(prefixes=("p",), prompt=5000), random.Random(1)
        begin = time.perf_counter()
        for _ in range(200):
            route(fleet, request, rng=rng)
        return time.perf_counter() - begin

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.floats(0, 100), st.floats(0, 100), st.floats(0, 50))
    def test_estimate_is_monotone_in_load(self, wait, more, own):
        """Guards against an endpoint that looks better because it has more to do."""
        fleet = fleet_of(1)
        member = fleet.members["e0"]
        member.report = evolve(member.report, waits=(wait,) * 3)
        before = estimate_finish(completion(), member)
        member.report = evolve(member.report, waits=(wait + more,) * 3)
        loaded = estimate_finish(completion(), member)
        self.assertThat(loaded >= before, Is(True))
        member.add_work(("r", 1), own, (), now=1.0)
        self.assertThat(estimate_finish(completion(), member) >= loaded, Is(True))

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(st.lists(st.sampled_from(list(MemberState)), min_size=1, max_size=8), st.integers())
    def test_no_leaving_or_unknown_member_is_chosen(self, states, seed):
        """Guards against work for a member that must not get any."""
        fleet = fleet_of(len(states))
        for n, state in enumerate(states):
            fleet.members[f"e{n}"].state = state
        chosen = route(fleet, completion(), rng=random.Random(seed))
        if chosen is not None:
            self.assertThat(fleet.members[chosen.endpoint].state, Equals(MemberState.LIVE))


class HerdTest(TestCase):
    """Entries that choose at once from reports 5 s old."""

    ENTRIES, ENDPOINTS, LAG, SECONDS = 20, 9, 5.0, 60.0
    EVERY = 0.1  # seconds; 1000 requests in a window, so that chance alone stays below 1.3
    PARALLEL = 60  # slots of an endpoint; the load is near capacity

    def test_stale_reports_do_not_herd(self):
        """Guards against all entries sending to the one endpoint that was idle 5 s ago."""
        fair = 1 / self.ENDPOINTS
        ours, naive = self.largest_share(naive=False), self.largest_share(naive=True)
        self.assertThat(ours, LessThan(1.5 * fair))
        self.assertThat(naive, GreaterThan(3 * fair))

    def largest_share(self, naive):
        """Return the largest share that one endpoint gets in any window of 5 s."""
        clock, sent = VirtualClock(), Counter()
        busy = {f"e{n}": 0 for n in range(self.ENDPOINTS)}
        fleets = [fleet_of(self.ENDPOINTS, f"entry-{n}") for n in range(self.ENTRIES)]
        rngs = [random.Random(n) for n in range(self.ENTRIES)]

        def send(place, number):
            fleet, request = fleets[place], completion()
            chosen = self.least(fleet) if naive else route(fleet, request, rng=rngs[place])
            name = chosen if naive else chosen.endpoint
            key = (f"{place}/{number}", 1)
            fleet.members[name].add_work(key, 2.1, (), clock.now)
            busy[name] += 1
            sent[int(clock.now / self.LAG), name] += 1
            clock.callLater(2.1, finish, fleet.members[name], key, name)
            clock.callLater(self.EVERY, send, place, number + 1)

        def finish(member, key, name):
            busy[name] -= 1
            member.end_work(key)

        def look(sequence):
            for name, running in busy.items():
                seen = load(name, wait=running * 2.1 / self.PARALLEL, sequence=sequence)
                clock.callLater(self.LAG, tell, seen)
            clock.callLater(1.0, look, sequence + 1)

        def tell(seen):
            for fleet in fleets:
                fleet.merge_report(seen, None, clock.now)

        look(2)
        for place in range(self.ENTRIES):
            clock.callLater(place * self.EVERY / self.ENTRIES, send, place, 0)
        clock.run_until(self.SECONDS)
        windows = {window for window, _ in sent}
        return max(
            max(sent[window, name] for name in busy) / sum(sent[window, name] for name in busy)
            for window in windows
            if 1 < window < max(windows)
        )

    def least(self, fleet):
        members = fleet.selectable("m")
        return min(members, key=lambda one: (one.report.waits, one.instance.name)).instance.name
