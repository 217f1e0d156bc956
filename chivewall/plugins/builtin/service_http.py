"""HTTP client of a plain service: forwards calls and reads the responses."""

from io import BytesIO

from attrs import field, frozen, validators
from twisted.internet.defer import CancelledError, Deferred, ensureDeferred, fail, succeed
from twisted.internet.error import ConnectError
from twisted.internet.protocol import Protocol
from twisted.internet.task import Cooperator
from twisted.python.failure import Failure
from twisted.web.client import Agent, FileBodyProducer, HTTPConnectionPool, ResponseDone
from twisted.web.http_headers import Headers
from twisted.web.iweb import IResponse

from chivewall.environment import Environment
from chivewall.errors import EndpointError, OrderRefusedError
from chivewall.interfaces import (
    Endpoint,
    EndpointLoad,
    EndpointState,
    Order,
    RunFailed,
    RunOutput,
)
from chivewall.plugins.base import Plugin
from chivewall.plugins.registry import Registry
from chivewall.task import Inbox
from chivewall.work import Answer, Attempt, Call, EngineRole, Header

CONNECT_TIMEOUT_SECONDS = 2.0
FINAL_STATUSES = range(200, 600)  # Twisted's client accepts any number
# Response headers of the service that are not forwarded, because the entry sets its own.
UNFORWARDED_HEADERS = frozenset(
    {"connection", "transfer-encoding", "content-length", "keep-alive", "server", "date"}
)


@frozen
class ServiceHttpSettings:
    """Settings of the service's address and of its parallel calls."""

    name: str = field(metadata={"help": "Name of the service in caller paths."})
    host: str = field(metadata={"help": "IP address of the service."})
    port: int = field(
        validator=[validators.ge(1), validators.le(65535)],
        metadata={"help": "TCP port of the service."},
    )
    parallel: int = field(
        default=16,
        validator=validators.ge(1),
        metadata={"help": "Largest number of calls at a time."},
    )


class ServiceHttp:
    """Implements the ``Endpoint`` protocol for a plain service."""

    def __init__(self, env: Environment, cfg: ServiceHttpSettings) -> None:
        self.cfg = cfg
        self.base_url = f"http://{cfg.host}:{cfg.port}"
        # A kept-alive connection may be dead, and a call that isn't idempotent can't be
        # retried on another connection; so each call opens a new one.
        self.pool = HTTPConnectionPool(env.reactor, persistent=False)
        self.agent = Agent(env.reactor, connectTimeout=CONNECT_TIMEOUT_SECONDS, pool=self.pool)
        self.cooperator = Cooperator(
            scheduler=lambda step: env.clock.callLater(0, step), started=True
        )
        self.runs: dict[tuple[str, int], Deferred] = {}

    def run(self, attempt: Attempt, sink: Inbox) -> None:
        """Run a call at the service and put its response into ``sink``."""
        key = (attempt.request.id, attempt.number)
        run = ensureDeferred(self._run(attempt, sink))
        if not run.called:
            self.runs[key] = run
        run.addBoth(self._remove_run, key)

    def cancel(self, request_id: str, attempt: int) -> None:
        """Do nothing, since a call that was sent can't be revoked."""

    def load(self) -> Deferred:
        """Return the load as counted by this process."""
        return succeed(EndpointLoad(running=len(self.runs), parallel=self.cfg.parallel))

    def state(self) -> Deferred:
        """Return the fixed state of a plain service."""
        return succeed(EndpointState(role=EngineRole.MIXED, targets=(self.cfg.name,)))

    def order(self, order: Order) -> Deferred:
        """Refuse, since a plain service accepts no orders."""
        return fail(OrderRefusedError("a plain service accepts no orders"))

    def close(self) -> Deferred:
        """Close idle connections."""
        return self.pool.closeCachedConnections()

    async def _run(self, attempt: Attempt, sink: Inbox) -> None:
        key = (attempt.request.id, attempt.number)
        try:
            answer = await self._call(attempt.request.work)
        except CancelledError:
            raise
        except Exception as exc:
            reached = not isinstance(exc, ConnectError)
            sink.put(RunFailed(*key, may_have_arrived=reached, reason=str(exc)))
            return
        sink.put(RunOutput(*key, answer))

    async def _call(self, work: object) -> Answer:
        if not isinstance(work, Call):
            raise EndpointError("a plain service can't run a completion")
        headers = Headers()
        for header in work.headers:
            headers.addRawHeader(header.name, header.value)
        # Twisted's agent, unlike treq, doesn't decompress response bodies.
        response = await self.agent.request(
            work.method.encode(),
            f"{self.base_url}{work.path}".encode(),
            headers,
            FileBodyProducer(BytesIO(work.body), cooperator=self.cooperator),
        )
        if response.code not in FINAL_STATUSES:
            raise EndpointError(f"the service responded with status {response.code}")
        body = await _complete_body(response)
        response_headers = tuple(
            Header(name=name.decode("latin-1"), value=value.decode("latin-1"))
            for name, values in response.headers.getAllRawHeaders()
            if name.decode("latin-1").lower() not in UNFORWARDED_HEADERS
            for value in values
        )
        return Answer(status=response.code, headers=response_headers, body=body)

    def _remove_run(self, result: object, key: tuple[str, int]) -> None:
        self.runs.pop(key, None)


class BodyCollector(Protocol):
    """Collects a body whose end its length or its chunks show.

    Twisted's client reports a reset and an orderly end alike for a body without either, so such a
    body may be a part of the response, and is an error here.
    """

    def __init__(self, collected: Deferred) -> None:
        self._collected = collected
        self._body = bytearray()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Keep the bytes."""
        self._body += data

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802 - Twisted's name
        """Return the body if it is complete."""
        if reason.check(ResponseDone):
            self._collected.callback(bytes(self._body))
        else:
            self._collected.errback(EndpointError("the response may be incomplete"))


def _complete_body(response: IResponse) -> Deferred:
    """Return the body; fails with ``EndpointError`` if it isn't known to be complete."""
    collected: Deferred = Deferred()
    response.deliverBody(BodyCollector(collected))
    return collected


class ServiceHttpPlugin(Plugin):
    """Provides the ``Endpoint`` of a plain service."""

    name = "service_http"
    settings_type = ServiceHttpSettings

    async def setup(self) -> None:
        """Provide the endpoint to later plug-ins."""
        self.endpoint = ServiceHttp(self.env, self.cfg)
        self.env.provide(Endpoint, self.endpoint)

    async def stop(self) -> None:
        """Close the connections."""
        await self.endpoint.close()


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(ServiceHttpPlugin)
