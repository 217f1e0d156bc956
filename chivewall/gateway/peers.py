"""Shares records of sent work with the other gateways, so that each can estimate loads.

Datagrams may be lost or late, so their content is only one input of the estimates.
"""

from functools import singledispatchmethod

from attrs import define
from twisted.internet.interfaces import IListeningPort

from chivewall.decisions.crash_evidence import PartNews
from chivewall.decisions.peers import HELLO_INTERVAL_SECONDS, MAX_PEERS, PeerTable
from chivewall.decisions.permits import keeper_order
from chivewall.environment import Environment
from chivewall.errors import DecodeError
from chivewall.events import MAX_ERROR_CHARS, Event
from chivewall.gateway.announcement_messages import LeavingNews, PeerLeavingNews
from chivewall.gateway.configuration_messages import (
    ConfigurationInForce,
    PeerConfigurationVersion,
    SubscribeToPeerVersions,
)
from chivewall.gateway.fleet import Fleet
from chivewall.gateway.fleet_messages import (
    EngineCooldown,
    LearnedSpeeds,
    LiveGateways,
    PeerEngineCooldown,
    PeerProgress,
    PeerShares,
    PeerSpeeds,
    PeerWork,
    ShareReports,
    SubscribeToWork,
)
from chivewall.gateway.part_guard import PartGuard
from chivewall.gateway.part_messages import (
    CurrentPartNews,
    PeerPartNews,
    SharePartNews,
    SubscribeToPartNews,
)
from chivewall.gateway.peer_codec import (
    GatewayPhase,
    PeerMessage,
    SharedWork,
    WorkProgress,
    batches,
    decode,
    encode,
    limit_batches,
    part_batches,
    share_batches,
)
from chivewall.gateway.peer_socket import DatagramReceived, PeerSocket, PeersSettings
from chivewall.gateway.rate_limit_messages import (
    CurrentLimits,
    GatewaysChanged,
    LimitNews,
    PeerAsk,
    PeerLimitNews,
    PeerRelease,
    PeerRuling,
    SendAsk,
    SendRelease,
    SendRuling,
    SubscribeToPermits,
)
from chivewall.gateway.rate_limits import RateLimits
from chivewall.gateway.store_eras import EraBegan, EraTold, StoreEras, SubscribeToEras
from chivewall.messages import Tick
from chivewall.plugins.base import Plugin
from chivewall.plugins.registry import Registry
from chivewall.task import Inbox, Query, Task

# Hellos of a gateway that has started which say so. Others still know it if it restarted at once,
# and would not greet it; the first one may be lost.
NEW_HELLOS = 2
BATCH_SECONDS = 0.03  # time for which work is collected before it is sent in one batch


@define(eq=False)
class IsFirstGateway(Query):
    """Ask whether this gateway has the lowest address of the live ones; the reply is a ``bool``."""


@define(eq=False)
class ListGateways(Query):
    """Ask for the addresses of the live gateways with this one, the lowest first."""


@define(eq=False)
class SayGoodbye(Query):
    """Ask to tell the other gateways that this one ends."""


