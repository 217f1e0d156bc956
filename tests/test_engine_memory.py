"""Requests that engines have no memory for."""

import pytest
from twisted.internet.task import Clock

from chivewall.decisions.engine_memory import HeldTokens, MemoryVerdict, RequestMemory
from chivewall.decisions.overload import Overloaded
from chivewall.decisions.placement import Placement, PromptState
from chivewall.gateway.fleet_messages import EngineMemoryStated, PeerWork, WorkEnded, WorkSent
from chivewall.gateway.http_dialect import PromptPart, RequestFields
from chivewall.gateway.peer_codec import SharedWork
from chivewall.gateway.routing_configuration import Stage
from tests.utils.fleets import make_fleet, query_placement

CAPACITY = 100_000
TOKENS = 30_000  # of a request; three of them fill an engine


@pytest.fixture
def fleet():
    fleet = make_fleet(Clock(), d1=Stage.DECODE, d2=Stage.DECODE)
    fleet.send(EngineMemoryStated({"engines": CAPACITY}))
    return fleet


def send(fleet, endpoint, exchange, tokens=TOKENS):
    fields = RequestFields(prompt_tokens=tokens - 10, max_output_tokens=10)
    fleet.send(WorkSent(endpoint, 0.01, fields, 0.05, seconds_left=60.0, exchange=exchange))


def test_shared_part_of_a_prompt_counts_once(fleet):
    """Guards against refusals while the requests at an engine share most of their memory."""
    for exchange in range(8):
        parts = (PromptPart("a1", 20_000), PromptPart(f"b{exchange}", 5_000))
        fields = RequestFields(prompt_tokens=25_000, prompt_parts=parts)
        fleet.send(WorkSent("d1", 0.01, fields, 0.05, seconds_left=60.0, exchange=exchange))
    sent = RequestFields(prompt_tokens=25_000, prompt_parts=parts)
    memories, record = fleet.memories, fleet.states["d1"]
    assert memories.fitting([record], sent) == ([record], MemoryVerdict.FITS)  # 60 + 5 thousand
    alone = RequestFields(prompt_tokens=30_001)
    assert memories.fitting([record], alone) == ([], MemoryVerdict.FULL)
    for exchange in range(8):
        fleet.send(WorkEnded("d1", exchange, "answered"))
    whole = RequestFields(prompt_tokens=CAPACITY)
    assert memories.fitting([record], whole) == ([record], MemoryVerdict.FITS)


def find(fleet, tokens=TOKENS, **fields):
    return query_placement(fleet, prompt_tokens=tokens, **fields)


def test_engines_hold_no_more_than_their_memory(fleet):
    """Guards against an engine that crashes with all requests that it holds."""
    for exchange in range(3):
        send(fleet, "d1", exchange)
    assert {find(fleet).endpoint.id for _ in range(20)} == {"d2"}
    for exchange in range(3, 6):
        send(fleet, "d2", exchange)
    assert isinstance(find(fleet), Overloaded)
    fleet.send(WorkEnded("d1", 1, "answered"))
    assert find(fleet).endpoint.id == "d1"


def test_requests_of_other_gateways_count_by_the_mean(fleet):
    """Guards against two gateways that each fill the same engine."""
    send(fleet, "d2", 1)
    for number in range(3):
        work = SharedWork(number, "d1", 0.01, counted_seconds=60.0, rank=0, prefixes=())
        fleet.send(PeerWork("10.0.0.2", work))
    assert {find(fleet).endpoint.id for _ in range(20)} == {"d2"}


@pytest.mark.parametrize(("tokens", "found"), [(CAPACITY, True), (CAPACITY + 1, False)])
def test_request_larger_than_an_engine_is_not_sent(fleet, tokens, found):
    """Guards against a request that each engine in turn rejects."""
    assert isinstance(find(fleet, tokens=tokens), Placement) is found


@pytest.mark.parametrize("fields", [{"committed": True}, {"prompt": PromptState.PREFILLED}])
def test_request_that_can_not_be_refused_goes_to_a_full_engine(fleet, fields):
    """Guards against a stream that is cut, or a refusal of what may have run."""
    for exchange in range(3):
        send(fleet, "d1", exchange)
        send(fleet, "d2", 10 + exchange)
    assert isinstance(find(fleet, **fields), Placement)


def test_engines_without_a_stated_memory_are_not_limited(fleet):
    """Guards against refusals where earlier deployments served."""
    fleet.send(EngineMemoryStated({}))
    for exchange in range(20):
        send(fleet, "d1", exchange)
    assert isinstance(find(fleet, tokens=CAPACITY + 1), Placement)


def test_prefix_of_which_callers_name_different_sizes_leaves_nothing():
    """Guards against engines that seem full for ever, while they always have some request."""
    held = HeldTokens()
    held.add(0, RequestMemory((), 10))
    for exchange, tokens in ((1, 100), (2, 50)):
        held.add(exchange, RequestMemory((("k", tokens),), 10))
    for exchange in (1, 2):
        held.remove(exchange)
    assert held.total == 10
