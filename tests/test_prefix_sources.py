"""Shared parts of prompts that engines fetch from each other instead of reading them again."""

import heapq
import math
import random

import pytest
from attrs import define, evolve, field

from chivewall.decisions.endpoint_record import EndpointRecord, prefix_chain
from chivewall.decisions.placement import PlacementContext, choose
from chivewall.decisions.prefix_sources import PrefixSources
from chivewall.decisions.sent_work import WorkItem
from chivewall.decisions.speeds import ServiceSpeeds, SpeedPriors
from chivewall.gateway.http_dialect import CallerRequest, ForwardedFields, PromptPart, RequestFields
from chivewall.gateway.routing_configuration import EndpointInfo, Stage
from chivewall.platform.headers import PlatformDialect

TOKEN_SECONDS = 1e-5
REQUESTS = 600
PARTS = (PromptPart("aa", 12_000), PromptPart("bb", 3_000))
PROMPT = RequestFields(prompt_tokens=15_000, prompt_parts=PARTS)
CHAIN = prefix_chain(PROMPT)
SPEEDS = ServiceSpeeds(SpeedPriors(TOKEN_SECONDS, 1e-15, 0.05, 0.02, 1e-4, 0.02))


def make_record(name, data_centre="north"):
    stage = Stage.PREFILL if name.startswith("p") else Stage.DECODE
    info = EndpointInfo(
        id=name,
        service="s",
        ip="10.0.0.1",
        port=int(name[1:]) + 1,
        data_centre=data_centre,
        slots=48,
        draining=False,
        stage=stage,
    )
    return EndpointRecord(info, SPEEDS)


def test_nearest_engine_with_the_shared_part_is_the_source():
    """Guards against KV caches fetched from another data centre though one here keeps them."""
    near, far, target = make_record("p1"), make_record("p2", "south"), make_record("p3")
    for one in (near, far):
        one.record_prefixes([CHAIN[0][0]], 99.0)
    found = PrefixSources(CHAIN, [far, near, target], 100.0).best(target, 0, 15_000)
    assert (found.record, found.tokens) == (near, 12_000)


def test_part_is_not_fetched_before_it_is_read():
    """Guards against a fetch that finds nothing, after which the engine reads the part itself."""
    source, target = make_record("p1"), make_record("p2")
    item = WorkItem(0.15, rank=0, expires_at=200.0)
    kept_from = 100.0 + source.prefilled_after(item, 100.0)
    source.record_prefixes([CHAIN[0][0]], 100.0, kept_from)
    assert PrefixSources(CHAIN, [source], 100.1).best(target, 0, 15_000) is None
    assert PrefixSources(CHAIN, [source], 100.3).best(target, 0, 15_000).record is source


def test_short_part_is_read_again():
    """Guards against transfers that cost more than the reading they save."""
    source, target = make_record("p1"), make_record("p2")
    short = evolve(PROMPT, prompt_parts=(PromptPart("aa", 200), PARTS[1]))
    source.record_prefixes([prefix_chain(short)[0][0]], 99.0)
    assert PrefixSources(prefix_chain(short), [source], 100.0).best(target, 0, 3_200) is None


def test_engine_that_can_not_be_reached_is_no_source():
    """Guards against a prefill that waits for an engine that is down."""
    states = [make_record("p1"), make_record("p2"), make_record("d1")]
    states[0].record_prefixes([CHAIN[0][0]], 100.0)
    states[0].record_failed_connection(100.0)
    context = PlacementContext("north", 100.1, random.Random(1), slack_seconds=1.0)
    assert choose(PROMPT, states, context).prefix_source is None


def test_header_names_the_source():
    """Guards against a source that the engine isn't told, or that a caller may name."""
    request = CallerRequest(
        method=b"POST",
        target=b"/",
        headers=((b"Kv-Fetch", b"10.9.9.9:1"), (b"Host", b"a.example")),
        body=b"",
        has_body=False,
        received_at=0.0,
        fields=RequestFields(),
    )
    sent = ForwardedFields(time_left_ms=100, prefix_source=("10.0.0.1", 81))
    headers = PlatformDialect().request_headers(request, sent)
    assert [value for name, value in headers if name == b"Kv-Fetch"] == [b"10.0.0.1:81"]


@define
class SharedPartsPlay:
    """Prompts with shared parts on a virtual clock, at engines that keep what they have read.

    An engine reads one prompt after the other. It keeps ``kept`` shared parts and reads what it
    neither keeps nor can fetch, whatever the decisions assume.
    """

    parts: int
    kept: int = 6
    rate: float = 26.0
    rng: random.Random = field(factory=lambda: random.Random(3))
    fetching: bool = True
    late: int = 0
    read_tokens: int = 0

    def run(self):
        states = {one.info.id: one for one in map(make_record, ["p1", "p2", "p3", "p4", "d1"])}
        held = {name: [] for name in states}
        free_at = dict.fromkeys(states, 0.0)
        ends, now = [], 0.0
        for number in range(REQUESTS):
            now += self.rng.expovariate(self.rate)
            while ends and ends[0][0] <= now:
                at, name, key = heapq.heappop(ends)
                states[name].record_prefilled(key, at)
                states[name].work.record_ended(key, at)
            shared = PromptPart(f"{self.rng.randrange(self.parts):x}", 12_000)
            parts = (shared, PromptPart(f"own{number}", 3_000))
            fields = RequestFields(prompt_tokens=15_000, prompt_parts=parts)
            context = PlacementContext("north", now, self.rng, slack_seconds=0.6)
            found = choose(fields, list(states.values()), context)
            name = (found.prefill_engine or found.endpoint).id
            source = found.prefix_source
            has = shared.id in held[name] or (source and shared.id in held[source.id])
            tokens = 3_000 if has else 15_000
            slow = 2 if name.startswith("d") else 1
            self.read_tokens += tokens
            free_at[name] = max(now, free_at[name]) + slow * tokens * TOKEN_SECONDS
            held[name] = [one for one in held[name] if one != shared.id][1 - self.kept :]
            held[name].append(shared.id)
            key, record = ("", number), states[name]
            item = WorkItem(found.reference_seconds, found.rank, now + 5.0)
            kept_from = now + record.prefilled_after(item, now) if self.fetching else math.inf
            record.add_work(key, item, now)
            record.record_prefixes([one for one, _ in prefix_chain(fields)], now, kept_from)
            response = free_at[name] + 0.05
            heapq.heappush(ends, (response, name, key))
            self.late += response + 0.02 - now > 0.6
        return self


@pytest.mark.parametrize("rate", [40.0, 44.0])
def test_long_prompts_with_common_parts_are_on_time(rate):
    """Guards against engines that read shared parts again until all prompts are late."""
    fetching = SharedPartsPlay(parts=40, rate=rate).run()
    reading = SharedPartsPlay(parts=40, rate=rate, fetching=False).run()
    assert fetching.late <= 0.15 * REQUESTS
    assert fetching.late <= reading.late / 3
    assert fetching.read_tokens < reading.read_tokens


def test_fetching_does_not_spread_the_parts_over_all_engines():
    """Guards against copies that displace parts which are then read again."""
    fetching = SharedPartsPlay(parts=20, rate=22.0).run()
    assert fetching.read_tokens == 20 * 12_000 + REQUESTS * 3_000
