"""Domain values: requests, attempts, response parts and load reports.

Deadlines are in seconds on the clock of the process that holds the value.
"""

from enum import Enum

from attrs import field, frozen

from chivewall.results import ResultCode, RunState

TOKENS_PER_PIECE = 4096  # block size of the prefix caches at both sites


class Rank(Enum):
    """Priority class of a request, most urgent first."""

    URGENT = "urgent"
    STANDARD = "standard"
    PATIENT = "patient"


class EngineRole(Enum):
    """Phases of generation that an engine serves."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"


@frozen
class Completion:
    """Chat completion for a model engine to run."""

    model: str
    messages: tuple["Message", ...]
    prompt_tokens: int
    max_tokens: int
    prefix_hashes: tuple[str, ...] = ()  # one chained hash for each full piece of the prompt

    @property
    def target(self) -> str:
        """Name of the model, which the endpoint must list among its targets."""
        return self.model

    @property
    def idempotent(self) -> bool:
        """Always true: generation has no effect outside the engine and may be repeated."""
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
    """HTTP call for a plain service to run."""

    service: str
    method: str
    path: str
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    idempotent: bool = False

    @property
    def target(self) -> str:
        """Name of the service, which the endpoint must list among its targets."""
        return self.service


@frozen
class Request:
    """A caller's request that an entry has accepted."""

    id: str
    workspace: str
    rank: Rank
    deadline: float
    work: Completion | Call
    idempotency_key: str | None = None  # the caller's Idempotency-Key
    first_token_deadline: float | None = None  # when the first-token target of its rank ends


@frozen
class Attempt:
    """One try to serve a request at the agent of one endpoint."""

    request: Request
    number: int  # counts the attempts of the request
    endpoint: str
    incarnation: str  # identifies one start of the agent's process
    delivered: tuple[str, ...] = ()  # tokens that the caller has received already

    @property
    def resume_from(self) -> int:
        """Index of the first token that the caller has not received yet."""
        return len(self.delivered)


@frozen
class LoadReport:
    """Load and state of an endpoint, as its agent reports them; may be outdated on arrival."""

    endpoint: str
    incarnation: str
    targets: tuple[str, ...] = ()  # models that an engine serves, or name of the service
    role: EngineRole = EngineRole.MIXED
    waits: tuple[float, ...] = (0.0, 0.0, 0.0)  # estimated queueing time in seconds, by rank
    running: int = 0  # attempts
    parallel: int = 1  # maximum number of attempts that run at the same time
    prefill_rate: float = 0.0  # tokens per second
    decode_rate: float = 0.0  # tokens per second of one stream
    kv_free_tokens: int = 0  # free part of the KV cache
    cached_prefixes: tuple[str, ...] = ()  # prefix hashes
    configuration_version: int = 0
    ready: bool = True
    leaving: bool = False  # True if the agent accepts no new work because it is shutting down
    sequence: int = 0  # increases with each report of an incarnation


@frozen
class Waiting:
    """Heartbeat that is sent while an attempt is queued or runs without output."""


@frozen
class Tokens:
    """Generated tokens; ``index`` is the position of the first one in the completion."""

    index: int
    texts: tuple[str, ...]


@frozen
class Answer:
    """The complete response of a plain service."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


@frozen
class End:
    """The last part of a complete response of an engine."""

    finish_reason: str
    prompt_tokens: int
    completion_tokens: int


@frozen
class Refusal:
    """The last part of a response that is not complete: why the request was refused or failed."""

    code: ResultCode
    message: str
    run: RunState
    retry_after: float | None = None  # seconds
    limit: str | None = None  # the default or exception that caused the refusal
    reason: str | None = None  # the reason that operators gave for that limit


PartBody = Waiting | Tokens | Answer | End | Refusal


@frozen
class Part:
    """One message of the response stream of an attempt or a request."""

    request_id: str
    attempt: int
    seq: int
    body: PartBody
    report: LoadReport | None = field(default=None)

    @property
    def last(self) -> bool:
        """True for the part that ends the stream."""
        return isinstance(self.body, Answer | End | Refusal)
