"""Shares of workspaces while room is short: the parts, what gateways tell, and a played burst."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.task import Clock

from chivewall.decisions.overload import Overloaded
from chivewall.decisions.placement import Placement
from chivewall.decisions.workspace_shares import (
    AVERAGE_SECONDS,
    FLOOR_SHARE,
    MAX_GROUPS,
    MAX_QUEUE_WEIGHT,
    MAX_WORKSPACES,
    SHORT_SECONDS,
    ShareEntry,
    ShareGroup,
    ShareReport,
    WorkspaceShares,
    WorkspaceUse,
    allotments,
    workspace_tag,
)
from chivewall.errors import DecodeError
from chivewall.gateway.fleet_messages import (
    EngineMemoryStated,
    PeerShares,
    RequestReceived,
    ShareReports,
    WorkSent,
)
from chivewall.gateway.http_dialect import RequestFields
from chivewall.gateway.peer_codec import (
    MAX_DATAGRAM_BYTES,
    PeerMessage,
    decode,
    encode,
    share_batches,
)
from chivewall.gateway.routing_configuration import Stage
from chivewall.gateway.workspace_fairness import REPORT_SECONDS, workspace_use
from tests.test_overload import CAPACITY
from tests.utils.fleets import RecordingSink, make_fleet, query_placement
from tests.utils.shared_bursts import SharedBurst

GROUP = ShareGroup("engines", 0)
WEIGHTS = {"big": 6, "mid": 2} | {f"small-{one}": 0.2 for one in range(10)}
demands = st.dictionaries(st.text("abc", min_size=1), st.floats(0.001, 1e6), min_size=1)


def use(workspace, cost=1.0):
    return WorkspaceUse(GROUP, workspace, cost)


@given(demands, st.floats(0.01, 0.99), st.floats(0, 1))
def test_all_of_the_room_is_allotted_and_nobody_gets_more_than_asked(asked, share, floor):
    """Guards against room that stays idle while somebody asks for it."""
    capacity = share * sum(asked.values())
    parts = allotments(asked, capacity, floor)
    assert sum(parts.values()) == pytest.approx(capacity)
    assert all(parts[one] <= asked[one] for one in asked)


@given(demands, st.floats(0.01, 0.99))
def test_nobody_is_starved(asked, share):
    """Guards against a large workspace that is hardly served, since the others are small."""
    total = sum(asked.values())
    parts = allotments(asked, share * total)
    assert all(parts[one] >= 0.999 * FLOOR_SHARE * share * asked[one] for one in asked)


@given(demands, st.floats(0.01, 0.99))
def test_who_is_cut_gets_no_less_than_anybody_else(asked, share):
    """Guards against parts that are not max-min fair."""
    parts = allotments(asked, share * sum(asked.values()), floor=0)
    cut = [one for one in asked if parts[one] < 0.999 * asked[one]]
    assert all(parts[one] >= 0.999 * max(parts.values()) for one in cut)


@given(demands, st.floats(1, 10))
def test_enough_room_is_not_shared_out(asked, factor):
    """Guards against workspaces that are held although there is room for all."""
    assert allotments(asked, factor * sum(asked.values())) == asked


@given(
    st.lists(st.tuples(st.sampled_from("ab"), st.floats(0.1, 9), st.booleans()), max_size=30),
    st.floats(0, 20),
)
def test_view_after_a_partition_lags_by_a_bounded_amount(requests, parted_seconds):
    """Guards against gateways that disagree for long after they reach each other again."""
    here, there, whole = WorkspaceShares(), WorkspaceShares(), WorkspaceShares()
    now, lost = 0.0, 0.0
    for workspace, cost, sent in requests:
        now += 0.3
        asked = use(workspace, cost)
        for one in (here, whole):
            one.record_demand(asked, now)
            one.record_short(GROUP, now)
            if sent:
                one.record_sent(asked, now)
        reports = here.reports(now)
        if now >= parted_seconds:
            for report in reports:
                there.record_report(report, 1.0, now)
        else:
            lost += cost * (1 + sent)
    healed = now + 3 * AVERAGE_SECONDS
    for name in "ab":
        missing = seen(whole, name, healed) - seen(there, name, healed)
        assert -1e-6 <= missing <= 0.05 * lost + 1e-6


def seen(shares, workspace, now):
    """Return the demand and use of a workspace that a gateway knows of."""
    tally = shares._groups[GROUP].totals.get(workspace) if GROUP in shares._groups else None
    if tally is None:
        return 0.0
    tally.decay(now)
    return tally.demand + tally.use


def test_first_report_tells_what_happened_before_room_was_short():
    """Guards against a heavy workspace that looks new when the others hear of it."""
    shares, other = WorkspaceShares(), WorkspaceShares()
    for _ in range(20):
        shares.record_demand(use("big"), 1.0)
        shares.record_sent(use("big"), 1.0)
    assert shares.reports(1.0) == ()
    shares.record_short(GROUP, 2.0)
    (report,) = shares.reports(2.0)
    other.record_report(report, 1.0, 2.0)
    other.record_demand(use("small"), 2.0)
    assert seen(other, "big", 2.0) == pytest.approx(seen(shares, "big", 2.0))
    assert shares.reports(2.0)[0].entries == ()


def test_only_a_workspace_over_its_part_yields():
    """Guards against small workspaces that yield with the large ones."""
    shares = WorkspaceShares()
    for _ in range(40):
        for _ in range(3):
            shares.record_demand(use("big"), 1.0)
        shares.record_sent(use("big"), 1.0)
    for _ in range(10):
        shares.record_demand(use("small"), 1.0)
    assert shares.queue_weight(use("big"), 1.0) == 1.0  # nobody is late
    shares.record_short(GROUP, 1.0)
    assert shares.queue_weight(use("small"), 1.0) == 1.0
    assert 1.0 < shares.queue_weight(use("big"), 1.0) <= MAX_QUEUE_WEIGHT
    assert shares.queue_weight(use("unknown"), 1.0) == 1.0
    assert shares.queue_weight(use("big"), 1.1 + SHORT_SECONDS) == 1.0


@pytest.mark.parametrize("slots", [12, 64])
@pytest.mark.parametrize("load", [2.0, 4.0])
def test_small_workspaces_are_served_first_when_room_is_short(load, slots):
    """Guards against small workspaces that fail with the large one, or room that is lost for it."""
    held = SharedBurst(slots=slots, load=load, weights=WEIGHTS).run()
    plain = SharedBurst(slots=slots, load=load, weights=WEIGHTS, fair=False).run()
    served = held.on_time_shares()
    small = [served[one] for one in WEIGHTS if one.startswith("small")]
    assert min(small) >= 0.75
    assert min(small) > max(plain.on_time_shares().values())
    assert held.goodput() >= 0.98 * plain.goodput()
    overall = held.goodput() / (load * CAPACITY)
    assert min(served.values()) >= 0.4 * overall


def test_one_workspace_alone_gets_all_of_the_room():
    """Guards against room that is kept for idle workspaces."""
    held = SharedBurst(slots=64, load=2.0, weights={"big": 1}).run()
    plain = SharedBurst(slots=64, load=2.0, weights={"big": 1}, fair=False).run()
    assert held.goodput() == plain.goodput()


def test_parted_gateways_serve_on_and_share_again_soon_after():
    """Guards against a workspace that no gateway sees whole, and shares that come too late."""
    homes = {one: (2, 3) if one.startswith("small") else (0, 1) for one in WEIGHTS}
    play = SharedBurst(
        slots=64, load=3.0, weights=WEIGHTS, homes=homes, parted_until=8.5, seconds=16.0
    ).run()

    def small(start, end):
        found = play.on_time_shares(start, end)
        return sum(found[one] for one in WEIGHTS if one.startswith("small")) / 10

    healed = small(10.5, 16.0)
    assert healed >= 0.85
    assert small(4.0, 8.5) < healed - 0.1  # the partition matters here
    assert play.goodput() >= 1.2 * CAPACITY


def test_datagrams_without_workspaces_are_unchanged():
    """Guards against gateways of earlier deployments that send other bytes than before."""
    assert encode(PeerMessage()) == b"[7,[],[],[],[],[],[],[],[],0,0]"


def test_reports_fit_into_datagrams():
    """Guards against datagrams that are cut on the way."""
    entries = tuple(ShareEntry(workspace_tag(f"w{one}"), 1234.5, 123.4) for one in range(300))
    messages = list(share_batches((ShareReport(GROUP, True, entries),)))
    assert max(len(encode(one)) for one in messages) <= MAX_DATAGRAM_BYTES
    assert len(messages) <= 9
    found = [one for message in messages for one in decode(encode(message)).shares]
    assert [one.workspace for it in found for one in it.entries] == [
        one.workspace for one in entries
    ]
    assert all(one.group == GROUP and one.short for one in found)


@pytest.mark.parametrize("entry", ['["a",-1,0]', '["a",1e999,0]', '["a",NaN,0]', '["a",1]', "7"])
def test_odd_report_is_rejected(entry):
    """Guards against sums that hold everybody for as long as they are remembered."""
    datagram = f'[7,[],[],[],[],[],[],[],[],0,0,[],[],[],[],0,[["s",0,1,[{entry}]]]]'
    with pytest.raises(DecodeError):
        decode(datagram.encode())


def test_memory_for_workspaces_is_bounded():
    """Guards against a sender whose names fill the memory."""
    shares = WorkspaceShares()
    for number in range(2 * MAX_WORKSPACES):
        shares.record_demand(use(f"w{number}"), 1.0)
    group = shares._groups[GROUP]
    assert len(group.totals) == MAX_WORKSPACES
    for second in range(2, 60):
        shares.record_short(GROUP, second)
        shares.record_demand(use("late", 5.0), second)
        shares.queue_weight(use("late"), second)
    assert set(group.totals) == set(group.untold) == {"late"}


def test_groups_of_the_past_make_room_for_others():
    """Guards against fairness that ends once a sender's or earlier services fill the table."""
    shares = WorkspaceShares()
    for number in range(MAX_GROUPS):
        entries = (ShareEntry("w", 1.0, 1.0),)
        shares.record_report(ShareReport(ShareGroup(f"s{number}", 0), True, entries), 1.0, 1.0)
    shares.record_short(GROUP, 2.0)
    assert len(shares.reports(2.0)) == MAX_GROUPS  # all are in use
    shares.record_short(GROUP, 200.0)
    assert [one.group for one in shares.reports(200.0)] == [GROUP]


