"""Messages of the agent's admission, and the answer streams of its attempts."""

from attrs import define, field, frozen

from chivewall.interfaces import EndpointLoad, EndpointState, RunFailed, RunOutput
from chivewall.task import Inbox, Query
from chivewall.work import Attempt


@define(eq=False)
class ReportLoad(Query):
    """Ask for a fresh ``LoadReport``."""


@frozen
class EndpointSeen:
    """The endpoint answered a poll."""

    load: EndpointLoad
    state: EndpointState


@frozen
class EndpointLost:
    """The endpoint didn't answer a poll."""

    reason: str


@frozen
class RunMessage:
    """A message of a run, with the generation of the run that sent it."""

    generation: int
    message: RunOutput | RunFailed


@define(eq=False)
class RunSink:
    """Marks the messages of one run, so that those of a preempted one can be told apart."""

    inbox: Inbox
    generation: int

    def put(self, message: RunOutput | RunFailed) -> None:
        """Pass a message on to the admission task."""
        self.inbox.put(RunMessage(self.generation, message))


@define(eq=False)
class AnswerSink:
    """Where the parts of one attempt go."""

    attempt: Attempt
    inbox: Inbox
    seq: int = 0
    silent: bool = True  # no part since the last tick
    texts: list[str] = field(factory=list)  # tokens that this attempt has delivered
    generation: int = 0  # grows with each start; output of an earlier one is dropped