class Peers(Task):
    """Exchanges datagrams with the other gateways, and tracks which of them are live."""

    def __init__(
        self,
        env: Environment,
        cfg: PeersSettings,
        fleet: Fleet,
        guard: PartGuard,
        limits: RateLimits,
        eras: Inbox,
    ) -> None:
        super().__init__()
        self.env = env
        self.cfg = cfg
        self.fleet = fleet
        self.guard = guard
        self.limits = limits
        seeds = frozenset(one.rpartition(":")[0] for one in cfg.seeds)
        self.table = PeerTable(own_address=cfg.host, seeds=seeds)
        self.eras = eras  # of the ``StoreEras`` task
        self.configuration_version = 0  # in force at this gateway; 0: none
        self.store_era = 0  # newest one seen; 0: none
        self.version_subscribers: list[Inbox] = []  # receive the others' versions
        self.unsent: list[SharedWork | WorkProgress] = []
        self.new_hellos = NEW_HELLOS  # left to send
        self.unsent_limits: dict[str, LimitNews] = {}  # by endpoint id
        self.socket = PeerSocket(self.inbox)

    def start(self) -> None:
        """Start the task, and subscribe to what this gateway shares with the others."""
        super().start()
        self.fleet.send(SubscribeToWork(self.inbox))
        self.guard.send(SubscribeToPartNews(self.inbox))
        self.limits.send(SubscribeToPermits(self.inbox))
        self.eras.put(SubscribeToEras(self.inbox))
        self.send(Tick("hello"))

    @singledispatchmethod
    async def receive(self, message: object) -> None:
        """Handle one message."""
        raise TypeError(f"unexpected message {message!r}")

    @receive.register
    async def _(self, message: Tick) -> None:
        if message.purpose == "batch":
            self._send_batches()
            return
        self.fleet.send(LiveGateways(1 + self.table.live_count(self.env.now)))
        self._tell_gateways()
        hello = PeerMessage(
            known=self.table.known_ages(self.env.random, self.env.now),
            speeds=await self.fleet.query(LearnedSpeeds()),
            configuration_version=self.configuration_version,
            store_era=self.store_era,
            phase=GatewayPhase.STARTED if self.new_hellos else GatewayPhase.RUNNING,
        )
        self.new_hellos = max(0, self.new_hellos - 1)
        targets = self.table.hello_targets(self.env.random, self.env.now)
        self._send(hello, targets)
        self._send_parts(await self.guard.query(CurrentPartNews()), targets)
        self._send_limits(await self._kept_limits(), targets)
        self.env.clock.callLater(HELLO_INTERVAL_SECONDS, self.send, Tick("hello"))

    @receive.register(SharedWork)
    @receive.register(WorkProgress)
    async def _(self, message: SharedWork | WorkProgress) -> None:
        self._schedule_batch()
        self.unsent.append(message)

    @receive.register
    async def _(self, message: EngineCooldown) -> None:
        hosts = self.table.sharing_targets(self.env.now)
        self._send(PeerMessage(cooldowns=((message.endpoint, message.seconds),)), hosts)

    @receive.register
    async def _(self, message: LeavingNews) -> None:
        self._send(PeerMessage(leaving=(message,)), self.table.sharing_targets(self.env.now))

    @receive.register
    async def _(self, message: LimitNews) -> None:
        # Many endpoints may change their limits at the same moment.
        self._schedule_batch()
        self.unsent_limits[message.endpoint] = message

    @receive.register
    async def _(self, message: ShareReports) -> None:
        hosts = self.table.sharing_targets(self.env.now)
        for one in share_batches(message.reports):
            self._send(one, hosts)

    @receive.register
    async def _(self, message: SendAsk) -> None:
        self._send(PeerMessage(asks=(message.ask,)), [message.gateway])

    @receive.register
    async def _(self, message: SendRuling) -> None:
        self._send(PeerMessage(rulings=(message.ruling,)), [message.gateway])

    @receive.register
    async def _(self, message: SendRelease) -> None:
        self._send(PeerMessage(ended_asks=(message.ask,)), [message.gateway])

    @receive.register
    async def _(self, message: SayGoodbye) -> None:
        targets = self.table.hello_targets(self.env.random, self.env.now)
        hosts = sorted({*targets, *self.table.sharing_targets(self.env.now)})
        self._send(PeerMessage(phase=GatewayPhase.ENDS), hosts)
        message.reply(None)

    @receive.register
    async def _(self, message: SharePartNews) -> None:
        self._send_parts(message.news, self.table.sharing_targets(self.env.now))

    @receive.register
    async def _(self, message: IsFirstGateway) -> None:
        message.reply(self.table.has_lowest_address(self.env.now))

    @receive.register
    async def _(self, message: ListGateways) -> None:
        message.reply(tuple(sorted(self.table.live_gateways(self.env.now))))

    @receive.register
    async def _(self, message: EraBegan) -> None:
        self.store_era = message.era

    @receive.register
    async def _(self, message: EraTold) -> None:
        """Tell the others only what the store itself has confirmed."""

    @receive.register
    async def _(self, message: ConfigurationInForce) -> None:
        self.configuration_version = message.version

    @receive.register
    async def _(self, message: SubscribeToPeerVersions) -> None:
        self.version_subscribers.append(message.inbox)

    @receive.register
    async def _(self, message: DatagramReceived) -> None:
        try:
            found = decode(message.data)
        except DecodeError as exc:
            self.env.log.emit(
                Event.DOCUMENT_REJECTED,
                collection="datagrams",
                object=message.gateway_ip,
                error=str(exc)[:MAX_ERROR_CHARS],
            )
            return
        if found.phase is GatewayPhase.ENDS:
            self.table.record_left(message.gateway_ip, self.env.now)
            self._tell_gateways()
            return
        is_new = not self.table.is_known(message.gateway_ip)
        self.table.record_datagram(message.gateway_ip, found.known, self.env.now)
        if is_new:
            self._tell_gateways()
        if is_new or found.phase is GatewayPhase.STARTED:
            await self._greet(message.gateway_ip)
        self._inform_limits(message.gateway_ip, found)
        if found.parts:
            relay = self.table.live_count(self.env.now) > MAX_PEERS
            self.guard.send(PeerPartNews(found.parts, relay=relay))
        self._inform_fleet(message.gateway_ip, found)
        self._pass_on_versions(found, message.gateway_ip)

    def _inform_fleet(self, gateway_ip: str, found: PeerMessage) -> None:
        for work in found.work:
            self.fleet.send(PeerWork(gateway_ip, work))
        if found.prefilled or found.ended:
            self.fleet.send(PeerProgress(gateway_ip, found.prefilled, found.ended))
        if found.speeds:
            self.fleet.send(PeerSpeeds(found.speeds))
        if found.leaving:
            self.fleet.send(PeerLeavingNews(found.leaving))
        if found.limits:
            relay = self.table.live_count(self.env.now) > MAX_PEERS
            self.fleet.send(PeerLimitNews(found.limits, relay=relay))
        if found.shares:
            self.fleet.send(PeerShares(found.shares))
        for endpoint, seconds in found.cooldowns:
            self.fleet.send(PeerEngineCooldown(endpoint, seconds))

    def _inform_limits(self, gateway_ip: str, found: PeerMessage) -> None:
        for ask in found.asks:
            self.limits.send(PeerAsk(gateway_ip, ask))
        for ruling in found.rulings:
            self.limits.send(PeerRuling(gateway_ip, ruling))
        for ask in found.ended_asks:
            self.limits.send(PeerRelease(gateway_ip, ask))

    def _tell_gateways(self) -> None:
        """Tell the task of the rate limits which gateways are live."""
        now = self.env.now
        self.limits.send(
            GatewaysChanged(
                own=self.cfg.host,
                live=self.table.live_gateways(now),
                remembered=self.table.remembered_count(now),
            )
        )

    async def _kept_limits(self) -> tuple[LimitNews, ...]:
        """Return the limits that this gateway keeps, or would keep."""
        live = self.table.live_gateways(self.env.now)
        return tuple(
            one
            for one in await self.fleet.query(CurrentLimits())
            if keeper_order(one.endpoint, live)[0] == self.cfg.host
        )

    async def _greet(self, host: str) -> None:
        """Tell a new gateway what it should not have to wait for until the next hello.

        It would use old routes, send what crashes engines, and exceed rate limits.
        """
        greeting = PeerMessage(
            known=self.table.known_ages(self.env.random, self.env.now),
            configuration_version=self.configuration_version,
            store_era=self.store_era,
        )
        self._send(greeting, [host])
        self._send_parts(await self.guard.query(CurrentPartNews()), [host])
        self._send_limits(await self.fleet.query(CurrentLimits()), [host])

    def _pass_on_versions(self, found: PeerMessage, host: str) -> None:
        if found.configuration_version:
            for inbox in self.version_subscribers:
                inbox.put(PeerConfigurationVersion(host, found.configuration_version))
        if found.store_era:
            self.eras.put(EraTold(found.store_era))

    def _schedule_batch(self) -> None:
        """Send what is collected soon, unless that is scheduled."""
        if not (self.unsent or self.unsent_limits):
            self.env.clock.callLater(BATCH_SECONDS, self.send, Tick("batch"))

    def _send_batches(self) -> None:
        waiting, self.unsent = self.unsent, []
        limits, self.unsent_limits = self.unsent_limits, {}
        hosts = self.table.sharing_targets(self.env.now)
        self._send_limits(tuple(limits.values()), hosts)
        for message in batches(waiting):
            self._send(message, hosts)

    def _send_parts(self, news: tuple[PartNews, ...], hosts: list[str]) -> None:
        for message in part_batches(news):
            self._send(message, hosts)

    def _send_limits(self, news: tuple[LimitNews, ...], hosts: list[str]) -> None:
        for message in limit_batches(news):
            self._send(message, hosts)

    def _send(self, message: PeerMessage, hosts: list[str]) -> None:
        data = encode(message)
        for host in hosts:
            try:
                self.socket.transport.write(data, (host, self.cfg.port))
            except OSError as exc:
                # With a full socket buffer the datagram is lost, as it may be in the network.
                self.env.log.emit(Event.PEER_UNREACHABLE, peer=host, error=str(exc))


class PeersPlugin(Plugin):
    """Runs the ``Peers`` task and its UDP port."""

    name = "peers"
    settings_type = PeersSettings

    async def setup(self) -> None:
        """Create the task and provide it."""
        self.peers = Peers(
            self.env,
            self.cfg,
            self.env.require(Fleet),
            self.env.require(PartGuard),
            self.env.require(RateLimits),
            self.env.require(StoreEras).inbox,
        )
        self.env.provide(Peers, self.peers)

    async def start(self) -> None:
        """Listen on the port and start the task."""
        self.listener: IListeningPort = self.env.reactor.listenUDP(
            self.cfg.port, self.peers.socket, interface=self.cfg.host
        )
        self.peers.start()

    async def stop(self) -> None:
        """Tell the other gateways, stop the task and close the port."""
        await self.peers.query(SayGoodbye())
        await self.peers.stop()
        await self.listener.stopListening()


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(PeersPlugin)
