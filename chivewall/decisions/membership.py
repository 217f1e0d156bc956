"""Tracks which endpoints exist and which may get new work, as seen by one observer."""

import hashlib
import random
from collections.abc import Iterable
from enum import Enum

from attrs import define, field, frozen

from chivewall.backoff import exponential_delay
from chivewall.interfaces import Instance, InstanceKind
from chivewall.work import LoadReport

FAILURES_TO_SUSPECT = 2  # a single failure is often just a lost connection
FIRST_PROBE_SECONDS = 0.5  # seconds until the first probe of a suspected endpoint
MAX_PROBE_INTERVAL_SECONDS = 8.0  # between probes of a suspected endpoint
PROBE_JITTER_SHARE = 0.25  # random share of an interval, so that observers don't probe in step
PROBE_PENDING_SECONDS = 4.0  # until a probe without a result is repeated; above its timeout
IDLE_PROBE_SECONDS = 2.5  # between probes of a live member; leaving must be noticed within 3 s
IDLE_PROBES_PER_SECOND = 2.0  # limit of one observer; about 2 KB/s at 1 KB per probe and report
ISOLATION_SHARE = 0.5  # with a larger share of failed members, the observer may itself be cut off
SUBSET_SIZE = 16  # endpoints of one target that an observer uses
REMOTE_SUBSET_SIZE = 4  # of these, reserved for other data centres in case the local one fails
MAX_MISSING_READS = 2  # reads of the list without an endpoint until it is removed
SMOOTHING_WEIGHT = 0.2  # weight of a new sample in the averages of round trip and loss
SENT_PREFIX_SECONDS = 10.0  # a prefix sent longer ago must be in the report; reports may lag
MAX_SENT_PREFIXES = 64  # sent prefixes recorded for one endpoint
MAX_PAST_INCARNATIONS = 8  # earlier incarnations recorded for one endpoint


class MemberState(Enum):
    """Whether an endpoint may get new work."""

    UNKNOWN = "unknown"  # listed, but no report yet
    LIVE = "live"
    SUSPECT = "suspect"  # failed, silent or not ready
    LEAVING = "leaving"


@frozen
class MemberChange:
    """A change of a member's state, with its reason."""

    member: "Member"
    reason: str
    removed: bool = False  # removed from the fleet
    replaced: bool = False  # another instance took its place; drop connections to the earlier one


@define(eq=False)
class Member:
    """State of one endpoint as an observer knows it."""

    instance: Instance
    state: MemberState = MemberState.UNKNOWN
    report: LoadReport | None = None
    reported_at: float = 0.0
    round_trip: float = 0.0  # seconds, smoothed
    loss: float = 0.0  # share of failed attempts and probes, smoothed
    failures: int = 0  # since the last report
    failed_probes: int = 0  # since the last report
    probe_at: float = 0.0  # time of the next probe
    missing_reads: int = 0
    in_subset: bool = False  # whether it is in the subset of some target
    past_incarnations: tuple[str, ...] = ()  # earlier incarnations, latest last
    # Estimated seconds of each attempt that the observer has in flight here.
    work_in_flight: dict[tuple[str, int], float] = field(factory=dict)
    unreported_work: set[tuple[str, int]] = field(factory=set)  # sent since the last report
    unreported_seconds: float = 0.0  # estimated seconds of these
    sent_prefixes: dict[str, float] = field(factory=dict)  # time when each prefix was sent

    @property
    def targets(self) -> tuple[str, ...]:
        """Models or service that the endpoint offers, by the latest report or the list."""
        if self.report is not None and self.report.targets:
            return self.report.targets
        return self.instance.targets

    def add_work(
        self, key: tuple[str, int], seconds: float, prefixes: tuple[str, ...], now: float
    ) -> None:
        """Record an attempt that was just sent."""
        self.work_in_flight[key] = seconds
        self.unreported_work.add(key)
        self.unreported_seconds += seconds
        for prefix in prefixes:
            self.sent_prefixes.pop(prefix, None)
            self.sent_prefixes[prefix] = now
        while len(self.sent_prefixes) > MAX_SENT_PREFIXES:
            del self.sent_prefixes[next(iter(self.sent_prefixes))]

    def end_work(self, key: tuple[str, int]) -> None:
        """Remove an attempt that has ended."""
        seconds = self.work_in_flight.pop(key, 0.0)
        if key in self.unreported_work:
            self.unreported_work.discard(key)
            self.unreported_seconds = max(0.0, self.unreported_seconds - seconds)

    def has_prefix(self, prefix: str) -> bool:
        """Return whether the endpoint probably has a prefix in its cache."""
        reported = self.report is not None and prefix in self.report.cached_prefixes
        return reported or prefix in self.sent_prefixes

    def apply_report(self, report: LoadReport, now: float) -> None:
        """Replace the recorded state by a report of the endpoint's agent."""
        if self.report is not None and self.report.incarnation != report.incarnation:
            self.past_incarnations = (*self.past_incarnations, self.report.incarnation)[
                -MAX_PAST_INCARNATIONS:
            ]
            self.sent_prefixes = {}
        self.report = report
        self.reported_at = now
        self.failures = self.failed_probes = 0
        self.unreported_work.clear()
        self.unreported_seconds = 0.0
        oldest = now - SENT_PREFIX_SECONDS
        self.sent_prefixes = {
            prefix: sent_at for prefix, sent_at in self.sent_prefixes.items() if sent_at >= oldest
        }


