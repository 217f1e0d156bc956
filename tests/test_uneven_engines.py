"""Engines of one service that differ in speed, known to several gateways by shared records.

The engines read one prompt after the other at their own speed and have slow moments. Each gateway
has its own records; those of the others reach it after a while, as their datagrams do.
"""

import heapq
import random

import pytest
from attrs import define, field

from chivewall.decisions import placement
from chivewall.decisions.endpoint_record import EndpointRecord
from chivewall.decisions.engine_scale import EngineScale
from chivewall.decisions.placement import PlacementContext, choose
from chivewall.decisions.sent_work import WorkItem
from chivewall.decisions.speeds import ServiceSpeeds, SpeedPriors
from chivewall.gateway.http_dialect import RequestFields
from chivewall.gateway.routing_configuration import EndpointInfo, Stage

TOKEN_SECONDS = 1e-5
RESPONSE_SECONDS = 0.05
SCALES = {"p1": 1.4, "p2": 1.4, "p3": 0.6, "p4": 1.4, "p5": 1.4, "p6": 0.6, "d1": 1.0}
GATEWAYS = 8
LAG_SECONDS = 0.03  # of another gateway's records
OBJECTIVE_SECONDS = 0.6
REQUESTS = 800


def make_record(name):
    stage = Stage.PREFILL if name.startswith("p") else Stage.DECODE
    info = EndpointInfo(
        id=name,
        service="s",
        ip="10.0.0.1",
        port=1,
        data_centre="north",
        slots=48,
        draining=False,
        stage=stage,
    )
    priors = SpeedPriors(TOKEN_SECONDS, 1e-15, RESPONSE_SECONDS, 0.02, 1e-4, 0.02)
    return EndpointRecord(info, ServiceSpeeds(priors))


@define(eq=False)
class UnevenPlay:
    """Plays long and short prompts against the placement of several gateways."""

    rate: float
    rng: random.Random = field(factory=lambda: random.Random(11))
    events: list = field(factory=list)
    now: float = 0.0
    late: int = 0
    short_late: int = 0
    short_tokens: int = 2_000
    short_rank: int = 2
    short_objective: float = OBJECTIVE_SECONDS
    queues: dict = field(factory=lambda: {name: [] for name in SCALES})
    busy: set = field(factory=set)
    _number: int = 0
    gateways: list = field(init=False)

    def __attrs_post_init__(self):
        self.gateways = [{name: make_record(name) for name in SCALES} for _ in range(GATEWAYS)]

    def schedule(self, at, action, *arguments):
        self._number += 1
        heapq.heappush(self.events, (at, self._number, action, arguments))

    def run(self):
        at = 0.0
        for _ in range(REQUESTS):
            at += self.rng.expovariate(self.rate)
            self.schedule(at, self.arrive)
        while self.events:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        return self

    def share(self, own, action):
        for number, records in enumerate(self.gateways):
            self.schedule(self.now + (0 if number == own else LAG_SECONDS), action, records)

    def arrive(self):
        own = self.rng.randrange(GATEWAYS)
        short = self.rng.random() < 0.5
        tokens = self.short_tokens if short else 20_000
        objective = self.short_objective if short else OBJECTIVE_SECONDS
        rank = self.short_rank if short else 2
        context = PlacementContext("north", self.now, self.rng, rank=rank, slack_seconds=objective)
        records = list(self.gateways[own].values())
        found = choose(RequestFields(prompt_tokens=tokens), records, context)
        name = (found.prefill_engine or found.endpoint).id
        key = (str(own), self._number)
        item = WorkItem(found.reference_seconds, found.rank, self.now + 5.0)
        self.share(own, lambda records: records[name].add_work(key, item, self.now))
        slow_moment = 2.5 if self.rng.random() < 0.1 else 1.0
        seconds = found.reference_seconds * SCALES[name] * slow_moment
        due = self.now + objective
        heapq.heappush(self.queues[name], (found.rank, self._number, seconds, due, short, own, key))
        self.prefill_next(name)

    def prefill_next(self, name):
        if name in self.busy or not self.queues[name]:
            return
        _, _, seconds, due, short, own, key = heapq.heappop(self.queues[name])
        self.busy.add(name)
        self.schedule(self.now + seconds, self.end_prefill, name, due, short, own, key)

    def end_prefill(self, name, due, short, own, key):
        self.busy.discard(name)
        self.prefill_next(name)
        late = self.now + RESPONSE_SECONDS + 0.02 > due
        self.late += late
        self.short_late += late and short
        self.schedule(self.now + RESPONSE_SECONDS, self.report, own, name, key)

    def report(self, own, name, key):
        def record(records):
            records[name].record_prefilled(key, self.now)
            records[name].work.record_ended(key, self.now)

        self.share(own, record)


def test_prompts_are_on_time_at_uneven_engines(monkeypatch):
    """Guards against long prompts at slow engines, whose queues seem to be short."""
    learned = UnevenPlay(rate=26.0).run()
    monkeypatch.setattr(EngineScale, "add", lambda *_: None)
    even = UnevenPlay(rate=26.0).run()
    assert learned.late <= 0.05 * REQUESTS
    assert learned.late <= even.late / 2


def test_urgent_prompts_with_slack_leave_long_ones_their_turn(monkeypatch):
    """Guards against long prompts that are late because short ones with time left overtake them."""
    settings = {"rate": 26.0, "short_tokens": 10_000, "short_rank": 0, "short_objective": 1.2}
    patient = UnevenPlay(**settings).run()
    monkeypatch.setattr(placement, "PATIENT_SHARE", 0.0)
    overtaking = UnevenPlay(**settings).run()
    assert patient.late <= 0.8 * overtaking.late
    assert patient.short_late <= 0.01 * REQUESTS


def test_all_gateways_learn_the_scale_of_each_engine():
    """Guards against engines that each gateway must measure by its own few requests."""
    play = UnevenPlay(rate=20.0).run()
    for records in play.gateways:
        for name in ("p1", "p3"):
            usual = SCALES[name] * 1.15  # a tenth of the prompts takes 2.5 times as long
            assert records[name].learned_scale(play.now) == pytest.approx(usual, rel=0.35)


def test_lost_report_does_not_make_an_engine_seem_slow():
    """Guards against an engine that is avoided because one datagram was lost."""
    scale = EngineScale()
    for number in range(8):
        scale.add(0.2, 0.2, 1.0, 10.0 + number)
    scale.add(0.05, 6.0, 1.0, 18.0)  # idle for seconds, as far as reports tell
    assert scale.scale(1.0, 18.0) < 1.3


def test_engine_without_work_counts_as_usual_again():
    """Guards against an engine that gets no work for ever because it was slow once."""
    scale = EngineScale()
    for number in range(8):
        scale.add(0.2, 0.8, 1.0, 10.0 + number)
    assert scale.scale(1.0, 18.0) > 3.0
    assert scale.scale(1.0, 50.0) == pytest.approx(1.0, abs=0.1)
