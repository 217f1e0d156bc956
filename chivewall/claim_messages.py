"""Messages and records of the task that runs keyed calls under claims."""

from attrs import define, field, frozen

from chivewall.decisions.claims import Claim, ClaimChange, Outcome, ShardState
from chivewall.task import Inbox, Query
from chivewall.work import Answer, Attempt


@define(eq=False)
class Run:
    """One keyed attempt between its start and the record of its outcome."""

    attempt: Attempt
    sink: Inbox
    shard: str
    key: str
    claim: Claim
    sent: bool = False
    answer: Answer | None = None  # held back until its outcome is recorded


@define(eq=False)
class Shard:
    """The cached copy of a shard object and the changes that wait for it."""

    key: str
    state: ShardState = field(factory=ShardState)
    version: int | None = None  # 0 if the object is missing, None if it must be read
    pending: list[ClaimChange] = field(factory=list)
    submitted: set[str] = field(factory=set)  # tokens whose claim may have been written
    scheduled: bool = False
    failures: int = 0


@define(eq=False)
class FindLayout(Query):
    """Ask for the number of shards of services; answered when it is known."""

    services: tuple[str, ...]


@frozen
class LayoutFound:
    """The number of shards of a service, as the object API has it."""

    service: str
    shards: int


@frozen
class StartRun:
    """Run an attempt under a claim."""

    attempt: Attempt
    sink: Inbox


@frozen
class Flush:
    """Write the pending changes of a shard."""

    shard: str


@frozen
class WaitEnded:
    """The longest wait of a run for its claim or its record is over."""

    token: str


@frozen
class OutcomeReady:
    """The outcome of a run can be recorded."""

    run: Run
    outcome: Outcome
