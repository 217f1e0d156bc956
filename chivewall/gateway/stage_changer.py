"""Orders engines to change between prefill and decode as the mix of requests shifts.

Every gateway knows the load; the live one with the lowest address gives the orders.
If two gateways both consider themselves that one, the order lock lets only one give an order.
"""

from collections.abc import Callable
from functools import singledispatchmethod

from attrs import field, frozen, validators

from chivewall.decisions.locks import LOCK_SECONDS, LockEra
from chivewall.decisions.stages import SETTLE_SECONDS, OrderLockView, StageChange, propose_all
from chivewall.environment import Environment
from chivewall.errors import EndpointError, OrderRefusedError, StoreError, VersionConflictError
from chivewall.events import Event
from chivewall.gateway.engine_control import EngineControl, OrderLockStore
from chivewall.gateway.fleet import Fleet
from chivewall.gateway.fleet_messages import EngineCooldown, EngineLoads, ServiceLoad
from chivewall.gateway.peers import IsFirstGateway, Peers
from chivewall.gateway.store_eras import EraBegan, EraSeen, EraTold, StoreEras, SubscribeToEras
from chivewall.messages import Tick
from chivewall.plugins.base import Plugin
from chivewall.plugins.registry import Registry
from chivewall.reactor import boot_time
from chivewall.task import Inbox, Task

CHECK_SECONDS = 1.0  # interval between checks of the load
# Age of the load up to which a further order is given for it. The store answers in some ms; when it
# is slow, or the process was suspended, several orders in a row take many seconds.
MAX_LOAD_AGE_SECONDS = 2.0
ORDER_COOLDOWN_SECONDS = 2.0  # cooldown of the engine while its order is awaiting a response
CHANGE_COOLDOWN_SECONDS = 12.0  # maximum cooldown of the engine after it has accepted the order

Clock = Callable[[], float]


@frozen
class StageChangerSettings:
    """Lease time of the order locks."""

    lease_ms: float = field(
        validator=validators.gt(0),
        metadata={"help": "Time within which two instances may not both give orders, ms."},
    )


