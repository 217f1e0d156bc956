"""The response to one request, and how much of it the caller has received."""

import json

from attrs import define, field

from chivewall.decisions.event_stream import EventStream
from chivewall.environment import Environment
from chivewall.gateway.caller_messages import (
    AbortResponse,
    FinishResponse,
    SendChunk,
    SendResponse,
    StartResponse,
)
from chivewall.gateway.http_dialect import HttpDialect, ResponseHead
from chivewall.results import ResultCode
from chivewall.task import Inbox

RETRY_AFTER_SECONDS = 0.25  # an endpoint is usually free again soon
# HTTP statuses that state that the request has not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@define(eq=False)
class CallerResponse:
    """Sends the response to a request to the caller's connection, exactly once."""

    env: Environment
    dialect: HttpDialect
    connection: Inbox  # the caller's connection
    request_number: int  # number of the request on its connection
    request_id: str | None
    stream: EventStream
    started: bool = False  # whether status and headers were sent
    first_event_at: float | None = None  # time when the first event was sent
    longest_pause: float = 0.0  # longest time between two events, in seconds
    _last_event_at: float = field(default=0.0, init=False)

    def send_events(self, head: ResponseHead, data: bytes) -> None:
        """Send the complete new events among the bytes of an endpoint's stream."""
        self._send_chunk(head, self.stream.feed(data))

    def finish_stream(self, head: ResponseHead) -> None:
        """Complete the response after an endpoint's stream has ended normally."""
        self._send_chunk(head, self.stream.finish())
        self._start(head)
        self.connection.put(FinishResponse(self.request_number))

    def send_response(self, head: ResponseHead, body: bytes) -> None:
        """Send an endpoint's complete response."""
        headers = self.dialect.response_headers(head.headers)
        self.connection.put(SendResponse(self.request_number, head.status, headers, body))

    def refuse(self, code: ResultCode, reason: str, retry_after: float | None = None) -> None:
        """Send an error response of the gateway itself.

        ``retry_after``: seconds after which the caller may come back; unset for the default.
        """
        self.connection.put(
            error_response(
                self.dialect, self.request_number, code, reason, self.request_id, retry_after
            )
        )

    def abort(self) -> None:
        """Abort a response that was started and can't be completed."""
        self.connection.put(AbortResponse(self.request_number))

    def _send_chunk(self, head: ResponseHead, data: bytes) -> None:
        if not data:
            return
        if self.started:
            self.longest_pause = max(self.longest_pause, self.env.now - self._last_event_at)
        self._last_event_at = self.env.now
        self._start(head)
        self.connection.put(SendChunk(self.request_number, data))

    def _start(self, head: ResponseHead) -> None:
        """Send status and headers once; resumed streams continue the same body."""
        if self.started:
            return
        self.started = True
        self.first_event_at = self.env.now
        headers = self.dialect.response_headers(head.headers)
        self.connection.put(StartResponse(self.request_number, head.status, headers))


def error_response(
    dialect: HttpDialect,
    request_number: int,
    code: ResultCode,
    reason: str,
    request_id: str | None,
    retry_after: float | None = None,
) -> SendResponse:
    """Return an error response of the gateway itself."""
    error = {"code": code.number, "name": code.name, "message": reason, "run": code.run.value}
    if retry_after is None:
        retry_after = RETRY_AFTER_SECONDS
    wait = retry_after if code.http_status in NOT_RUN_STATUSES else None
    headers = dialect.gateway_response_headers(request_id, wait)
    return SendResponse(
        request_number, code.http_status, headers, json.dumps({"error": error}).encode()
    )
