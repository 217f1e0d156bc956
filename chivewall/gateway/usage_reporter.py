"""Reports the usage of each window once: the duty of one gateway at a time.

The gateway that holds the duty reports a window as soon as it has the counts of all. The other
collectors look whether it did, and the first of them takes over if not.
"""

from functools import singledispatchmethod

from attrs import frozen
from twisted.internet.defer import Deferred

from chivewall.backoff import exponential_delay
from chivewall.decisions.steady_time import SteadyTime
from chivewall.decisions.usage import (
    COLLECTORS,
    Recorded,
    UsageReport,
    UsageTimes,
    choose_collectors,
    next_window,
    report_to_repeat,
)
from chivewall.environment import Environment
from chivewall.errors import StoreError
from chivewall.events import Event
from chivewall.gateway.duty_messages import (
    DutyOutcome,
    DutyState,
    PerformDuty,
    ReadDuty,
    ReleaseDuty,
)
from chivewall.gateway.peers import ListGateways
from chivewall.gateway.platform_duties import DutyLock, PlatformDuties
from chivewall.gateway.usage_messages import ReadUsage, WindowUsage
from chivewall.messages import Tick
from chivewall.task import Task

SUBJECT = "usage"
CHECK_SECONDS = 0.2  # interval between checks for a window to report
# Shortest and longest pause before a report is tried again.
RETRY_SECONDS = 0.3
MAX_RETRY_SECONDS = 1.5
# Calls in a row without an answer after which another gateway may take over, and for how long: its
# connection to the platform may be better. A window is late after about as many.
MAX_UNANSWERED = 4
YIELD_SECONDS = 12.0


@frozen
class UsageCall:
    """The call that reports one window."""

    report: UsageReport

    def content(self) -> dict[str, object]:
        """Return what a later holder has to repeat."""
        return {"window": self.report.window, "counts": dict(self.report.counts)}

    def send(self, platform: PlatformDuties, lock: DutyLock) -> Deferred:
        """Make the call once."""
        return platform.report_usage(lock, self.report.window, self.report.counts)


@frozen
class DutyRead:
    """The lock of the reports was read; ``None``: the store did not answer."""

    state: DutyState | None


@frozen
class ReportEnded:
    """A report was sent, or could not be."""

    report: UsageReport
    outcome: DutyOutcome


def recorded_report(state: DutyState) -> Recorded:
    """Return what the lock says about the latest report."""
    content = {} if state.lock is None else state.lock.content
    report = None
    if "window" in content:
        report = UsageReport(int(content["window"]), content.get("counts", {}))
    return Recorded(report, state.is_accepted, state.uncertain_before)


