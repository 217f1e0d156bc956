"""The task of a gateway that keeps requests from engines which a part of them would crash."""

from twisted.internet.task import Clock

from chivewall.decisions.crash_evidence import BLOCK_SECONDS, FORGET_SECONDS, PartKey, Verdict
from chivewall.events import Event
from chivewall.gateway.fleet_messages import CountSoundEngines
from chivewall.gateway.http_dialect import PromptPart, RequestFields
from chivewall.gateway.metrics import GatewayMetrics
from chivewall.gateway.part_guard import EXPIRE_SECONDS, MAX_CHECKED_PARTS, PartGuard, part_keys
from chivewall.gateway.part_messages import (
    CheckParts,
    CurrentPartNews,
    EngineCrashed,
    GuardedRequestEnded,
    PartsServed,
    PartsSuspected,
    PeerPartNews,
    SubscribeToPartNews,
)
from chivewall.gateway.peers import DatagramReceived, Peers, PeersSettings
from chivewall.gateway.rate_limits import RateLimits
from chivewall.gateway.routing_configuration import Stage
from chivewall.task import Inbox
from tests.utils.fleets import RecordingSink, make_fleet
from tests.utils.gateways import engine_info

DEADLY = (PartKey("engines", "5c1e"),)
SERVICE = "engines"
DECODERS = {"d1": Stage.DECODE, "d2": Stage.DECODE, "d3": Stage.DECODE}


class Wire:
    """UDP transport that delivers each datagram to another gateway at once."""

    def __init__(self):
        self.receivers = {}
        self.sizes = []

    def connect(self, host):
        """Return the transport of one gateway."""
        wire = self

        class Transport:
            def write(self, data, address):
                wire.sizes.append(len(data))
                if address[0] in wire.receivers:
                    wire.receivers[address[0]].send(DatagramReceived(host, data))

        return Transport()


class GuardedGateway:
    """The fleet, the guard and the peers of one gateway."""

    def __init__(self, clock, wire, host, engines=None):
        self.fleet = make_fleet(clock, **(engines or DECODERS))
        self.env = self.fleet.env
        self.events = []
        self.env.log.subscribe(lambda event, fields: self.events.append((event, fields)))
        self.guard = PartGuard(self.env, self.fleet)
        self.guard.start()
        cfg = PeersSettings(host=host, port=7000, seeds=("10.0.0.1:1",))
        self.peers = Peers(
            self.env, cfg, self.fleet, self.guard, RateLimits(self.env, self.fleet), Inbox()
        )
        self.peers.socket.transport = wire.connect(host)
        wire.receivers[host] = self.peers
        self.peers.start()

    def check(self, keys=DEADLY, sender=None, last_verdict=Verdict.PASS):
        sender = Inbox() if sender is None else sender
        return self.ask(CheckParts(keys, sender, request_id="r1", last_verdict=last_verdict))

    def ask(self, query, task=None):
        found = []
        (task or self.guard).query(query).addCallback(found.append)
        return found[0]

    def crash(self, engine, keys=DEADLY, request_id="r1"):
        info = engine_info(engine, Stage.DECODE)
        self.guard.send(EngineCrashed(info, keys, request_id=request_id, begun=True))

    def logged(self, event):
        return [fields for one, fields in self.events if one is event]


def two_gateways():
    clock, wire = Clock(), Wire()
    found = [GuardedGateway(clock, wire, host) for host in ("10.0.0.1", "10.0.0.2")]
    clock.advance(2.1)  # until their first hellos have been answered
    return clock, wire, found


def test_other_gateways_learn_of_a_deadly_part_at_once():
    """Guards against each gateway losing two engines to learn what another one knows."""
    _, _, (first, second) = two_gateways()
    first.crash("d1")
    assert second.ask(CountSoundEngines(SERVICE), second.fleet) == 2
    second.crash("d2", request_id="r2")
    assert [one.check().verdict for one in (first, second)] == [Verdict.REFUSE] * 2
    (blocked,) = first.logged(Event.PROMPT_PART_BLOCKED)
    assert (blocked["prompt_part"], blocked["crashes"]) == ("5c1e", 2)


def test_success_at_one_gateway_ends_the_block_at_all():
    """Guards against gateways that go on refusing a part that is sound."""
    _, _, (first, second) = two_gateways()
    for engine in ("d1", "d2"):
        first.crash(engine)
    second.guard.send(PartsServed(DEADLY, Inbox()))
    assert [one.check().verdict for one in (first, second)] == [Verdict.PASS] * 2
    assert first.logged(Event.PROMPT_PART_CLEARED)[0]["blocked_parts"] == 0


