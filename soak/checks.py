"""The promises, each a check over the records that returns what broke it.

A check registers itself by its decorator. The bounds are those of the users' pages.
"""

from collections.abc import Callable

from soak.records import Answered, Records
from soak.site import DRAIN_SECONDS, EVENTS, GRACE_SECONDS, TIMEOUT_SECONDS

CONFIG_SECONDS = 2.0  # configMs: until an acknowledged change is in force
STEADY_SECONDS = 3.0  # stableMs: before it, bounds of time don't hold for a machine
ANSWER_SECONDS = 0.5  # beyond a route's time-out
SLACK_SECONDS = 0.7  # of threads and processes on a busy machine
MEMORY_KB = 200 * 1024  # of the smallest machine
DESCRIPTORS = 3_900
PROMISES = frozenset({408, 421, 429, 503})  # statuses that say: not run
ONCE = ("book", "brief")  # routes that may run at most once
SENT_SECONDS = 0.03  # after which a request on loopback has been read
OWN = frozenset({"stop", "kill", "pause"})  # what stops a process; links and back ends don't

Check = Callable[[Records], list[str]]
CHECKS: dict[str, Check] = {}


def check(function: Check) -> Check:
    """Register a check under its name."""
    CHECKS[function.__name__] = function
    return function


def judge(records: Records) -> list[str]:
    """Return what broke a promise, with the name of the check."""
    return [f"{name}: {text}" for name, one in CHECKS.items() for text in one(records)]


@check
def at_most_once(records: Records) -> list[str]:
    """Nothing that may not be repeated runs twice."""
    routes = {one.id: one.route for one in records.answers}
    return [
        f"{routes[id_]} {id_} ran {count} times"
        for id_, count in records.runs.items()
        if count > 1 and routes.get(id_) in ONCE
    ]


@check
def true_refusals(records: Records) -> list[str]:
    """What is said not to have run has not run, and never does."""
    return [
        f"{one.route} {one.id} refused with {one.status} has run"
        for one in records.answers
        if one.status in PROMISES and one.route in ONCE and records.runs[one.id]
    ]


@check
def whole_answers(records: Records) -> list[str]:
    """A success is the whole answer to its request, with its proof."""
    return [
        f"{one.route} {one.id}: {one.answer_id} {one.proof} {one.body[:60]!r}"
        for one in records.answers
        if one.status == 200 and not _is_whole(one)
    ]


def _is_whole(one: Answered) -> bool:
    if one.answer_id != one.id or one.proof is None:
        return False
    if one.route in ("audit", "brief"):
        return one.body == EVENTS
    return one.body.startswith(b"done by ") and one.body.endswith(b".")


@check
def leaving_is_kept(records: Records) -> list[str]:
    """A back end that is leaving gets no request after the bound."""
    found = []
    for leave in records.leaving:
        begin = leave.at + DRAIN_SECONDS + SLACK_SECONDS
        if records.disturbed("", leave.at - STEADY_SECONDS, begin):
            continue
        late = [one for one in records.arrivals if one.runner == leave.runner and one.at > begin]
        found += [f"{one.runner} got {one.id} {one.at - leave.at:.2f} s later" for one in late]
    return found


@check
def changes_in_force(records: Records) -> list[str]:
    """A route that was added is served within the bound."""
    at = {f"v{one.version}": one.at for one in records.changes}
    return [
        f"{one.gateway}: {one.route} unknown {one.sent_at - at[one.route]:.2f} s after its ack"
        for one in records.answers
        if one.status == 404
        and one.route in at
        and one.sent_at > at[one.route] + CONFIG_SECONDS + SLACK_SECONDS
        and not records.disturbed(one.gateway, at[one.route] - STEADY_SECONDS, one.ended_at)
    ]


@check
def changes_stay(records: Records) -> list[str]:
    """A process that served a route doesn't forget it again."""
    served: dict[tuple[str, int, str], float] = {}
    for one in records.answers:
        if one.status == 200:
            key = (one.gateway, one.boot, one.route)
            served[key] = min(one.ended_at, served.get(key, one.ended_at))
    return [
        f"{one.gateway}: {one.route} served and unknown again"
        for one in records.answers
        if one.status == 404
        and one.sent_at > served.get((one.gateway, one.boot, one.route), float("inf")) + 0.25
    ]


@check
def in_time(records: Records) -> list[str]:
    """Each request ends within its route's time-out."""
    limit = TIMEOUT_SECONDS + ANSWER_SECONDS + SLACK_SECONDS
    return [
        f"{one.route} {one.id} at {one.gateway} took {one.ended_at - one.sent_at:.2f} s"
        for one in records.answers
        if one.ended_at - one.sent_at > limit
        and not records.disturbed(one.gateway, one.sent_at, one.ended_at, OWN)
    ]


@check
def graceful_shutdown(records: Records) -> list[str]:
    """A stopping process answers what it has taken and is gone in time."""
    found = []
    for stop in records.stops:
        if stop.ended_at - stop.started_at > GRACE_SECONDS + SLACK_SECONDS:
            found.append(f"{stop.gateway} took {stop.ended_at - stop.started_at:.1f} s to stop")
        for one in records.answers:
            taken = one.sent_at < stop.started_at - SENT_SECONDS and one.ended_at > stop.started_at
            calm = not any(
                other.kind != "stop"
                and other.touches(stop.gateway, one.sent_at - STEADY_SECONDS, one.ended_at)
                for other in records.disturbances
            )
            if one.gateway == stop.gateway and taken and one.status is None and calm:
                found.append(f"{stop.gateway} dropped {one.route} {one.id} at its stop")
    return found


@check
def no_own_exit(records: Records) -> list[str]:
    """No process ends by itself."""
    return records.own_exits


@check
def bounded(records: Records) -> list[str]:
    """Memory and descriptors stay under the bounds of the smallest machine."""
    return [
        f"{name}: {memory} KB at the peak, {files} descriptors"
        for name, memory, files in records.peaks
        if memory > MEMORY_KB or files > DESCRIPTORS
    ]
