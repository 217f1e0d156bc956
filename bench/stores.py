"""A simulated object API that can be slow, unavailable or lose responses."""

import random

from attrs import define, field
from twisted.internet.defer import Deferred

from chivewall.errors import StoreUnavailableError
from chivewall.standins.objects import MemoryStore


@define(eq=False)
class FaultyStore(MemoryStore):
    """A ``MemoryStore`` with latency whose reads and writes can fail at random.

    A lost write either never arrives, takes effect in the usual time, or takes
    effect later, possibly after its sender has timed out.
    """

    latency: float = 0.0  # seconds for a call; 0 turns all faults off
    down: bool = False
    loss: float = 0.0  # probability that a call gets no response
    max_late_seconds: float = 3.0  # longest delay in seconds until a lost write takes effect
    rng: random.Random = field(factory=lambda: random.Random(0))
    reads: int = 0  # calls of ``get``
    writes: int = 0  # calls of ``create`` and ``update``

    def get(self, key: str) -> Deferred:
        """Count and make a ``get``, with the faults of this store."""
        self.reads += 1
        return self._call(super().get, key)

    def create(self, key: str, value: bytes) -> Deferred:
        """Count and make a ``create``, with the faults of this store."""
        self.writes += 1
        return self._call(super().create, key, value)

    def update(self, key: str, value: bytes, version: int) -> Deferred:
        """Count and make an ``update``, with the faults of this store."""
        self.writes += 1
        return self._call(super().update, key, value, version)

    def _call(self, operation: object, *args: object) -> Deferred:
        if not self.latency:
            return operation(*args)
        reply: Deferred = Deferred(lambda _: None)
        if self.down:
            error = StoreUnavailableError("the object API is down")
            self.clock.callLater(self.latency, _fire_once, reply.errback, error, reply)
        elif self.rng.random() < self.loss:
            if self.rng.random() < 0.7:
                delay = self.rng.choice((self.latency, self.rng.uniform(0, self.max_late_seconds)))
                self.clock.callLater(delay, self._apply_without_response, operation, args)
        else:
            self.clock.callLater(self.latency / 2, self._apply, operation, args, reply)
        return reply

    def _apply(self, operation: object, args: tuple, reply: Deferred) -> None:
        operation(*args).addBoth(
            lambda result: (
                self.clock.callLater(self.latency / 2, _fire_once, reply.callback, result, reply)
                and None
            )
        )

    def _apply_without_response(self, operation: object, args: tuple) -> None:
        operation(*args).addErrback(lambda _: None)


def _fire_once(method: object, value: object, reply: Deferred) -> None:
    if not reply.called:
        method(value)
