"""Bursts beyond the capacity of a service, played on the decisions of one gateway.

The engines here read one prompt after the other, the most urgent rank first, and the oldest of
it. They know nothing of the decisions, and the decisions know of them only what they report.
"""

import heapq
import math
import random

import pytest
from attrs import define, evolve, field, frozen

from chivewall.decisions.endpoint_record import EndpointRecord
from chivewall.decisions.overload import LATE_SHARE, Overloaded, admit
from chivewall.decisions.placement import Placement, PlacementContext, choose
from chivewall.decisions.sent_work import WorkItem
from chivewall.decisions.speeds import ServiceSpeeds, SpeedPriors
from chivewall.gateway.http_dialect import RequestFields
from chivewall.gateway.routing_configuration import EndpointInfo, Stage

PREFILL_ENGINES = 4
DECODE_ENGINES = 6
TOKENS = 5_000
PREFILL_SECONDS = 0.02  # of one prompt at one engine
FIRST_EVENT_SECONDS = 0.03
STREAM_SECONDS = 0.1  # from the first event to the end
OBJECTIVE_SECONDS = 0.4
DEADLINE_SECONDS = 2.0
CAPACITY = PREFILL_ENGINES / PREFILL_SECONDS  # requests per second that prefill engines can read
CALM_LOAD = 0.6  # share of the capacity before and after the burst
BURST = (2.0, 5.0)  # start and end in seconds
END = 9.0
RESPONSE_SECONDS = 0.005


@frozen
class Outcome:
    """What one caller got."""

    sent_at: float
    refused_after: float | None
    first_event_after: float | None

    @property
    def on_time(self):
        return self.first_event_after is not None and self.first_event_after <= OBJECTIVE_SECONDS


@define(eq=False)
class PrefillEngine:
    """Reads the prompt of the most urgent rank that waited longest."""

    queue: list = field(factory=list)
    busy: bool = False


@define(eq=False)
class BurstPlay:
    """Plays requests against the placement of one gateway, on a virtual clock."""

    slots: int
    load: float  # of the burst, in multiples of the capacity
    rng: random.Random = field(factory=lambda: random.Random(5))
    events: list = field(factory=list)
    outcomes: list = field(factory=list)
    prefilled_in_vain: int = 0
    now: float = 0.0
    records: dict = field(init=False)
    engines: dict = field(init=False)
    _number: int = 0

    def __attrs_post_init__(self):
        speeds = ServiceSpeeds(
            SpeedPriors(
                prefill_token_seconds=PREFILL_SECONDS / TOKENS,
                prefill_pair_seconds=1e-15,
                response_seconds=RESPONSE_SECONDS,
                first_event_seconds=FIRST_EVENT_SECONDS,
                running_request_seconds=1e-4,
                fetched_event_seconds=FIRST_EVENT_SECONDS,
            )
        )
        names = [f"p{one}" for one in range(PREFILL_ENGINES)]
        names += [f"d{one}" for one in range(DECODE_ENGINES)]
        self.records = {name: EndpointRecord(self.info(name), speeds) for name in names}
        self.engines = {name: PrefillEngine() for name in names}

    def info(self, name):
        stage = Stage.PREFILL if name.startswith("p") else Stage.DECODE
        return EndpointInfo(
            id=name,
            service="s",
            ip="10.0.0.1",
            port=1,
            data_centre="north",
            slots=self.slots,
            draining=False,
            stage=stage,
        )

    def run(self):
        at = 0.0
        while at < END:
            share = self.load if BURST[0] <= at < BURST[1] else CALM_LOAD
            at += self.rng.expovariate(share * CAPACITY)
            self.schedule(at, self.arrive)
        return self.play()

    def play(self):
        while self.events:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        return self

    def schedule(self, at, action, *arguments):
        self._number += 1
        heapq.heappush(self.events, (at, self._number, action, arguments))

    def arrive(self):
        fields = RequestFields(prompt_tokens=TOKENS)
        context = PlacementContext(
            data_centre="north",
            now=self.now,
            rng=self.rng,
            rank=2,
            slack_seconds=OBJECTIVE_SECONDS,
            time_left_seconds=DEADLINE_SECONDS,
        )
        found = choose(fields, list(self.records.values()), context)
        if isinstance(found, Overloaded):
            self.refuse()
            return
        self.send(found, self.now)

    def refuse(self):
        self.outcomes.append(Outcome(self.now, 0.0, None))

    def send(self, found: Placement, sent_at):
        self._number += 1
        key = ("", self._number)
        name = (found.prefill_engine or found.endpoint).id
        item = WorkItem(found.reference_seconds, found.rank, sent_at + DEADLINE_SECONDS)
        self.records[name].add_work(key, item, self.now)
        heapq.heappush(
            self.engines[name].queue, (found.rank, self._number, key, sent_at, found, name)
        )
        self.start_prefill(name)

    def start_prefill(self, name):
        engine = self.engines[name]
        while engine.queue and not engine.busy:
            entry = heapq.heappop(engine.queue)
            if self.now > entry[3] + DEADLINE_SECONDS:
                self.records[name].work.record_ended(entry[2], self.now)
                self.outcomes.append(Outcome(entry[3], None, None))
                continue
            engine.busy = True
            factor = 1 if name.startswith("p") else 2
            self.schedule(self.now + factor * PREFILL_SECONDS, self.end_prefill, entry)

    def end_prefill(self, entry):
        _, _, key, sent_at, found, name = entry
        self.engines[name].busy = False
        self.start_prefill(name)
        self.schedule(self.now + RESPONSE_SECONDS, self.decode, key, sent_at, found, name)

    def decode(self, key, sent_at, found, name):
        self.records[name].record_prefilled(key, self.now)
        self.records[name].work.record_ended(key, self.now)
        first = self.now + FIRST_EVENT_SECONDS - sent_at
        if first > DEADLINE_SECONDS:
            self.prefilled_in_vain += 1
            self.outcomes.append(Outcome(sent_at, None, None))
            return
        target = self.records[found.endpoint.id]
        work = WorkItem(0.0, found.rank, self.now + DEADLINE_SECONDS)
        target.add_work(key, work, self.now)
        end = self.now + FIRST_EVENT_SECONDS + STREAM_SECONDS
        self.schedule(end, target.work.record_ended, key, end)
        self.outcomes.append(Outcome(sent_at, None, first))

    def sent_between(self, start, end):
        return [one for one in self.outcomes if start <= one.sent_at < end]


