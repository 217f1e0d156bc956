"""A weight store whose rate all engines share."""

from attrs import define
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime


@define(eq=False)
class WeightStore:
    """Hands out model weights one after the other."""

    clock: IReactorTime
    load_seconds: float = 2.0  # to load one model when nobody else loads
    _free_at: float = 0.0  # when the loads asked so far will be done

    def load(self, models: int) -> Deferred:
        """Return a Deferred that fires when so many models are loaded."""
        self._free_at = max(self._free_at, self.clock.seconds()) + models * self.load_seconds
        loaded: Deferred = Deferred()
        self.clock.callLater(self._free_at - self.clock.seconds(), loaded.callback, None)
        return loaded
