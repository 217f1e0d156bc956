"""Reports where a configuration version is in force, as far as one entry knows."""

from collections.abc import Iterable

from attrs import frozen

from chivewall.decisions.membership import Member, MemberState


@frozen
class Lag:
    """An endpoint that has not reported a version, with the last version it reported."""

    endpoint: str
    data_centre: str
    state: MemberState
    version: int | None


@frozen
class DataCentre:
    """Summary of one data centre; ``version`` is the lowest one in force there."""

    name: str
    endpoints: int
    states: dict[str, int]
    roles: dict[str, int]
    version: int | None


def needs_version(member: Member) -> bool:
    """Return whether a member counts; leaving ones don't, since they get no new work."""
    return member.state is not MemberState.LEAVING


def reported_version(member: Member) -> int | None:
    """Return the version in the member's latest report, or ``None`` if it has none (0)."""
    return member.report.configuration_version or None if member.report is not None else None


def lagging(members: Iterable[Member], version: int) -> list[Lag]:
    """Return the endpoints where neither ``version`` nor a later one is known to be in force."""
    return [
        Lag(
            endpoint=one.instance.name,
            data_centre=one.instance.data_centre,
            state=one.state,
            version=reported_version(one),
        )
        for one in members
        if needs_version(one) and (reported_version(one) or 0) < version
    ]


def summarise(members: Iterable[Member]) -> list[DataCentre]:
    """Return a summary of each data centre, sorted by name."""
    groups: dict[str, list[Member]] = {}
    for one in members:
        groups.setdefault(one.instance.data_centre, []).append(one)
    return [_data_centre(name, groups[name]) for name in sorted(groups)]


def _data_centre(name: str, members: list[Member]) -> DataCentre:
    versions = [reported_version(one) or 0 for one in members if needs_version(one)]
    return DataCentre(
        name=name,
        endpoints=len(members),
        states=_count(one.state.value for one in members),
        roles=_count(one.report.role.value for one in members if one.report is not None),
        version=min(versions, default=0) or None,
    )


def _count(values: Iterable[str]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for value in values:
        counts[value] = counts.get(value, 0) + 1
    return counts
