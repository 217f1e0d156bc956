"""Whether an endpoint may get requests, from all evidence, without a network."""

import math

import pytest
from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.task import Clock

from chivewall.decisions.availability import (
    KEPT_SECONDS,
    MAX_UNLISTED_NOTICES,
    Availability,
    LeavingNotice,
    LeavingNotices,
    NoticeSource,
    availability,
)
from chivewall.gateway.announcement_messages import EndpointLeaving, LeavingNews, PeerLeavingNews
from chivewall.gateway.fleet_messages import FindPlacement, SubscribeToWork
from chivewall.gateway.http_dialect import RequestFields
from chivewall.gateway.peer_codec import PeerMessage, decode, encode
from chivewall.gateway.routing_configuration import Stage
from chivewall.gateway.store_collections import (
    CollectionChanges,
    CollectionItem,
    CollectionSnapshot,
    CollectionUnavailable,
)
from tests.utils.fleets import RecordingSink, make_fleet
from tests.utils.gateways import engine_info

STARTS = st.one_of(st.none(), st.integers(0, 5))


def entry(name="d1", **fields):
    return evolve(engine_info(name, Stage.DECODE), **fields)


def notice(endpoint="d1", started_ms=0, at=0.0):
    return LeavingNotice(endpoint, started_ms, NoticeSource.RESPONSE, at)


def listed(*infos, revision=2):
    items = tuple(CollectionItem(one.id, one, revision) for one in infos)
    return CollectionSnapshot("servers", items, revision)


def placed_at(fleet):
    """Return the id of the endpoint that the next request goes to, or ``None``."""
    found = []
    query = FindPlacement(
        service="engines",
        fields=RequestFields(prompt_tokens=200),
        excluded=frozenset(),
        allowed=None,
    )
    fleet.query(query).addCallback(found.append)
    return found[0] and found[0].endpoint.id


@given(
    started_ms=STARTS,
    noticed_ms=st.integers(0, 5),
    draining=st.booleans(),
    unlisted_at=st.one_of(st.none(), st.floats(0, 100)),
)
def test_only_a_later_process_is_used_after_a_notice(started_ms, noticed_ms, draining, unlisted_at):
    """Guards against an entry, its age or its removal that outweighs a notice of leaving."""
    info = entry(started_ms=started_ms, draining=draining)
    found = availability(info, notice(started_ms=noticed_ms), unlisted_at)
    if draining or (started_ms or 0) <= noticed_ms:
        assert found is Availability.LEAVING
    else:
        assert found is (Availability.OPEN if unlisted_at is None else Availability.UNLISTED)


class NoticesModel:
    """Latest start of each id, and when its notice expires, in the plainest form."""

    def __init__(self):
        self.listed, self.starts, self.ends = set(), {}, {}

    def apply(self, action, name, started_ms, now):
        self.starts = {one: start for one, start in self.starts.items() if self.ends[one] > now}
        if action == "listed":
            self.listed.add(name)
            self.ends[name] = math.inf
        elif action == "unlisted":
            self.listed.discard(name)
            self.ends[name] = min(self.ends.get(name, math.inf), now + KEPT_SECONDS)
        else:
            if name not in self.starts:
                self.ends[name] = math.inf if name in self.listed else now + KEPT_SECONDS
            self.starts[name] = max(started_ms, self.starts.get(name, 0))


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["response", "listed", "unlisted"]),
            st.sampled_from(["d1", "d2"]),
            st.integers(0, 5),
            st.floats(0, KEPT_SECONDS / 2),
        )
    )
)
def test_notices_hold_while_listed_and_expire_afterwards(steps):
    """Guards against a notice that is lost too early, replaced by an older one or never dropped."""
    notices, model, now = LeavingNotices(), NoticesModel(), 0.0
    for action, name, started_ms, seconds in steps:
        now += seconds
        if action == "listed":
            notices.record_listed(name, now)
        elif action == "unlisted":
            notices.record_unlisted(name, now)
        else:
            notices.record(notice(name, started_ms, now), listed=name in model.listed)
        model.apply(action, name, started_ms, now)
        found = {one: notices.get(one, now) for one in ("d1", "d2")}
        assert {one: kept.started_ms for one, kept in found.items() if kept} == model.starts


