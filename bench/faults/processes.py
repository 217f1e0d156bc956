"""Simulated processes that can be killed, paused and resumed.

Everything that enters or leaves a process, timers included, goes through
``Process.run``. A paused process therefore does nothing until it resumes, as
after SIGSTOP, and a killed one drops everything.
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
    """A process from its start to its end; a restart makes a new one."""

    name: str
    clock: VirtualClock
    alive: bool = True
    exited_gracefully: bool = False  # ended by itself, after a graceful shutdown
    paused: bool = False  # paused
    resumed_at: float = 0.0  # end of the last pause in seconds
    pauses: list[tuple[float, float]] = field(factory=list)  # start and end in seconds
    _paused_at: float = 0.0
    timers: set["ProcessTimer"] = field(factory=set)
    _held_calls: list[tuple[Callable[..., Any], tuple[Any, ...]]] = field(factory=list)

    def run(self, function: Callable[..., Any], *args: Any) -> None:
        """Call a function now, or on resume if paused; do nothing if killed."""
        if not self.alive:
            return
        if self.paused:
            self._held_calls.append((function, args))
        else:
            function(*args)

    def pause(self) -> None:
        """Pause the process, as SIGSTOP does."""
        if not self.paused:
            self.paused = True
            self._paused_at = self.clock.now

    def resume(self) -> None:
        """Resume the process and make the calls that were held back, in their order."""
        if not self.paused:
            return
        self.paused = False
        self.resumed_at = self.clock.now
        self.pauses.append((self._paused_at, self.resumed_at))
        held, self._held_calls = self._held_calls, []
        for function, args in held:
            self.run(function, *args)

    def kill(self) -> None:
        """End the process at once, as SIGKILL does."""
        self.alive = False
        self._held_calls = []
        for timer in list(self.timers):
            timer.cancel()


@implementer(IDelayedCall)
@define(eq=False)
class ProcessTimer:
    """A timer of a process; it can still be cancelled if it expired during a pause."""

    process: Process
    function: Callable[..., Any]
    args: tuple[Any, ...]
    kwargs: dict[str, Any]
    called: bool = False
    cancelled: bool = False
    virtual_call: VirtualCall | None = None

    def getTime(self) -> float:  # noqa: N802 - named by the interface
        """Return when the timer fires."""
        return self.virtual_call.time

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
        self.process.timers.discard(self)
        if self.virtual_call.active():
            self.virtual_call.cancel()

    def expire(self) -> None:
        """Call the function of the timer, on resume if the process is paused."""
        self.process.run(self._fire)

    def _fire(self) -> None:
        if self.active():
            self.called = True
            self.process.timers.discard(self)
            self.function(*self.args, **self.kwargs)


@implementer(IReactorTime)
@define(eq=False)
class ProcessClock:
    """The clock of one process; its timers don't fire while the process is paused."""

    process: Process

    def seconds(self) -> float:
        """Return the virtual time; a pause doesn't stop it."""
        return self.process.clock.now

    def callLater(  # noqa: N802 - named by the interface
        self, delay: float, function: Callable[..., Any], *args: Any, **kwargs: Any
    ) -> ProcessTimer:
        """Call a function in the process after a delay."""
        call = ProcessTimer(process=self.process, function=function, args=args, kwargs=kwargs)
        call.virtual_call = self.process.clock.callLater(delay, call.expire)
        if self.process.alive:
            self.process.timers.add(call)
        return call

    def getDelayedCalls(self) -> list[ProcessTimer]:  # noqa: N802 - named by the interface
        """Return the timers that will still fire."""
        return list(self.process.timers)
