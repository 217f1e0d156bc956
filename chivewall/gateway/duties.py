"""Makes the calls to the platform that are the duty of one gateway at a time.

Each subject has a task, which takes the lock of the subject for each call and makes the call at
once. What to call, and when, is decided by the tasks that use it.
"""

from collections.abc import Callable
from functools import singledispatchmethod

from attrs import field, frozen, validators

from chivewall.decisions.duties import DutyLockView, uncertain_before
from chivewall.decisions.locks import LOCK_SECONDS, LockEra
from chivewall.environment import Environment
from chivewall.errors import DutyRefusedError, PlatformUnavailableError, StoreError
from chivewall.events import MAX_ERROR_CHARS, Event
from chivewall.gateway.duty_messages import (
    DutyCall,
    DutyOutcome,
    DutyState,
    PerformDuty,
    ReadDuty,
    ReleaseDuty,
)
from chivewall.gateway.platform_duties import DutyLock, DutyLockStore, PlatformDuties
from chivewall.gateway.store_eras import EraBegan, EraSeen, EraTold, StoreEras, SubscribeToEras
from chivewall.plugins.base import Plugin
from chivewall.plugins.registry import Registry
from chivewall.reactor import boot_time
from chivewall.task import Inbox, Task

Clock = Callable[[], float]


@frozen
class DutiesSettings:
    """Lease time of the locks."""

    lease_ms: float = field(
        validator=validators.gt(0),
        metadata={"help": "Time within which two instances may not take turns with a duty, ms."},
    )


class DutyHolder(Task):
    """Takes the lock of one subject, and makes the calls that it permits."""

    def __init__(
        self,
        env: Environment,
        subject: str,
        lease_seconds: float,
        platform: PlatformDuties,
        locks: DutyLockStore,
        eras: Inbox,
        clock: Clock = boot_time,
    ) -> None:
        super().__init__()
        self.env = env
        self.own = env.settings.core.instance
        self.subject = subject
        self.platform = platform
        self.locks = locks
        self.eras = eras  # of the ``StoreEras`` task
        self.clock = clock
        self.view = DutyLockView(lease_seconds)
        self.lock_era = LockEra(lease_seconds)
        self.acquired: DutyLock | None = None  # the latest lock of this process
        self.outcome = DutyOutcome.HELD  # of the call that it permitted

    def start(self) -> None:
        """Start the task, and subscribe to the eras of the store."""
        super().start()
        self.eras.put(SubscribeToEras(self.inbox))

    @singledispatchmethod
    async def receive(self, message: object) -> None:
        """Handle one message."""
        raise TypeError(f"unexpected message {message!r}")

    @receive.register
    async def _(self, message: EraBegan) -> None:
        self.lock_era.update(message.era, self.clock())

    @receive.register
    async def _(self, message: EraTold) -> None:
        """Wait until the era is read; each call reads its lock before it is sent."""

    @receive.register
    async def _(self, message: ReadDuty) -> None:
        try:
            message.reply(await self._read())
        except StoreError as exc:
            self._record_era(exc.era)
            message.fail(exc)

    @receive.register
    async def _(self, message: PerformDuty) -> None:
        message.reply(await self._perform(message.call, message.state))

    @receive.register
    async def _(self, message: ReleaseDuty) -> None:
        # After a call without an answer, the call of the next holder could overtake it.
        if self.acquired is not None and self.outcome is not DutyOutcome.UNKNOWN:
            await self._release()
        message.reply(None)

    async def _read(self) -> DutyState:
        stored = await self.locks.read(self.subject)
        self._record_era(stored.era)
        lock, now, unix_time = stored.lock, self.clock(), self.env.unix_time()
        self.view.update(lock, now)
        is_own = lock is not None and lock == self.acquired
        return DutyState(
            lock=lock,
            revision=stored.revision,
            era=stored.era,
            is_own=is_own,
            is_accepted=is_own and self.outcome is DutyOutcome.ACCEPTED,
            uncertain_before=uncertain_before(lock, self.lock_era, now, unix_time),
            may_take=self._may_take(stored.era),
        )

    def _may_take(self, era: int | None) -> bool:
        now = self.clock()
        # A lock of the store's era was taken when every lock of an earlier era was old.
        is_of_era = self.view.lock is not None and self.view.lock.era == era
        return (is_of_era or self.lock_era.settled(now)) and self.view.may_take(
            self.own, now, self.env.unix_time(), era
        )

    async def _perform(self, call: DutyCall, state: DutyState) -> DutyOutcome:
        if state.lock != self.view.lock or not self._may_take(state.era):
            return self._held("the lock of another holder or of the store's era is too recent")
        started_at = self.clock()
        lock = self.view.next_lock(self.own, call.content(), self.env.unix_time(), state.era)
        try:
            era = await self.locks.acquire(self.subject, lock, state.revision)
        except StoreError as exc:
            self._record_era(exc.era)
            return self._held(f"lock not acquired: {exc!r}"[:MAX_ERROR_CHARS])
        self._record_era(era)
        if era != state.era:
            return self._held("the store was restored while the lock was acquired")
        self.view.record_taken(lock, started_at)
        self.acquired, self.outcome = lock, DutyOutcome.HELD
        if self.clock() - started_at > LOCK_SECONDS:
            return self._held("the lock is too old; the process may have been suspended")
        self.outcome = await self._send(call, lock)
        return self.outcome

    async def _send(self, call: DutyCall, lock: DutyLock) -> DutyOutcome:
        reason = None
        try:
            await call.send(self.platform, lock)
            outcome = DutyOutcome.ACCEPTED
        except DutyRefusedError as exc:
            outcome, reason = DutyOutcome.REFUSED, str(exc)
        except PlatformUnavailableError as exc:
            outcome, reason = DutyOutcome.UNKNOWN, str(exc)
        self.env.log.emit(
            Event.DUTY_CALLED,
            subject=self.subject,
            fence=lock.number,
            outcome=outcome.value,
            content=dict(lock.content),
            reason=reason,
        )
        return outcome

    async def _release(self) -> None:
        try:
            state = await self._read()
            lock = self.view.released_lock(self.clock())
            if not state.is_own or lock is None:
                return
            await self.locks.acquire(self.subject, lock, state.revision)
        except StoreError as exc:
            self._record_era(exc.era)
            return
        self.env.log.emit(Event.DUTY_RELEASED, subject=self.subject, fence=lock.number)

    def _record_era(self, era: int | None) -> None:
        self.lock_era.update(era, self.clock())
        if era is not None:
            self.eras.put(EraSeen(era))

    def _held(self, reason: str) -> DutyOutcome:
        self.env.log.emit(Event.DUTY_HELD, subject=self.subject, reason=reason)
        return DutyOutcome.HELD


