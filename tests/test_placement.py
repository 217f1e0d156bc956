"""Choice of endpoints."""

import random

from attrs import evolve

from chivewall.decisions.placement import (
    LATE_RANK_INCREASE,
    MAX_RANK,
    EndpointRecord,
    PlacementContext,
    PromptState,
    choose,
    prefill_seconds,
    prefix_chain,
)
from chivewall.decisions.sent_work import WorkItem
from chivewall.gateway.http_dialect import PromptPart, RequestFields
from chivewall.gateway.routing_configuration import EndpointInfo, Stage


def make_info(name="i-1", **fields):
    known = {
        "id": name,
        "service": "desk",
        "ip": "10.0.0.1",
        "port": 80,
        "data_centre": "north",
        "slots": 4,
        "draining": False,
        "stage": Stage.NONE,
    }
    return EndpointInfo(**(known | fields))


def make_state(name="i-1", **fields):
    return EndpointRecord(make_info(name, **fields))


def around(now=100.0, **fields):
    known = {"data_centre": "north", "now": now, "rng": random.Random(1), "slack_seconds": 0.8}
    return PlacementContext(**(known | fields))


def read(state, seconds, number=1, rank=0):
    """Send a prompt that takes so long to read."""
    state.add_work(("", number), WorkItem(seconds, rank=rank, expires_at=200.0), 100.0)


class TestPlainPlacement:
    """Endpoints of plain services."""

    def test_leaving_and_excluded_endpoints_are_not_used(self):
        states = [make_state("a", draining=True), make_state("b")]
        assert choose(RequestFields(), states, around()).endpoint.id == "b"
        assert choose(RequestFields(), states, around(excluded=frozenset("b"))) is None

    def test_endpoint_that_left_the_list_is_the_last_resort(self):
        gone, listed = make_state("a"), make_state("b", data_centre="south")
        gone.unlisted_at = 99.0
        assert choose(RequestFields(), [gone, listed], around()).endpoint.id == "b"
        assert choose(RequestFields(), [gone], around()).endpoint.id == "a"

    def test_unreachable_endpoint_is_avoided_for_a_while(self):
        states = [make_state("a"), make_state("b", data_centre="south")]
        states[0].record_failed_connection(100.0)
        assert choose(RequestFields(), states, around(100.5)).endpoint.id == "b"
        assert choose(RequestFields(), states, around(102.0)).endpoint.id == "a"

    def test_failing_endpoint_gets_less(self):
        states = [make_state("a"), make_state("b", data_centre="south")]
        for _ in range(3):
            states[0].record_failure(100.0)
        assert choose(RequestFields(), states, around()).endpoint.id == "b"


PARTS = (PromptPart("aa", 12_000), PromptPart("bb", 3_000))
PROMPT = RequestFields(prompt_tokens=15_000, max_output_tokens=80, prompt_parts=PARTS)