class StageChanger(Task):
    """Checks the load once a second, and orders an engine to change its stage if needed."""

    def __init__(
        self,
        env: Environment,
        cfg: StageChangerSettings,
        fleet: Fleet,
        peers: Peers,
        control: EngineControl,
        locks: OrderLockStore,
        eras: Inbox,
        clock: Clock = boot_time,
    ) -> None:
        super().__init__()
        self.env = env
        self.cfg = cfg
        self.fleet = fleet
        self.peers = peers
        self.control = control
        self.locks = locks
        self.eras = eras  # of the ``StoreEras`` task
        self.clock = clock
        self.lock_views: dict[str, OrderLockView] = {}
        self.lock_era = LockEra(cfg.lease_ms / 1000)
        self.next_change_at = 0.0  # time before which no further change is made for the load
        self.next_urgent_change_at = 0.0  # the same for an urgent change

    def start(self) -> None:
        """Start the task and the checks of the load."""
        super().start()
        self.eras.put(SubscribeToEras(self.inbox))
        self._schedule_check()

    @singledispatchmethod
    async def receive(self, message: object) -> None:
        """Handle one message."""
        raise TypeError(f"unexpected message {message!r}")

    @receive.register
    async def _(self, message: Tick) -> None:
        if await self.peers.query(IsFirstGateway()):
            settling = self.env.now < self.next_change_at
            for load in await self.fleet.query(EngineLoads(settling=settling)):
                await self._check_service(load)
        self._schedule_check()

    @receive.register
    async def _(self, message: EraBegan) -> None:
        self.lock_era.update(message.era, self.clock())

    @receive.register
    async def _(self, message: EraTold) -> None:
        """Wait until the era is read; each order reads its lock before it is sent."""

    async def _check_service(self, load: ServiceLoad) -> None:
        changes = propose_all(load.load)
        urgent = any(one.urgent for one in changes)
        if self.env.now < (self.next_urgent_change_at if urgent else self.next_change_at):
            return
        began_at = self.clock()
        for change in changes:
            if self.clock() - began_at > MAX_LOAD_AGE_SECONDS:
                return  # by now, other engines may have left or changed
            await self._try_change(load, change)

    async def _try_change(self, load: ServiceLoad, change: StageChange) -> None:
        try:
            await self._order_change(load, change)
        except VersionConflictError as exc:
            self._record_era(exc.era)
            self._log_held(load, change, "another instance acquired the order lock")
        except StoreError as exc:
            self._record_era(exc.era)
            self._log_held(load, change, str(exc))
        except EndpointError as exc:
            self._log_held(load, change, str(exc))

    def _record_era(self, era: int | None) -> None:
        self.lock_era.update(era, self.clock())
        if era is not None:
            self.eras.put(EraSeen(era))

    async def _order_change(self, load: ServiceLoad, change: StageChange) -> None:
        own = self.env.settings.core.instance
        view = self.lock_views.setdefault(load.service, OrderLockView(self.cfg.lease_ms / 1000))
        stored = await self.locks.read(load.service)
        self._record_era(stored.era)
        lock = stored.lock
        view.update(lock, self.clock())
        if not self.lock_era.settled(self.clock()):
            self._log_held(load, change, f"era {self.lock_era.era} of the store is too recent")
            return
        if not view.may_take(own, self.clock(), self.env.unix_time(), stored.era):
            self._log_held(load, change, f"order lock {lock.number} of {lock.holder} is too recent")
            return
        info = load.endpoints[change.engine]
        report = await self.control.report(info)
        if report.changing or report.stage is change.stage:
            self._log_held(load, change, "the engine is changing or has changed its stage")
            return
        started_at = self.clock()
        new_lock = view.next_lock(own, change, self.env.unix_time(), stored.era)
        era = await self.locks.acquire(load.service, new_lock, stored.revision)
        self._record_era(era)
        if era != stored.era:
            self._log_held(load, change, "the store was restored while the lock was acquired")
            return
        view.update(new_lock, started_at)
        self.next_change_at = self.env.now + SETTLE_SECONDS
        if change.urgent:
            self.next_urgent_change_at = self.next_change_at
        if self.clock() - started_at > LOCK_SECONDS:
            self._log_held(
                load, change, "the order lock is too old; the process may have been suspended"
            )
            return
        self.env.log.emit(
            Event.ORDER_SENT,
            endpoint=change.engine,
            stage=change.stage.value,
            fence=new_lock.number,
            precondition=report.accepted_orders,
            reason=change.reason,
        )
        # Set before the order, because an engine that begins to change refuses requests.
        self.fleet.send(EngineCooldown(change.engine, ORDER_COOLDOWN_SECONDS))
        try:
            await self.control.order(info, new_lock, report.accepted_orders)
        except (OrderRefusedError, EndpointError):
            # Without a response the order may still be carried out seconds later; until then
            # the engine can work.
            self.fleet.send(EngineCooldown(change.engine, 0.0))
            raise
        self.fleet.send(EngineCooldown(change.engine, CHANGE_COOLDOWN_SECONDS))

    def _log_held(self, load: ServiceLoad, change: StageChange, reason: str) -> None:
        self.env.log.emit(
            Event.ORDER_HELD,
            service=load.service,
            endpoint=change.engine,
            stage=change.stage.value,
            wanted=change.reason,
            reason=reason,
        )

    def _schedule_check(self) -> None:
        self.env.clock.callLater(CHECK_SECONDS, self.send, Tick())


class StageChangerPlugin(Plugin):
    """Runs the ``StageChanger`` task."""

    name = "stage_changer"
    settings_type = StageChangerSettings

    async def setup(self) -> None:
        """Create the task."""
        self.changer = StageChanger(
            self.env,
            self.cfg,
            fleet=self.env.require(Fleet),
            peers=self.env.require(Peers),
            control=self.env.require(EngineControl),
            locks=self.env.require(OrderLockStore),
            eras=self.env.require(StoreEras).inbox,
        )

    async def start(self) -> None:
        """Start the task."""
        self.changer.start()

    async def drain(self) -> None:
        """Stop giving orders."""
        await self.changer.stop()

    async def stop(self) -> None:
        """Stop the task."""
        await self.changer.stop()


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(StageChangerPlugin)
