"""Lease on a data centre's plan: only its holder may change the plan.

The lease is stored in the plan object itself, so the conditional update fences
off an old holder: a process that was paused can't overwrite its successor's plan.
The deadlines in this module only decide who tries to write and when; a wrong
clock causes a write conflict, never two holders.
"""

from typing import Protocol

from attrs import define, evolve, frozen
from automat import TypeMachineBuilder

from chivewall.plan import Plan

LEASE_TERM = 30.0  # seconds; not shorter, since each renewal notifies every watcher of the plan
RENEW_SHARE = 1 / 3  # share of the term after which the holder renews the lease
SAFETY_MARGIN = 5.0  # seconds; a holder stops changing the plan this long before its lease ends
SAFETY_SHARE = 1 / 6  # largest share of the term for that margin, so that a short lease is usable


@frozen
class Candidate:
    """The running process that wants the lease."""

    token: str  # random at each start, so that a restarted process differs
    name: str


@define
class LeaseRecord:
    """State of the lease as one process knows it; times are on its own clock."""

    candidate: Candidate
    term: float = LEASE_TERM  # seconds
    plan: Plan | None = None
    version: int = 0  # version of the plan object; 0 if it does not exist
    seen_at: float = 0.0  # time when this version was first seen
    held_until: float = 0.0  # time when the lease of this process ends
    renew_at: float = 0.0  # time of the next renewal

    def see(self, plan: Plan | None, version: int, now: float) -> None:
        """Record a version of the plan that was read."""
        if version != self.version or self.plan is None:
            self.plan, self.version, self.seen_at = plan, version, now

    def own(self, plan: Plan, version: int, started_at: float) -> None:
        """Record a write of this process; the lease term starts before the write was sent."""
        self.plan, self.version, self.seen_at = plan, version, started_at
        self.held_until = started_at + self.term
        self.renew_at = started_at + self.term * RENEW_SHARE

    def lapsed(self, now: float, unix_time: float) -> bool:
        """Return whether the lease of the current holder has expired and may be taken.

        Both the stored deadline and a full term without a new version must have
        passed. The deadline alone would rely on the holder's clock, and the term
        alone on this process having seen the version early enough.
        """
        if self.plan is None:
            return True
        return unix_time >= self.plan.lease_deadline and now >= self.seen_at + self.term


class LeaseInputs(Protocol):
    """Inputs of the lease state machine."""

    def observe(self, plan: Plan | None, version: int, now: float) -> None:
        """Record a version of the plan that another process may have written."""

    def wrote(self, plan: Plan, version: int, started_at: float) -> None:
        """Record an accepted conditional write; this process now holds the lease."""

    def lost(self) -> None:
        """Record that another process holds the lease."""

    def may_act(self, now: float) -> bool:
        """Return whether this process may change the plan now."""

    def proposal(self, now: float, unix_time: float) -> Plan | None:
        """Return the plan to write now to take or renew the lease, or ``None``."""


_builder = TypeMachineBuilder(LeaseInputs, LeaseRecord)
_following = _builder.state("following")
_holding = _builder.state("holding")
_following.upon(LeaseInputs.lost).loop().returns(None)
_holding.upon(LeaseInputs.lost).to(_following).returns(None)
_following.upon(LeaseInputs.may_act).loop().returns(False)


@_following.upon(LeaseInputs.observe).loop()
@_holding.upon(LeaseInputs.observe).loop()
def _observe(
    _: LeaseInputs, record: LeaseRecord, plan: Plan | None, version: int, now: float
) -> None:
    record.see(plan, version, now)


@_following.upon(LeaseInputs.wrote).to(_holding)
@_holding.upon(LeaseInputs.wrote).loop()
def _wrote(
    _: LeaseInputs, record: LeaseRecord, plan: Plan, version: int, started_at: float
) -> None:
    record.own(plan, version, started_at)


@_holding.upon(LeaseInputs.may_act).loop()
def _may_act(_: LeaseInputs, record: LeaseRecord, now: float) -> bool:
    return now < record.held_until - min(SAFETY_MARGIN, record.term * SAFETY_SHARE)


@_following.upon(LeaseInputs.proposal).loop()
def _take(_: LeaseInputs, record: LeaseRecord, now: float, unix_time: float) -> Plan | None:
    return _takeover(record, unix_time) if record.lapsed(now, unix_time) else None


@_holding.upon(LeaseInputs.proposal).loop()
def _renew(_: LeaseInputs, record: LeaseRecord, now: float, unix_time: float) -> Plan | None:
    if now < record.renew_at:
        return None
    return evolve(record.plan, lease_deadline=unix_time + record.term)


def _takeover(record: LeaseRecord, unix_time: float) -> Plan:
    before = record.plan
    return Plan(
        holder=record.candidate.token,
        holder_name=record.candidate.name,
        fence=before.fence + 1 if before is not None else 1,
        lease_deadline=unix_time + record.term,
        desired=before.desired if before is not None else {},
    )


Lease = _builder.build()
