"""Shares what gateways send to endpoints, so that each can estimate their load.

Datagrams may be lost or late: what they say is one input of an estimate.
"""

from functools import singledispatchmethod

from attrs import define, field, frozen, validators
from twisted.internet.interfaces import IListeningPort
from twisted.internet.protocol import DatagramProtocol

from chivewall.addresses import Address
from chivewall.decisions.peers import HELLO_INTERVAL_SECONDS, PeerTable
from chivewall.environment import Environment
from chivewall.errors import DecodeError
from chivewall.events import Event
from chivewall.gateway.fleet import Fleet
from chivewall.gateway.fleet_messages import (
    EngineRests,
    GatewaysLive,
    PeerEngineRests,
    PeerProgress,
    PeerWork,
    ShareWorkWith,
)
from chivewall.gateway.peer_codec import (
    PeerMessage,
    SharedWork,
    WorkProgress,
    batches,
    decode,
    encode,
)
from chivewall.messages import Tick
from chivewall.plugins.base import Plugin
from chivewall.plugins.registry import Registry
from chivewall.task import Query, Task

BATCH_SECONDS = 0.03  # for which work is collected into one datagram


@frozen
class PeersSettings:
    """Where gateways talk to each other."""

    host: str = field(metadata={"help": "IP address of this gateway."})
    port: int = field(
        validator=[validators.ge(1), validators.le(65535)],
        metadata={"help": "UDP port; the same on all gateways."},
    )
    seeds: tuple[str, ...] = field(
        default=(), metadata={"help": "IP:PORT of some gateways; only the IP addresses are used."}
    )


@frozen
class DatagramReceived:
    """A datagram of another gateway."""

    host: str
    data: bytes = field(repr=False)


@define(eq=False)
class ComesFirst(Query):
    """Ask whether this gateway comes first among the live ones; answered with ``bool``."""


class PeerSocket(DatagramProtocol):
    """Hands datagrams to the task."""

    def __init__(self, task: "Peers") -> None:
        self.task = task

    def datagramReceived(self, datagram: bytes, addr: Address) -> None:  # noqa: N802
        """Hand over one datagram."""
        self.task.tell(DatagramReceived(addr[0], datagram))


class Peers(Task):
    """Owns the socket, the known gateways and the work that waits to be shared."""

    def __init__(self, env: Environment, cfg: PeersSettings, fleet: Fleet) -> None:
        super().__init__()
        self.env = env
        self.cfg = cfg
        self.fleet = fleet
        seeds = frozenset(one.rpartition(":")[0] for one in cfg.seeds)
        self.table = PeerTable(own_address=cfg.host, seeds=seeds)
        self.waiting: list[SharedWork | WorkProgress] = []
        self.socket = PeerSocket(self)

    def start(self) -> None:
        """Begin to share."""
        super().start()
        self.fleet.tell(ShareWorkWith(self.inbox))
        self.tell(Tick("hello"))

    @singledispatchmethod
    async def receive(self, message: object) -> None:
        """Handle one message."""
        raise TypeError(f"unexpected message {message!r}")

    @receive.register
    async def _(self, message: Tick) -> None:
        if message.purpose == "batch":
            self._share()
            return
        self.fleet.tell(GatewaysLive(1 + self.table.live_count(self.env.now)))
        hello = PeerMessage(hosts=self.table.sample_addresses(self.env.random, self.env.now))
        self._send(hello, self.table.hello_targets(self.env.now))
        self.env.clock.callLater(HELLO_INTERVAL_SECONDS, self.tell, Tick("hello"))

    @receive.register(SharedWork)
    @receive.register(WorkProgress)
    async def _(self, message: SharedWork | WorkProgress) -> None:
        if not self.waiting:
            self.env.clock.callLater(BATCH_SECONDS, self.tell, Tick("batch"))
        self.waiting.append(message)

    @receive.register
    async def _(self, message: EngineRests) -> None:
        hosts = self.table.sharing_targets(self.env.now)
        self._send(PeerMessage(resting=((message.endpoint, message.seconds),)), hosts)

    @receive.register
    async def _(self, message: ComesFirst) -> None:
        message.answer(self.table.has_lowest_address(self.env.now))

    @receive.register
    async def _(self, message: DatagramReceived) -> None:
        try:
            found = decode(message.data)
        except DecodeError as exc:
            self.env.log.emit(Event.DOCUMENT_REJECTED, object=message.host, error=str(exc))
            return
        self.table.record_datagram(message.host, found.hosts, self.env.now)
        for work in found.work:
            self.fleet.tell(PeerWork(message.host, work))
        if found.read or found.over:
            self.fleet.tell(PeerProgress(message.host, found.read, found.over))
        for endpoint, seconds in found.resting:
            self.fleet.tell(PeerEngineRests(endpoint, seconds))

    def _share(self) -> None:
        waiting, self.waiting = self.waiting, []
        hosts = self.table.sharing_targets(self.env.now)
        for message in batches(waiting):
            self._send(message, hosts)

    def _send(self, message: PeerMessage, hosts: list[str]) -> None:
        data = encode(message)
        for host in hosts:
            try:
                self.socket.transport.write(data, (host, self.cfg.port))
            except OSError as exc:
                # A full socket buffer loses the datagram, as the network may.
                self.env.log.emit(Event.PEER_UNREACHABLE, peer=host, error=str(exc))


class PeersPlugin(Plugin):
    """Shares work with other gateways."""

    name = "peers"
    settings_type = PeersSettings

    async def setup(self) -> None:
        """Build the task."""
        self.peers = Peers(self.env, self.cfg, self.env.require(Fleet))
        self.env.provide(Peers, self.peers)

    async def start(self) -> None:
        """Bind the port."""
        self.listener: IListeningPort = self.env.reactor.listenUDP(
            self.cfg.port, self.peers.socket, interface=self.cfg.host
        )
        self.peers.start()

    async def stop(self) -> None:
        """Close the port."""
        await self.peers.stop()
        await self.listener.stopListening()


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(PeersPlugin)
