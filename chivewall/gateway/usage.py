"""Counts the requests that began to run, and collects the counts of all gateways.

Each gateway tells some of the live ones its counts several times a second. Counts grow only and
each datagram has all of a window's, so that lost and late ones do no harm.
"""

from collections import Counter
from functools import singledispatchmethod

from attrs import field, frozen, validators
from twisted.internet.interfaces import IListeningPort

from chivewall.decisions.steady_time import SteadyTime
from chivewall.decisions.usage import (
    GatewayCounts,
    OwnCounts,
    UsageTable,
    UsageTimes,
    choose_collectors,
)
from chivewall.environment import Environment
from chivewall.errors import DecodeError
from chivewall.events import MAX_ERROR_CHARS, Event
from chivewall.gateway.duties import Duties
from chivewall.gateway.peer_socket import DatagramReceived, PeerSocket
from chivewall.gateway.peers import ListGateways, Peers
from chivewall.gateway.platform_duties import Duty, PlatformDuties
from chivewall.gateway.usage_codec import decode, encode
from chivewall.gateway.usage_messages import ReadUsage, RequestBegan, ShareLast, WindowUsage
from chivewall.gateway.usage_reporter import SUBJECT, UsageReporter
from chivewall.messages import Tick
from chivewall.plugins.base import Plugin
from chivewall.plugins.registry import Registry
from chivewall.reactor import boot_time
from chivewall.task import Task

SHARE_SECONDS = 0.5  # interval between datagrams to the collectors
# With more gateways, the counts of a window in progress are told less often: only what a gateway
# counts between its last datagram and its death is lost. The counts of an ended window are told so
# many times at once, and then less often too.
GATEWAYS_FOR_EACH_SHARE = 50
COMPLETE_SHARES = 3
MAX_PHASE = 1_000  # of the rounds, so that gateways that start together don't tell together
LAST_SHARES = 2  # times that a stopping gateway tells its counts, as a datagram may be lost
MS_PER_SECOND = 1000
KEPT_WINDOWS = 8  # ended windows whose counts are kept


@frozen
class UsageSettings:
    """Length of the windows, and addresses for the counts between gateways."""

    host: str = field(metadata={"help": "IP address of this gateway."})
    port: int = field(
        validator=[validators.ge(1), validators.le(65535)],
        metadata={"help": "UDP port; the same on all gateways, another one than that of `peers`."},
    )
    window_seconds: float = field(
        validator=validators.gt(0), metadata={"help": "Length of a window, seconds."}
    )
    late_seconds: float = field(
        validator=validators.gt(0),
        metadata={"help": "Time after the end of a window until its report is due, seconds."},
    )

    @property
    def times(self) -> UsageTimes:
        """Return the times of the windows."""
        return UsageTimes(self.window_seconds, self.late_seconds)


