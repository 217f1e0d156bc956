"""Gateways that share rate limits, on a virtual clock and a simulated network."""

import random

from twisted.internet.task import Clock

from chivewall.gateway.announcement_messages import EndpointLimit
from chivewall.gateway.http_dialect import StatedLimit
from chivewall.gateway.part_guard import PartGuard
from chivewall.gateway.peers import DatagramReceived, Peers, PeersSettings, SayGoodbye
from chivewall.gateway.rate_limit_messages import AcquirePermit, Permit, PermitNeed
from chivewall.gateway.rate_limits import RateLimits
from chivewall.gateway.routing_configuration import Stage
from chivewall.task import Inbox
from tests.utils.fleets import make_fleet, query_placement
from tests.utils.gateways import engine_info

DELAY_SECONDS = 0.005  # of a datagram
STEP_SECONDS = 0.01  # of the virtual clock
START_SECONDS = 20.0  # until all of 360 gateways that start know each other (test_peers)
WINDOW_SECONDS = 4.0
PATIENCE_SECONDS = 1.0  # for which a request waits for a permit


def most_in_a_window(times):
    """Return the largest number of times in any window."""
    return max(
        (sum(start <= one <= start + WINDOW_SECONDS for one in times) for start in times), default=0
    )


def allowed(rate):
    """Return the requests that an endpoint with a rate limit may get in a window."""
    return 1.5 * rate * WINDOW_SECONDS + 5


class Network:
    """Carries datagrams between gateways, with loss, cuts and gateways that are held up."""

    def __init__(self, clock, seed=1):
        self.clock = clock
        self.rng = random.Random(seed)
        self.gateways = {}
        self.loss = 0.0  # share of the datagrams
        self.side_of = {}  # gateways of different sides don't reach each other
        self.frozen = set()  # gateways that get their datagrams only when they wake
        self.held = []
        self.datagrams = 0

    def connect(self, host):
        """Return the transport of a gateway."""
        network = self

        class Transport:
            def write(self, data, address):
                network.send(host, address[0], data)

        return Transport()

    def send(self, host, target, data):
        self.datagrams += 1
        if self.rng.random() < self.loss or self.side_of.get(host) != self.side_of.get(target):
            return
        self.clock.callLater(DELAY_SECONDS, self.deliver, host, target, data)

    def deliver(self, host, target, data):
        if target in self.frozen:
            self.held.append((host, target, data))
        elif target in self.gateways:
            self.gateways[target].peers.send(DatagramReceived(host, data))

    def wake(self, host):
        self.frozen.discard(host)
        held, self.held = self.held, []
        for one in held:
            self.deliver(*one)


class Muted:
    """Transport of a process that has ended."""

    def write(self, data, address):
        """Send nothing."""


class LimitedGateway:
    """The tasks of one gateway that take part in sharing rate limits."""

    def __init__(self, network, host):
        self.network, self.host, self.clock = network, host, network.clock
        self.fleet = make_fleet(self.clock, d1=Stage.DECODE, d2=Stage.DECODE)
        self.env = self.fleet.env
        self.env.random.seed(network.rng.random())  # of a new process
        guard = PartGuard(self.env, self.fleet)
        guard.start()
        self.limits = RateLimits(self.env, self.fleet)
        self.limits.start()
        cfg = PeersSettings(host=host, port=7000, seeds=("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"))
        self.peers = Peers(self.env, cfg, self.fleet, guard, self.limits, Inbox())
        self.peers.socket.transport = network.connect(host)
        network.gateways[host] = self
        self.peers.start()
        self.granted = []  # times
        self.denied = []  # times
        self.waiting = 0

    def name_limit(self, rate, endpoint="d1", sent_at=None):
        """Receive a response of an endpoint that names a limit, or none."""
        limit = None if rate is None else StatedLimit(rate, str(rate))
        sent_at = self.env.now if sent_at is None else sent_at
        self.fleet.send(EndpointLimit(engine_info(endpoint, Stage.DECODE), limit, sent_at))

    def known_limit(self, endpoint="d1"):
        return self.fleet.states[endpoint].rate_limit

    def acquire(self, rate, endpoint="d1", rank=1):
        """Ask for a permit, and record when it is granted or denied."""
        need = PermitNeed(endpoint, rate, stated_at=self.env.now, rank=rank, wait=0.0)
        query = AcquirePermit(need, self.env.now + PATIENCE_SECONDS, request_id=None)
        self.waiting += 1
        self.limits.query(query).addCallback(self.record)

    def record(self, reply):
        self.waiting -= 1
        (self.granted if isinstance(reply, Permit) else self.denied).append(self.env.now)

    def placement(self, **fields):
        return query_placement(self.fleet, prompt_tokens=200, **fields)

    def end(self, *, goodbye):
        """End the process, with or without telling the others."""
        if goodbye:
            self.peers.query(SayGoodbye())
        self.peers.socket.transport = Muted()
        del self.network.gateways[self.host]


class LimitedSite:
    """Some gateways before an endpoint that names a rate limit."""

    def __init__(self, count, rate=2.0, seed=1):
        self.clock = Clock()
        self.clock.advance(1000.0)
        self.network = Network(self.clock, seed)
        self.rate = rate
        self.ended = []
        for one in range(count):
            self.start(f"10.0.{one // 250}.{one % 250 + 1}")
        self.run(START_SECONDS)

    @property
    def gateways(self):
        return [
            one for one in self.network.gateways.values() if one.host not in self.network.frozen
        ]

    def start(self, host):
        return LimitedGateway(self.network, host)

    def run(self, seconds, *, asks_per_second=0.0):
        """Let time pass; ``asks_per_second`` from all gateways together."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)
            if self.network.rng.random() < asks_per_second * STEP_SECONDS:
                self.network.rng.choice(self.gateways).acquire(self.rate)

    def granted(self):
        return sorted(
            at for one in [*self.network.gateways.values(), *self.ended] for at in one.granted
        )

    def end(self, gateway, *, goodbye):
        self.ended.append(gateway)
        gateway.end(goodbye=goodbye)

    def keeper(self, endpoint="d1"):
        """Return the gateway that keeps the limit of an endpoint."""
        first = self.gateways[0].limits
        return self.network.gateways[first._keeper_order(endpoint)[0]]
