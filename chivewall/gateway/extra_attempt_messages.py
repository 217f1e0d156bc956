"""Messages to the ``ExtraAttempts`` task, which learns when an answer is slow."""

from attrs import define, frozen

from chivewall.task import Query


@define(eq=False)
class SlowAnswerDelay(Query):
    """Ask after how many seconds an answer is slow; ``None``: no extra attempt is allowed."""

    service: str
    route: str


@define(eq=False)
class SpendExtraAttempt(Query):
    """Ask for one extra attempt at a service; the reply is a ``bool``."""

    service: str


@frozen
class AnswerSlow:
    """The answer of an exchange is slow; for the request's task."""

    exchange: int


@frozen
class AnswerTime:
    """The time from the send of an attempt to its answer, or to its end without one."""

    service: str
    route: str
    seconds: float


@frozen
class EndpointTime:
    """The time for which an endpoint worked on an attempt that has ended."""

    service: str
    seconds: float
    refused: bool = False
    doubled: bool = False  # the time for which two endpoints worked on one request
