"""The steps at which faults are injected: messages, store writes and log events."""

from enum import Enum

from attrs import frozen

from bench.faults.network import Envelope


class Participant(Enum):
    """The kind of process that sends or receives the message of a step."""

    ENTRY = "entry"
    AGENT = "agent"
    API = "object API"
    ENDPOINT = "endpoint"
    OUTSIDE = "outside"  # callers, operators and the platform


@frozen
class Step:
    """The n-th message or event of one kind after the scenario has begun."""

    name: str
    scenario: str
    kind: str
    sender: Participant
    receiver: Participant
    subject: str = ""  # prefix of the request id or object key
    nth: int = 1
    after_seconds: float = 0.0  # seconds since the scenario began; earlier messages don't count

    def matches(self, envelope: Envelope) -> bool:
        """Return whether a message or event is of this kind, regardless of ``nth``."""
        if envelope.kind != self.kind or not envelope.subject.startswith(self.subject):
            return False
        return all(
            _is_participant(part, process.name)
            for part, process in (
                (self.sender, envelope.sender),
                (self.receiver, envelope.receiver),
            )
        )


ENTRY, AGENT, API, ENDPOINT, OUTSIDE = (
    Participant.ENTRY,
    Participant.AGENT,
    Participant.API,
    Participant.ENDPOINT,
    Participant.OUTSIDE,
)
MAIN = "main"

STEPS = (
    Step("plain-route", "plain", "event ROUTE_CHOSEN", ENTRY, AGENT, MAIN),
    Step("plain-submit", "plain", "submit", ENTRY, AGENT, MAIN),
    Step("plain-queued", "plain", "event WORK_QUEUED", AGENT, AGENT, MAIN),
    Step("plain-run", "plain", "run", AGENT, ENDPOINT, MAIN),
    Step("plain-first", "plain", "part tokens", AGENT, ENTRY, MAIN),
    Step("plain-end", "plain", "part end", AGENT, ENTRY, MAIN),
    Step("stream-submit", "stream", "submit", ENTRY, AGENT, MAIN),
    Step("stream-first", "stream", "part tokens", AGENT, ENTRY, MAIN),
    Step("stream-middle", "stream", "part tokens", AGENT, ENTRY, MAIN, nth=60),
    Step("stream-output", "stream", "output", ENDPOINT, AGENT, MAIN, nth=60),
    Step("stream-end", "stream", "part end", AGENT, ENTRY, MAIN),
    Step("stream-answer", "stream", "answer tokens", ENTRY, OUTSIDE, MAIN, nth=30),
    Step("keyed-submit", "keyed", "submit", ENTRY, AGENT, MAIN),
    Step("keyed-claim", "keyed", "write claims", AGENT, API),
    Step("keyed-claimed", "keyed", "reply write claims", API, AGENT),
    Step("keyed-run", "keyed", "run", AGENT, ENDPOINT, MAIN),
    Step("keyed-output", "keyed", "output", ENDPOINT, AGENT, MAIN),
    Step("keyed-outcome", "keyed", "write claims", AGENT, API, nth=2),
    Step("keyed-recorded", "keyed", "reply write claims", API, AGENT, nth=2),
    Step("keyed-answer", "keyed", "part answer", AGENT, ENTRY, MAIN),
    Step("unkeyed-submit", "unkeyed", "submit", ENTRY, AGENT, MAIN),
    Step("unkeyed-run", "unkeyed", "run", AGENT, ENDPOINT, MAIN),
    Step("unkeyed-output", "unkeyed", "output", ENDPOINT, AGENT, MAIN),
    Step("unkeyed-answer", "unkeyed", "part answer", AGENT, ENTRY, MAIN),
    Step("role-write", "role", "write plan", ENTRY, API),
    Step("role-written", "role", "reply write plan", API, ENTRY),
    Step("role-watch", "role", "reply watch plan", API, AGENT),
    Step("role-read", "role", "read plan", AGENT, API),
    Step("role-plan", "role", "reply read plan", API, AGENT),
    Step("role-drain", "role", "event WORK_ENDED", AGENT, AGENT, "long"),
    Step(
        "role-ready", "role", "reply read plan", API, AGENT, after_seconds=2.4
    ),  # the running requests have ended by then
    Step("role-order", "role", "order", AGENT, ENDPOINT),
    Step("role-changed", "role", "reply order", ENDPOINT, AGENT),
    Step("config-write", "config", "write config", OUTSIDE, API),
    Step("config-watch-entry", "config", "reply watch config", API, ENTRY),
    Step("config-watch-agent", "config", "reply watch config", API, AGENT),
    Step("config-exchange", "exchange", "exchange", ENTRY, AGENT),
    Step("config-exchanged", "exchange", "reply exchange", AGENT, ENTRY),
    Step("join-list", "join", "reply read instances", API, ENTRY),
    Step("join-config", "join", "reply watch config", API, AGENT),
    Step("join-probe", "join", "probe", ENTRY, AGENT),
    Step("join-report", "join", "reply probe", AGENT, ENTRY),
    Step("leave-begin", "leave", "event DRAINING", AGENT, AGENT),
    Step("leave-report", "leave", "reply probe", AGENT, ENTRY, after_seconds=0.4),
    Step("leave-list", "leave", "reply read instances", API, ENTRY, after_seconds=3.0),
    Step("leave-part", "leave", "part tokens", AGENT, ENTRY, "long", nth=20),
    Step("leave-end", "leave", "part end", AGENT, ENTRY, "long"),
    Step("stop-entry-begin", "stop-entry", "event DRAINING", ENTRY, ENTRY),
    Step("stop-entry-part", "stop-entry", "part tokens", AGENT, ENTRY, "long", nth=20),
    Step("stop-entry-end", "stop-entry", "part end", AGENT, ENTRY, "long"),
    Step("takeover-write", "takeover", "write plan", ENTRY, API, after_seconds=1.8),
    Step("takeover-written", "takeover", "reply write plan", API, ENTRY, after_seconds=1.8),
    Step("takeover-watch", "takeover", "reply watch plan", API, ENTRY, after_seconds=1.8),
)
STEPS_BY_NAME = {one.name: one for one in STEPS}


def _is_participant(part: Participant, name: str) -> bool:
    if part is Participant.ENTRY:
        return name.startswith("entry-")
    if part is Participant.AGENT:
        return name.startswith(("engine-", "booking-")) and not name.endswith("-server")
    if part is Participant.ENDPOINT:
        return name.endswith("-server")
    return name == ("object-api" if part is Participant.API else "outside")