class UsageCounter(Task):
    """Owns the socket, the counts of this process and those that other gateways tell."""

    def __init__(
        self, env: Environment, cfg: UsageSettings, peers: Peers, time: SteadyTime
    ) -> None:
        super().__init__()
        self.env = env
        self.time = time
        self.cfg = cfg
        self.peers = peers
        self.times = cfg.times
        self.started_ms = int(env.unix_time() * MS_PER_SECOND)
        self.own = OwnCounts(self.times, self.times.window_at(env.unix_time()))
        self.table = UsageTable()
        self.gateways: tuple[str, ...] = (cfg.host,)  # live ones
        self.shared: dict[int, GatewayCounts] = {}  # what was told last, by window
        self.rounds = env.random.randrange(MAX_PHASE)  # of datagrams
        self.complete_shares: Counter[int] = Counter()  # by window
        self.socket = PeerSocket(self.inbox)

    def start(self) -> None:
        """Start the task and the datagrams."""
        super().start()
        self.env.clock.callLater(self.env.random.random() * SHARE_SECONDS, self.send, Tick())

    @singledispatchmethod
    async def receive(self, message: object) -> None:
        """Handle one message."""
        raise TypeError(f"unexpected message {message!r}")

    @receive.register
    async def _(self, message: RequestBegan) -> None:
        self.own.add(message.workspace, self.time.steady(message.at), self.time.now())

    @receive.register
    async def _(self, message: Tick) -> None:
        self.gateways = await self.peers.query(ListGateways())
        self.rounds += 1
        self._share(self.own.shared(self.time.now()))
        self.table.forget_before(self.times.window_at(self.time.now()) - KEPT_WINDOWS)
        self.env.clock.callLater(SHARE_SECONDS, self.send, Tick())

    @receive.register
    async def _(self, message: ShareLast) -> None:
        self.shared.clear()
        self.complete_shares.clear()
        self._share(self.own.shared(self.time.now(), ends=True))
        message.reply(None)

    @receive.register
    async def _(self, message: DatagramReceived) -> None:
        try:
            started_ms, found = decode(message.data)
        except DecodeError as exc:
            self.env.log.emit(
                Event.DOCUMENT_REJECTED,
                collection="usage",
                object=message.gateway_ip,
                error=str(exc)[:MAX_ERROR_CHARS],
            )
            return
        current = self.times.window_at(self.time.now())
        if current - KEPT_WINDOWS <= found.window <= current + 1:
            self.table.merge(message.gateway_ip, started_ms, found)

    @receive.register
    async def _(self, message: ReadUsage) -> None:
        for one in self.own.shared(self.time.now()):
            self.table.merge(self.cfg.host, self.started_ms, one)
        message.reply(
            WindowUsage(
                self.table.counts(message.window),
                self.table.missing(message.window, self.gateways),
            )
        )

    def _share(self, windows: tuple[GatewayCounts, ...]) -> None:
        """Tell the collectors counts that are complete, or have grown in a window in progress."""
        interval = 1 + len(self.gateways) // GATEWAYS_FOR_EACH_SHARE
        for one in windows:
            self.table.merge(self.cfg.host, self.started_ms, one)
            if self._is_due(one, in_turn=self.rounds % interval == 0):
                self._send(one)
                self.shared[one.window] = one
                self.complete_shares[one.window] += one.complete
        first = windows[0].window
        for window in [one for one in self.shared if one < first]:
            del self.shared[window], self.complete_shares[window]

    def _is_due(self, counts: GatewayCounts, *, in_turn: bool) -> bool:
        if counts.complete:
            return in_turn or self.complete_shares[counts.window] < COMPLETE_SHARES
        return in_turn and self.shared.get(counts.window) != counts

    def _send(self, counts: GatewayCounts) -> None:
        for data in encode(self.started_ms, counts):
            for host in choose_collectors(self.gateways):
                if host == self.cfg.host:
                    continue
                try:
                    self.socket.transport.write(data, (host, self.cfg.port))
                except OSError as exc:
                    # With a full socket buffer the datagram is lost, as it may be in the network.
                    self.env.log.emit(Event.PEER_UNREACHABLE, peer=host, error=str(exc))


class UsagePlugin(Plugin):
    """Counts and reports the usage of workspaces, if that is a duty."""

    name = "usage"
    settings_type = UsageSettings

    async def setup(self) -> None:
        """Create the tasks and provide the counter."""
        self.is_on = Duty.USAGE in self.env.require(PlatformDuties).duties
        if not self.is_on:
            return
        peers = self.env.require(Peers)
        time = SteadyTime(self.env.unix_time, boot_time)
        self.counter = UsageCounter(self.env, self.cfg, peers, time)
        self.env.provide(UsageCounter, self.counter)
        self.reporter = UsageReporter(
            self.env,
            self.cfg.host,
            self.cfg.times,
            peers=peers,
            counter=self.counter,
            time=time,
            holder=self.env.require(Duties).holder(SUBJECT),
        )

    async def start(self) -> None:
        """Listen on the port and start the tasks."""
        if not self.is_on:
            return
        self.listener: IListeningPort = self.env.reactor.listenUDP(
            self.cfg.port, self.counter.socket, interface=self.cfg.host
        )
        self.counter.start()
        self.reporter.start()

    async def stop(self) -> None:
        """Tell the last counts, stop the tasks and close the port."""
        if not self.is_on:
            return
        for _ in range(LAST_SHARES):
            await self.counter.query(ShareLast())
        await self.reporter.stop()
        await self.counter.stop()
        await self.listener.stopListening()


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(UsagePlugin)
