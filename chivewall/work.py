"""Domain values: requests, attempts, the parts of an answer and load reports.

Deadlines are seconds on the clock of the process that holds the value.
"""

from enum import Enum

from attrs import field, frozen

from chivewall.results import ResultCode, RunState

TOKENS_PER_PIECE = 4096  # prefix caches at both sites count in pieces of this size


class Rank(Enum):
    """Priority class of a request, most urgent first."""

    URGENT = "urgent"
    STANDARD = "standard"
    PATIENT = "patient"


class EngineRole(Enum):
    """Which phase of generation an engine serves."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"


@frozen
class Completion:
    """Work for a model engine: a chat completion."""

    model: str
    messages: tuple["Message", ...]
    prompt_tokens: int
    max_tokens: int
    prefix_hashes: tuple[str, ...] = ()  # one chained hash for each full prompt piece

    @property
    def target(self) -> str:
        """Name under which endpoints advertise that they can do this work."""
        return self.model

    @property
    def idempotent(self) -> bool:
        """Generation has no effect outside the engine, so it may be repeated."""
        return True


@frozen
class Message:
    """One chat message."""

    role: str
    content: str


@frozen
class Header:
    """One HTTP header."""

    name: str
    value: str


@frozen
class Call:
    """Work for a plain service: one HTTP call."""

    service: str
    method: str
    path: str
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    idempotent: bool = False

    @property
    def target(self) -> str:
        """Name under which endpoints advertise that they can do this work."""
        return self.service


@frozen
class Request:
    """A caller's request as the entry accepted it."""

    id: str
    workspace: str
    rank: Rank
    deadline: float
    work: Completion | Call
    key: str | None = None  # the caller's Idempotency-Key
    first_token_by: float | None = None  # deadline of the first-token target of its rank


@frozen
class Attempt:
    """One try to serve a request at one agent."""

    request: Request
    number: int
    endpoint: str
    incarnation: str
    delivered: tuple[str, ...] = ()  # tokens that the caller already has

    @property
    def resume_from(self) -> int:
        """Index of the first token that the caller still lacks."""
        return len(self.delivered)


@frozen
class LoadReport:
    """What an agent says of itself; stale as soon as it is sent."""

    endpoint: str
    incarnation: str
    targets: tuple[str, ...] = ()
    role: EngineRole = EngineRole.MIXED
    waits: tuple[float, ...] = (0.0, 0.0, 0.0)  # estimated queueing time by rank, seconds
    running: int = 0
    parallel: int = 1  # attempts that the endpoint runs at once
    prefill_rate: float = 0.0  # tokens a second
    decode_rate: float = 0.0  # tokens a second for one stream
    kv_free_tokens: int = 0
    cached_prefixes: tuple[str, ...] = ()
    configuration_version: int = 0
    ready: bool = True
    leaving: bool = False
    sequence: int = 0  # orders the reports of one incarnation


@frozen
class Waiting:
    """Heartbeat while a request is queued or running without output."""


@frozen
class Tokens:
    """Generated tokens, the first one at ``index``."""

    index: int
    texts: tuple[str, ...]


@frozen
class Answer:
    """The whole answer of a plain service."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


@frozen
class End:
    """The last part of a complete answer of an engine."""

    finish_reason: str
    prompt_tokens: int
    completion_tokens: int


@frozen
class Refusal:
    """The last part of a request that gets no whole answer."""

    code: ResultCode
    message: str
    run: RunState
    retry_after: float | None = None  # seconds
    limit: str | None = None  # the default or exception that caused it
    reason: str | None = None  # the reason that operators gave for the limit


PartBody = Waiting | Tokens | Answer | End | Refusal


@frozen
class Part:
    """One message of an answer stream."""

    request_id: str
    attempt: int
    seq: int
    body: PartBody
    report: LoadReport | None = field(default=None)

    @property
    def last(self) -> bool:
        """True for the part that ends the stream."""
        return isinstance(self.body, Answer | End | Refusal)