class Duties:
    """Starts the tasks of the subjects.

    Example: ``env.require(Duties).holder("usage").query(ReadDuty())``.
    """

    def __init__(
        self,
        env: Environment,
        cfg: DutiesSettings,
        platform: PlatformDuties,
        locks: DutyLockStore,
        eras: Inbox,
    ) -> None:
        self.env = env
        self.cfg = cfg
        self.platform = platform
        self.locks = locks
        self.eras = eras
        self.holders: dict[str, DutyHolder] = {}

    def holder(self, subject: str) -> DutyHolder:
        """Return the running task of a subject."""
        if subject not in self.holders:
            self.holders[subject] = DutyHolder(
                self.env,
                subject,
                self.cfg.lease_ms / 1000,
                platform=self.platform,
                locks=self.locks,
                eras=self.eras,
            )
            self.holders[subject].start()
        return self.holders[subject]

    async def stop(self) -> None:
        """Release the locks, and stop all tasks."""
        released = [one.query(ReleaseDuty()) for one in self.holders.values()]
        for one in released:
            await one
        for one in self.holders.values():
            await one.stop()


class DutiesPlugin(Plugin):
    """Provides ``Duties``."""

    name = "duties"
    settings_type = DutiesSettings

    async def setup(self) -> None:
        """Create the duties and provide them."""
        self.duties = Duties(
            self.env,
            self.cfg,
            platform=self.env.require(PlatformDuties),
            locks=self.env.require(DutyLockStore),
            eras=self.env.require(StoreEras).inbox,
        )
        self.env.provide(Duties, self.duties)

    async def stop(self) -> None:
        """Release the locks, and stop all tasks."""
        await self.duties.stop()


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(DutiesPlugin)
