"""A store of locks and a platform that checks the calls of duties, without a network."""

import random
from io import StringIO

from attrs import define, evolve, field
from twisted.internet.defer import Deferred, fail, succeed

from chivewall.environment import Environment
from chivewall.errors import (
    DutyRefusedError,
    PlatformUnavailableError,
    StoreUnavailableError,
    VersionConflictError,
)
from chivewall.events import EventLog
from chivewall.gateway.platform_duties import Duty, StoredDutyLock
from chivewall.settings import CoreSettings, Role, Settings

LEASE_SECONDS = 3.0
LATE_SECONDS = 6.0  # longest time after which the store carries out a write without an answer
UNIX_START = 1_767_225_600.0  # Unix time at the start of the virtual clock


def make_env(clock, instance):
    """Return the environment of one instance on a virtual clock."""
    core = CoreSettings(role=Role.GATEWAY, instance=instance, data_centre="north", plugins=("x",))
    return Environment(
        settings=Settings(core=core),
        clock=clock,
        random=random.Random(1),
        log=EventLog(StringIO()),
        unix_time=lambda: UNIX_START + clock.seconds(),
    )


@define(eq=False)
class FakeLockStore:
    """Holds the locks of subjects under one revision counter, and injects faults.

    ``faults`` are taken one for each write: ``"lost"`` (done, not answered), ``"late"`` (not
    answered, done by ``carry_out_late`` if its condition still holds), ``"slow"`` (answered after
    ``slow_seconds``), ``"restored"`` (the store comes back from its copy just before), ``None``.
    """

    clock: object
    era: int | None = 1
    revision: int = 1
    down: bool = False
    slow_seconds: float = 1.0
    faults: list = field(factory=list)
    locks: dict = field(factory=dict)  # subject: lock, revision
    late_writes: list = field(factory=list)  # time, and arguments of the write
    _copy: tuple = field(default=(1, {}), init=False)

    def read(self, subject):
        if self.down:
            return fail(StoreUnavailableError("down"))
        lock, revision = self.locks.get(subject, (None, 0))
        return succeed(StoredDutyLock(lock, revision, self.era))

    def acquire(self, subject, lock, revision):
        if self.down:
            return fail(StoreUnavailableError("down"))
        fault = self.faults.pop(0) if self.faults else None
        if fault == "late":
            self.late_writes.append((self.clock.seconds(), (subject, lock, revision)))
            return fail(StoreUnavailableError("no answer"))
        if fault == "restored":
            self.restore()
        if not self._write(subject, lock, revision):
            return fail(VersionConflictError("another lock"))
        if fault == "lost":
            return fail(StoreUnavailableError("no answer"))
        if fault == "slow":
            answer = Deferred()
            self.clock.callLater(self.slow_seconds, answer.callback, self.era)
            return answer
        return succeed(self.era)

    def carry_out_late(self):
        """Carry out the late writes whose condition still holds."""
        late, self.late_writes = self.late_writes, []
        for at, write in late:
            if self.clock.seconds() - at <= LATE_SECONDS:
                self._write(*write)

    def copy(self):
        """Keep a copy of the locks, for ``restore``."""
        self._copy = (self.revision, dict(self.locks))

    def restore(self):
        """Come back from the latest copy, in a new era."""
        self.revision, locks = self._copy
        self.locks = dict(locks)
        self.era += 1

    def _write(self, subject, lock, revision):
        if self.locks.get(subject, (None, 0))[1] != revision:
            return False
        self.revision += 1
        # Numbers, names and counts come back from the store as they were written.
        self.locks[subject] = (evolve(lock, content=dict(lock.content)), self.revision)
        return True


@define(eq=False)
class FakePlatform:
    """Accepts calls, and checks that they come from one holder at a time.

    ``faults`` are taken one for each call: ``"refused"``, ``"lost"`` (accepted, not answered),
    ``"unsent"``, ``None``.
    """

    clock: object
    duties: frozenset = frozenset(Duty)
    faults: list = field(factory=list)
    calls: list = field(factory=list)  # time, subject, holder, number
    reports: dict = field(factory=dict)  # counts by window
    report_times: dict = field(factory=dict)  # time of the first report by window
    orders: list = field(factory=list)
    problems: list = field(factory=list)  # broken rules

    def report_usage(self, lock, window, counts):
        def accept():
            if self.reports.setdefault(window, dict(counts)) != dict(counts):
                self.problems.append(f"window {window} has two counts")
            self.report_times.setdefault(window, self.clock.seconds())

        return self._call("usage", lock, accept)

    def order_endpoints(self, lock, service, data_centre, count):
        order = (service, data_centre, count)
        return self._call(f"{service} {data_centre}", lock, lambda: self.orders.append(order))

    def _call(self, subject, lock, accept):
        fault = self.faults.pop(0) if self.faults else None
        if fault == "unsent":
            return fail(PlatformUnavailableError("no connection"))
        self._check(subject, lock)
        if fault == "refused":
            return fail(DutyRefusedError("status 429"))
        accept()
        return fail(PlatformUnavailableError("lost")) if fault == "lost" else succeed(None)

    def _check(self, subject, lock):
        now = self.clock.seconds()
        earlier = [one for one in self.calls if one[1] == subject]
        if any(number > lock.number for _, _, _, number in earlier):
            self.problems.append(f"number {lock.number} after a higher one")
        if any(number == lock.number and holder != lock.holder for _, _, holder, number in earlier):
            self.problems.append(f"number {lock.number} of two holders")
        recent = [holder for at, _, holder, _ in earlier if now - at < LEASE_SECONDS]
        if lock.holder in recent and any(
            one != lock.holder for one in recent[recent.index(lock.holder) :]
        ):
            self.problems.append(f"{lock.holder} takes turns within a lease")
        self.calls.append((now, subject, lock.holder, lock.number))
