"""Numbered log events and the event log."""

import time
from collections.abc import Callable
from enum import Enum
from typing import Any, TextIO

import structlog
from twisted.logger import formatEvent

from chivewall.log_stream import LineRateLimit

Clock = Callable[[], float]

MAX_ERROR_CHARS = 300  # of the text of an error that another process caused, in the log


class Event(Enum):
    """A log event: number, level and text.

    The table in ``docs/events.md`` is generated from these members.
    """

    STARTED = (100, "info", "process started")
    READY = (101, "info", "process ready")
    DRAINING = (102, "info", "graceful shutdown began")
    STOPPED = (103, "info", "process stopped")
    TASK_FAILED = (104, "error", "unexpected error in a task")

    REQUEST_ACCEPTED = (200, "info", "request accepted")
    ROUTE_CHOSEN = (201, "info", "endpoint chosen for an attempt")
    ROUTE_MISSING = (202, "warning", "no endpoint available for the attempt")
    ATTEMPT_FAILED = (203, "warning", "attempt ended without a complete response")
    RETRY_DECIDED = (204, "info", "retry decided")
    REQUEST_ENDED = (205, "info", "request ended")
    PART_DROPPED = (206, "warning", "response part dropped: from another attempt or out of order")

    WORK_QUEUED = (300, "info", "work queued at the agent")
    WORK_STARTED = (301, "info", "work started at the endpoint")
    WORK_REFUSED = (302, "info", "work refused before it ran")
    WORK_ENDED = (303, "info", "work ended at the endpoint")
    WORK_PREEMPTED = (306, "info", "running work preempted by more urgent work; it resumes later")
    CLAIM_DECIDED = (304, "info", "claim of an idempotency key decided")
    WORK_CHOSEN = (305, "info", "queued work selected to run")

    LINK_OPENED = (400, "info", "connection to an agent opened")
    LINK_BROKEN = (401, "warning", "connection to an agent broke or timed out")
    MEMBER_CHANGED = (402, "info", "state of an endpoint changed")
    EVICTION_HELD = (403, "warning", "evictions suspended: this observer may be cut off")

    CONFIGURATION_IN_FORCE = (500, "info", "configuration version in force")
    CONFIGURATION_REJECTED = (501, "warning", "configuration document rejected")
    CONFIGURATION_APPLIED = (502, "info", "operator's configuration change accepted")
    STORE_UNAVAILABLE = (503, "warning", "object API unavailable")

    STORE_HISTORY_LOST = (504, "info", "history of the object API is lost; listing again")
    STORE_REGAINED = (505, "info", "object API available again")
    DOCUMENT_REJECTED = (506, "warning", "document of the platform is invalid")
    STORE_ERA_BEGAN = (509, "info", "era of the object API; a later one follows a restore")
    STORE_ERA_TOLD = (511, "info", "another gateway names a later era of the object API")
    STORE_READ_DROPPED = (510, "warning", "answer of the object API dropped; listing again")
    SETTINGS_REJECTED = (508, "warning", "changed settings are invalid; previous settings kept")
    SETTINGS_RELOADED = (507, "info", "settings reloaded")

    LEASE_TAKEN = (600, "info", "lease of a data centre's plan taken")
    LEASE_LOST = (601, "warning", "lease of a data centre's plan lost")
    PLACEMENT_DECIDED = (602, "info", "role or models of an endpoint decided")
    ORDER_SENT = (603, "info", "order sent to the endpoint")
    ORDER_HELD = (604, "info", "order postponed")
    ORDER_FAILED = (605, "warning", "order refused or failed")
    PLAN_REJECTED = (606, "warning", "plan object rejected")
    SLOT_TAKEN = (607, "warning", "another process holds the exclusive lock of the endpoint")

    DUTY_CALLED = (608, "info", "call made that is the duty of one gateway at a time")
    DUTY_HELD = (609, "info", "call of a duty postponed")
    DUTY_RELEASED = (610, "info", "lock of a duty released for another gateway")
    ENDPOINTS_ORDERED = (620, "info", "number of a service's endpoints ordered")
    USAGE_INCOMPLETE = (611, "warning", "usage reported without the counts of some gateways")
    USAGE_SKIPPED = (612, "warning", "usage of some windows is not reported")

    CALL_ENDED = (700, "info", "forwarded call ended")
    CALL_ATTEMPT = (701, "info", "attempt of a call sent to an endpoint")
    CALL_ATTEMPT_FAILED = (702, "warning", "attempt of a call failed")
    CALL_REFUSED = (703, "info", "call refused; it has not run")
    CATALOGUE_IN_FORCE = (704, "info", "routing configuration in force")
    ENDPOINT_LISTED = (705, "info", "endpoint added, changed or removed in the platform's list")
    ENDPOINT_AVOIDED = (706, "warning", "endpoint avoided after failures")
    INGRESS_REJECTED = (707, "info", "malformed or oversized call rejected")

    KV_CACHE_LEFT = (709, "info", "unused KV cache could not be freed")
    SLOW_READER_CUT = (711, "warning", "connection cut: its caller reads too slowly")
    ENGINE_CRASHED = (712, "warning", "engine crashed while a call was starting at it")
    PROMPT_PART_CHECKED = (713, "info", "call with a suspected prompt part checked")
    PROMPT_PART_BLOCKED = (714, "warning", "prompt part blocked: it crashes engines")
    PROMPT_PART_CLEARED = (715, "info", "prompt part no longer suspected")
    CALL_WAITING = (716, "info", "call that may have run waits for an endpoint")
    ENDPOINT_ENTRY_IGNORED = (717, "info", "endpoint's entry is older than what is known")
    GATEWAY_DRAINED = (718, "info", "gateway has ended its calls before it stops")
    ENDPOINT_LEAVING = (720, "info", "endpoint leaves; it gets no new requests")
    ENDPOINT_LIMIT = (721, "info", "endpoint changed the rate limit that it names")
    ENDPOINT_LIMIT_REJECTED = (722, "warning", "endpoint names a rate limit that can't be read")
    PERMIT_DECIDED = (723, "info", "permit for an endpoint with a rate limit granted or denied")
    PERMIT_KEEPER_SILENT = (724, "warning", "gateway that grants permits does not answer")
    ENDPOINT_PAUSED = (725, "info", "endpoint asks this gateway for a pause")
    CALL_PAUSED = (726, "info", "call waits for the end of a pause that endpoints asked for")
    WORKSPACES_IN_FORCE = (730, "info", "keys of workspaces in force")
    WORKSPACE_ENTRY_ODD = (731, "warning", "part of the workspaces can't be read or is ambiguous")
    KEY_REVOKED = (732, "info", "call ended before its next attempt: its key is no longer valid")
    ENGINE_MEMORY_FULL = (740, "info", "call not placed: the engines have no memory for it")
    WORKSPACE_YIELDS = (733, "info", "call yields: its workspace uses more than its share")
    EXTRA_ATTEMPT = (760, "info", "extra attempt of a call sent beside a slow one")
    EXTRA_ATTEMPT_ENDED = (761, "info", "extra attempt of a call won, failed or was cancelled")
    SPEED_LEARNED = (710, "info", "learned speeds of a service changed")
    ENGINE_SPEED_LEARNED = (741, "info", "learned speed of one engine changed")
    PEER_UNREACHABLE = (708, "warning", "datagram to another gateway not sent")

    def __init__(self, number: int, level: str, text: str) -> None:
        self.number = number
        self.level = level
        self.text = text


