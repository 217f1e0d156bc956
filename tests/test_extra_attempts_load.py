"""Extra attempts under load: many requests at simulated endpoints, on a virtual clock."""

import random

import pytest
from attrs import define, evolve, field
from twisted.internet.task import Clock

from chivewall.decisions.extra_attempts import ExtraAttemptPolicy
from chivewall.gateway.exchange_messages import (
    CancelExchange,
    RequestWritten,
    ResponseData,
    ResponseEnded,
    ResponseStarted,
    SendRequest,
)
from chivewall.gateway.forwarded_request import ForwardedRequest
from chivewall.gateway.routing_configuration import RouteKind, Stage
from tests.utils.fleets import RecordingSink
from tests.utils.requests import (
    PLAIN_HEAD,
    SERVICE,
    FakeConnections,
    RequestBench,
    make_stream_route,
)

POLICY = ExtraAttemptPolicy(max_share=0.1, max_time_share=0.1, quantile=0.95)
REQUESTS = 600
INTERVAL_SECONDS = 0.05
USUAL_SECONDS = (0.02, 0.04)
STALL_SECONDS = 1.0
LEARNING_REQUESTS = 100  # the first ones, before the delay is learned
ENDPOINTS = {f"s{number}": Stage.NONE for number in range(1, 5)}


@define(eq=False)
class AnsweringConnections(FakeConnections):
    """Pool of connections whose endpoints answer after drawn times; cancelled ones don't."""

    clock: Clock | None = None
    draw: object = None  # returns the seconds of the next answer
    worked_seconds: float = 0.0  # of all endpoints
    timers: dict = field(factory=dict)

    def send(self, message):
        super().send(message)
        if isinstance(message, SendRequest):
            request = message.request
            request.reply_to.put(RequestWritten(request.exchange, reused=False))
            began = self.clock.seconds()
            timer = self.clock.callLater(self.draw(), self.answer, request)
            self.timers[request.exchange] = (began, timer)
        elif isinstance(message, CancelExchange) and message.exchange in self.timers:
            began, timer = self.timers.pop(message.exchange)
            self.worked_seconds += self.clock.seconds() - began
            if timer.active():
                timer.cancel()

    def answer(self, request):
        request.reply_to.put(ResponseStarted(request.exchange, PLAIN_HEAD))
        request.reply_to.put(ResponseData(request.exchange, b"done"))
        request.reply_to.put(ResponseEnded(request.exchange))


@define
class Played:
    """Times of the answers after learning, answers by request, sent exchanges, endpoint time."""

    seconds: list
    answers: list
    sent: int
    worked_seconds: float

    def quantile(self, share):
        return sorted(self.seconds)[int(share * len(self.seconds))]


def play(policy, draw, interval=INTERVAL_SECONDS):
    """Send requests one after the other, and wait for their answers."""
    clock = Clock()
    route = make_stream_route(kind=RouteKind.SAFE, resumable=False, timeout_ms=3000)
    bench = RequestBench(clock, route=route, policy=policy, **ENDPOINTS)
    connections = AnsweringConnections(clock=clock, draw=draw)
    bench.context.connections = connections
    times, sinks = {}, []

    class Caller(RecordingSink):
        def put(self, message):
            super().put(message)
            times[self] = clock.seconds() - self.began

    for _ in range(REQUESTS):
        caller = Caller()
        caller.began = clock.seconds()
        sinks.append(caller)
        request = evolve(bench.request, received_at=clock.seconds())
        ForwardedRequest(bench.context, request, route, SERVICE, caller, 1).start()
        clock.advance(interval / 2)
        clock.advance(interval / 2)
    clock.pump([0.01] * 400)
    return Played(
        seconds=[times[one] for one in sinks[LEARNING_REQUESTS:]],
        answers=[len(one.messages) for one in sinks],
        sent=len(connections.sent),
        worked_seconds=connections.worked_seconds,
    )


def stalls(share):
    """Return a function that draws the seconds of an answer; this share of them stalls."""
    rng = random.Random(4)
    return lambda: STALL_SECONDS if rng.random() < share else rng.uniform(*USUAL_SECONDS)


def test_stalls_no_longer_spoil_the_slowest_answers():
    """Guards against a feature that costs endpoint time without faster answers."""
    without = play(None, stalls(0.02))
    doubled = play(POLICY, stalls(0.02))
    assert without.quantile(0.99) >= STALL_SECONDS
    assert doubled.quantile(0.99) < 0.2
    assert doubled.quantile(0.5) == pytest.approx(without.quantile(0.5), rel=0.2)
    assert doubled.worked_seconds < without.worked_seconds  # a cancelled stall ends at once


def test_extra_attempts_stay_within_the_limits():
    for share in (0.02, 0.1, 0.3):
        played = play(POLICY, stalls(share))
        assert played.sent - REQUESTS <= POLICY.max_share * REQUESTS


def test_each_request_gets_one_answer():
    """Guards against two answers, or none, where many attempts cross."""
    assert play(POLICY, stalls(0.1)).answers == [1] * REQUESTS


def test_slow_service_gets_no_extra_work():
    """Guards against a load that grows because all endpoints have become slow."""
    rng = random.Random(5)
    played = play(POLICY, lambda: rng.uniform(0.9, 1.1), interval=0.1)
    assert played.sent == REQUESTS
