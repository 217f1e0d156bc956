"""The simulated network, in which messages between processes can be faulted."""

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

LATENCY_SECONDS = 0.002  # seconds one way, within a data centre
STORE_TIMEOUT_SECONDS = 2.0  # seconds for a call of the object API; then its outcome is unknown
OBJECT_API = "object-api"


@frozen
class Envelope:
    """Describes a message from one process to another, or a log event of a process."""

    kind: str
    sender: Process
    receiver: Process
    connection: object = None  # link or client that carries it
    subject: str = ""  # request id or key of the object
    carries_report: bool = False  # whether it carries a load report


@define
class Effect:
    """What a fault does to a message."""

    delay: float = 0.0  # added seconds
    copies: int = 1  # delivered; 2 for a duplicate
    lose_reply: bool = False  # drop the reply to the message


@frozen
class RequestAtAgent:
    """A request that reached the instance of an agent, or a run that the agent stopped.

    The request counts as received at ``at``, even if the agent is paused then and
    reads it later.
    """

    at: float  # seconds
    agent: Process
    request_id: str
    entry: str = ""


@define(eq=False)
class Network:
    """Delivers messages between processes; ``hook`` returns the effect of faults on each one."""

    clock: VirtualClock
    rng: random.Random
    hook: Callable[[Envelope], Effect] = field(default=lambda _: Effect())
    partitions: set[tuple[str, str]] = field(factory=set)  # partitions, as sender and receiver
    silent_connections: list[object] = field(factory=list)  # connections that drop all messages
    arrivals: list["RequestAtAgent"] = field(factory=list)
    # Times in seconds at which an agent sent load reports to an entry.
    report_times: dict[tuple[Process, str], list[float]] = field(factory=dict)
    # Runs that an agent stopped although no entry had withdrawn them.
    stopped_runs: list["RequestAtAgent"] = field(factory=list)

    def send(self, envelope: Envelope, deliver: Callable[..., Any], *args: Any) -> None:
        """Send a message: call ``deliver`` in the receiver when it arrives."""
        envelope.sender.run(self._apply_hook, envelope, deliver, args)

    def _apply_hook(self, envelope: Envelope, deliver: Callable[..., Any], args: tuple) -> None:
        effect = self.hook(envelope)
        envelope.sender.run(self._transmit, envelope, effect, deliver, args)

    def _transmit(
        self, envelope: Envelope, effect: Effect, deliver: Callable[..., Any], args: tuple
    ) -> None:
        if envelope.carries_report:
            key = (envelope.sender, envelope.receiver.name)
            self.report_times.setdefault(key, []).append(self.clock.now)
        if self.drops(envelope):
            return
        for copy in range(effect.copies):
            delay = LATENCY_SECONDS + effect.delay + copy * LATENCY_SECONDS
            self.clock.callLater(delay, self._receive, envelope, deliver, args)

    def _receive(self, envelope: Envelope, deliver: Callable[..., Any], args: tuple) -> None:
        if self._is_silent(envelope):
            return
        if envelope.kind == "submit" and envelope.receiver.alive:
            arrival = RequestAtAgent(
                self.clock.now, envelope.receiver, envelope.subject, envelope.sender.name
            )
            self.arrivals.append(arrival)
        envelope.receiver.run(deliver, *args)

    def drops(self, envelope: Envelope) -> bool:
        """Return whether a partition or a silent connection drops the message."""
        pair = (envelope.sender.name, envelope.receiver.name)
        return pair in self.partitions or self._is_silent(envelope)

    def _is_silent(self, envelope: Envelope) -> bool:
        return any(one is envelope.connection for one in self.silent_connections)


@define(eq=False)
class ObjectApiClient:
    """An ``ObjectStore`` that calls the simulated object API from one process."""

    process: Process
    clock: ProcessClock
    network: Network
    store: FaultyStore
    api: Process

    def get(self, key: str) -> Deferred:
        """Read an object."""
        return self._call("read", key, lambda: self.store.get(key))

    def list(self, prefix: str) -> Deferred:
        """Read all objects whose key has a prefix."""
        return self._call("read", prefix, lambda: self.store.list(prefix))

    def create(self, key: str, value: bytes) -> Deferred:
        """Write an object that doesn't exist yet."""
        return self._call("write", key, lambda: self.store.create(key, value))

    def update(self, key: str, value: bytes, version: int) -> Deferred:
        """Write an object if it has the given version."""
        return self._call("write", key, lambda: self.store.update(key, value, version))

    def delete(self, key: str, version: int) -> Deferred:
        """Delete an object if it has the given version."""
        return self._call("write", key, lambda: self.store.delete(key, version))

    def watch(self, key: str, after: int, deadline: float) -> Deferred:
        """Wait until an object is newer than ``after``, or until the deadline."""
        seconds = max(0.0, deadline - self.clock.seconds()) + STORE_TIMEOUT_SECONDS
        return self._call("watch", key, lambda: self.store.watch(key, after, deadline), seconds)

    def instances(self) -> Deferred:
        """Read the instance list."""
        return self._call("read", "instances", self.store.instances)

    def _call(
        self,
        operation: str,
        key: str,
        perform: Callable[[], Deferred],
        seconds: float = STORE_TIMEOUT_SECONDS,
    ) -> Deferred:
        kind = f"{operation} {key.split('/', maxsplit=1)[0]}"
        reply: Deferred = Deferred(lambda _: None)
        timer = self.clock.callLater(seconds, self._time_out, reply)
        reply.addBoth(stop_timer, timer)
        effects: list[Effect] = []

        def handle() -> None:
            result = self._perform(operation, perform)
            result.addBoth(send_reply)

        def send_reply(result: object) -> None:
            if effects and effects[0].lose_reply:
                return
            envelope = Envelope(f"reply {kind}", self.api, self.process, subject=key)
            self.network.send(envelope, fire_once, reply, result)

        def send_call() -> None:
            envelope = Envelope(kind, self.process, self.api, subject=key)
            effects.append(self.network.hook(envelope))
            self.process.run(self.network._transmit, envelope, effects[0], handle, ())  # noqa: SLF001

        self.process.run(send_call)
        return reply

    def _perform(self, operation: str, perform: Callable[[], Deferred]) -> Deferred:
        if self.store.down and operation in ("watch", "read"):
            failed: Deferred = Deferred()
            failed.errback(StoreUnavailableError("the object API is down"))
            return failed
        return perform()

    def _time_out(self, reply: Deferred) -> None:
        if not reply.called:
            reply.errback(StoreUnavailableError("no response from the object API in time"))


def stop_timer(result: object, timer: object) -> object:
    """Cancel the timeout of a reply that has arrived, and return its result."""
    if timer.active():
        timer.cancel()
    return result


def fire_once(reply: Deferred, result: object) -> None:
    """Fire a Deferred with a result or a failure, unless it has fired before."""
    if reply.called:
        return
    if isinstance(result, Failure):
        reply.errback(result)
    else:
        reply.callback(result)
