"""The checks of a finished run: one function per invariant, with its time bound."""

from collections import Counter
from collections.abc import Callable, Iterator
from itertools import pairwise

from attrs import define, field, frozen

from bench.faults.faulty_site import CallerConnection, FaultySite
from bench.faults.processes import Process
from bench.faults.recording_endpoints import RecordingEngine, RecordingService
from chivewall.configuration_changes import decode_archive
from chivewall.decisions.orders import MAX_PLAN_AGE_SECONDS
from chivewall.events import Event
from chivewall.plan import PLAN_PREFIX, Plan, decode_plan
from chivewall.plugins.builtin.admission import Admission
from chivewall.plugins.builtin.claims import Claims
from chivewall.plugins.builtin.configuration import (
    CONFIGURATION_KEY,
    ConfigurationKeeper,
)
from chivewall.plugins.builtin.directory import Directory
from chivewall.plugins.builtin.dispatch import Dispatcher
from chivewall.request_task import RequestTask
from chivewall.results import RunState
from chivewall.standins.engine import token_text
from chivewall.work import Call, End, Rank, Refusal, Tokens

MAX_LEAVING_SECONDS = 3.0  # after which a leaving endpoint must get no new requests
MAX_CONFIGURATION_SECONDS = 13.0  # after which a configuration change must be in force everywhere
MAX_LATE_SECONDS = 1.0  # after its deadline by which a request must have ended
ROUNDING_SECONDS = 1e-6  # seconds of tolerance for rounding errors


@define
class Finding:
    """The result of one check in one run."""

    violations: list[str] = field(factory=list)
    worst_seconds: float | None = None  # longest time in seconds that was compared with a bound

    def check_bound(self, seconds: float, bound: float, text: str) -> None:
        """Compare a measured time with its bound."""
        self.worst_seconds = max(
            seconds, self.worst_seconds if self.worst_seconds is not None else 0.0
        )
        if seconds > bound + ROUNDING_SECONDS:
            self.violations.append(f"{text}: {seconds:.2f} s, bound {bound:g} s")

    def add_violation(self, text: str) -> None:
        """Record a violation."""
        self.violations.append(text)


@frozen
class Check:
    """A check of an invariant; section 1 of docs/design.md numbers them."""

    name: str
    invariant: str
    run: Callable[[FaultySite, Finding], None]
    bound: float | None = None  # seconds


def _engines(site: FaultySite) -> Iterator[RecordingEngine]:
    return (one for one in site.endpoints.values() if isinstance(one, RecordingEngine))


def _services(site: FaultySite) -> Iterator[RecordingService]:
    return (one for one in site.endpoints.values() if isinstance(one, RecordingService))


def conflicting_orders(site: FaultySite, finding: Finding) -> None:
    """Check that no engine accepted an order during a change or with an old fencing number."""
    for engine in _engines(site):
        for seen in engine.accepted_orders:
            if seen.changing:
                finding.add_violation(
                    f"{engine.name} took an order during a change, at {seen.at:.2f}"
                )
            if seen.order.fence < seen.accepted_fence:
                finding.add_violation(f"{engine.name} took an order with a smaller fencing number")


def planned_changes(site: FaultySite, finding: Finding) -> None:
    """Check that no accepted order stopped running requests."""
    for engine in _engines(site):
        for seen in engine.accepted_orders:
            if seen.stopped_completions:
                finding.add_violation(
                    f"an order cut off {seen.stopped_completions} at {engine.name}, {seen.at:.2f}"
                )


def lost_authority(site: FaultySite, finding: Finding) -> None:
    """Check that accepted orders were in a plan that was still fresh.

    Also check that the fencing numbers of successive plans never fall, and that
    they grow when the lease changes hands.
    """
    history = _plan_history(site)
    for engine in _engines(site):
        for seen in engine.accepted_orders:
            age = _order_age(history, engine.name, seen.order, seen.at)
            if age is None:
                finding.add_violation(f"{engine.name} took an order that no plan ever asked for")
            else:
                finding.check_bound(
                    age, MAX_PLAN_AGE_SECONDS, f"an old order reached {engine.name}"
                )
    for (_, before), (_, after) in pairwise(history):
        # A process may take over its own expired lease, with a new fencing number.
        min_fence = before.fence + int(after.holder != before.holder)
        if after.fence < min_fence:
            finding.add_violation(f"fence {before.fence} was followed by {after.fence}")


def _plan_history(site: FaultySite) -> list[tuple[float, Plan]]:
    writes = [one for one in site.store.accepted_writes if one.key.startswith(PLAN_PREFIX)]
    return [(one.at, decode_plan(one.value)) for one in writes]