def test_restarted_gateway_is_told_before_its_first_hello_is_due():
    """Guards against engines that a gateway crashes again after its own restart."""
    clock, wire, (first, _) = two_gateways()
    for engine in ("d1", "d2"):
        first.crash(engine)
    third = GuardedGateway(clock, wire, "10.0.0.3")
    assert third.check().verdict is Verdict.REFUSE


def test_one_trial_at_a_time_in_all_gateways():
    """Guards against many trials of one part at the same moment."""
    _, _, (first, second) = two_gateways()
    first.crash("d1")
    assert first.check().verdict is Verdict.TRIAL
    assert second.check().verdict is Verdict.WAIT
    assert first.check(last_verdict=Verdict.TRIAL).verdict is Verdict.TRIAL


def test_trial_waits_for_a_second_sound_engine():
    """Guards against a trial that takes the last engine while the first one restarts."""
    gateway = GuardedGateway(Clock(), Wire(), "10.0.0.1", engines={"d1": Stage.DECODE})
    gateway.crash("d1")
    assert gateway.check().verdict is Verdict.WAIT


def test_requests_on_their_way_are_told_of_a_suspicion():
    """Guards against a second engine that crashes for a request that was sent before."""
    gateway = GuardedGateway(Clock(), Wire(), "10.0.0.1")
    waiting, served, sound = RecordingSink(), RecordingSink(), RecordingSink()
    gateway.check(sender=waiting)
    gateway.check(sender=served)
    gateway.check(sender=sound, keys=(PartKey(SERVICE, "b2"),))
    gateway.guard.send(PartsServed((), served))
    gateway.crash("d1")
    assert waiting.messages == [PartsSuspected()]
    assert served.messages == sound.messages == []
    gateway.guard.send(GuardedRequestEnded(DEADLY, waiting, in_trial=False))
    gateway.crash("d2")
    assert len(waiting.messages) == 1


def test_memory_of_requests_and_evidence_is_released():
    """Guards against a guard that grows with the requests it has seen."""
    clock = Clock()
    gateway = GuardedGateway(clock, Wire(), "10.0.0.1")
    for _ in range(100):
        sender = Inbox()
        gateway.check(sender=sender)
        gateway.guard.send(GuardedRequestEnded(DEADLY, sender, in_trial=False))
    assert not gateway.guard.unserved
    for engine in ("d1", "d2"):
        gateway.crash(engine)
    for _ in range(int((BLOCK_SECONDS + FORGET_SECONDS) / EXPIRE_SECONDS) + 2):
        clock.advance(EXPIRE_SECONDS)
    assert gateway.ask(CurrentPartNews()) == ()
    assert gateway.logged(Event.PROMPT_PART_CLEARED)[-1]["reason"] == "expired"


def test_relayed_news_reach_the_peers_once():
    """Guards against news that circulate for ever among many gateways."""
    _, _, (first, second) = two_gateways()
    first.crash("d1")
    news = first.ask(CurrentPartNews())
    sink = RecordingSink()
    second.guard.send(SubscribeToPartNews(sink))
    second.guard.send(PeerPartNews(news, relay=True))
    assert sink.messages == []


def test_keys_leave_out_the_last_part_and_are_bounded():
    """Guards against a request's own part that is blocked, and against endless prompts."""
    parts = tuple(PromptPart(id="x" * 1000 + str(one), tokens=1) for one in range(500))
    assert part_keys(SERVICE, RequestFields(prompt_parts=parts[:1])) == ()
    keys = part_keys(SERVICE, RequestFields(prompt_parts=parts))
    assert len(set(keys)) == MAX_CHECKED_PARTS
    assert max(len(one.part) for one in keys) <= 32


def test_metrics_show_blocked_parts():
    """Guards against blocks that an operator can't see."""
    gateway, metrics = GuardedGateway(Clock(), Wire(), "10.0.0.1"), GatewayMetrics()
    gateway.env.log.subscribe(metrics.observe)
    for engine in ("d1", "d2"):
        gateway.crash(engine)
    gateway.check()
    assert metrics.engine_crashes.get({"service": SERVICE}) == 2
    assert metrics.parts_blocked.get({"service": SERVICE}) == 1
    assert metrics.part_checks.get({"verdict": "refuse"}) == 1
    assert metrics.blocked_parts.get({}) == 1
