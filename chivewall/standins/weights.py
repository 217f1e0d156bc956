"""Simulated store of model weights whose bandwidth all engines share."""

from attrs import define
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime


@define(eq=False)
class WeightStore:
    """Loads the weights of one model after the other, for all engines together."""

    clock: IReactorTime
    load_seconds: float = 2.0  # time to load one model without other loads
    _loads_end_at: float = 0.0  # time at which all loads requested so far are finished

    def load(self, model_count: int) -> Deferred:
        """Return a Deferred that fires when the given number of models is loaded."""
        self._loads_end_at = (
            max(self._loads_end_at, self.clock.seconds()) + model_count * self.load_seconds
        )
        loaded: Deferred = Deferred()
        self.clock.callLater(self._loads_end_at - self.clock.seconds(), loaded.callback, None)
        return loaded
