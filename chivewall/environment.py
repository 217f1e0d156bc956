"""The environment that is passed to every plug-in: clock, randomness, log, settings, services."""

import random
import sys
import time
from collections.abc import Callable
from typing import Any, TextIO, TypeVar

from attrs import define, field
from twisted.internet.interfaces import IReactorTime

from chivewall.events import EventLog
from chivewall.log_stream import LineRateLimit, NonBlockingStream
from chivewall.settings import Settings

ServiceT = TypeVar("ServiceT")


@define(eq=False)
class Environment:
    """Clock, random source, log and settings of a process, and a registry of services.

    Plug-ins offer services to each other by type, with ``provide`` and
    ``require``. ``reactor`` opens sockets and is ``None`` in tests on a virtual
    clock.
    """

    settings: Settings
    clock: IReactorTime
    random: random.Random
    log: EventLog
    reactor: Any = None
    unix_time: Callable[[], float] = time.time  # used only for deadlines that operators set
    stdout: TextIO = field(factory=lambda: sys.stdout)
    stderr: TextIO = field(factory=lambda: sys.stderr)
    _services: dict[type, Any] = field(factory=dict, init=False)

    @classmethod
    def build(
        cls, settings: Settings, reactor: Any, stdout: TextIO, stderr: TextIO
    ) -> "Environment":
        """Return the environment of a process that runs on a real reactor."""
        core = settings.core
        return cls(
            settings=settings,
            clock=reactor,
            random=random.Random(core.seed),
            log=EventLog(
                NonBlockingStream(stdout),
                rate=LineRateLimit(),
                instance=core.instance,
                data_centre=core.data_centre,
            ),
            reactor=reactor,
            stdout=stdout,
            stderr=stderr,
        )

    @property
    def now(self) -> float:
        """Current time on the process's clock, in seconds."""
        return self.clock.seconds()

    def provide(self, kind: type[ServiceT], service: ServiceT) -> None:
        """Register a service for plug-ins that are set up later."""
        self._services[kind] = service

    def require(self, kind: type[ServiceT]) -> ServiceT:
        """Return the service of that type; raises ``LookupError`` if there is none."""
        if kind not in self._services:
            raise LookupError(f"no plug-in in the settings provides {kind.__name__}")
        return self._services[kind]

    def find(self, kind: type[ServiceT]) -> ServiceT | None:
        """Return the service of that type, or ``None`` if there is none."""
        return self._services.get(kind)