@pytest.mark.parametrize("slots", [12, 64])
@pytest.mark.parametrize("load", [1.5, 2.0, 4.0])
class TestBurst:
    """A burst of some seconds between two calm times."""

    def test_goodput_stays_near_the_capacity(self, load, slots):
        """Guards against a burst in which nobody is answered in time."""
        play = BurstPlay(slots=slots, load=load).run()
        on_time = sum(one.on_time for one in play.sent_between(*BURST))
        assert on_time >= 0.8 * CAPACITY * (BURST[1] - BURST[0])

    def test_service_is_back_to_normal_two_seconds_after_the_burst(self, load, slots):
        """Guards against a queue that outlives the burst."""
        play = BurstPlay(slots=slots, load=load).run()
        after = play.sent_between(BURST[1] + 2.0, END)
        assert sum(one.on_time for one in after) >= 0.95 * len(after)

    def test_nothing_waits_until_its_deadline(self, load, slots):
        """Guards against requests that are held in a queue and end unanswered."""
        play = BurstPlay(slots=slots, load=load).run()
        unanswered = [
            one
            for one in play.outcomes
            if one.first_event_after is None and one.refused_after is None
        ]
        assert len(unanswered) <= 0.01 * len(play.outcomes)
        assert play.prefilled_in_vain <= 0.01 * len(play.outcomes)


def test_request_that_may_have_run_is_not_refused_for_overload():
    """Guards against a resumed stream that is cut, or a refusal that isn't true, in a burst."""
    play = BurstPlay(slots=12, load=1.0)
    for name, record in play.records.items():
        record.add_work(("", name), WorkItem(5.0, rank=0, expires_at=9.0), 0.0)
    context = PlacementContext(
        data_centre="north", now=0.0, rng=play.rng, slack_seconds=0.4, time_left_seconds=2.0
    )
    fields, records = RequestFields(prompt_tokens=TOKENS), list(play.records.values())
    assert isinstance(choose(fields, records, context), Overloaded)
    assert isinstance(choose(fields, records, evolve(context, committed=True)), Placement)


def test_late_request_is_admitted_if_its_turn_comes_well_before_its_deadline():
    """Guards against patient callers who are refused although they could be served."""
    rng = random.Random(1)
    assert admit(2.0, slack_seconds=0.8, time_left_seconds=6.0, rng=rng) is None
    refused = admit(4.0, slack_seconds=0.8, time_left_seconds=6.0, rng=rng)
    assert refused.retry_after == pytest.approx(4.0 - LATE_SHARE * 6.0, rel=0.3)


def test_request_that_meets_its_objective_is_always_admitted():
    """Guards against refusals of requests with a short deadline that can be met."""
    rng = random.Random(1)
    assert admit(0.2, slack_seconds=0.25, time_left_seconds=0.25, rng=rng) is None
    assert admit(0.2, slack_seconds=math.inf, time_left_seconds=math.inf, rng=rng) is None
