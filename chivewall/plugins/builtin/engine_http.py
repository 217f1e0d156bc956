"""HTTP client of a model engine: completions as server-sent events, load, state and orders."""

import json
from typing import Any

import treq
from attrs import field, frozen, validators
from twisted.internet.defer import CancelledError, Deferred, ensureDeferred
from twisted.internet.error import ConnectError
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.iweb import IResponse

from chivewall.environment import Environment
from chivewall.errors import EndpointError, EndpointUnreachableError, OrderRefusedError
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
from chivewall.work import Attempt, Completion, End, EngineRole, PartBody, Rank, Tokens

CONNECT_TIMEOUT_SECONDS = 2.0  # seconds
CONTROL_TIMEOUT_SECONDS = 5.0  # seconds, for reads of load and state
ORDER_TIMEOUT_SECONDS = 60.0  # seconds; an order may make the engine load weights
CONFLICT_STATUS = 409
OK_STATUS = 200
PRIORITY_BY_RANK = {rank: place for place, rank in enumerate(Rank)}


@frozen
class EngineHttpSettings:
    """Settings of the engine's address."""

    host: str = field(metadata={"help": "IP address of the engine."})
    port: int = field(
        validator=[validators.ge(1), validators.le(65535)],
        metadata={"help": "TCP port of the engine."},
    )


class EngineHttp:
    """Implements the ``Endpoint`` protocol for a model engine."""

    def __init__(self, env: Environment, host: str, port: int) -> None:
        self.env = env
        self.base_url = f"http://{host}:{port}"
        self.pool = HTTPConnectionPool(env.reactor)
        self.agent = Agent(env.reactor, connectTimeout=CONNECT_TIMEOUT_SECONDS, pool=self.pool)
        self.runs: dict[tuple[str, int], Deferred] = {}

    def run(self, attempt: Attempt, sink: Inbox) -> None:
        """Run an attempt at the engine and put its output into ``sink``."""
        key = (attempt.request.id, attempt.number)
        run = ensureDeferred(self._run(attempt, sink))
        if not run.called:
            self.runs[key] = run
        run.addBoth(self._remove_run, key)

    def cancel(self, request_id: str, attempt: int) -> None:
        """Cancel a running attempt; no more output follows."""
        run = self.runs.pop((request_id, attempt), None)
        if run is not None:
            run.cancel()

    def load(self) -> Deferred:
        """Read the engine's load report."""
        return ensureDeferred(self._load())

    def state(self) -> Deferred:
        """Read the engine's role and models."""
        return ensureDeferred(self._state())

    def order(self, order: Order) -> Deferred:
        """Send an order and wait until the engine has carried it out."""
        return ensureDeferred(self._order(order))

    def close(self) -> Deferred:
        """Cancel all runs and close idle connections."""
        for request_id, attempt in list(self.runs):
            self.cancel(request_id, attempt)
        return self.pool.closeCachedConnections()

    async def _run(self, attempt: Attempt, sink: Inbox) -> None:
        key = (attempt.request.id, attempt.number)
        reached = False
        try:
            response = await self._post_completion(attempt)
            reached = True
            reader = EventReader(first_index=attempt.resume_from)
            await treq.collect(
                response,
                lambda data: [sink.put(RunOutput(*key, body)) for body in reader.feed(data)],
            )
        except CancelledError:
            raise
        except Exception as exc:
            reached = reached or not isinstance(exc, ConnectError)
            sink.put(RunFailed(*key, may_have_arrived=reached, reason=str(exc)))
            return
        if not reader.ended:
            sink.put(
                RunFailed(*key, may_have_arrived=True, reason="the engine ended the stream early")
            )

    async def _post_completion(self, attempt: Attempt) -> IResponse:
        work = attempt.request.work
        if not isinstance(work, Completion):
            raise EndpointError("a model engine can't run a service call")
        response = await treq.post(
            f"{self.base_url}/v1/chat/completions",
            json={
                "request_id": f"{attempt.request.id}/{attempt.number}",
                "model": work.model,
                "messages": [{"role": m.role, "content": m.content} for m in work.messages],
                "prompt_tokens": work.prompt_tokens,
                "max_tokens": work.max_tokens,
                "prefix_hashes": list(work.prefix_hashes),
                "priority": PRIORITY_BY_RANK[attempt.request.rank],
                "resume_from": attempt.resume_from,
                "stream": True,
            },
            agent=self.agent,
        )
        if response.code != OK_STATUS:
            raise EndpointError(f"the engine responded with status {response.code}")
        return response

    async def _get(self, path: str) -> dict[str, Any]:
        try:
            response = await treq.get(
                f"{self.base_url}{path}", agent=self.agent, timeout=CONTROL_TIMEOUT_SECONDS
            )
            return await treq.json_content(response)
        except Exception as exc:
            raise EndpointUnreachableError(f"GET {path}: {exc}") from exc

    async def _load(self) -> EndpointLoad:
        raw = await self._get("/load")
        return EndpointLoad(
            running=raw.get("running", 0),
            waiting=raw.get("waiting", 0),
            parallel=raw.get("parallel", 1),
            kv_total_tokens=raw.get("kv_total_tokens", 0),
            kv_free_tokens=raw.get("kv_free_tokens", 0),
            prefill_rate=raw.get("prefill_rate", 0.0),
            decode_rate=raw.get("decode_rate", 0.0),
            cached_prefixes=tuple(raw.get("cached_prefixes", ())),
        )

    async def _state(self) -> EndpointState:
        raw = await self._get("/state")
        return EndpointState(
            role=EngineRole(raw["role"]),
            targets=tuple(raw["targets"]),
            fence=raw.get("fence", 0),
            changing=raw.get("changing", False),
        )

    async def _order(self, order: Order) -> None:
        body = {
            "fence": order.fence,
            "role": order.role.value,
            "targets": list(order.targets),
        }
        try:
            response = await treq.post(
                f"{self.base_url}/orders",
                json=body,
                agent=self.agent,
                timeout=ORDER_TIMEOUT_SECONDS,
            )
        except Exception as exc:
            raise EndpointError(f"the order got no response: {exc}") from exc
        if response.code == CONFLICT_STATUS:
            raise OrderRefusedError(f"fencing number {order.fence} is outdated")
        if response.code != OK_STATUS:
            raise EndpointError(f"the engine responded with status {response.code} to an order")

    def _remove_run(self, result: object, key: tuple[str, int]) -> None:
        self.runs.pop(key, None)


