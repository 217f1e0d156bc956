"""The timers of one request's task."""

from attrs import define, field
from twisted.internet.interfaces import IDelayedCall

from chivewall.environment import Environment
from chivewall.messages import Tick
from chivewall.task import Inbox


@define(eq=False)
class RequestTimers:
    """Sends ticks to the request's task; the tick's purpose names the step to take."""

    env: Environment
    inbox: Inbox  # of the request's task
    _timers: list[IDelayedCall] = field(factory=list, init=False)

    def schedule(self, seconds: float, message: Tick) -> None:
        """Send a tick after some seconds."""
        self._timers.append(self.env.clock.callLater(max(0.0, seconds), self.inbox.put, message))

    def cancel(self) -> None:
        """Cancel the ticks that are not sent yet."""
        for timer in self._timers:
            if timer.active():
                timer.cancel()
