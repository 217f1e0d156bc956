"""Gets a newer routing configuration from another gateway, and serves this gateway's one.

After the store came back from an older copy, a gateway that starts would find an older version
there than the one that the operator's change was confirmed with, and that others have in force.
"""

import json
from functools import singledispatchmethod

from attrs import field, frozen, validators
from klein import Klein
from twisted.internet.interfaces import IListeningPort
from twisted.web.server import Request as HttpRequest
from twisted.web.server import Site

from chivewall.environment import Environment
from chivewall.errors import DecodeError, StoreError
from chivewall.events import MAX_ERROR_CHARS, Event
from chivewall.gateway.channels import ConnectionPool, HttpResponse
from chivewall.gateway.configuration_messages import (
    ConfigurationInForce,
    PeerConfiguration,
    PeerConfigurationVersion,
    SubscribeToPeerVersions,
)
from chivewall.gateway.gateway import Gateway, SubscribeToConfigurations
from chivewall.gateway.peers import Peers
from chivewall.gateway.sources import CollectionSources, ConfigurationDecoder
from chivewall.messages import Tick
from chivewall.plugins.base import Plugin
from chivewall.plugins.registry import Registry
from chivewall.task import Inbox, Task

PATH = "/configuration"
HTTP_OK = 200
# Time in which the store's watch usually brings a version that another gateway has.
STORE_FIRST_SECONDS = 0.3
FETCH_TIMEOUT_SECONDS = 2.0
MAX_DOCUMENT_BYTES = 1_048_576  # the store accepts no larger one


@frozen
class ConfigurationExchangeSettings:
    """Addresses at which gateways serve their routing configuration to each other."""

    host: str = field(metadata={"help": "IP address of this gateway."})
    port: int = field(
        validator=[validators.ge(1), validators.le(65535)],
        metadata={"help": "TCP port; the same on all gateways."},
    )


@frozen
class FetchEnded:
    """The document of another gateway was fetched, or could not be used."""

    found: PeerConfiguration | None


class ConfigurationExchange(Task):
    """Fetches one document at a time, and only a version newer than the one in force."""

    def __init__(
        self,
        env: Environment,
        cfg: ConfigurationExchangeSettings,
        connections: ConnectionPool,
        decode: ConfigurationDecoder,
        gateway: Inbox,
        peers: Inbox,
    ) -> None:
        super().__init__()
        self.env = env
        self.cfg = cfg
        self.connections = connections
        self.decode = decode
        self.gateway = gateway
        self.peers = peers
        self.in_force: ConfigurationInForce | None = None
        self.newest: PeerConfigurationVersion | None = None  # newer than the one in force
        self.fetching = False  # from the news of a newer version to the end of its fetch

    def start(self) -> None:
        """Start the task, and subscribe to this gateway's version and to those of the others."""
        super().start()
        self.gateway.put(SubscribeToConfigurations(self.inbox))
        self.peers.put(SubscribeToPeerVersions(self.inbox))

    def document(self) -> bytes | None:
        """Return the encoded document in force, for another gateway."""
        return None if self.in_force is None else json.dumps(self.in_force.document).encode()

    @singledispatchmethod
    async def receive(self, message: object) -> None:
        """Handle one message."""
        raise TypeError(f"unexpected message {message!r}")

    @receive.register
    async def _(self, message: ConfigurationInForce) -> None:
        self.in_force = message
        self.peers.put(message)

    @receive.register
    async def _(self, message: PeerConfigurationVersion) -> None:
        if self._is_newer(message) and not self.fetching:
            self.newest = message
            self.fetching = True
            self.env.clock.callLater(STORE_FIRST_SECONDS, self.send, Tick())

    @receive.register
    async def _(self, message: Tick) -> None:
        if self._is_newer(self.newest):
            self.spawn(self._fetch(self.newest))
        else:
            self.fetching = False

    @receive.register
    async def _(self, message: FetchEnded) -> None:
        self.fetching = False
        if message.found is not None:
            self.gateway.put(message.found)

    def _is_newer(self, news: PeerConfigurationVersion) -> bool:
        return self.in_force is None or news.version > self.in_force.version

    async def _fetch(self, news: PeerConfigurationVersion) -> None:
        found = None
        try:
            response = await self.connections.fetch(
                (news.gateway_ip, self.cfg.port),
                b"GET",
                PATH.encode(),
                self.env.now + FETCH_TIMEOUT_SECONDS,
            )
            found = self._check(response, news)
        except (DecodeError, StoreError, ValueError, RecursionError) as exc:
            self.env.log.emit(
                Event.DOCUMENT_REJECTED,
                collection="peer configurations",
                object=f"configuration of {news.gateway_ip}",
                error=str(exc)[:MAX_ERROR_CHARS],
            )
        self.send(FetchEnded(found))

    def _check(self, response: HttpResponse, news: PeerConfigurationVersion) -> PeerConfiguration:
        if response.status != HTTP_OK:
            raise DecodeError(f"status {response.status}")
        if len(response.body) > MAX_DOCUMENT_BYTES:
            raise DecodeError(f"more than {MAX_DOCUMENT_BYTES} bytes")
        document = json.loads(response.body)
        configuration = self.decode(document)
        if configuration.version < news.version:
            raise DecodeError(f"version {configuration.version}, not {news.version}")
        return PeerConfiguration(news.gateway_ip, configuration, document)


class ConfigurationExchangePlugin(Plugin):
    """Runs the ``ConfigurationExchange`` task and its HTTP port."""

    name = "configuration_exchange"
    settings_type = ConfigurationExchangeSettings

    async def setup(self) -> None:
        """Create the task."""
        self.exchange = ConfigurationExchange(
            self.env,
            self.cfg,
            connections=self.env.require(ConnectionPool),
            decode=self.env.require(CollectionSources).decode_configuration,
            gateway=self.env.require(Gateway).inbox,
            peers=self.env.require(Peers).inbox,
        )
        self.klein = Klein()
        self.klein.route(PATH, methods=["GET"])(self.show_configuration)

    async def start(self) -> None:
        """Listen on the port and start the task."""
        self.listener: IListeningPort = self.env.reactor.listenTCP(
            self.cfg.port, Site(self.klein.resource()), interface=self.cfg.host
        )
        self.exchange.start()

    async def stop(self) -> None:
        """Stop the task and close the port."""
        await self.exchange.stop()
        await self.listener.stopListening()

    def show_configuration(self, http: HttpRequest) -> bytes:
        """Return the document in force; 404 if there is none."""
        document = self.exchange.document()
        if document is None:
            http.setResponseCode(404)
            return b""
        http.setHeader("Content-Type", "application/json")
        return document


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(ConfigurationExchangePlugin)
