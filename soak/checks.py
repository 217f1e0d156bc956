"""Checks of the guarantees: each returns the violations that the records of a seed show.

The decorator ``check`` registers a check. The limits are those of the users' documentation.
"""

from collections.abc import Callable

from soak.records import Records, RequestRecord
from soak.site import DRAIN_SECONDS, GRACE_SECONDS, STREAM_BODY, TIMEOUT_SECONDS

# configMs: limit from the acknowledgement of a change until it is in force.
CHANGE_LIMIT_SECONDS = 2.0
STABLE_SECONDS = 3.0  # stableMs: undisturbed time of an instance after which time limits apply
RESPONSE_MARGIN_SECONDS = 0.5  # time allowed after a route's timeout for the final response
TOLERANCE_SECONDS = 0.7  # tolerance for scheduling delays on a busy computer
MAX_MEMORY_KB = 200 * 1024  # memory limit of the smallest instance
MAX_DESCRIPTORS = 3_900  # limit of open file descriptors
# HTTP statuses that state that a request was not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
AT_MOST_ONCE_ROUTES = ("book", "brief")  # routes whose requests may run at most once
RECEIPT_SECONDS = 0.03  # time within which a gateway has read a request on loopback
# Disturbances that stop or pause the gateway process itself, unlike those of links and endpoints.
PROCESS_DISTURBANCES = frozenset({"stop", "kill", "pause"})

Check = Callable[[Records], list[str]]
CHECKS: dict[str, Check] = {}


def check(function: Check) -> Check:
    """Register a check under its function's name."""
    CHECKS[function.__name__] = function
    return function


def find_violations(records: Records) -> list[str]:
    """Run all checks and return the violations, each with the name of its check."""
    return [f"{name}: {text}" for name, one in CHECKS.items() for text in one(records)]


@check
def at_most_once(records: Records) -> list[str]:
    """Check that no request that must not be repeated runs more than once."""
    routes = {one.id: one.route for one in records.requests}
    return [
        f"{routes[id_]} {id_} ran {count} times"
        for id_, count in records.run_counts.items()
        if count > 1 and routes.get(id_) in AT_MOST_ONCE_ROUTES
    ]


@check
def true_refusals(records: Records) -> list[str]:
    """Check that a request refused as not run has not run and doesn't run later."""
    return [
        f"{one.route} {one.id} was refused with {one.status} but ran"
        for one in records.requests
        if one.status in NOT_RUN_STATUSES
        and one.route in AT_MOST_ONCE_ROUTES
        and records.run_counts[one.id]
    ]


@check
def whole_answers(records: Records) -> list[str]:
    """Check that status 200 comes with the complete response to its request and its stamp."""
    return [
        f"{one.route} {one.id}: {one.response_id} {one.answer_stamp} {one.body[:60]!r}"
        for one in records.requests
        if one.status == 200 and not _is_complete(one)
    ]


def _is_complete(one: RequestRecord) -> bool:
    if one.response_id != one.id or one.answer_stamp is None:
        return False
    if one.route in ("audit", "brief"):
        return one.body == STREAM_BODY
    return one.body.startswith(b"done by ") and one.body.endswith(b".")


@check
def leaving_is_kept(records: Records) -> list[str]:
    """Check that a draining endpoint gets no requests after the drain time."""
    found = []
    for drain in records.drain_starts:
        deadline = drain.at + DRAIN_SECONDS + TOLERANCE_SECONDS
        if records.was_disturbed("", drain.at - STABLE_SECONDS, deadline):
            continue
        late = [
            one for one in records.arrivals if one.endpoint == drain.endpoint and one.at > deadline
        ]
        found += [f"{one.endpoint} got {one.id} {one.at - drain.at:.2f} s later" for one in late]
    return found


@check
def changes_in_force(records: Records) -> list[str]:
    """Check that an added route is served within the time limit."""
    ack_times = {f"v{one.version}": one.at for one in records.published_versions}
    return [
        f"{one.gateway}: {one.route} unknown {one.sent_at - ack_times[one.route]:.2f} s after ack"
        for one in records.requests
        if one.status == 404
        and one.route in ack_times
        and one.sent_at > ack_times[one.route] + CHANGE_LIMIT_SECONDS + TOLERANCE_SECONDS
        and not records.was_disturbed(
            one.gateway, ack_times[one.route] - STABLE_SECONDS, one.ended_at
        )
    ]


@check
def changes_stay(records: Records) -> list[str]:
    """Check that a process that has served a route keeps serving it."""
    served: dict[tuple[str, int, str], float] = {}
    for one in records.requests:
        if one.status == 200:
            key = (one.gateway, one.start_number, one.route)
            served[key] = min(one.ended_at, served.get(key, one.ended_at))
    return [
        f"{one.gateway}: {one.route} was served and is unknown again"
        for one in records.requests
        if one.status == 404
        and one.sent_at
        > served.get((one.gateway, one.start_number, one.route), float("inf")) + 0.25
    ]


@check
def in_time(records: Records) -> list[str]:
    """Check that each request ends within the timeout of its route."""
    limit = TIMEOUT_SECONDS + RESPONSE_MARGIN_SECONDS + TOLERANCE_SECONDS
    return [
        f"{one.route} {one.id} at {one.gateway} took {one.ended_at - one.sent_at:.2f} s"
        for one in records.requests
        if one.ended_at - one.sent_at > limit
        and not records.was_disturbed(one.gateway, one.sent_at, one.ended_at, PROCESS_DISTURBANCES)
    ]


@check
def graceful_shutdown(records: Records) -> list[str]:
    """Check that a stopping process answers its open requests and ends within the grace period."""
    found = []
    for stop in records.stops:
        if stop.ended_at - stop.started_at > GRACE_SECONDS + TOLERANCE_SECONDS:
            found.append(f"{stop.gateway} took {stop.ended_at - stop.started_at:.1f} s to stop")
        for one in records.requests:
            was_open = (
                one.sent_at < stop.started_at - RECEIPT_SECONDS and one.ended_at > stop.started_at
            )
            undisturbed = not any(
                other.kind != "stop"
                and other.affects(stop.gateway, one.sent_at - STABLE_SECONDS, one.ended_at)
                for other in records.disturbances
            )
            if one.gateway == stop.gateway and was_open and one.status is None and undisturbed:
                found.append(f"{stop.gateway} dropped {one.route} {one.id} when it stopped")
    return found


@check
def no_own_exit(records: Records) -> list[str]:
    """Check that no gateway process ends without being stopped."""
    return records.unexpected_exits


@check
def bounded(records: Records) -> list[str]:
    """Check that memory and file descriptors stay below the limits of the smallest instance."""
    return [
        f"{name}: peak memory {memory} KB, {files} file descriptors"
        for name, memory, files in records.resource_peaks
        if memory > MAX_MEMORY_KB or files > MAX_DESCRIPTORS
    ]
