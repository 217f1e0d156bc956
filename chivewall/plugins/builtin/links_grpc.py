"""Links from an entry to agents over gRPC, one channel for each agent."""

import asyncio

from grpclib.client import Channel
from twisted.internet.defer import Deferred

from chivewall.environment import Environment
from chivewall.errors import LinkBrokenError
from chivewall.interfaces import Instance, LinkFactory
from chivewall.messages import AttemptBroken
from chivewall.plugins.base import Plugin
from chivewall.plugins.builtin.credentials import Credentials
from chivewall.plugins.registry import Registry
from chivewall.task import Inbox
from chivewall.wire import chivewall_pb2 as pb
from chivewall.wire.chivewall_grpc import AgentStub
from chivewall.wire.codec import decode_part, decode_report, encode_attempt
from chivewall.work import Attempt

PROBE_TIMEOUT = 2.0  # seconds
CONNECT_TIMEOUT = 2.0  # seconds
TOKEN_METADATA = "authorization"  # noqa: S105 - the name of a metadata key


class GrpcLink:
    """Implements the ``AgentLink`` protocol."""

    def __init__(self, env: Environment, instance: Instance, token: str | None) -> None:
        self.env = env
        self.instance = instance
        self.channel = Channel(instance.host, instance.port)
        self.stub = AgentStub(self.channel)
        self.metadata = {TOKEN_METADATA: token} if token is not None else {}
        self.running: dict[tuple[str, int], asyncio.Task] = {}

    def submit(self, attempt: Attempt, sink: Inbox) -> None:
        """See ``AgentLink.submit``."""
        key = (attempt.request.id, attempt.number)
        task = asyncio.ensure_future(self._submit(attempt, sink))
        self.running[key] = task
        task.add_done_callback(lambda _: self.running.pop(key, None))

    def cancel(self, request_id: str, attempt: int) -> None:
        """See ``AgentLink.cancel``."""
        task = self.running.pop((request_id, attempt), None)
        if task is not None:
            task.cancel()

    def probe(self) -> Deferred:
        """See ``AgentLink.probe``."""
        return Deferred.fromFuture(asyncio.ensure_future(self._probe()))

    def exchange_configuration(self, document: bytes) -> Deferred:
        """See ``AgentLink.exchange_configuration``."""
        return Deferred.fromFuture(asyncio.ensure_future(self._exchange(document)))

    def close(self) -> None:
        """See ``AgentLink.close``."""
        self.channel.close()

    async def _submit(self, attempt: Attempt, sink: Inbox) -> None:
        sent = False
        try:
            await asyncio.wait_for(self.channel.__connect__(), CONNECT_TIMEOUT)
            async with self.stub.Submit.open(metadata=self.metadata) as stream:
                sent = True
                await stream.send_message(encode_attempt(attempt, self.env.now), end=True)
                async for message in stream:
                    part = decode_part(message)
                    sink.put(part)
                    if part.last:
                        return
            reason = "the stream ended early"
        except asyncio.CancelledError:
            raise
        except Exception as exc:
            reason = f"{type(exc).__name__}: {exc}"
        sink.put(AttemptBroken(attempt.request.id, attempt.number, sent=sent, reason=reason))

    async def _probe(self) -> object:
        try:
            message = await self.stub.Probe(
                pb.ProbeRequest(), timeout=PROBE_TIMEOUT, metadata=self.metadata
            )
        except Exception as exc:
            raise LinkBrokenError(f"probe of {self.instance.name}: {exc}") from exc
        return decode_report(message)

    async def _exchange(self, document: bytes) -> bytes:
        try:
            message = await self.stub.ExchangeConfiguration(
                pb.ConfigurationDocument(document=document),
                timeout=PROBE_TIMEOUT,
                metadata=self.metadata,
            )
        except Exception as exc:
            raise LinkBrokenError(f"configuration of {self.instance.name}: {exc}") from exc
        return message.document


class GrpcLinkFactory:
    """Implements the ``LinkFactory`` protocol."""

    def __init__(self, env: Environment, token: str | None) -> None:
        self.env = env
        self.token = token

    def open(self, instance: Instance) -> GrpcLink:
        """See ``LinkFactory.open``."""
        return GrpcLink(self.env, instance, self.token)


class GrpcLinksPlugin(Plugin):
    """Offers the ``LinkFactory``."""

    name = "links_grpc"

    async def setup(self) -> None:
        """Offer the factory."""
        token = self.env.require(Credentials).peer_token
        self.env.provide(LinkFactory, GrpcLinkFactory(self.env, token))


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(GrpcLinksPlugin)
