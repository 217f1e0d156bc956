"""Messages of the agent's admission task, and the response streams of its attempts."""

from attrs import define, field, frozen

from chivewall.interfaces import EndpointLoad, EndpointState, RunFailed, RunOutput
from chivewall.task import Inbox, Query
from chivewall.work import Attempt


@define(eq=False)
class ReportLoad(Query):
    """Query for a fresh ``LoadReport``."""


@frozen
class EndpointPolled:
    """Load and state of the endpoint, from a poll that succeeded."""

    load: EndpointLoad
    state: EndpointState


@frozen
class EndpointPollFailed:
    """Reports that the endpoint did not answer a poll."""

    reason: str


@frozen
class RunMessage:
    """Output or failure of a run, with the generation number of that run."""

    generation: int
    message: RunOutput | RunFailed


@define(eq=False)
class RunSink:
    """Adds the generation of a run to its messages, to tell them from those of a preempted run."""

    inbox: Inbox
    generation: int

    def put(self, message: RunOutput | RunFailed) -> None:
        """Send a message of the run to the admission task."""
        self.inbox.put(RunMessage(self.generation, message))


@define(eq=False)
class AttemptStream:
    """State of the response stream of one attempt."""

    attempt: Attempt
    inbox: Inbox
    seq: int = 0  # sequence number of the next part
    idle: bool = True  # True if no part was sent since the last tick
    delivered_texts: list[str] = field(factory=list)  # tokens delivered by this attempt
    generation: int = 0  # incremented at each start; output of earlier runs is dropped