def _order_age(
    history: list[tuple[float, Plan]], name: str, order: object, at: float
) -> float | None:
    """Return for how many seconds the plan hasn't contained the order any more.

    ``None`` means that it never contained the order.
    """
    age = None
    for index, (_, plan) in enumerate(history):
        desired = plan.desired.get(name)
        same = desired is not None and (desired.role, desired.targets) == (
            order.role,
            order.targets,
        )
        if same and plan.fence == order.fence:
            ends = history[index + 1][0] if index + 1 < len(history) else at
            age = max(0.0, at - ends)
    return age


def whole_answers(site: FaultySite, finding: Finding) -> None:
    """Check that callers got their own tokens in order, and all of them before an end."""
    for caller in site.callers:
        tokens = [one.body for one in caller.parts if isinstance(one.body, Tokens)]
        texts = [text for one in tokens for text in one.texts]
        work = caller.request.work
        last = caller.parts[-1].body if caller.parts else None
        if isinstance(work, Call):
            if isinstance(last, End) or texts:
                finding.add_violation(f"{caller.request.id} got tokens for a call")
            continue
        expected = [token_text(work, index) for index in range(work.max_tokens)]
        if texts != expected[: len(texts)]:
            finding.add_violation(f"{caller.request.id} got wrong tokens")
        if isinstance(last, End) and len(texts) != work.max_tokens:
            finding.add_violation(
                f"{caller.request.id} ended after {len(texts)} of {work.max_tokens}"
            )


def truthful_refusals(site: FaultySite, finding: Finding) -> None:
    """Check that requests refused as not run ran neither before nor after the refusal."""
    ran: Counter[str] = Counter()
    for engine in _engines(site):
        ran += engine.runs_by_request
    for service in _services(site):
        ran += service.runs_by_request
    for caller in site.callers:
        last = caller.parts[-1].body if caller.parts else None
        if not isinstance(last, Refusal) or last.run is not RunState.NO:
            continue
        if ran[caller.request.id]:
            finding.add_violation(
                f"{caller.request.id} was refused as not run ({last.code.name}) but ran"
            )


def at_most_once(site: FaultySite, finding: Finding) -> None:
    """Check that a non-idempotent call ran at most once at all services together."""
    runs: Counter[str] = Counter()
    for service in _services(site):
        runs += service.runs_by_key
    for key, count in runs.items():
        if count > 1:
            finding.add_violation(f"booking {key} ran {count} times")


def leaving_endpoints(site: FaultySite, finding: Finding) -> None:
    """Check that a leaving endpoint received no new requests after the bound.

    An agent that is paused before it has sent any load report to an entry can tell
    that entry only after its resume; the time counts from there.
    """
    begun = {
        one.process: one.at
        for one in site.logged_events
        if one.event is Event.DRAINING and one.process in _agent_processes(site)
    }
    for arrival in site.network.arrivals:
        if arrival.agent not in begun or arrival.at <= begun[arrival.agent]:
            continue
        at = _leave_announced_at(site, arrival.agent, arrival.entry, begun[arrival.agent])
        text = f"{arrival.request_id} reached {arrival.agent.name} after it began to leave"
        finding.check_bound(max(0.0, arrival.at - at), MAX_LEAVING_SECONDS, text)


def _leave_announced_at(site: FaultySite, agent: Process, entry: str, begun: float) -> float:
    reports = site.network.report_times.get((agent, entry), [])
    for paused_at, resumed_at in agent.pauses:
        within_bound = begun <= paused_at <= begun + MAX_LEAVING_SECONDS
        if within_bound and not any(begun <= one <= paused_at for one in reports):
            return resumed_at
    return begun


def _agent_processes(site: FaultySite) -> set[Process]:
    return {process for process, app in site.process_history if app.env.find(Admission) is not None}


def graceful_shutdowns(site: FaultySite, finding: Finding) -> None:
    """Check that a graceful shutdown ended no request and stopped no run."""
    for cut in site.network.stopped_runs:
        finding.add_violation(f"{cut.agent.name} cut off {cut.request_id} at {cut.at:.2f}")
    for caller in site.callers:
        last = caller.parts[-1].body if caller.parts else None
        if isinstance(last, Refusal) and last.message == "this entry stops":
            finding.add_violation(
                f"{caller.request.id} was ended by the shutdown of {caller.entry.name}"
            )


