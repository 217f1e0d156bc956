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

LEASE_SECONDS = 30.0  # seconds; not shorter, since each renewal notifies every watcher of the plan
RENEW_SHARE = 1 / 3  # share of the term after which the holder renews the lease
SAFETY_MARGIN_SECONDS = 5.0  # a holder stops changing the plan this long before its lease ends
MAX_SAFETY_SHARE = 1 / 6  # largest share of the term for that margin; a short lease must be usable


@frozen
class Candidate:
    """The running process that wants the lease."""

    token: str  # random at each start, so that a restarted process differs
    name: str


@define
class LeaseRecord:
    """State of the lease as one process knows it; times are on its own clock."""

    candidate: Candidate
    term_seconds: float = LEASE_SECONDS  # seconds
    plan: Plan | None = None
    version: int = 0  # version of the plan object; 0 if it does not exist
    seen_at: float = 0.0  # time when this version was first seen
    held_until: float = 0.0  # time when the lease of this process ends
    renew_at: float = 0.0  # time of the next renewal

    def record_read(self, plan: Plan | None, version: int, now: float) -> None:
        """Record a version of the plan that was read."""
        if version != self.version or self.plan is None:
            self.plan, self.version, self.seen_at = plan, version, now

    def record_write(self, plan: Plan, version: int, started_at: float) -> None:
        """Record a write of this process; the lease term starts before the write was sent."""
        self.plan, self.version, self.seen_at = plan, version, started_at
        self.held_until = started_at + self.term_seconds
        self.renew_at = started_at + self.term_seconds * RENEW_SHARE

    def has_expired(self, now: float, unix_time: float) -> bool:
        """Return whether the lease of the current holder has expired and may be taken.

        Both the stored deadline and a full term without a new version must have
        passed. The deadline alone would rely on the holder's clock, and the term
        alone on this process having seen the version early enough.
        """
        if self.plan is None:
            return True
        return unix_time >= self.plan.lease_deadline and now >= self.seen_at + self.term_seconds


class LeaseInputs(Protocol):
    """Inputs of the lease state machine."""

    def observe(self, plan: Plan | None, version: int, now: float) -> None:
        """Record a version of the plan that another process may have written."""

    def write_accepted(self, plan: Plan, version: int, started_at: float) -> None:
        """Record an accepted conditional write; this process now holds the lease."""

    def lost(self) -> None:
        """Record that another process holds the lease."""

    def may_act(self, now: float) -> bool:
        """Return whether this process may change the plan now."""

    def plan_to_write(self, now: float, unix_time: float) -> Plan | None:
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
    record.record_read(plan, version, now)


@_following.upon(LeaseInputs.write_accepted).to(_holding)
@_holding.upon(LeaseInputs.write_accepted).loop()
def _write_accepted(
    _: LeaseInputs, record: LeaseRecord, plan: Plan, version: int, started_at: float
) -> None:
    record.record_write(plan, version, started_at)


@_holding.upon(LeaseInputs.may_act).loop()
def _may_act(_: LeaseInputs, record: LeaseRecord, now: float) -> bool:
    return now < record.held_until - min(
        SAFETY_MARGIN_SECONDS, record.term_seconds * MAX_SAFETY_SHARE
    )


@_following.upon(LeaseInputs.plan_to_write).loop()
def _propose_takeover(
    _: LeaseInputs, record: LeaseRecord, now: float, unix_time: float
) -> Plan | None:
    return _plan_with_own_lease(record, unix_time) if record.has_expired(now, unix_time) else None


@_holding.upon(LeaseInputs.plan_to_write).loop()
def _propose_renewal(
    _: LeaseInputs, record: LeaseRecord, now: float, unix_time: float
) -> Plan | None:
    if now < record.renew_at:
        return None
    return evolve(record.plan, lease_deadline=unix_time + record.term_seconds)


def _plan_with_own_lease(record: LeaseRecord, unix_time: float) -> Plan:
    before = record.plan
    return Plan(
        holder=record.candidate.token,
        holder_name=record.candidate.name,
        fence=before.fence + 1 if before is not None else 1,
        lease_deadline=unix_time + record.term_seconds,
        desired=before.desired if before is not None else {},
    )


Lease = _builder.build()
