"""Simulated store of model weights whose bandwidth all engines share."""

from attrs import define
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime


@define(eq=False)
class WeightStore:
    """Loads the weights of one model after the other, for all engines together."""

    clock: IReactorTime
    load_seconds: float = 2.0  # time to load one model without other loads
    _free_at: float = 0.0  # time at which all loads requested so far are finished

    def load(self, models: int) -> Deferred:
        """Return a Deferred that fires when the given number of models is loaded."""
        self._free_at = max(self._free_at, self.clock.seconds()) + models * self.load_seconds
        loaded: Deferred = Deferred()
        self.clock.callLater(self._free_at - self.clock.seconds(), loaded.callback, None)
        return loaded
