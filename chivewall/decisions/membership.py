"""Which endpoints exist and which may get new work, as one observer knows it."""

from enum import Enum

from attrs import define, field

from chivewall.interfaces import Instance, InstanceKind
from chivewall.work import LoadReport

FAILURES_TO_SUSPECT = 2  # one failure alone is often a single lost connection
LEAVING_GRACE = 0.0  # seconds; new work stops as soon as the leave is known
PROBE_FIRST = 0.5  # seconds until a suspected endpoint is probed
PROBE_LIMIT = 8.0  # seconds between probes at most
CUT_OFF_SHARE = 0.5  # above this share of suspects the observer doubts itself


class MemberState(Enum):
    """Whether an endpoint may get new work."""

    UNKNOWN = "unknown"  # listed, but no report yet
    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"


@define
class Member:
    """What an observer knows of one endpoint."""

    instance: Instance
    state: MemberState = MemberState.UNKNOWN
    report: LoadReport | None = None
    round_trip: float = 0.0  # seconds
    failures: int = 0
    probe_at: float = 0.0  # deadline of the next probe
    outstanding: dict[tuple[str, int], float] = field(factory=dict)  # seconds of work by attempt
    sent_since_report: dict[tuple[str, int], float] = field(factory=dict)

    @property
    def targets(self) -> tuple[str, ...]:
        """Models or service that the endpoint offers, as last heard."""
        if self.report is not None and self.report.targets:
            return self.report.targets
        return self.instance.targets


@define
class Fleet:
    """All endpoints that an observer knows."""

    members: dict[str, Member] = field(factory=dict)

    def merge_list(self, instances: tuple[Instance, ...], now: float) -> list[Member]:
        """Take in the platform's instance list; return members whose state changed."""
        changed = []
        listed = {one.name: one for one in instances if one.kind is not InstanceKind.ENTRY}
        for name, instance in listed.items():
            member = self.members.get(name)
            if member is None:
                self.members[name] = Member(instance=instance, probe_at=now)
                continue
            moved = (member.instance.host, member.instance.port) != (instance.host, instance.port)
            member.instance = instance
            if moved:
                member.state, member.report, member.probe_at = MemberState.UNKNOWN, None, now
                changed.append(member)
            elif instance.leaving and member.state is not MemberState.LEAVING:
                member.state = MemberState.LEAVING
                changed.append(member)
        gone = self.members.keys() - listed.keys()
        return changed + [self._forget(name) for name in sorted(gone)]

    def merge_report(
        self, report: LoadReport, round_trip: float | None, now: float
    ) -> Member | None:
        """Take in a load report; return the member if its state changed."""
        member = self.members.get(report.endpoint)
        if member is None or _older(report, member.report):
            return None
        before = member.state
        member.report = report
        member.sent_since_report = {}
        member.failures = 0
        if round_trip is not None:
            member.round_trip = round_trip
        member.state = MemberState.LIVE
        if report.leaving or member.instance.leaving:
            member.state = MemberState.LEAVING
        elif not report.ready:
            member.state = MemberState.SUSPECT
            member.probe_at = now + PROBE_FIRST
        return member if member.state is not before else None

    def count_failure(self, endpoint: str, now: float, *, silent: bool) -> Member | None:
        """Count a failed attempt or probe; return the member if its state changed."""
        member = self.members.get(endpoint)
        if member is None:
            return None
        member.failures += 1
        backoff = PROBE_FIRST * 2 ** min(member.failures, 10)
        member.probe_at = now + min(PROBE_LIMIT, backoff)
        enough = silent or member.failures >= FAILURES_TO_SUSPECT
        if not enough or member.state is MemberState.SUSPECT:
            return None
        member.state = MemberState.SUSPECT
        return member

    def cut_off(self) -> bool:
        """Return whether so many endpoints seem dead that the observer itself may be cut off."""
        known = [one for one in self.members.values() if one.report is not None]
        suspects = [one for one in known if one.state is MemberState.SUSPECT]
        return len(known) > 1 and len(suspects) > CUT_OFF_SHARE * len(known)

    def selectable(self, target: str) -> list[Member]:
        """Return the members that may get new work for a model or service.

        Suspects are included while the observer may itself be cut off.
        """
        states = {MemberState.LIVE}
        if self.cut_off():
            states.add(MemberState.SUSPECT)
        return [
            one
            for one in self.members.values()
            if one.report is not None and one.state in states and target in one.targets
        ]

    def due_probes(self, now: float) -> list[Member]:
        """Return the members to probe now and set their next probe deadline."""
        due = [
            one
            for one in self.members.values()
            if one.state in (MemberState.UNKNOWN, MemberState.SUSPECT) and one.probe_at <= now
        ]
        for member in due:
            member.probe_at = now + PROBE_LIMIT
        return due

    def _forget(self, name: str) -> Member:
        member = self.members.pop(name)
        member.state = MemberState.LEAVING
        return member


def _older(report: LoadReport, known: LoadReport | None) -> bool:
    if known is None or known.incarnation != report.incarnation:
        return False
    return report.sequence < known.sequence
