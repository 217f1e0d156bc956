"""An object API that is slow, down or loses responses, on a virtual clock."""

import random

from attrs import define, field
from twisted.internet.defer import Deferred

from chivewall.errors import StoreUnavailableError
from chivewall.standins.objects import MemoryStore


@define(eq=False)
class FaultyStore(MemoryStore):
    """A ``MemoryStore`` whose reads and writes take time and fail at random.

    A lost write either never arrives, takes effect at once, or takes effect
    later, after its sender has given up.
    """

    latency: float = 0.0  # seconds for one call
    down: bool = False
    loss: float = 0.0  # chance that a call gets no answer
    late: float = 3.0  # seconds, at most, until a lost write takes effect
    rng: random.Random = field(factory=lambda: random.Random(0))
    reads: int = 0
    writes: int = 0

    def get(self, key: str) -> Deferred:
        """See ``ObjectStore.get``."""
        self.reads += 1
        return self._call(super().get, key)

    def create(self, key: str, value: bytes) -> Deferred:
        """See ``ObjectStore.create``."""
        self.writes += 1
        return self._call(super().create, key, value)

    def update(self, key: str, value: bytes, version: int) -> Deferred:
        """See ``ObjectStore.update``."""
        self.writes += 1
        return self._call(super().update, key, value, version)

    def _call(self, operation: object, *args: object) -> Deferred:
        if not self.latency:
            return operation(*args)
        reply: Deferred = Deferred(lambda _: None)
        if self.down:
            error = StoreUnavailableError("the object API is down")
            self.clock.callLater(self.latency, _fire, reply.errback, error, reply)
        elif self.rng.random() < self.loss:
            if self.rng.random() < 0.7:
                delay = self.rng.choice((self.latency, self.rng.uniform(0, self.late)))
                self.clock.callLater(delay, self._apply_unheard, operation, args)
        else:
            self.clock.callLater(self.latency / 2, self._apply, operation, args, reply)
        return reply

    def _apply(self, operation: object, args: tuple, reply: Deferred) -> None:
        operation(*args).addBoth(
            lambda result: (
                self.clock.callLater(self.latency / 2, _fire, reply.callback, result, reply)
                and None
            )
        )

    def _apply_unheard(self, operation: object, args: tuple) -> None:
        operation(*args).addErrback(lambda _: None)


def _fire(method: object, value: object, reply: Deferred) -> None:
    if not reply.called:
        method(value)