class EventReader:
    """Incremental parser from the bytes of server-sent events to part bodies."""

    def __init__(self, first_index: int) -> None:
        self.next_index = first_index
        self.ended = False
        self._buffer = b""

    def feed(self, data: bytes) -> list[PartBody]:
        """Return the bodies of all events that ``data`` completes."""
        *events, self._buffer = (self._buffer + data).split(b"\n\n")
        return [self._decode(event) for event in events if event.startswith(b"data: ")]

    def _decode(self, event: bytes) -> PartBody:
        value = json.loads(event.removeprefix(b"data: "))
        if "finish_reason" in value:
            self.ended = True
            return End(
                finish_reason=value["finish_reason"],
                prompt_tokens=value["usage"]["prompt_tokens"],
                completion_tokens=value["usage"]["completion_tokens"],
            )
        tokens = Tokens(index=value["index"], texts=tuple(value["texts"]))
        if tokens.index != self.next_index:
            raise EndpointError(
                f"the engine sent token {tokens.index} instead of {self.next_index}"
            )
        self.next_index += len(tokens.texts)
        return tokens


class EngineHttpPlugin(Plugin):
    """Provides the ``Endpoint`` of a model engine."""

    name = "engine_http"
    settings_type = EngineHttpSettings

    async def setup(self) -> None:
        """Provide the endpoint to later plug-ins."""
        self.endpoint = EngineHttp(self.env, self.cfg.host, self.cfg.port)
        self.env.provide(Endpoint, self.endpoint)

    async def stop(self) -> None:
        """Cancel all runs and close the connections."""
        await self.endpoint.close()


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(EngineHttpPlugin)
