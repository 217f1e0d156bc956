"""A client that sends one request on a channel and says what came back, and how it ended."""

import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field

TIMEOUT_S = 30.0


@dataclass
class Answer:
    """What a client saw."""

    request: str
    sent_at: float = 0.0
    ended_at: float = 0.0
    status: int | None = None
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False  # by the framing of the answer
    end: str = ""  # how reading ended
    last_byte_at: float = 0.0


class Channel:
    """A kept channel to a gateway.

    ``recv_buffer``: size of the receive buffer; ``pace``: called after each read with the number
    of bytes, to read slowly; ``patience_s``: how long it waits for the whole answer.
    """

    def __init__(
        self,
        address: tuple[str, int],
        recv_buffer: int | None = None,
        pace: Callable[[int], None] | None = None,
        patience_s: float | None = None,
    ) -> None:
        self.socket = socket.socket()
        if recv_buffer is not None:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, recv_buffer)
        self.socket.settimeout(TIMEOUT_S)
        self.socket.connect(address)
        self.pace = pace
        self.patience_s = patience_s
        self._data = bytearray()

    def close(self) -> None:
        """Close the channel."""
        self.socket.close()

    def request(self, method: str, path: str, headers: dict[str, str], body: bytes = b"") -> Answer:
        """Send a request and read its answer."""
        answer = Answer(headers_id(headers), sent_at=time.monotonic())
        self._sent_at = self._last_byte_at = answer.sent_at
        lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        try:
            self.socket.sendall("\r\n".join([*lines, "", ""]).encode() + body)
            self._read(answer)
        except TimeoutError:
            answer.end = "the channel is still open, without an end of the answer"
        except OSError as exc:
            answer.end = f"channel broke: {type(exc).__name__}"
        answer.last_byte_at = self._last_byte_at
        answer.ended_at = time.monotonic()
        return answer

    def _read(self, answer: Answer) -> None:
        while b"\r\n\r\n" not in self._data:
            if not self._more():
                answer.end = "channel closed before an answer"
                return
        head, _, rest = bytes(self._data).partition(b"\r\n\r\n")
        self._data = bytearray(rest)
        first, *lines = head.decode("latin-1").split("\r\n")
        answer.status = int(first.split()[1])
        answer.headers = {
            key.lower(): value.strip() for key, _, value in (one.partition(":") for one in lines)
        }
        if "content-length" in answer.headers:
            self._read_length(answer, int(answer.headers["content-length"]))
        else:
            self._read_chunks(answer)

    def _read_length(self, answer: Answer, size: int) -> None:
        try:
            while len(self._data) < size:
                if not self._more():
                    answer.end = f"channel closed after {len(self._data)} of {size} bytes"
                    return
            answer.complete, answer.end = True, "complete"
        except OSError as exc:
            answer.end = f"{type(exc).__name__} after {len(self._data)} of {size} bytes"
        finally:
            answer.body = bytes(self._data[:size])
            del self._data[:size]

    def _read_chunks(self, answer: Answer) -> None:
        body = bytearray()
        try:
            while True:
                line = self._line()
                size = int(line.split(b";")[0] or b"0", 16)
                self._fill(size + 2)
                body += self._data[:size]
                del self._data[: size + 2]
                if size == 0:
                    answer.complete, answer.end = True, "complete"
                    return
        except EOFError:
            answer.end = f"channel closed inside the chunks after {len(body)} bytes"
        finally:
            answer.body = bytes(body)

    def _fill(self, size: int) -> None:
        while len(self._data) < size:
            if not self._more():
                raise EOFError

    def _line(self) -> bytes:
        while b"\r\n" not in self._data:
            if not self._more():
                raise EOFError
        line, _, rest = bytes(self._data).partition(b"\r\n")
        self._data = bytearray(rest)
        return line

    def _more(self) -> bool:
        if self.patience_s is not None:
            left = self._sent_at + self.patience_s - time.monotonic()
            self.socket.settimeout(max(0.001, left))
        data = self.socket.recv(65_536)
        self._data += data
        self._last_byte_at = time.monotonic() if data else self._last_byte_at
        if data and self.pace is not None:
            self.pace(len(data))
        return bool(data)


def headers_id(headers: dict[str, str]) -> str:
    """Return the request's id."""
    return headers["X-Request-Id"]
