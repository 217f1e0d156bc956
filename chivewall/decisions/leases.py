"""Who may change a data centre's plan.

The lease stands in the plan object itself, so the conditional update is the
fence: a holder that was paused can't write over its successor. Deadlines here
only decide who tries to write and when; a wrong clock costs a conflict, never
two holders.
"""

from typing import Protocol

from attrs import define, evolve, frozen
from automat import TypeMachineBuilder

from chivewall.plan import Plan

LEASE_TERM = 30.0  # seconds; each renewal wakes every watch of the plan
RENEW_SHARE = 1 / 3  # of the term after which the holder renews
SAFETY_MARGIN = 5.0  # seconds before its deadline when a holder stops acting
SAFETY_SHARE = 1 / 6  # of the term that the margin takes at most; a short lease must allow acting


@frozen
class Candidate:
    """The process life that wants the lease."""

    token: str  # random for each life, so that a restarted process is another one
    name: str


@define
class LeaseRecord:
    """What a process knows of the lease; times are on its own clock."""

    candidate: Candidate
    term: float = LEASE_TERM  # seconds
    plan: Plan | None = None
    version: int = 0  # of the plan object; 0 if there is none
    seen_at: float = 0.0  # when this version was first seen
    held_until: float = 0.0  # deadline of our own lease
    renew_at: float = 0.0  # deadline of our next renewal

    def see(self, plan: Plan | None, version: int, now: float) -> None:
        """Remember a version of the plan."""
        if version != self.version or self.plan is None:
            self.plan, self.version, self.seen_at = plan, version, now

    def own(self, plan: Plan, version: int, started_at: float) -> None:
        """Remember our own write; the term counts from before it was sent."""
        self.plan, self.version, self.seen_at = plan, version, started_at
        self.held_until = started_at + self.term
        self.renew_at = started_at + self.term * RENEW_SHARE

    def lapsed(self, now: float, unix_time: float) -> bool:
        """Return whether the lease of the present holder may be taken.

        The stored deadline alone would trust the holder's clock, and our own
        observation alone would be fooled by a late first look; both must agree.
        """
        if self.plan is None:
            return True
        return unix_time >= self.plan.lease_deadline and now >= self.seen_at + self.term


class LeaseInputs(Protocol):
    """What happens to a lease."""

    def observe(self, plan: Plan | None, version: int, now: float) -> None:
        """Take in a version of the plan that another process may have written."""

    def wrote(self, plan: Plan, version: int, started_at: float) -> None:
        """Take in that our conditional write was accepted."""

    def lost(self) -> None:
        """Take in that another process holds the lease."""

    def may_act(self, now: float) -> bool:
        """Return whether we may change the plan now."""

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
