"""The response to one request, and how much of it the caller has received."""

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

RETRY_AFTER = 0.25  # seconds; an endpoint is usually free again soon
PROMISES = frozenset({408, 421, 429, 503})  # statuses that promise that the request has not run


@define(eq=False)
class CallerAnswer:
    """Sends the response to a request to the caller's connection, exactly once."""

    env: Environment
    dialect: CallDialect
    sink: Inbox  # the caller's connection
    call: int  # number of the request on its connection
    request_id: str | None
    stream: EventStream
    begun: bool = False  # whether status and headers were sent
    first_at: float | None = None  # time when the first event was sent
    longest_pause: float = 0.0  # longest time between two events, in seconds
    _last_at: float = field(default=0.0, init=False)

    def send_events(self, head: AnswerHead, data: bytes) -> None:
        """Send the complete new events among the bytes of an endpoint's stream."""
        self._send_piece(head, self.stream.feed(data))

    def finish_events(self, head: AnswerHead) -> None:
        """Complete the response after an endpoint's stream has ended normally."""
        self._send_piece(head, self.stream.finish())
        self._begin(head)
        self.sink.put(AnswerDone(self.call))

    def send_whole(self, head: AnswerHead, body: bytes) -> None:
        """Send an endpoint's complete response."""
        headers = self.dialect.answer_headers(head.headers)
        self.sink.put(WholeAnswer(self.call, head.status, headers, body))

    def refuse(self, code: ResultCode, reason: str) -> None:
        """Send an error response of the gateway itself."""
        self.sink.put(refusal(self.dialect, self.call, code, reason, self.request_id))

    def cut(self) -> None:
        """Abort a response that was begun and can't be completed."""
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
        """Send status and headers once; resumed streams continue the same body."""
        if self.begun:
            return
        self.begun = True
        self.first_at = self.env.now
        headers = self.dialect.answer_headers(head.headers)
        self.sink.put(AnswerBegun(self.call, head.status, headers))


def refusal(
    dialect: CallDialect, call: int, code: ResultCode, reason: str, request_id: str | None
) -> WholeAnswer:
    """Return an error response of the gateway itself."""
    error = {"code": code.number, "name": code.name, "message": reason, "run": code.run.value}
    retry_after = RETRY_AFTER if code.http_status in PROMISES else None
    headers = dialect.own_answer_headers(request_id, retry_after)
    return WholeAnswer(call, code.http_status, headers, json.dumps({"error": error}).encode())
