"""Decides what is counted for which window, when a window is closed, and what is reported.

Each gateway counts the requests of each workspace that began to run, by windows of the wall clock.
The first gateways collect the counts of all, and one of them reports each window once.
"""

import math
from collections.abc import Iterable, Mapping

from attrs import define, field, frozen

from chivewall.decisions.permits import keeper_order

COLLECTORS = 3  # gateways that collect the counts
# Shares of the time that a report may take. The holder waits so long for the counts of all
# gateways, the others then look whether it has reported, and take over one after the other.
CLOSE_SHARE = 0.2
OBSERVE_SHARE = 0.26
TAKE_OVER_SHARE = 0.37
RANK_SHARE = 0.04
SHARE_SHARE = 0.4  # a gateway repeats its counts of an ended window for this share of that time
# Time after a window's end until a gateway's counts of it count as complete, and the largest
# difference between the clocks of two instances that is reckoned with, in seconds.
SETTLE_SECONDS = 0.1
MAX_CLOCK_DIFFERENCE_SECONDS = 1.0


def choose_collectors(gateways: Iterable[str]) -> tuple[str, ...]:
    """Return the addresses of the live gateways that collect the counts, the first one first.

    They are chosen by a hash, as neighbouring addresses are often in one data centre, which may
    fail as a whole.
    """
    return tuple(keeper_order("usage", gateways)[:COLLECTORS])


@frozen
class UsageTimes:
    """Times of the windows; all times are Unix times in seconds."""

    window_seconds: float
    late_seconds: float  # after its end a window's report is due

    def window_at(self, at: float) -> int:
        """Return the number of the window of a time."""
        return math.floor(at / self.window_seconds)

    def ends_at(self, window: int) -> float:
        """Return the end of a window."""
        return (window + 1) * self.window_seconds

    def last_ended(self, now: float) -> int:
        """Return the latest window that has ended."""
        return self.window_at(now) - 1

    def is_settled(self, window: int, now: float) -> bool:
        """Return whether a gateway's own counts of a window are complete."""
        return now >= self.ends_at(window) + SETTLE_SECONDS

    def is_shared(self, window: int, now: float) -> bool:
        """Return whether a gateway still tells the collectors its counts of a window."""
        return now < self.ends_at(window) + SHARE_SHARE * self.late_seconds

    def closes_at(self, window: int) -> float:
        """Return when a window is reported although counts are missing."""
        return self.ends_at(window) + CLOSE_SHARE * self.late_seconds

    def observed_at(self, window: int) -> float:
        """Return when the other collectors look whether a window was reported."""
        return self.ends_at(window) + OBSERVE_SHARE * self.late_seconds

    def taken_over_at(self, window: int, rank: int) -> float:
        """Return when the collector of a rank reports a window that nobody has reported."""
        share = TAKE_OVER_SHARE + RANK_SHARE * rank
        return self.ends_at(window) + share * self.late_seconds

    def is_late(self, window: int, now: float) -> bool:
        """Return whether a report of a window would come too late."""
        return now >= self.ends_at(window) + self.late_seconds

    def first_after(self, at: float) -> int:
        """Return the first window that ends surely after a time of any instance's clock."""
        return self.window_at(at + MAX_CLOCK_DIFFERENCE_SECONDS)


@frozen
class GatewayCounts:
    """The counts of one window that a process of a gateway tells, or a part of them."""

    window: int
    total: int  # of all parts
    complete: bool  # the window has ended
    counts: tuple[tuple[str, int], ...]  # workspace, requests


@define
class _ProcessCounts:
    """What is known of the counts of one process in one window."""

    counts: dict[str, int] = field(factory=dict)
    total: int = 0
    complete: bool = False

    def merge(self, found: GatewayCounts) -> None:
        for workspace, count in found.counts:
            self.counts[workspace] = max(count, self.counts.get(workspace, 0))
        self.total = max(self.total, found.total)
        self.complete = self.complete or found.complete

    @property
    def is_whole(self) -> bool:
        return self.complete and sum(self.counts.values()) >= self.total


