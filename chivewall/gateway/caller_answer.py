"""The answer of one call, as far as its caller has it."""

import json

from attrs import define, field

from chivewall.decisions.event_stream import EventStream
from chivewall.environment import Environment
from chivewall.gateway.call_messages import (
    AnswerBegun,
    AnswerCut,
    AnswerDone,
    AnswerPiece,
    WholeAnswer,
)
from chivewall.gateway.calls import AnswerHead, CallDialect
from chivewall.results import ResultCode
from chivewall.task import Inbox

RETRY_AFTER = 0.25  # seconds; a refusal for want of an endpoint passes soon
PROMISES = frozenset({408, 421, 429, 503})  # statuses that say that the work has not run


@define(eq=False)
class CallerAnswer:
    """Sends the answer of a call to its caller's connection, once."""

    env: Environment
    dialect: CallDialect
    sink: Inbox  # of the connection
    call: int  # number of the call on its connection
    request_id: str | None
    stream: EventStream
    begun: bool = False  # the head was sent
    first_at: float | None = None  # when the first event was sent
    longest_pause: float = 0.0  # seconds between events
    _last_at: float = field(default=0.0, init=False)

    def send_events(self, head: AnswerHead, data: bytes) -> None:
        """Send the whole new events in the bytes of a run."""
        self._send_piece(head, self.stream.feed(data))

    def finish_events(self, head: AnswerHead) -> None:
        """Complete a stream whose run ended by itself."""
        self._send_piece(head, self.stream.finish())
        self._begin(head)
        self.sink.put(AnswerDone(self.call))

    def send_whole(self, head: AnswerHead, body: bytes) -> None:
        """Send an endpoint's whole answer."""
        headers = self.dialect.answer_headers(head.headers)
        self.sink.put(WholeAnswer(self.call, head.status, headers, body))

    def refuse(self, code: ResultCode, reason: str) -> None:
        """Send the gateway's own answer to a call that gets none of an endpoint."""
        self.sink.put(refusal(self.dialect, self.call, code, reason, self.request_id))

    def cut(self) -> None:
        """Break off a begun answer that can't be completed."""
        self.sink.put(AnswerCut(self.call))

    def _send_piece(self, head: AnswerHead, data: bytes) -> None:
        if not data:
            return
        if self.begun:
            self.longest_pause = max(self.longest_pause, self.env.now - self._last_at)
        self._last_at = self.env.now
        self._begin(head)
        self.sink.put(AnswerPiece(self.call, data))

    def _begin(self, head: AnswerHead) -> None:
        """Send the head of the first run; later runs continue its body."""
        if self.begun:
            return
        self.begun = True
        self.first_at = self.env.now
        headers = self.dialect.answer_headers(head.headers)
        self.sink.put(AnswerBegun(self.call, head.status, headers))


def refusal(
    dialect: CallDialect, call: int, code: ResultCode, reason: str, request_id: str | None
) -> WholeAnswer:
    """Return the gateway's own answer for a call that gets none of an endpoint."""
    error = {"code": code.number, "name": code.name, "message": reason, "run": code.run.value}
    retry_after = RETRY_AFTER if code.http_status in PROMISES else None
    headers = dialect.own_answer_headers(request_id, retry_after)
    return WholeAnswer(call, code.http_status, headers, json.dumps({"error": error}).encode())
