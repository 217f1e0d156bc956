"""Messages and state of the task that runs calls with an idempotency key under claims.

A claim is a stored record that makes one attempt the only one that may run a key.
"""

from attrs import define, field, frozen

from chivewall.decisions.claims import Claim, ClaimChange, Outcome, ShardState
from chivewall.task import Inbox, Query
from chivewall.work import Answer, Attempt


@define(eq=False)
class Run:
    """A call with an idempotency key, from its start until its outcome is recorded."""

    attempt: Attempt
    sink: Inbox
    shard: str
    key: str
    claim: Claim
    sent: bool = False  # True once the call was sent to the endpoint
    answer: Answer | None = None  # withheld from the caller until the outcome is recorded


@define(eq=False)
class CachedShard:
    """Cached copy of a stored shard of claims, with the changes to write to it."""

    key: str
    state: ShardState = field(factory=ShardState)
    version: int | None = None  # 0 if the object doesn't exist, None if it must be read
    pending_changes: list[ClaimChange] = field(factory=list)  # changes for the next write
    submitted_tokens: set[str] = field(factory=set)  # run tokens whose claim may have been written
    flush_scheduled: bool = False  # True if a ``FlushShard`` is on its way
    failures: int = 0  # failed writes in a row


@define(eq=False)
class GetShardCounts(Query):
    """Query for the number of shards of services; answered once all of them are known."""

    services: tuple[str, ...]


@frozen
class ShardCountFound:
    """Number of shards of a service, read from the object API."""

    service: str
    shard_count: int


@frozen
class StartRun:
    """Run an attempt under a claim."""

    attempt: Attempt
    sink: Inbox


@frozen
class FlushShard:
    """Tells the task to write the pending changes of a shard."""

    shard: str


@frozen
class RunTimedOut:
    """The time limit for writing a run's claim or outcome has passed."""

    token: str


@frozen
class OutcomeReady:
    """The outcome of a run is ready to be recorded."""

    run: Run
    outcome: Outcome