def configuration(site: FaultySite, finding: Finding) -> None:
    """Check that changes came into force in time and that no process went back to an old one."""
    writes = [one for one in site.store.accepted_writes if one.key == CONFIGURATION_KEY]
    newest = decode_archive(writes[-1].value).current.version
    in_force: dict[Process, list[tuple[float, int]]] = {}
    for one in site.logged_events:
        if one.event is Event.CONFIGURATION_IN_FORCE:
            in_force.setdefault(one.process, []).append((one.at, one.fields["version"]))
    for process, seen in in_force.items():
        versions = [version for _, version in seen]
        if versions != sorted(set(versions)):
            finding.add_violation(f"{process.name} went through versions {versions}")
    since = max(writes[-1].at, site.last_recovery_at)
    for process, app in site.process_history:
        if not process.alive or app.draining or not app.env.require(ConfigurationKeeper).running:
            continue
        at = next((at for at, one in in_force.get(process, ()) if one == newest), None)
        if at is None:
            finding.add_violation(f"version {newest} is not in effect in {process.name}")
            continue
        finding.check_bound(
            max(0.0, at - since), MAX_CONFIGURATION_SECONDS, f"change at {process.name}"
        )


def endings(site: FaultySite, finding: Finding) -> None:
    """Check that every request ended once, by its deadline plus one second.

    If the entry is paused at the deadline, the second counts from its resume.
    """
    for caller in site.callers:
        _check_end(caller, finding)


def _check_end(caller: CallerConnection, finding: Finding) -> None:
    request = caller.request
    if len(caller.end_times) > 1:
        finding.add_violation(f"{request.id} ended {len(caller.end_times)} times")
    if not caller.end_times:
        if _must_answer(caller):
            finding.add_violation(f"{request.id} did not end")
        return
    deadline = max(request.deadline, caller.entry.resumed_at)
    finding.check_bound(
        max(0.0, caller.end_times[0] - deadline), MAX_LATE_SECONDS, f"{request.id} ended late"
    )


def _must_answer(caller: CallerConnection) -> bool:
    """Return whether the entry must answer: a killed one can't, as its connections close."""
    return caller.entry.alive or caller.entry.exited_gracefully


def patient_work(site: FaultySite, finding: Finding) -> None:
    """Check that patient requests were answered completely or refused."""
    for caller in site.callers:
        if caller.request.rank is Rank.PATIENT and _must_answer(caller) and not caller.end_times:
            finding.add_violation(f"{caller.request.id} was lost without a refusal")


def leaks(site: FaultySite, finding: Finding) -> None:
    """Check that ended requests left no task, timer, stream or run behind."""
    alive = [(process, app) for process, app in site.process_history if process.alive]
    for process, app in alive:
        for text in (*_leftover_state(app.env.find), *_leftover_timers(process)):
            finding.add_violation(f"{process.name} keeps {text}")
    for links in site.entry_links.values():
        if links.entry.alive and any(link.entry_sinks for link in links.opened):
            finding.add_violation(f"{links.entry.name} keeps open streams")
    for name, endpoint in site.endpoints.items():
        if endpoint.active_count:
            finding.add_violation(f"{name} still runs {endpoint.active_count}")


def _leftover_timers(process: Process) -> Iterator[str]:
    for timer in process.timers:
        owner = getattr(timer.function, "__self__", None)
        if isinstance(owner, RequestTask):
            yield f"a timer of {owner.request.id}"


def _leftover_state(find: Callable) -> Iterator[str]:
    dispatcher, directory = find(Dispatcher), find(Directory)
    admission, claims = find(Admission), find(Claims)
    if dispatcher is not None and dispatcher.dispatches:
        yield f"dispatch tasks of {sorted(dispatcher.dispatches)}"
    if directory is not None and directory.attempt_links:
        yield f"links of attempts {sorted(directory.attempt_links)}"
    if directory is not None and any(
        one.work_in_flight for one in directory.fleet.members.values()
    ):
        yield "counted work"
    if admission is not None and (admission.sinks or admission.scheduler.running):
        yield f"admitted work {sorted(admission.sinks) or sorted(admission.scheduler.running)}"
    if claims is not None and (
        claims.undecided or claims.runs or claims.held_back or claims.pending_outcomes
    ):
        yield "calls under claims"
    if claims is not None and any(one.pending_changes for one in claims.shards.values()):
        yield "changes of claims"


CHECKS = (
    Check("conflicting orders", "1", conflicting_orders),
    Check("planned changes", "2", planned_changes),
    Check("lost authority", "3", lost_authority, MAX_PLAN_AGE_SECONDS),
    Check("whole answers", "4", whole_answers),
    Check("truthful refusals", "5", truthful_refusals),
    Check("at most once", "6", at_most_once),
    Check("leaving endpoints", "7", leaving_endpoints, MAX_LEAVING_SECONDS),
    Check("graceful shutdowns", "8", graceful_shutdowns),
    Check("configuration", "9", configuration, MAX_CONFIGURATION_SECONDS),
    Check("endings", "4, 8", endings, MAX_LATE_SECONDS),
    Check("patient work", "4", patient_work),
    Check("leaks", "-", leaks),
)
