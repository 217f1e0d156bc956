"""HTTP interface of the simulated engine: completions as events, load, state and orders."""

import json
from typing import Any

from attrs import Factory, define, evolve, field
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater
from twisted.web.server import Request as HttpRequest
from twisted.web.server import Site

from chivewall.interfaces import EndpointState
from chivewall.standins.engine import EngineSpeed, Sequence, SimulatedEngine
from chivewall.standins.weights import WeightStore
from chivewall.work import Completion, EngineRole, Message

CONFLICT_STATUS = 409
UNAVAILABLE_STATUS = 503
ROLE_CHANGE_SECONDS = 2.0  # duration of a role change after the models are loaded


@define(eq=False)
class EngineServer:
    """Serves one simulated engine and records its completions and orders."""

    clock: IReactorTime
    models: tuple[str, ...]
    speed: EngineSpeed = field(factory=EngineSpeed)
    checks_fence: bool = True  # whether orders with an old fencing number are refused
    orders: list[dict[str, Any]] = field(factory=list)  # accepted orders, oldest first
    weight_store: WeightStore = field(
        default=Factory(lambda self: WeightStore(clock=self.clock), takes_self=True)
    )
    completion_count: int = 0
    first_tokens: dict[str, int] = field(
        factory=dict
    )  # index of first token by request and attempt
    engine: SimulatedEngine = field(init=False)
    state: EndpointState = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.engine = SimulatedEngine(clock=self.clock, speed=self.speed)
        self.state = EndpointState(role=EngineRole.MIXED, targets=self.models)

    def site(self) -> Site:
        """Return the HTTP site."""
        app = Klein()
        app.route("/v1/chat/completions", methods=["POST"])(self.complete)
        app.route("/load", methods=["GET"])(self.show_load)
        app.route("/state", methods=["GET"])(self.show_state)
        app.route("/orders", methods=["POST"])(self.apply_order)
        app.route("/readyz", methods=["GET"])(lambda _http: b"{}")
        app.route("/runs", methods=["GET"])(self.show_runs)
        return Site(app.resource())

    def complete(self, http: HttpRequest) -> Deferred | bytes:
        """Stream a completion as events; each carries the index of its first token."""
        body = json.loads(http.content.read())
        if self.state.changing or body["model"] not in self.state.targets:
            http.setResponseCode(UNAVAILABLE_STATUS)
            return _json(http, {"error": "the engine changes its role or doesn't serve the model"})
        completion = Completion(
            model=body["model"],
            messages=tuple(Message(one["role"], one["content"]) for one in body["messages"]),
            prompt_tokens=body["prompt_tokens"],
            max_tokens=body["max_tokens"],
            prefix_hashes=tuple(body.get("prefix_hashes", ())),
        )
        self.completion_count += 1
        self.first_tokens[body["request_id"]] = body.get("resume_from", 0)
        done: Deferred = Deferred()
        sequence_id = body["request_id"]
        http.setHeader("Content-Type", "text/event-stream")
        http.notifyFinish().addErrback(lambda _: self._handle_disconnect(sequence_id, done))

        def on_tokens(index: int, texts: tuple[str, ...]) -> None:
            _send_event(http, {"index": index, "texts": texts})

        def on_end(count: int) -> None:
            usage = {"prompt_tokens": completion.prompt_tokens, "completion_tokens": count}
            _send_event(http, {"finish_reason": "stop", "usage": usage})
            done.callback(None)

        self.engine.submit(
            Sequence(
                id=sequence_id,
                completion=completion,
                priority=body.get("priority", 0),
                next_token=body.get("resume_from", 0),
                on_tokens=on_tokens,
                on_end=on_end,
            )
        )
        return done

    def show_load(self, http: HttpRequest) -> bytes:
        """Return the load report."""
        report = {
            "running": len(self.engine.batch),
            "waiting": len(self.engine.waiting),
            "parallel": self.speed.batch_slots,
            "prefill_rate": self.speed.prefill_rate,
            "decode_rate": 1 / self.speed.step_seconds,
            "cached_prefixes": list(self.engine.prefix_cache),
        }
        return _json(http, report)

    def show_state(self, http: HttpRequest) -> bytes:
        """Return role, models and the highest fencing number accepted."""
        state = self.state
        return _json(
            http,
            {
                "role": state.role.value,
                "targets": state.targets,
                "fence": state.fence,
                "changing": state.changing,
            },
        )

    def show_runs(self, http: HttpRequest) -> bytes:
        """Return each completion's first token, by request and attempt, and the accepted orders."""
        return _json(http, {"completions": self.first_tokens, "orders": self.orders})

    async def apply_order(self, http: HttpRequest) -> bytes:
        """Apply an order.

        Refuse it while a change is in progress and, with ``checks_fence``, if its fencing
        number is old.
        """
        body = json.loads(http.content.read())
        if self.state.changing or (self.checks_fence and body["fence"] < self.state.fence):
            http.setResponseCode(CONFLICT_STATUS)
            return _json(
                http,
                {
                    "error": "old fencing number, or a change is in progress",
                    "fence": self.state.fence,
                },
            )
        self.orders.append(body)
        before = self.state
        fence = max(body["fence"], before.fence)
        self.state = evolve(before, fence=fence, changing=True)
        targets = tuple(body["targets"])
        await self.weight_store.load(len(set(targets) - set(before.targets)))
        await deferLater(self.clock, ROLE_CHANGE_SECONDS, lambda: None)
        self.engine.prefix_cache.clear()
        self.state = EndpointState(role=EngineRole(body["role"]), targets=targets, fence=fence)
        return _json(http, {})

    def _handle_disconnect(self, sequence_id: str, done: Deferred) -> None:
        self.engine.cancel(sequence_id)
        if not done.called:
            done.callback(None)


def _send_event(http: HttpRequest, value: dict[str, Any]) -> None:
    http.write(b"data: " + json.dumps(value).encode() + b"\n\n")


def _json(http: HttpRequest, value: dict[str, Any]) -> bytes:
    http.setHeader("Content-Type", "application/json")
    return json.dumps(value).encode()