class TestEnginePlacement:
    """Engines of a generation."""

    def engines(self):
        return [
            make_state("p1", stage=Stage.PREFILL),
            make_state("p2", stage=Stage.PREFILL),
            make_state("d1", stage=Stage.DECODE),
            make_state("d2", stage=Stage.DECODE),
        ]

    def test_long_prompt_is_read_by_a_prefill_engine(self):
        found = choose(PROMPT, self.engines(), around())
        assert found.prefill_engine.stage is Stage.PREFILL
        assert found.endpoint.stage is Stage.DECODE

    def test_short_prompt_is_read_where_it_decodes(self):
        assert (
            choose(RequestFields(prompt_tokens=200), self.engines(), around()).prefill_engine
            is None
        )

    def test_prompt_goes_where_its_shared_part_is_kept(self):
        states = self.engines()
        keys = [key for key, _ in prefix_chain(PROMPT)][:1]
        states[1].record_prefixes(keys, 99.0)
        found = choose(PROMPT, states, around())
        assert found.prefill_engine.id == "p2"
        assert found.uncached_tokens == 3_000

    def test_full_prefill_engine_is_left_for_the_other(self):
        states = self.engines()
        states[1].record_prefixes([key for key, _ in prefix_chain(PROMPT)], 99.0)
        read(states[1], 2.0)
        assert choose(PROMPT, states, around()).prefill_engine.id == "p1"

    def test_decode_engine_over_its_limit_leaves_prompts_to_a_prefill_engine_with_a_queue(self):
        """Guards streams that take seconds because prompts are read between their steps."""
        states = self.engines()
        for one in states:
            read(one, 0.5)
        assert choose(PROMPT, states, around()).prefill_engine is not None

    def test_decode_engine_reads_when_prefill_engines_are_seconds_behind(self):
        """Guards prompts that wait for seconds at the last prefill engine."""
        states = self.engines()
        for one in states[:2]:
            read(one, 6.0)
        assert choose(PROMPT, states, around()).prefill_engine is None

    def test_prompts_take_only_a_share_of_a_decode_engines_time(self):
        """Guards a decode engine that reads one prompt after the other."""
        state = make_state(stage=Stage.DECODE)
        read(state, 1.0)
        state.work.record_prefilled(("", 1), 101.0)
        assert state.prefill_wait(101.0, rank=0) > 0.5

    def test_urgent_prompt_passes_those_with_a_lower_rank(self):
        states = self.engines()
        read(states[0], 0.1)
        read(states[1], 0.1)
        read(states[0], 2.0, number=2, rank=5)
        read(states[1], 0.5, number=2, rank=0)
        assert choose(PROMPT, states, around(rank=0)).prefill_engine.id == "p1"
        assert choose(PROMPT, states, around(rank=5)).prefill_engine.id == "p2"

    def test_call_that_misses_its_objective_stands_behind_the_others(self):
        """Guards a queue in which every prompt is late because the late ones go first."""
        states = self.engines()
        assert choose(PROMPT, states, around(rank=1, slack_seconds=5.0)).rank == 1
        assert (
            choose(PROMPT, states, around(rank=1, slack_seconds=0.1)).rank == 1 + LATE_RANK_INCREASE
        )
        assert choose(PROMPT, states, around(rank=8, slack_seconds=0.1)).rank == MAX_RANK

    def test_kv_cache_stays_in_its_data_centre_while_engines_there_have_room(self):
        """Guards KV caches that are moved between data centres without a gain."""
        states = self.engines()
        states[2].info = evolve(states[2].info, data_centre="south")
        found = choose(PROMPT, states, around(kv_data_centre="south"), PromptState.PREFILLED)
        assert found.endpoint.id == "d1"
        for number in range(60):
            states[2].add_work(("", number), WorkItem(0.0, rank=0, expires_at=200.0), 100.0)
        found = choose(PROMPT, states, around(kv_data_centre="south"), PromptState.PREFILLED)
        assert found.endpoint.id == "d2"

    def test_prompt_with_time_to_spare_waits_rather_than_stop_streams(self):
        """Guards streams that are stopped for prompts whose objective is far (pwani scale-1)."""
        states = self.engines()
        short = RequestFields(prompt_tokens=1_000)
        for one in states:
            read(one, 0.8 if one.info.stage is Stage.PREFILL else 0.3)
        assert choose(short, states, around(slack_seconds=3.0)).prefill_engine is not None
        assert choose(short, states, around(slack_seconds=0.2)).prefill_engine is None

    def test_without_prefill_engines_decode_engines_read(self):
        found = choose(PROMPT, self.engines()[2:], around())
        assert found.prefill_engine is None

    def test_engine_that_changes_is_left_alone(self):
        states = self.engines()
        states[2].cooldown_until = 105.0
        assert choose(PROMPT, states, around(), PromptState.PREFILLED).endpoint.id == "d2"

    def test_parts_count_only_behind_the_parts_before_them(self):
        state = make_state(stage=Stage.PREFILL)
        chain = prefix_chain(PROMPT)
        state.record_prefixes([chain[1][0]], 100.0)
        assert state.cached_tokens(chain, 100.0) == 0
        assert prefix_chain(evolve(PROMPT, prompt_parts=PARTS[1:]))[0][0] != chain[1][0]

    def test_long_prompts_take_more_than_their_share(self):
        """Guards estimates that were short by half for prompts of 40,000 tokens."""
        single = prefill_seconds(10_000, 0, Stage.PREFILL)
        assert prefill_seconds(40_000, 0, Stage.PREFILL) > 5 * single
        assert prefill_seconds(10_000, 0, Stage.DECODE) == 2 * single

    def test_work_of_other_gateways_ends_by_itself(self):
        state = make_state()
        state.add_work(("10.0.0.2", 1), WorkItem(0.0, rank=0, expires_at=102.0), 100.0)
        state.work.expire(101.0)
        assert state.in_flight == 1
        state.work.expire(102.0)
        assert state.in_flight == 0
