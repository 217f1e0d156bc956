"""The steps at which faults are injected: messages, store writes and log events."""

from enum import Enum

from attrs import frozen

from bench.faults.network import Crossing


class Part(Enum):
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
    sender: Part
    receiver: Part
    about: str = ""  # prefix of the request id or object key
    nth: int = 1
    after: float = 0.0  # seconds since the scenario began; earlier messages don't count

    def matches(self, crossing: Crossing) -> bool:
        """Return whether a message or event is of this kind, regardless of ``nth``."""
        if crossing.kind != self.kind or not crossing.about.startswith(self.about):
            return False
        return all(
            _is(part, process.name)
            for part, process in (
                (self.sender, crossing.sender),
                (self.receiver, crossing.receiver),
            )
        )


E_, A_, O_, P_, X_ = Part.ENTRY, Part.AGENT, Part.API, Part.ENDPOINT, Part.OUTSIDE
MAIN = "main"

STEPS = (
    Step("plain-route", "plain", "event ROUTE_CHOSEN", E_, A_, MAIN),
    Step("plain-submit", "plain", "submit", E_, A_, MAIN),
    Step("plain-queued", "plain", "event WORK_QUEUED", A_, A_, MAIN),
    Step("plain-run", "plain", "run", A_, P_, MAIN),
    Step("plain-first", "plain", "part tokens", A_, E_, MAIN),
    Step("plain-end", "plain", "part end", A_, E_, MAIN),
    Step("stream-submit", "stream", "submit", E_, A_, MAIN),
    Step("stream-first", "stream", "part tokens", A_, E_, MAIN),
    Step("stream-middle", "stream", "part tokens", A_, E_, MAIN, nth=60),
    Step("stream-output", "stream", "output", P_, A_, MAIN, nth=60),
    Step("stream-end", "stream", "part end", A_, E_, MAIN),
    Step("stream-answer", "stream", "answer tokens", E_, X_, MAIN, nth=30),
    Step("keyed-submit", "keyed", "submit", E_, A_, MAIN),
    Step("keyed-claim", "keyed", "write claims", A_, O_),
    Step("keyed-claimed", "keyed", "reply write claims", O_, A_),
    Step("keyed-run", "keyed", "run", A_, P_, MAIN),
    Step("keyed-output", "keyed", "output", P_, A_, MAIN),
    Step("keyed-outcome", "keyed", "write claims", A_, O_, nth=2),
    Step("keyed-recorded", "keyed", "reply write claims", O_, A_, nth=2),
    Step("keyed-answer", "keyed", "part answer", A_, E_, MAIN),
    Step("unkeyed-submit", "unkeyed", "submit", E_, A_, MAIN),
    Step("unkeyed-run", "unkeyed", "run", A_, P_, MAIN),
    Step("unkeyed-output", "unkeyed", "output", P_, A_, MAIN),
    Step("unkeyed-answer", "unkeyed", "part answer", A_, E_, MAIN),
    Step("role-write", "role", "write plan", E_, O_),
    Step("role-written", "role", "reply write plan", O_, E_),
    Step("role-watch", "role", "reply watch plan", O_, A_),
    Step("role-read", "role", "read plan", A_, O_),
    Step("role-plan", "role", "reply read plan", O_, A_),
    Step("role-drain", "role", "event WORK_ENDED", A_, A_, "long"),
    Step(
        "role-ready", "role", "reply read plan", O_, A_, after=2.4
    ),  # the running requests have ended by then
    Step("role-order", "role", "order", A_, P_),
    Step("role-changed", "role", "reply order", P_, A_),
    Step("config-write", "config", "write config", X_, O_),
    Step("config-watch-entry", "config", "reply watch config", O_, E_),
    Step("config-watch-agent", "config", "reply watch config", O_, A_),
    Step("config-exchange", "exchange", "exchange", E_, A_),
    Step("config-exchanged", "exchange", "reply exchange", A_, E_),
    Step("join-list", "join", "reply read instances", O_, E_),
    Step("join-config", "join", "reply watch config", O_, A_),
    Step("join-probe", "join", "probe", E_, A_),
    Step("join-report", "join", "reply probe", A_, E_),
    Step("leave-begin", "leave", "event DRAINING", A_, A_),
    Step("leave-report", "leave", "reply probe", A_, E_, after=0.4),
    Step("leave-list", "leave", "reply read instances", O_, E_, after=3.0),
    Step("leave-part", "leave", "part tokens", A_, E_, "long", nth=20),
    Step("leave-end", "leave", "part end", A_, E_, "long"),
    Step("stop-entry-begin", "stop-entry", "event DRAINING", E_, E_),
    Step("stop-entry-part", "stop-entry", "part tokens", A_, E_, "long", nth=20),
    Step("stop-entry-end", "stop-entry", "part end", A_, E_, "long"),
    Step("takeover-write", "takeover", "write plan", E_, O_, after=1.8),
    Step("takeover-written", "takeover", "reply write plan", O_, E_, after=1.8),
    Step("takeover-watch", "takeover", "reply watch plan", O_, E_, after=1.8),
)
BY_NAME = {one.name: one for one in STEPS}


def _is(part: Part, name: str) -> bool:
    if part is Part.ENTRY:
        return name.startswith("entry-")
    if part is Part.AGENT:
        return name.startswith(("engine-", "booking-")) and not name.endswith("-server")
    if part is Part.ENDPOINT:
        return name.endswith("-server")
    return name == ("object-api" if part is Part.API else "outside")
