"""Changes engines between prefill and decode as the mix of requests shifts.

Every gateway knows the load; the one that comes first among the live ones acts.
Two that both think so are kept apart by the record of turns.
"""

import time
from collections.abc import Callable
from functools import singledispatchmethod

from attrs import field, frozen, validators

from chivewall.decisions.stages import (
    ORDER_LOCK_SECONDS,
    SETTLE_SECONDS,
    OrderLockView,
    StageChange,
    propose,
)
from chivewall.environment import Environment
from chivewall.errors import EndpointError, OrderRefusedError, StoreError, VersionConflictError
from chivewall.events import Event
from chivewall.gateway.engine_control import EngineControl, TurnStore
from chivewall.gateway.fleet import Fleet
from chivewall.gateway.fleet_messages import EngineLoads, EngineRests, ServiceLoad
from chivewall.gateway.peers import ComesFirst, Peers
from chivewall.messages import Tick
from chivewall.plugins.base import Plugin
from chivewall.plugins.registry import Registry
from chivewall.task import Task

LOOK_SECONDS = 1.0  # between looks at the load
ORDER_REST_SECONDS = 2.0  # without new work until the order is answered
CHANGE_REST_SECONDS = 12.0  # longest time without new work once the order is accepted

Clock = Callable[[], float]


def boot_time() -> float:
    """Return seconds on a clock that also counts while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@frozen
class StageChangerSettings:
    """How turns are kept apart."""

    lease_ms: float = field(
        validator=validators.gt(0),
        metadata={"help": "Time within which two instances may not give orders in turn, ms."},
    )


class StageChanger(Task):
    """Owns this process's view of the turns."""

    def __init__(
        self,
        env: Environment,
        cfg: StageChangerSettings,
        fleet: Fleet,
        peers: Peers,
        control: EngineControl,
        turns: TurnStore,
        clock: Clock = boot_time,
    ) -> None:
        super().__init__()
        self.env = env
        self.cfg = cfg
        self.fleet = fleet
        self.peers = peers
        self.control = control
        self.turns = turns
        self.clock = clock
        self.views: dict[str, OrderLockView] = {}
        self.settled_at = 0.0  # deadline before which no change is looked for

    def start(self) -> None:
        """Begin to look at the load."""
        super().start()
        self._look_later()

    @singledispatchmethod
    async def receive(self, message: object) -> None:
        """Handle one message."""
        raise TypeError(f"unexpected message {message!r}")

    @receive.register
    async def _(self, message: Tick) -> None:
        if self.env.now >= self.settled_at and await self.peers.ask(ComesFirst()):
            for load in await self.fleet.ask(EngineLoads()):
                await self._consider(load)
        self._look_later()

    async def _consider(self, load: ServiceLoad) -> None:
        change = propose(load.load)
        if change is None:
            return
        try:
            await self._change(load, change)
        except VersionConflictError:
            self._held(load, change, "another instance took the turn")
        except (StoreError, EndpointError) as exc:
            self._held(load, change, str(exc))

    async def _change(self, load: ServiceLoad, change: StageChange) -> None:
        own = self.env.settings.core.instance
        view = self.views.setdefault(load.service, OrderLockView(self.cfg.lease_ms / 1000))
        turn, revision = await self.turns.read(load.service)
        view.update(turn, self.clock())
        if not view.may_take(own, self.clock(), self.env.unix_time()):
            self._held(load, change, f"turn {turn.number} of {turn.holder} is too fresh")
            return
        info = load.endpoints[change.engine]
        report = await self.control.report(info)
        if report.changing or report.stage is change.stage:
            self._held(load, change, "the engine is changing or has changed")
            return
        started = self.clock()
        taken = view.next_lock(own, change, self.env.unix_time())
        await self.turns.take(load.service, taken, revision)
        view.update(taken, started)
        self.settled_at = self.env.now + SETTLE_SECONDS
        if self.clock() - started > ORDER_LOCK_SECONDS:
            self._held(load, change, "the turn is too old; the process may have been paused")
            return
        self.env.log.emit(
            Event.ORDER_SENT,
            endpoint=change.engine,
            stage=change.stage.value,
            fence=taken.number,
            precondition=report.orders,
            reason=change.reason,
        )
        # Before the order: a call that reaches an engine which begins to change is refused.
        self.fleet.tell(EngineRests(change.engine, ORDER_REST_SECONDS))
        try:
            await self.control.order(info, taken, report.orders)
        except (OrderRefusedError, EndpointError):
            # Without an answer it may be carried out seconds later; until then it can work.
            self.fleet.tell(EngineRests(change.engine, 0.0))
            raise
        self.fleet.tell(EngineRests(change.engine, CHANGE_REST_SECONDS))

    def _held(self, load: ServiceLoad, change: StageChange, reason: str) -> None:
        self.env.log.emit(
            Event.ORDER_HELD,
            service=load.service,
            endpoint=change.engine,
            stage=change.stage.value,
            wanted=change.reason,
            reason=reason,
        )

    def _look_later(self) -> None:
        self.env.clock.callLater(LOOK_SECONDS, self.tell, Tick())


class StageChangerPlugin(Plugin):
    """Looks after the stages of engines."""

    name = "stage_changer"
    settings_type = StageChangerSettings

    async def setup(self) -> None:
        """Build the task."""
        self.changer = StageChanger(
            self.env,
            self.cfg,
            fleet=self.env.require(Fleet),
            peers=self.env.require(Peers),
            control=self.env.require(EngineControl),
            turns=self.env.require(TurnStore),
        )

    async def start(self) -> None:
        """Start the task."""
        self.changer.start()

    async def drain(self) -> None:
        """Give no more orders."""
        await self.changer.stop()

    async def stop(self) -> None:
        """Stop the task."""
        await self.changer.stop()


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(StageChangerPlugin)
