"""Explains to operators what happened to a request, from its events and the limits in force."""

from typing import Any

from attrs import define, field, frozen

from chivewall.configuration import Configuration, LimitName
from chivewall.events import Event
from chivewall.work import Rank

Fields = dict[str, Any]
MS_PER_SECOND = 1000
MAX_CANDIDATES_SHOWN = 3  # endpoints listed as not chosen
MAX_ATTEMPTS_SHOWN = 4  # half of them the first attempts of the request, half the latest ones
LIMITS_SHOWN = (
    LimitName.PROMPT_TOKENS,
    LimitName.OUTPUT_TOKENS,
    LimitName.TOKENS_IN_FLIGHT,
    LimitName.REQUESTS_IN_FLIGHT,
    LimitName.WORKSPACE_SHARE,
    LimitName.QUEUE_SECONDS,
)


@frozen
class TimedEvent:
    """An event of a request; ``after`` is in seconds since the request was accepted."""

    event: Event
    fields: Fields
    after_seconds: float


@define
class RequestRecord:
    """Events of one request, and the configuration that applied to it."""

    events: list[TimedEvent] = field(factory=list)
    configuration: Configuration | None = None  # in force when the request was accepted
    unix_time: float = 0.0  # Unix time at which the request was accepted
    accepted_at: float = 0.0  # the same moment on the process's clock, in seconds
    dropped_events: int = 0  # number of events that were not kept because there were too many


def explain_request(record: RequestRecord) -> list[str]:
    """Return the explanation of a request, line by line."""
    accepted = _first(record, Event.REQUEST_ACCEPTED)
    lines = []
    if accepted is not None:
        lines.append(
            f"{accepted['rank']} request of workspace {accepted['workspace']} "
            f"for {accepted['target']}"
        )
        if record.configuration is not None:
            lines += _describe_policy(record, accepted)
    lines += _omit_middle([line for seen in record.events for line in _describe_event(seen)])
    if record.dropped_events:
        lines.append(f"{record.dropped_events} more events were not kept")
    ended = _first(record, Event.REQUEST_ENDED)
    return [*lines, *(_describe_end(ended) if ended is not None else ["still in progress"])]


def describe_refusal(code: str, fields: Fields) -> str:
    """Return why work was refused, with the limit behind it and that limit's reason."""
    text = f"{code}: {fields.get('reason', '')}"
    if "limit" not in fields:
        return text
    return f"{text}; limit: {fields['limit']}, its reason: {fields['limit_reason']!r}"


def _first(record: RequestRecord, event: Event) -> Fields | None:
    return next((one.fields for one in record.events if one.event is event), None)


def _describe_policy(record: RequestRecord, accepted: Fields) -> list[str]:
    cfg = record.configuration
    rank = Rank(accepted["rank"])
    policy = cfg.ranks[rank]
    policy_line = (
        f"configuration {cfg.version}: the rank is guaranteed {policy.share:.0%} of an endpoint, "
        f"first token within {policy.first_token_ms:g} ms"
    )
    limits = [
        cfg.limit(
            name,
            workspace=accepted["workspace"],
            model=accepted["target"],
            rank=rank,
            unix_time=record.unix_time,
        )
        for name in LIMITS_SHOWN
    ]
    defaults = [f"{one.name.value} {one.value:g}" for one in limits if one.is_default]
    lines = [policy_line, f"default limits: {', '.join(defaults) or 'none'}"]
    lines += [
        f"{one.source}: {one.name.value} {one.value:g}, its reason: {one.reason!r}"
        for one in limits
        if not one.is_default
    ]
    return lines


def _describe_event(seen: TimedEvent) -> list[str]:
    describer = DESCRIBERS.get(seen.event)
    return [] if describer is None else [f"at {seen.after_seconds:.2f} s {describer(seen.fields)}"]


def _describe_route(fields: Fields) -> str:
    not_chosen = sorted(fields["rejected"].items(), key=lambda pair: pair[1])[:MAX_CANDIDATES_SHOWN]
    text = (
        f"sent to {fields['endpoint']}, estimated finish in {_seconds(fields['estimate'])}: "
        f"{fields['reason']}"
    )
    if not not_chosen:
        return f"{text}; no other candidate"
    others = ", ".join(f"{name} {_seconds(estimate)}" for name, estimate in not_chosen)
    return f"{text}; not chosen: {others}"


def _describe_missing(_fields: Fields) -> str:
    return "no endpoint was available"


def _describe_failure(fields: Fields) -> str:
    run = {"no": "was not run", "yes": "was run", "unknown": "may have run"}[fields["run"]]
    return (
        f"attempt {fields['attempt']} at {fields['endpoint']} failed, the work {run}: "
        f"{describe_refusal(fields['code'], fields)}"
    )


def _describe_retry(fields: Fields) -> str:
    excluded = fields["excluded"]
    avoided = f"; excluded: {', '.join(excluded)}" if excluded else ""
    return f"retried: {fields['reason']}{avoided}"


def _describe_end(fields: Fields) -> list[str]:
    attempts = f"{fields['attempts']} attempt" + ("" if fields["attempts"] == 1 else "s")
    first = fields.get("first_token_seconds")
    shown = "" if first is None else f", first token after {_seconds(first)}"
    after = f"after {_seconds(fields['seconds'])}{shown}, {attempts}"
    if "run" not in fields:
        return [f"answered in full ({fields['outcome']}) {after}"]
    run = {"no": "not run", "yes": "run", "unknown": "may have run"}[fields["run"]]
    lines = [f"refused {after}, {run}: {describe_refusal(fields['outcome'], fields)}"]
    if "limit" in fields:
        lines.append(f"a member who contests this names: {fields['limit']}")
    return lines


def _omit_middle(lines: list[str]) -> list[str]:
    half = MAX_ATTEMPTS_SHOWN * 3 // 2  # an attempt has up to three lines
    if len(lines) <= 2 * half:
        return lines
    return [*lines[:half], f"({len(lines) - 2 * half} lines left out)", *lines[-half:]]


def _seconds(value: float) -> str:
    return f"{value * MS_PER_SECOND:.0f} ms" if value < 1 else f"{value:.2f} s"


DESCRIBERS = {
    Event.ROUTE_CHOSEN: _describe_route,
    Event.ROUTE_MISSING: _describe_missing,
    Event.ATTEMPT_FAILED: _describe_failure,
    Event.RETRY_DECIDED: _describe_retry,
}
