"""Placement of requests on endpoints."""

import random

from attrs import evolve

from chivewall.decisions.endpoint_record import EndpointRecord, prefix_chain
from chivewall.decisions.placement import (
    LATE_RANK_INCREASE,
    MAX_RANK,
    PATIENT_RANK,
    PlacementContext,
    PromptState,
    choose,
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


def make_context(now=100.0, **fields):
    known = {"data_centre": "north", "now": now, "rng": random.Random(1), "slack_seconds": 0.8}
    return PlacementContext(**(known | fields))


def add_prompt(state, seconds, number=1, rank=0):
    """Add a prompt with this prefill time to the endpoint's work."""
    state.add_work(("", number), WorkItem(seconds, rank=rank, expires_at=200.0), 100.0)


class TestPlainPlacement:
    """Placement on the endpoints of plain services."""

    def test_draining_and_excluded_endpoints_are_not_used(self):
        """Guards against requests sent to an endpoint that drains or has just failed."""
        states = [make_state("a", draining=True), make_state("b")]
        assert choose(RequestFields(), states, make_context()).endpoint.id == "b"
        assert choose(RequestFields(), states, make_context(excluded=frozenset("b"))) is None

    def test_unlisted_endpoint_is_the_last_resort(self):
        """Guards against a request refused while an unlisted endpoint could serve it."""
        unlisted, listed = make_state("a"), make_state("b", data_centre="south")
        unlisted.unlisted_at = 99.0
        assert choose(RequestFields(), [unlisted, listed], make_context()).endpoint.id == "b"
        assert choose(RequestFields(), [unlisted], make_context()).endpoint.id == "a"

    def test_unreachable_endpoint_is_avoided_for_a_while(self):
        """Guards against attempts that keep going to an endpoint that can't be reached."""
        states = [make_state("a"), make_state("b", data_centre="south")]
        states[0].record_failed_connection(100.0)
        assert choose(RequestFields(), states, make_context(100.5)).endpoint.id == "b"
        assert choose(RequestFields(), states, make_context(102.0)).endpoint.id == "a"

    def test_failing_endpoint_is_not_taken_for_a_busy_one(self):
        """Guards against refusals for overload while the endpoints are idle, but fail."""
        states = [make_state("a")]
        for _ in range(20):
            states[0].record_failure(100.0)
        context = make_context(slack_seconds=0.2, time_left_seconds=0.8)
        assert choose(RequestFields(), states, context).endpoint.id == "a"

    def test_failing_endpoint_gets_less_work(self):
        """Guards against a failing endpoint that gets as much work as a healthy one."""
        states = [make_state("a"), make_state("b", data_centre="south")]
        for _ in range(3):
            states[0].record_failure(100.0)
        assert choose(RequestFields(), states, make_context()).endpoint.id == "b"


PARTS = (PromptPart("aa", 12_000), PromptPart("bb", 3_000))
PROMPT = RequestFields(prompt_tokens=15_000, max_output_tokens=80, prompt_parts=PARTS)


class TestEnginePlacement:
    """Placement of generation requests on prefill and decode engines."""

    def engines(self):
        return [
            make_state("p1", stage=Stage.PREFILL),
            make_state("p2", stage=Stage.PREFILL),
            make_state("d1", stage=Stage.DECODE),
            make_state("d2", stage=Stage.DECODE),
        ]

    def test_long_prompt_is_prefilled_by_a_prefill_engine(self):
        """Guards against long prompts that stall the streams of a decode engine."""
        found = choose(PROMPT, self.engines(), make_context())
        assert found.prefill_engine.stage is Stage.PREFILL
        assert found.endpoint.stage is Stage.DECODE

    def test_short_prompt_is_prefilled_where_it_decodes(self):
        """Guards against a handover that takes longer than the prefill of a short prompt."""
        assert (
            choose(RequestFields(prompt_tokens=200), self.engines(), make_context()).prefill_engine
            is None
        )

    def test_prompt_goes_where_its_prefix_is_cached(self):
        """Guards against a prefill of tokens that another engine has cached."""
        states = self.engines()
        keys = [key for key, _ in prefix_chain(PROMPT)][:1]
        states[1].record_prefixes(keys, 99.0)
        found = choose(PROMPT, states, make_context())
        assert found.prefill_engine.id == "p2"
        assert found.uncached_tokens == 3_000

    def test_busy_prefill_engine_is_avoided_despite_its_cached_prefix(self):
        """Guards against a queue at the one engine that has a common prefix cached."""
        states = self.engines()
        states[1].record_prefixes([key for key, _ in prefix_chain(PROMPT)][:1], 99.0)
        add_prompt(states[1], 2.0)
        found = choose(PROMPT, states, make_context())
        assert found.prefill_engine.id == "p1"
        assert found.prefix_source.id == "p2"
        assert found.uncached_tokens == 3_000

    def test_decode_engine_over_its_prefill_budget_gets_no_prompt(self):
        """Guards against streams that take seconds because prompts are prefilled between steps."""
        states = self.engines()
        for one in states:
            add_prompt(one, 0.5)
        assert choose(PROMPT, states, make_context()).prefill_engine is not None

    def test_decode_engine_prefills_when_prefill_engines_are_seconds_behind(self):
        """Guards against prompts that wait for seconds at the last prefill engine."""
        states = self.engines()
        for one in states[:2]:
            add_prompt(one, 6.0)
        assert choose(PROMPT, states, make_context()).prefill_engine is None

    def test_prefill_takes_only_a_share_of_a_decode_engines_time(self):
        """Guards against a decode engine that prefills one prompt after the other."""
        state = make_state(stage=Stage.DECODE)
        add_prompt(state, 1.0)
        state.record_prefilled(("", 1), 101.0)
        assert state.prefill_wait(101.0, rank=0) == 0
        assert state.prefill_debt(101.0) > 0.5

    def test_urgent_prompt_goes_before_lower_ranks(self):
        """Guards against an urgent prompt that counts lower-ranked prompts as ahead of it."""
        states = self.engines()
        add_prompt(states[0], 0.1)
        add_prompt(states[1], 0.1)
        add_prompt(states[0], 2.0, number=2, rank=5)
        add_prompt(states[1], 0.5, number=2, rank=0)
        assert choose(PROMPT, states, make_context(rank=0)).prefill_engine.id == "p1"
        assert choose(PROMPT, states, make_context(rank=5)).prefill_engine.id == "p2"

    def test_request_that_misses_its_objective_goes_behind_the_others(self):
        """Guards against a queue in which every prompt is late because the late ones go first."""
        states = self.engines()
        assert choose(PROMPT, states, make_context(rank=1, slack_seconds=1.0)).rank == 1
        assert (
            choose(PROMPT, states, make_context(rank=1, slack_seconds=0.1)).rank
            == 1 + LATE_RANK_INCREASE
        )
        assert choose(PROMPT, states, make_context(rank=8, slack_seconds=0.1)).rank == MAX_RANK

    def test_late_request_does_not_overtake_beyond_the_least_urgent_rank(self):
        """Guards against late requests that go first where routes have priorities beyond 9."""
        found = choose(PROMPT, self.engines(), make_context(rank=12, slack_seconds=0.1))
        assert found.rank == 12

    def test_request_that_can_wait_takes_no_turn_before_others(self):
        """Guards against urgent requests with seconds left that overtake others without."""
        states = self.engines()
        assert choose(PROMPT, states, make_context(rank=0, slack_seconds=5.0)).rank == PATIENT_RANK
        assert choose(PROMPT, states, make_context(rank=0, slack_seconds=1.0)).rank == 0
        for one in states:
            add_prompt(one, 0.4, rank=PATIENT_RANK)
            add_prompt(one, 2.0, number=2, rank=PATIENT_RANK)  # its turn would come late
        assert choose(PROMPT, states, make_context(rank=0, slack_seconds=5.0)).rank == 0

    def test_request_over_its_share_yields_though_it_could_wait(self):
        """Guards against a workspace that keeps the room of others since its requests have time."""
        states = self.engines()
        for one in states:
            add_prompt(one, 0.4)
        patient = choose(PROMPT, states, make_context(slack_seconds=5.0))
        assert (patient.rank, patient.yields) == (PATIENT_RANK, False)
        over = choose(PROMPT, states, make_context(slack_seconds=5.0, queue_weight=8.0))
        assert over.yields

    def test_kv_cache_stays_in_its_data_centre_while_engines_there_have_room(self):
        """Guards against KV caches that are moved between data centres without a gain."""
        states = self.engines()
        states[2].info = evolve(states[2].info, data_centre="south")
        found = choose(PROMPT, states, make_context(kv_data_centre="south"), PromptState.PREFILLED)
        assert found.endpoint.id == "d1"
        for number in range(60):
            states[2].add_work(("", number), WorkItem(0.0, rank=0, expires_at=200.0), 100.0)
        found = choose(PROMPT, states, make_context(kv_data_centre="south"), PromptState.PREFILLED)
        assert found.endpoint.id == "d2"

    def test_prompt_with_slack_waits_for_a_prefill_engine(self):
        """Guards against streams stalled by prompts whose objective is far away (pwani scale-1)."""
        states = self.engines()
        short = RequestFields(prompt_tokens=1_000)
        for one in states:
            add_prompt(one, 0.8 if one.info.stage is Stage.PREFILL else 0.3)
        assert choose(short, states, make_context(slack_seconds=3.0)).prefill_engine is not None
        assert choose(short, states, make_context(slack_seconds=0.2)).prefill_engine is None

    def test_without_prefill_engines_decode_engines_prefill(self):
        """Guards against prompts that are refused because no prefill engine is listed."""
        found = choose(PROMPT, self.engines()[2:], make_context())
        assert found.prefill_engine is None

    def test_engine_in_cooldown_gets_no_request(self):
        """Guards against requests sent to an engine that is changing its stage."""
        states = self.engines()
        states[2].cooldown_until = 105.0
        assert choose(PROMPT, states, make_context(), PromptState.PREFILLED).endpoint.id == "d2"

    def test_cached_part_counts_only_with_the_parts_before_it(self):
        """Guards against tokens counted as cached although the tokens before them are not."""
        state = make_state(stage=Stage.PREFILL)
        chain = prefix_chain(PROMPT)
        state.record_prefixes([chain[1][0]], 100.0)
        assert state.cached_tokens(chain, 100.0) == 0
        assert prefix_chain(evolve(PROMPT, prompt_parts=PARTS[1:]))[0][0] != chain[1][0]

    def test_decode_engine_prefills_at_half_the_speed(self):
        """Guards against prompts sent to a decode engine as if it were a prefill engine."""
        prefill, decode = make_state(stage=Stage.PREFILL), make_state(stage=Stage.DECODE)
        single = prefill.reference_prefill_seconds(10_000, 0)
        assert decode.reference_prefill_seconds(10_000, 0) == 2 * single

    def test_work_of_other_gateways_expires(self):
        """Guards against work of a stopped gateway that is counted for ever."""
        state = make_state()
        state.add_work(("10.0.0.2", 1), WorkItem(0.0, rank=0, expires_at=102.0), 100.0)
        state.work.expire(101.0)
        assert state.in_flight == 1
        state.work.expire(102.0)
        assert state.in_flight == 0
