"""A virtual clock for simulations with many timers."""

import heapq
from collections.abc import Callable
from itertools import count
from typing import Any

from attrs import define, field
from twisted.internet.error import AlreadyCalled, AlreadyCancelled
from twisted.internet.interfaces import IDelayedCall, IReactorTime
from zope.interface import implementer


@implementer(IDelayedCall)
@define(eq=False)
class VirtualCall:
    """A timer of the virtual clock."""

    time: float  # when it fires, in seconds of virtual time
    function: Callable[..., Any]
    args: tuple[Any, ...]
    kwargs: dict[str, Any]
    called: bool = False
    cancelled: bool = False

    def getTime(self) -> float:  # noqa: N802 - named by the interface
        """Return when the timer fires."""
        return self.time

    def active(self) -> bool:
        """Return whether the timer will still fire."""
        return not (self.called or self.cancelled)

    def cancel(self) -> None:
        """Cancel the timer.

        Raises ``AlreadyCalled`` or ``AlreadyCancelled``, as ``IDelayedCall`` requires.
        """
        if self.called:
            raise AlreadyCalled
        if self.cancelled:
            raise AlreadyCancelled
        self.cancelled = True


@implementer(IReactorTime)
@define(eq=False)
class VirtualClock:
    """An ``IReactorTime`` whose time advances only in ``run_until``.

    Twisted's own test clock sorts all its timers at every call, which is too
    slow for the hundreds of thousands of timers of a benchmark run.
    """

    now: float = 0.0  # seconds
    # Heap by time, then by order of creation.
    _calls: list[tuple[float, int, VirtualCall]] = field(factory=list)
    _sequence: count = field(factory=count)

    def seconds(self) -> float:
        """Return the virtual time."""
        return self.now

    def callLater(  # noqa: N802 - named by the interface
        self, delay: float, function: Callable[..., Any], *args: Any, **kwargs: Any
    ) -> VirtualCall:
        """Call a function after a delay in virtual time."""
        call = VirtualCall(
            time=self.now + delay,
            function=function,
            args=args,
            kwargs=kwargs,
        )
        heapq.heappush(self._calls, (call.time, next(self._sequence), call))
        return call

    def getDelayedCalls(self) -> list[VirtualCall]:  # noqa: N802 - named by the interface
        """Return the timers that will still fire."""
        return [one for _, _, one in self._calls if one.active()]

    def run_until(self, deadline: float) -> None:
        """Fire every timer that is due by ``deadline`` in order, and advance the time to it."""
        while self._calls and self._calls[0][0] <= deadline:
            call = heapq.heappop(self._calls)[2]
            if call.cancelled:
                continue
            self.now = max(self.now, call.time)
            call.called = True
            call.function(*call.args, **call.kwargs)
        self.now = deadline
