"""Processes on the virtual clock that can be killed, paused and resumed.

Everything that enters or leaves a process, timers included, goes through
``Process.run``. So a pause holds all of it, as SIGSTOP does, and a kill drops it.
"""

from collections.abc import Callable
from typing import Any

from attrs import define, field
from twisted.internet.error import AlreadyCalled, AlreadyCancelled
from twisted.internet.interfaces import IDelayedCall, IReactorTime
from zope.interface import implementer

from bench.clock import VirtualCall, VirtualClock


@define(eq=False)
class Process:
    """One life of a process."""

    name: str
    clock: VirtualClock
    alive: bool = True
    exited: bool = False  # by itself, after a graceful shutdown
    frozen: bool = False
    resumed_at: float = 0.0  # seconds
    pauses: list[tuple[float, float]] = field(factory=list)  # from, to, seconds
    _paused_at: float = 0.0
    timers: set["ProcessCall"] = field(factory=set)
    _held: list[tuple[Callable[..., Any], tuple[Any, ...]]] = field(factory=list)

    def run(self, function: Callable[..., Any], *args: Any) -> None:
        """Call a function now, on resume if paused, or never if killed."""
        if not self.alive:
            return
        if self.frozen:
            self._held.append((function, args))
        else:
            function(*args)

    def pause(self) -> None:
        """Freeze, as SIGSTOP does."""
        if not self.frozen:
            self.frozen = True
            self._paused_at = self.clock.now

    def resume(self) -> None:
        """Go on, with what was held in its order."""
        if not self.frozen:
            return
        self.frozen = False
        self.resumed_at = self.clock.now
        self.pauses.append((self._paused_at, self.resumed_at))
        held, self._held = self._held, []
        for function, args in held:
            self.run(function, *args)

    def kill(self) -> None:
        """End at once, as SIGKILL does."""
        self.alive = False
        self._held = []
        for timer in list(self.timers):
            timer.cancel()


@implementer(IDelayedCall)
@define(eq=False)
class ProcessCall:
    """A timer of a process; one that expired during a pause can still be cancelled."""

    process: Process
    function: Callable[..., Any]
    args: tuple[Any, ...]
    kwargs: dict[str, Any]
    called: bool = False
    cancelled: bool = False
    base: VirtualCall | None = None

    def getTime(self) -> float:  # noqa: N802 - name of the interface
        """Return when the timer fires."""
        return self.base.time

    def active(self) -> bool:
        """Return whether the timer will still fire."""
        return not (self.called or self.cancelled)

    def cancel(self) -> None:
        """Stop the timer; raises as the interface says."""
        if self.called:
            raise AlreadyCalled
        if self.cancelled:
            raise AlreadyCancelled
        self.cancelled = True
        self.process.timers.discard(self)
        if self.base.active():
            self.base.cancel()

    def expire(self) -> None:
        """Let the process handle the timer when it runs."""
        self.process.run(self._fire)

    def _fire(self) -> None:
        if self.active():
            self.called = True
            self.process.timers.discard(self)
            self.function(*self.args, **self.kwargs)


@implementer(IReactorTime)
@define(eq=False)
class ProcessClock:
    """The clock of one process."""

    process: Process

    def seconds(self) -> float:
        """Return the virtual time; a pause doesn't stop it."""
        return self.process.clock.now

    def callLater(  # noqa: N802 - name of the interface
        self, delay: float, function: Callable[..., Any], *args: Any, **kwargs: Any
    ) -> ProcessCall:
        """Call a function later in the process."""
        call = ProcessCall(process=self.process, function=function, args=args, kwargs=kwargs)
        call.base = self.process.clock.callLater(delay, call.expire)
        if self.process.alive:
            self.process.timers.add(call)
        return call

    def getDelayedCalls(self) -> list[ProcessCall]:  # noqa: N802 - name of the interface
        """Return the timers that will still fire."""
        return list(self.process.timers)