class UsageReporter(Task):
    """Reads the lock of the reports, and reports the windows that are due."""

    def __init__(
        self,
        env: Environment,
        own_address: str,
        times: UsageTimes,
        peers: Task,
        counter: Task,
        holder: Task,
        time: SteadyTime,
    ) -> None:
        super().__init__()
        self.env = env
        self.own_address = own_address
        self.times = times
        self.peers = peers
        self.counter = counter
        self.time = time
        self.holder = holder  # of the lock of the reports
        self.started_at = time.now()
        self.state: DutyState | None = None  # as it was read last
        self.done = -1  # latest window that was reported, as far as known
        self.observed = -1  # latest window after whose end the lock was read
        self.rank = COLLECTORS  # of this gateway among the collectors
        self.busy = False  # the lock is read or a report is sent
        self.failures = 0  # in a row
        self.unanswered = 0  # calls in a row
        self.next_try_at = 0.0  # Unix time

    def start(self) -> None:
        """Start the task and its checks."""
        super().start()
        self._schedule_check()

    @singledispatchmethod
    async def receive(self, message: object) -> None:
        """Handle one message."""
        raise TypeError(f"unexpected message {message!r}")

    @receive.register
    async def _(self, message: Tick) -> None:
        collectors = choose_collectors(await self.peers.query(ListGateways()))
        is_collector = self.own_address in collectors
        self.rank = collectors.index(self.own_address) if is_collector else COLLECTORS
        if self.rank >= COLLECTORS:
            await self._step_down()
        elif not self.busy and await self._is_due():
            self._read()
        self._schedule_check()

    @receive.register
    async def _(self, message: DutyRead) -> None:
        self.busy = False
        self.state = message.state
        if message.state is None:
            self._retry_later()
            return
        now = self.time.now()
        self.observed = self.times.last_ended(now)
        recorded = recorded_report(message.state)
        self._record_done(recorded)
        if self._may_report(now) or (
            self._is_inherited() and report_to_repeat(recorded, self.times, now) is not None
        ):
            await self._report(message.state, recorded)

    @receive.register
    async def _(self, message: ReportEnded) -> None:
        self.busy = False
        if message.outcome is DutyOutcome.UNKNOWN:
            self.unanswered += 1
        elif message.outcome is not DutyOutcome.HELD:
            self.unanswered = 0
        if message.outcome is DutyOutcome.ACCEPTED:
            self.failures = 0
            self.done = max(self.done, message.report.window)
            if self._started_after(message.report.window + 1):
                await self._release()
            elif self.done < self.times.last_ended(self.time.now()):
                self._read()
            return
        self._retry_later()

    async def _is_due(self) -> bool:
        """Return whether to read the lock now, to report a window or to see whether it was."""
        now = self.time.now()
        window = self.times.last_ended(now)
        if self.done >= window or now < self.next_try_at:
            return False
        if self._is_holder():
            return await self._is_closed(window, now)
        if self.observed < window:
            return now >= self.times.observed_at(window)
        return self._may_report(now)

    def _is_holder(self) -> bool:
        return self.state is not None and self.state.is_own

    def _is_inherited(self) -> bool:
        """Return whether the process before this one held the duty when it ended."""
        lock = None if self.state is None else self.state.lock
        own = self.env.settings.core.instance
        return lock is not None and lock.holder == own and not (self.state.is_own or lock.released)

    def _may_report(self, now: float) -> bool:
        """Return whether this gateway may report now, if the lock allows it."""
        window = self.times.last_ended(now)
        if self._is_holder():
            return True
        if self.state is not None and self.state.lock is None and self.rank == 0:
            return now >= self.times.closes_at(window)
        rank = COLLECTORS if self._started_after(window) else self.rank
        return now >= self.times.taken_over_at(window, rank)

    def _started_after(self, window: int) -> bool:
        """Return whether this process started after the beginning of a window.

        It doesn't know what processes counted that had ended by then, such as the one before it, so
        the other collectors report that window.
        """
        return self.started_at > self.times.ends_at(window) - self.times.window_seconds

    async def _is_closed(self, window: int, now: float) -> bool:
        if now >= self.times.closes_at(window):
            return True
        return self.times.is_settled(window, now) and not (await self._usage(window)).missing

    async def _report(self, state: DutyState, recorded: Recorded) -> None:
        now = self.time.now()
        if not state.may_take:
            self._retry_later()
            return
        report = report_to_repeat(recorded, self.times, now)
        if report is None:
            window = next_window(recorded, self.times, now)
            if window is None:
                self.done = self.times.last_ended(now)
                return
            if not await self._is_closed(window, now):
                return
            self._log_skipped(recorded, window)
            usage = await self._usage(window)
            report = UsageReport(window, usage.counts)
            if usage.missing:
                self.env.log.emit(
                    Event.USAGE_INCOMPLETE, window=window, missing=list(usage.missing)
                )
        self.busy = True
        self.spawn(self._perform(report, state))

    async def _usage(self, window: int) -> WindowUsage:
        return await self.counter.query(ReadUsage(window))

    def _read(self) -> None:
        self.busy = True
        self.spawn(self._read_lock())

    async def _read_lock(self) -> None:
        try:
            self.send(DutyRead(await self.holder.query(ReadDuty())))
        except StoreError:
            self.send(DutyRead(None))

    async def _perform(self, report: UsageReport, state: DutyState) -> None:
        outcome = await self.holder.query(PerformDuty(UsageCall(report), state))
        self.send(ReportEnded(report, outcome))

    async def _step_down(self) -> None:
        """Let a collector take the lock, as this gateway isn't told the counts any more."""
        if self._is_holder() and not self.busy:
            await self._release()

    async def _release(self) -> None:
        self.state = None
        await self.holder.query(ReleaseDuty())

    def _record_done(self, recorded: Recorded) -> None:
        """Another holder's report counts as made, one of this instance when it was accepted."""
        if recorded.report is None or recorded.uncertain_before is not None:
            return
        if recorded.is_accepted or not (self._is_holder() or self._is_inherited()):
            self.done = max(self.done, recorded.report.window)

    def _log_skipped(self, recorded: Recorded, window: int) -> None:
        """Log the windows that nobody reports: they are late, or a lost lock may be theirs."""
        if recorded.report is not None and recorded.report.window + 1 < window:
            first = recorded.report.window + 1
            self.env.log.emit(Event.USAGE_SKIPPED, first_window=first, last_window=window - 1)

    def _retry_later(self) -> None:
        delay = exponential_delay(RETRY_SECONDS, MAX_RETRY_SECONDS, self.failures)
        self.failures += 1
        if self.unanswered >= MAX_UNANSWERED:
            delay, self.unanswered = YIELD_SECONDS, 0
        self.next_try_at = self.time.now() + delay

    def _schedule_check(self) -> None:
        self.env.clock.callLater(CHECK_SECONDS, self.send, Tick())
