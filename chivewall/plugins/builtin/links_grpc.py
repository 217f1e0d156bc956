"""gRPC client of an entry: one link to each agent, each with its own channel."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from attrs import define
from grpclib.client import Channel
from twisted.internet.defer import CancelledError, Deferred, fail
from twisted.python.failure import Failure

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

PROBE_TIMEOUT_SECONDS = 2.0  # seconds
CONNECT_TIMEOUT_SECONDS = 2.0  # seconds
TOKEN_METADATA = "authorization"  # noqa: S105 - the name of a metadata key


@define(eq=False)
class OpenAttempt:
    """An attempt that was submitted over a link and has not ended."""

    attempt: Attempt
    sink: Inbox
    sent: bool = False
    task: asyncio.Task | None = None


class GrpcLink:
    """Implements the ``AgentLink`` protocol over a gRPC channel."""

    def __init__(self, env: Environment, instance: Instance, token: str | None) -> None:
        self.env = env
        self.instance = instance
        self.channel = Channel(instance.host, instance.port)
        self.stub = AgentStub(self.channel)
        self.metadata = {TOKEN_METADATA: token} if token is not None else {}
        self.open_attempts: dict[tuple[str, int], OpenAttempt] = {}
        self.rpcs: set[asyncio.Task] = set()  # probes and configuration exchanges in progress
        self.closed = False

    def submit(self, attempt: Attempt, sink: Inbox) -> None:
        """Send an attempt to the agent and put its parts into ``sink``."""
        key = (attempt.request.id, attempt.number)
        if self.closed:
            sink.put(AttemptBroken(*key, may_have_arrived=False, reason="the link was closed"))
            return
        opened = OpenAttempt(attempt=attempt, sink=sink)
        self.open_attempts[key] = opened
        opened.task = asyncio.ensure_future(self._submit(opened))
        opened.task.add_done_callback(lambda _: self.open_attempts.pop(key, None))

    def cancel(self, request_id: str, attempt: int) -> None:
        """Cancel an attempt; no more parts follow."""
        opened = self.open_attempts.pop((request_id, attempt), None)
        if opened is not None:
            opened.task.cancel()

    def probe(self) -> Deferred:
        """Request a load report from the agent."""
        return self._start_rpc(self._probe())

    def exchange_configuration(self, document: bytes) -> Deferred:
        """Offer a configuration to the agent and return the agent's if that is newer."""
        return self._start_rpc(self._exchange_configuration(document))

    def close(self) -> None:
        """Cancel all RPCs, report the attempts as broken and close the channel."""
        if self.closed:
            return
        self.closed = True
        for key, opened in list(self.open_attempts.items()):
            opened.task.cancel()
            opened.sink.put(
                AttemptBroken(*key, may_have_arrived=opened.sent, reason="the link was closed")
            )
        self.open_attempts.clear()
        for rpc in list(self.rpcs):
            rpc.cancel()
        # Close the channel only after the cancelled tasks have reset their streams.
        asyncio.get_running_loop().call_soon(self.channel.close)

    def _start_rpc(self, work: Coroutine[Any, Any, Any]) -> Deferred:
        if self.closed:
            work.close()
            return fail(LinkBrokenError(f"the link to {self.instance.name} was closed"))
        rpc = asyncio.ensure_future(work)
        self.rpcs.add(rpc)
        rpc.add_done_callback(self.rpcs.discard)
        return Deferred.fromFuture(rpc).addErrback(self._convert_cancellation)

    def _convert_cancellation(self, failure: Failure) -> Failure:
        if failure.check(asyncio.CancelledError, CancelledError):
            raise LinkBrokenError(f"the link to {self.instance.name} was closed")
        return failure

    async def _submit(self, opened: "OpenAttempt") -> None:
        attempt, sink = opened.attempt, opened.sink
        try:
            await asyncio.wait_for(self.channel.__connect__(), CONNECT_TIMEOUT_SECONDS)
            async with self.stub.Submit.open(metadata=self.metadata) as stream:
                opened.sent = True
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
        key = (attempt.request.id, attempt.number)
        sink.put(AttemptBroken(*key, may_have_arrived=opened.sent, reason=reason))

    async def _probe(self) -> object:
        try:
            message = await self.stub.Probe(
                pb.ProbeRequest(), timeout=PROBE_TIMEOUT_SECONDS, metadata=self.metadata
            )
        except Exception as exc:
            raise LinkBrokenError(f"probe of {self.instance.name}: {exc}") from exc
        return decode_report(message)

    async def _exchange_configuration(self, document: bytes) -> bytes:
        try:
            message = await self.stub.ExchangeConfiguration(
                pb.ConfigurationDocument(document=document),
                timeout=PROBE_TIMEOUT_SECONDS,
                metadata=self.metadata,
            )
        except Exception as exc:
            raise LinkBrokenError(f"configuration of {self.instance.name}: {exc}") from exc
        return message.document


class GrpcLinkFactory:
    """Implements the ``LinkFactory`` protocol with gRPC links."""

    def __init__(self, env: Environment, token: str | None) -> None:
        self.env = env
        self.token = token

    def open(self, instance: Instance) -> GrpcLink:
        """Return a new link to the agent of an instance."""
        return GrpcLink(self.env, instance, self.token)


class GrpcLinksPlugin(Plugin):
    """Provides the ``LinkFactory``."""

    name = "links_grpc"

    async def setup(self) -> None:
        """Provide the factory to later plug-ins."""
        token = self.env.require(Credentials).peer_token
        self.env.provide(LinkFactory, GrpcLinkFactory(self.env, token))


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(GrpcLinksPlugin)