def test_notices_of_unlisted_endpoints_are_bounded():
    """Guards against memory that grows with every endpoint that other gateways report."""
    notices = LeavingNotices()
    notices.record(notice("kept"), listed=True)
    for number in range(2 * MAX_UNLISTED_NOTICES):
        notices.record(notice(f"i-{number}"), listed=False)
    assert len(notices) == MAX_UNLISTED_NOTICES + 1
    assert notices.get("kept", 0.0) is not None


def test_announcement_outweighs_every_later_entry_of_the_same_process():
    """Guards against a restored, late or unreachable store that brings a leaving endpoint back."""
    clock = Clock()
    fleet = make_fleet(clock, d1=Stage.DECODE)
    fleet.send(listed(entry(started_ms=7)))
    fleet.send(EndpointLeaving(entry(started_ms=7)))
    assert placed_at(fleet) is None
    fleet.send(CollectionUnavailable("servers"))
    clock.advance(60.0)
    assert placed_at(fleet) is None
    fleet.send(listed(entry(started_ms=7), revision=3))
    assert placed_at(fleet) is None
    fleet.send(listed())
    fleet.send(listed(entry(started_ms=6), revision=1))
    assert placed_at(fleet) is None
    fleet.send(CollectionChanges("servers", (CollectionItem("d1", entry(started_ms=8), 4),), 4))
    assert placed_at(fleet) == "d1"


def test_drain_notice_in_an_entry_outweighs_an_older_copy_of_it():
    """Guards against a restored store that lists a draining endpoint as ready."""
    fleet = make_fleet(Clock())
    fleet.send(listed(entry(started_ms=7, draining=True), revision=5))
    fleet.send(listed(entry(started_ms=7), revision=3))
    assert placed_at(fleet) is None
    fleet.send(listed(entry(started_ms=8), revision=6))
    assert placed_at(fleet) == "d1"


def test_suspended_gateway_still_knows_who_leaves():
    """Guards against a notice with an age limit: the process stood still after the response."""
    clock = Clock()
    fleet = make_fleet(clock, d1=Stage.DECODE, d2=Stage.DECODE)
    fleet.send(EndpointLeaving(entry("d1")))
    clock.advance(10 * KEPT_SECONDS)
    assert {placed_at(fleet) for _ in range(20)} == {"d2"}


def test_news_of_another_gateway_is_used_and_not_passed_on():
    """Guards against failed attempts at each gateway, and news that circulates for ever."""
    fleet = make_fleet(Clock(), d1=Stage.DECODE, d2=Stage.DECODE)
    sink = RecordingSink()
    fleet.send(SubscribeToWork(sink))
    fleet.send(PeerLeavingNews((LeavingNews("d1", 0),)))
    assert {placed_at(fleet) for _ in range(20)} == {"d2"}
    fleet.send(EndpointLeaving(entry("d1")))
    assert sink.messages == []


def test_own_news_is_shared_once():
    """Guards against a datagram for every response of an endpoint that leaves."""
    fleet = make_fleet(Clock(), d1=Stage.DECODE)
    sink = RecordingSink()
    fleet.send(SubscribeToWork(sink))
    for _ in range(3):
        fleet.send(EndpointLeaving(entry("d1", started_ms=7)))
    assert sink.messages == [LeavingNews("d1", 7)]
    message = PeerMessage(leaving=(LeavingNews("d1", 7),))
    assert decode(encode(message)) == message


@pytest.mark.parametrize("started_ms", [7, None])
def test_news_that_comes_before_the_entry_is_kept_for_it(started_ms):
    """Guards against a gateway whose list is late, and that uses an endpoint it was warned of."""
    fleet = make_fleet(Clock())
    fleet.send(PeerLeavingNews((LeavingNews("d1", 7),)))
    fleet.send(listed(entry(started_ms=started_ms)))
    assert placed_at(fleet) is None