@define
class Fleet:
    """The endpoints that an observer knows, indexed by target.

    The observer uses a bounded subset of the endpoints of a target, so that
    hundreds of entries and agents don't all connect to each other.
    """

    observer: str = ""
    data_centre: str = ""  # data centre of the observer
    rng: random.Random = field(factory=random.Random)
    members: dict[str, Member] = field(factory=dict)
    may_be_isolated: bool = False  # so many members seem dead that the observer may be cut off
    _subsets: dict[str, list[Member]] = field(factory=dict)
    _weights: dict[str, bytes] = field(factory=dict)

    def merge_list(self, instances: tuple[Instance, ...], now: float) -> list[MemberChange]:
        """Update the members from the platform's instance list; an empty list is ignored."""
        listed = {one.name: one for one in instances if one.kind is not InstanceKind.ENTRY}
        if not listed:
            return []
        changes = []
        before = {name: self.members[name].instance for name in listed.keys() & self.members.keys()}
        for name, instance in listed.items():
            change = self._merge_instance(name, instance, now)
            if change is not None:
                changes.append(change)
        changes += self._drop_missing(listed.keys())
        if changes or any(before.get(name) != one for name, one in listed.items()):
            self._rebuild_subsets()
        return changes

    def merge_report(
        self, report: LoadReport, round_trip: float | None, now: float
    ) -> MemberChange | None:
        """Update a member from a load report; ``round_trip`` is set if it answers a probe."""
        member = self.members.get(report.endpoint)
        if member is None or _outdated(report, member, probed=round_trip is not None):
            return None
        before, targets, state = member.report, member.targets, member.state
        seemed_dead = seems_dead(member)
        member.apply_report(report, now)
        self._update_link_quality(member, round_trip)
        member.state = _reported_state(report, member.instance)
        member.probe_at = now + self._probe_interval(member)
        if member.state is state and member.targets == targets and not seemed_dead:
            return None
        self._rebuild_subsets()
        if member.state is state:
            return None
        replaced = before is not None and before.incarnation != report.incarnation
        return MemberChange(member=member, reason="load report", replaced=replaced)

    def count_failure(
        self, endpoint: str, now: float, *, silent: bool, incarnation: str | None = None
    ) -> MemberChange | None:
        """Record a failed attempt or probe; ignore those of an earlier incarnation."""
        member = self.members.get(endpoint)
        if member is None or (incarnation is not None and incarnation in member.past_incarnations):
            return None
        member.failures += 1
        member.loss += SMOOTHING_WEIGHT * (1.0 - member.loss)
        if member.state is MemberState.SUSPECT and member.failures == 1:
            self._rebuild_subsets()  # it was suspect for not being ready and now seems dead
        enough = silent or member.failures >= FAILURES_TO_SUSPECT
        if not enough or member.state is not MemberState.LIVE:
            return None
        member.state = MemberState.SUSPECT
        member.probe_at = now + self._jitter(FIRST_PROBE_SECONDS)
        self._rebuild_subsets()
        return MemberChange(member=member, reason="silent" if silent else "failures")

    def count_failed_probe(self, endpoint: str, now: float) -> MemberChange | None:
        """Record a probe without an answer and schedule the next one with backoff."""
        member = self.members.get(endpoint)
        if member is None:
            return None
        change = self.count_failure(endpoint, now, silent=False)
        member.failed_probes += 1
        backoff = exponential_delay(
            FIRST_PROBE_SECONDS, MAX_PROBE_INTERVAL_SECONDS, member.failed_probes - 1
        )
        member.probe_at = now + self._jitter(backoff)
        return change

    def selectable(self, target: str) -> list[Member]:
        """Return the members that may get new work for a model or service.

        Includes endpoints that seem dead while the observer itself may be cut off.
        """
        return [one for one in self._subsets.get(target, ()) if self._usable(one)]

    def targets(self) -> tuple[str, ...]:
        """Return the names of all models and services that endpoints offer."""
        return tuple(sorted(self._subsets))

    def due_probes(self, now: float) -> list[Member]:
        """Return the members to probe now and schedule their next probe."""
        due = [one for one in self.members.values() if one.in_subset and one.probe_at <= now]
        for member in due:
            member.probe_at = now + PROBE_PENDING_SECONDS
        return due

    def _merge_instance(self, name: str, instance: Instance, now: float) -> MemberChange | None:
        member = self.members.get(name)
        if member is None:
            member = Member(instance=instance, probe_at=now)
            if instance.leaving:
                member.state = MemberState.LEAVING
            self.members[name] = member
            return MemberChange(member=member, reason="listed")
        member.missing_reads = 0
        known, member.instance = member.instance, instance
        if (known.host, known.port) != (instance.host, instance.port):
            past = (
                (*member.past_incarnations, member.report.incarnation)
                if member.report
                else member.past_incarnations
            )
            fresh = Member(
                instance=instance, probe_at=now, past_incarnations=past[-MAX_PAST_INCARNATIONS:]
            )
            self.members[name] = fresh
            return MemberChange(member=fresh, reason="replaced at another address", replaced=True)
        if instance.leaving and member.state is not MemberState.LEAVING:
            member.state = MemberState.LEAVING
            return MemberChange(member=member, reason="listed as leaving")
        return None

    def _drop_missing(self, listed: Iterable[str]) -> list[MemberChange]:
        changes = []
        for name in sorted(self.members.keys() - set(listed)):
            member = self.members[name]
            member.missing_reads += 1
            responds = member.in_subset and member.state is MemberState.LIVE
            if member.missing_reads < MAX_MISSING_READS or responds or self.may_be_isolated:
                continue
            del self.members[name]
            self._weights.pop(name, None)
            changes.append(MemberChange(member=member, reason="no longer listed", removed=True))
        return changes

    def _update_link_quality(self, member: Member, round_trip: float | None) -> None:
        member.loss *= 1.0 - SMOOTHING_WEIGHT
        if round_trip is None:
            return
        if member.round_trip == 0.0:
            member.round_trip = round_trip
        member.round_trip += SMOOTHING_WEIGHT * (round_trip - member.round_trip)

    def _probe_interval(self, member: Member) -> float:
        if member.state is MemberState.SUSPECT:
            return self._jitter(FIRST_PROBE_SECONDS * 2)
        used = sum(one.in_subset for one in self.members.values())
        return self._jitter(max(IDLE_PROBE_SECONDS, used / IDLE_PROBES_PER_SECOND))

    def _jitter(self, seconds: float) -> float:
        return seconds * (1 - self.rng.uniform(0, PROBE_JITTER_SHARE))

    def _usable(self, member: Member) -> bool:
        if member.report is None:
            return False
        kept = self.may_be_isolated and seems_dead(member) and member.report.ready
        return member.state is MemberState.LIVE or kept

    def _rebuild_subsets(self) -> None:
        """Recompute the subsets; runs when a state or the list changes, not for each request."""
        known = [one for one in self.members.values() if one.report is not None]
        dead = sum(seems_dead(one) for one in known)
        self.may_be_isolated = len(known) > 1 and dead > ISOLATION_SHARE * len(known)
        by_target: dict[str, list[Member]] = {}
        for member in self.members.values():
            member.in_subset = False
            for target in member.targets:
                by_target.setdefault(target, []).append(member)
        self._subsets = {target: self._choose_subset(found) for target, found in by_target.items()}
        for subset in self._subsets.values():
            for member in subset:
                member.in_subset = True

    def _choose_subset(self, found: list[Member]) -> list[Member]:
        if len(found) <= SUBSET_SIZE:
            return found
        ordered = sorted(found, key=self._preference)
        local = [one for one in ordered if one.instance.data_centre == self.data_centre]
        remote = [one for one in ordered if one.instance.data_centre != self.data_centre]
        places = max(SUBSET_SIZE - len(remote), SUBSET_SIZE - REMOTE_SUBSET_SIZE)
        chosen = local[:places]
        return chosen + remote[: SUBSET_SIZE - len(chosen)]

    def _preference(self, member: Member) -> tuple[bool, bool, bytes]:
        name = member.instance.name
        if name not in self._weights:
            self._weights[name] = rendezvous(self.observer, name)
        # While the observer may be cut off, a failure says little about the endpoint.
        avoided = seems_dead(member) and not self.may_be_isolated
        return (member.state is MemberState.LEAVING, avoided, self._weights[name])


def seems_dead(member: Member) -> bool:
    """Return whether a member is suspect for failures, not for reporting that it isn't ready."""
    return member.state is MemberState.SUSPECT and member.failures > 0


def rendezvous(key: str, name: str) -> bytes:
    """Return the rendezvous hashing weight of a name for a key; every process gets the same."""
    return hashlib.blake2b(f"{key}/{name}".encode(), digest_size=8).digest()


def _reported_state(report: LoadReport, instance: Instance) -> MemberState:
    if report.leaving or instance.leaving:
        return MemberState.LEAVING
    return MemberState.LIVE if report.ready else MemberState.SUSPECT


def _outdated(report: LoadReport, member: Member, *, probed: bool) -> bool:
    known = member.report
    if known is not None and known.incarnation == report.incarnation:
        return report.sequence < known.sequence
    # After an address change, a probe can be answered only by the instance at the new address.
    return report.incarnation in member.past_incarnations and not (probed and known is None)