class TestFleet:
    """The task that places requests."""

    @pytest.fixture
    def clock(self):
        return Clock()

    @pytest.fixture
    def fleet(self, clock):
        fleet = make_fleet(clock, d1=Stage.DECODE)
        fleet.work_subscriber = RecordingSink()
        self.lines = []
        fleet.env.log.subscribe(lambda event, fields: self.lines.append((event.name, fields)))
        return fleet

    def ask(self, fleet, workspace, **fields):
        return query_placement(
            fleet, 100, workspace=workspace, slack_seconds=0.8, time_left_seconds=3.0, **fields
        )

    def count(self, fleet, workspace, asked, sent):
        counted = workspace_use(workspace, "engines", 0, RequestFields(prompt_tokens=100))
        for _ in range(asked):
            fleet.send(RequestReceived("engines", counted))
        for number in range(sent):
            fleet.send(WorkSent("d1", 0.0, RequestFields(), 0.0, 0.0, exchange=number, use=counted))

    def queue(self, fleet, seconds):
        work = WorkSent("d1", seconds, RequestFields(), 9.0, 9.0, exchange=9999)
        fleet.send(work)

    def test_heavy_workspace_is_refused_before_others(self, fleet):
        """Guards against a workspace that is refused for the load of another one."""
        self.count(fleet, "big", asked=90, sent=40)
        self.count(fleet, "small", asked=40, sent=2)
        self.queue(fleet, 100.0)
        assert not isinstance(self.ask(fleet, "small"), Placement)  # room is short
        fleet.states["d1"].work.record_ended(("", 9999), fleet.env.now)
        self.queue(fleet, 0.3)
        heavy = self.ask(fleet, "big")
        assert heavy.yields
        assert not self.ask(fleet, "small").yields
        assert self.ask(fleet, "big", committed=True).endpoint.id == "d1"
        (line,) = [fields for name, fields in self.lines if name == "WORKSPACE_YIELDS"]
        assert (line["workspace"], line["queue_weight"] > 1) == ("big", True)

    def test_search_for_a_spare_endpoint_says_nothing_about_room(self, fleet):
        """Guards against datagrams and yielding on quiet days because of one slow answer."""
        self.count(fleet, "big", asked=1, sent=1)
        query_placement(fleet, 100, workspace="big", slack_seconds=0.0, spare=True)
        assert not fleet.fairness.shares.is_short(fleet.env.now)
        query_placement(fleet, 100, workspace="big", slack_seconds=0.0)
        assert fleet.fairness.shares.is_short(fleet.env.now)

    def test_engines_without_memory_are_a_shortage(self, fleet):
        """Guards against a workspace that fills the engines' memory, unseen by the shares."""
        fleet.send(EngineMemoryStated({"engines": 1000}))
        held = RequestFields(prompt_tokens=900)
        fleet.send(WorkSent("d1", 0.0, held, 9.0, 9.0, exchange=9999))
        assert isinstance(self.ask(fleet, "small"), Overloaded)
        assert fleet.fairness.shares.is_short(fleet.env.now)

    def test_empty_queue_refuses_nobody(self, fleet):
        """Guards against room that stays idle while a heavy workspace asks for it."""
        self.count(fleet, "big", asked=90, sent=40)
        self.count(fleet, "small", asked=10, sent=0)
        self.queue(fleet, 100.0)
        self.ask(fleet, "small")
        fleet.states["d1"].work.record_ended(("", 9999), fleet.env.now)
        assert not self.ask(fleet, "big").yields

    def test_others_are_told_only_while_room_is_short(self, fleet, clock):
        """Guards against datagrams on quiet days, and against a heavy one that others don't see."""
        self.count(fleet, "big", asked=9, sent=4)
        clock.advance(3 * REPORT_SECONDS)
        assert self.told(fleet) == []
        fleet.send(PeerShares((ShareReport(GROUP, True, ()),)))
        clock.advance(REPORT_SECONDS)
        (report,) = self.told(fleet)[0].reports
        assert (report.short, len(report.entries)) == (False, 1)
        for _ in range(10):
            clock.advance(REPORT_SECONDS)
        assert len(self.told(fleet)) == SHORT_SECONDS - 1

    def told(self, fleet):
        return [one for one in fleet.work_subscriber.messages if isinstance(one, ShareReports)]
