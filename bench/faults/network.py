"""Messages between processes, where the faults of the matrix are injected."""

import random
from collections.abc import Callable
from typing import Any

from attrs import define, field, frozen
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from bench.clock import VirtualClock
from bench.faults.processes import Process, ProcessClock
from bench.stores import FaultyStore
from chivewall.errors import StoreUnavailableError

LATENCY = 0.002  # seconds one way, within a data centre
STORE_TIMEOUT = 2.0  # seconds; a client of the object API gives up then, outcome unknown
OBJECT_API = "object-api"


@frozen
class Crossing:
    """A message that leaves one process for another."""

    kind: str
    sender: Process
    receiver: Process
    connection: object = None
    about: str = ""  # request id or key of the object
    report: bool = False  # it carries a load report


@define
class Effect:
    """What happens to one message, besides what happens to the processes."""

    delay: float = 0.0  # seconds
    copies: int = 1
    lose_reply: bool = False


@frozen
class Arrival:
    """A request that reached an agent's instance, or a run that the agent cut off.

    A paused agent reads the request later; its instance had it from ``at`` on.
    """

    at: float  # seconds
    agent: Process
    request_id: str
    entry: str = ""


@define(eq=False)
class Network:
    """Carries messages; ``hook`` sees each one before it is sent."""

    clock: VirtualClock
    rng: random.Random
    hook: Callable[[Crossing], Effect] = field(default=lambda _: Effect())
    cuts: set[tuple[str, str]] = field(factory=set)  # sender and receiver
    silent: list[object] = field(factory=list)  # connections that went silent for good
    arrivals: list["Arrival"] = field(factory=list)
    reports: dict[tuple[Process, str], list[float]] = field(factory=dict)  # to each entry
    cut_runs: list["Arrival"] = field(factory=list)  # ended by the agent, unasked

    def send(self, crossing: Crossing, deliver: Callable[..., Any], *args: Any) -> None:
        """Send one message; its delivery runs in the receiver."""
        crossing.sender.run(self._depart, crossing, deliver, args)

    def _depart(self, crossing: Crossing, deliver: Callable[..., Any], args: tuple) -> None:
        effect = self.hook(crossing)
        crossing.sender.run(self._transmit, crossing, effect, deliver, args)

    def _transmit(
        self, crossing: Crossing, effect: Effect, deliver: Callable[..., Any], args: tuple
    ) -> None:
        if crossing.report:
            place = (crossing.sender, crossing.receiver.name)
            self.reports.setdefault(place, []).append(self.clock.now)
        if self.cut(crossing):
            return
        for copy in range(effect.copies):
            delay = LATENCY + effect.delay + copy * LATENCY
            self.clock.callLater(delay, self._arrive, crossing, deliver, args)

    def _arrive(self, crossing: Crossing, deliver: Callable[..., Any], args: tuple) -> None:
        if self._silent(crossing):
            return
        if crossing.kind == "submit" and crossing.receiver.alive:
            arrival = Arrival(
                self.clock.now, crossing.receiver, crossing.about, crossing.sender.name
            )
            self.arrivals.append(arrival)
        crossing.receiver.run(deliver, *args)

    def cut(self, crossing: Crossing) -> bool:
        """Return whether the message is lost on its way."""
        pair = (crossing.sender.name, crossing.receiver.name)
        return pair in self.cuts or self._silent(crossing)

    def _silent(self, crossing: Crossing) -> bool:
        return any(one is crossing.connection for one in self.silent)


@define(eq=False)
class ProcessStore:
    """Implements ``ObjectStore`` for one process: its client of the object API."""

    process: Process
    clock: ProcessClock
    network: Network
    store: FaultyStore
    api: Process

    def get(self, key: str) -> Deferred:
        """See ``ObjectStore.get``."""
        return self._call("read", key, lambda: self.store.get(key))

    def list(self, prefix: str) -> Deferred:
        """See ``ObjectStore.list``."""
        return self._call("read", prefix, lambda: self.store.list(prefix))

    def create(self, key: str, value: bytes) -> Deferred:
        """See ``ObjectStore.create``."""
        return self._call("write", key, lambda: self.store.create(key, value))

    def update(self, key: str, value: bytes, version: int) -> Deferred:
        """See ``ObjectStore.update``."""
        return self._call("write", key, lambda: self.store.update(key, value, version))

    def delete(self, key: str, version: int) -> Deferred:
        """See ``ObjectStore.delete``."""
        return self._call("write", key, lambda: self.store.delete(key, version))

    def watch(self, key: str, after: int, deadline: float) -> Deferred:
        """See ``ObjectStore.watch``."""
        seconds = max(0.0, deadline - self.clock.seconds()) + STORE_TIMEOUT
        return self._call("watch", key, lambda: self.store.watch(key, after, deadline), seconds)

    def instances(self) -> Deferred:
        """See ``ObjectStore.instances``."""
        return self._call("read", "instances", self.store.instances)

    def _call(
        self,
        operation: str,
        key: str,
        perform: Callable[[], Deferred],
        seconds: float = STORE_TIMEOUT,
    ) -> Deferred:
        kind = f"{operation} {key.split('/', maxsplit=1)[0]}"
        reply: Deferred = Deferred(lambda _: None)
        timer = self.clock.callLater(seconds, self._time_out, reply)
        reply.addBoth(stop_timer, timer)
        effects: list[Effect] = []

        def arrive() -> None:
            result = self._perform(operation, perform)
            result.addBoth(back)

        def back(result: object) -> None:
            if effects and effects[0].lose_reply:
                return
            crossing = Crossing(f"reply {kind}", self.api, self.process, about=key)
            self.network.send(crossing, fire, reply, result)

        def depart() -> None:
            crossing = Crossing(kind, self.process, self.api, about=key)
            effects.append(self.network.hook(crossing))
            self.process.run(self.network._transmit, crossing, effects[0], arrive, ())  # noqa: SLF001

        self.process.run(depart)
        return reply

    def _perform(self, operation: str, perform: Callable[[], Deferred]) -> Deferred:
        if self.store.down and operation in ("watch", "read"):
            failed: Deferred = Deferred()
            failed.errback(StoreUnavailableError("the object API is down"))
            return failed
        return perform()

    def _time_out(self, reply: Deferred) -> None:
        if not reply.called:
            reply.errback(StoreUnavailableError("no answer from the object API in time"))


def stop_timer(result: object, timer: object) -> object:
    """Cancel the timer of a reply that has come; passes the result on."""
    if timer.active():
        timer.cancel()
    return result


def fire(reply: Deferred, result: object) -> None:
    """Fire a Deferred with a result or a failure, unless it has fired before."""
    if reply.called:
        return
    if isinstance(result, Failure):
        reply.errback(result)
    else:
        reply.callback(result)
