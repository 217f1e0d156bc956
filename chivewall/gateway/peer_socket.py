"""The UDP socket between gateways, and its settings."""

from attrs import field, frozen, validators
from twisted.internet.protocol import DatagramProtocol

from chivewall.addresses import Address
from chivewall.task import Inbox


@frozen
class PeersSettings:
    """Addresses for the datagrams between gateways."""

    host: str = field(metadata={"help": "IP address of this gateway."})
    port: int = field(
        validator=[validators.ge(1), validators.le(65535)],
        metadata={"help": "UDP port; the same on all gateways."},
    )
    seeds: tuple[str, ...] = field(
        default=(),
        metadata={"help": "IP:PORT of gateways to contact first; only the IP addresses are used."},
    )


@frozen
class DatagramReceived:
    """A datagram was received from another gateway."""

    gateway_ip: str
    data: bytes = field(repr=False)


class PeerSocket(DatagramProtocol):
    """The UDP socket; passes datagrams to the inbox of a task."""

    def __init__(self, inbox: Inbox) -> None:
        self.inbox = inbox

    def datagramReceived(self, datagram: bytes, addr: Address) -> None:  # noqa: N802
        """Pass one datagram to the task."""
        self.inbox.put(DatagramReceived(addr[0], datagram))