@define
class UsageTable:
    """The counts of all gateways by window and process.

    Counts only grow while a process runs, so the largest one that it told is the latest: a count
    that arrives twice, late or in another order changes nothing.
    """

    _windows: dict[int, dict[tuple[str, int], _ProcessCounts]] = field(factory=dict, init=False)

    def merge(self, gateway: str, started_ms: int, found: GatewayCounts) -> None:
        """Record the counts of a gateway's process, which began at a Unix time in ms."""
        processes = self._windows.setdefault(found.window, {})
        processes.setdefault((gateway, started_ms), _ProcessCounts()).merge(found)

    def counts(self, window: int) -> dict[str, int]:
        """Return the requests of each workspace in a window."""
        found: dict[str, int] = {}
        for process in self._windows.get(window, {}).values():
            for workspace, count in process.counts.items():
                found[workspace] = found.get(workspace, 0) + count
        return found

    def missing(self, window: int, gateways: Iterable[str]) -> tuple[str, ...]:
        """Return the gateways whose counts of a window are not known to be complete."""
        whole = {
            gateway
            for (gateway, _), process in self._windows.get(window, {}).items()
            if process.is_whole
        }
        return tuple(one for one in gateways if one not in whole)

    def forget_before(self, window: int) -> None:
        """Forget the windows before one."""
        for one in [one for one in self._windows if one < window]:
            del self._windows[one]


@define
class OwnCounts:
    """The requests of each workspace that began to run at this gateway, by window."""

    times: UsageTimes
    first_window: int  # in which the process started
    _windows: dict[int, dict[str, int]] = field(factory=dict, init=False)

    def add(self, workspace: str, at: float, now: float) -> None:
        """Count a request that began to run at a time; a time ahead of the clock is now."""
        window = max(self.first_window, self.times.window_at(min(at, now)))
        counts = self._windows.setdefault(window, {})
        counts[workspace] = counts.get(workspace, 0) + 1

    def shared(self, now: float, *, ends: bool = False) -> tuple[GatewayCounts, ...]:
        """Return what to tell the collectors; windows without a request are told too.

        ``ends``: the process ends, so that no count is added any more.
        """
        current = self.times.window_at(now)
        first = current
        while first > self.first_window and self.times.is_shared(first - 1, now):
            first -= 1
        self._windows = {one: counts for one, counts in self._windows.items() if one >= first}
        return tuple(
            self._gateway_counts(one, complete=ends or self.times.is_settled(one, now))
            for one in range(first, current + 1)
        )

    def _gateway_counts(self, window: int, *, complete: bool) -> GatewayCounts:
        counts = self._windows.get(window, {})
        return GatewayCounts(window, sum(counts.values()), complete, tuple(sorted(counts.items())))


@frozen
class UsageReport:
    """The report of one window."""

    window: int
    counts: Mapping[str, int]


@frozen
class Recorded:
    """What the lock of the reports says about the latest one."""

    report: UsageReport | None = None
    is_accepted: bool = False  # surely; otherwise the platform may have accepted it or not
    uncertain_before: float | None = None  # Unix time before which other reports may be unknown


def report_to_repeat(recorded: Recorded, times: UsageTimes, now: float) -> UsageReport | None:
    """Return the recorded report if it has to be sent again, with exactly its counts."""
    report = recorded.report
    if report is None or recorded.is_accepted or recorded.uncertain_before is not None:
        return None
    return None if times.is_late(report.window, now) else report


def next_window(recorded: Recorded, times: UsageTimes, now: float) -> int | None:
    """Return the next ended window to report; ``None`` if there is none.

    Windows are reported in order, and one that may have been reported never gets other counts: it
    is not before the recorded one, and ends after any report that a restored store has lost.
    """
    first = times.window_at(now - times.late_seconds)
    if times.is_late(first, now):
        first += 1
    if recorded.report is not None:
        first = max(first, recorded.report.window + 1)
    if recorded.uncertain_before is not None:
        first = max(first, times.first_after(recorded.uncertain_before))
    return first if first <= times.last_ended(now) else None