class EventLog:
    """Writes events as JSON lines and passes them to observers.

    ``rate`` limits the lines; observers also get the events that are not written.

    Example: ``log.emit(Event.READY, instance="entry-1")``.
    """

    def __init__(
        self,
        stream: TextIO,
        rate: LineRateLimit | None = None,
        clock: Clock = time.monotonic,
        **context: Any,
    ) -> None:
        self._observers: list[Callable[[Event, dict[str, Any]], None]] = []
        self._rate = rate
        self._clock = clock
        self._log = structlog.wrap_logger(
            structlog.WriteLogger(stream),
            processors=[
                structlog.processors.TimeStamper(fmt="iso", utc=True),
                structlog.processors.JSONRenderer(default=str),
            ],
            wrapper_class=structlog.BoundLogger,
            cache_logger_on_first_use=True,
        ).bind(**context)

    def subscribe(self, observer: Callable[[Event, dict[str, Any]], None]) -> None:
        """Call ``observer`` with every event that is emitted from now on."""
        self._observers.append(observer)

    def emit(self, event: Event, **fields: Any) -> None:
        """Pass an event to the observers and write it, unless its rate is too high."""
        for observer in self._observers:
            observer(event, fields)
        if self._rate is not None:
            left_out = self._rate.admit(event, self._clock())
            if left_out is None:
                return
            if left_out:
                fields["left_out"] = left_out
        self._log.info(
            event.text, number=event.number, level=event.level, name=event.name, **fields
        )

    def observe_twisted_log(self, event: dict[str, Any]) -> None:
        """Emit ``TASK_FAILED`` for each unexpected error in Twisted's log; a log observer."""
        failure = event.get("log_failure")
        if failure is not None:
            text = formatEvent(event) or failure.getErrorMessage()
            self.emit(Event.TASK_FAILED, error=text, traceback=failure.getTraceback())
