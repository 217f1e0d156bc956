"""The task that learns when answers are slow and keeps the operator's limits of extra attempts."""

from functools import singledispatchmethod

from attrs import field, frozen, validators

from chivewall.decisions.extra_attempts import (
    AnswerTimes,
    ExtraAttemptLimits,
    ExtraAttemptPolicy,
)
from chivewall.environment import Environment
from chivewall.gateway.extra_attempt_messages import (
    AnswerTime,
    EndpointTime,
    SlowAnswerDelay,
    SpendExtraAttempt,
)
from chivewall.plugins.base import Plugin
from chivewall.plugins.registry import Registry
from chivewall.task import Task


@frozen
class ExtraAttemptSettings:
    """Limits on second attempts beside slow ones."""

    max_share: float = field(
        default=0.0,
        validator=[validators.ge(0), validators.le(1)],
        metadata={"help": "Extra attempts allowed for each request of a service; 0 allows none."},
    )
    max_time_share: float = field(
        default=0.05,
        validator=[validators.ge(0), validators.le(1)],
        metadata={
            "help": "Time for which two endpoints may work on one request, by the time of all."
        },
    )
    quantile: float = field(
        default=0.95,
        validator=[validators.ge(0.5), validators.lt(1)],
        metadata={"help": "Share of the answers that come before an extra attempt begins."},
    )

    @property
    def policy(self) -> ExtraAttemptPolicy:
        """Return the limits for the decision."""
        return ExtraAttemptPolicy(self.max_share, self.max_time_share, self.quantile)


class ExtraAttempts(Task):
    """Owns the learned times of answers and the counts of extra attempts of one gateway."""

    def __init__(self, env: Environment, policy: ExtraAttemptPolicy) -> None:
        super().__init__()
        self.env = env
        self.policy = policy
        self.route_times: dict[tuple[str, str], AnswerTimes] = {}  # by service and route
        # By service. They stand in for a route with too few requests, as its answers wait for the
        # same endpoints.
        self.service_times: dict[str, AnswerTimes] = {}
        self.limits: dict[str, ExtraAttemptLimits] = {}  # by service

    @singledispatchmethod
    async def receive(self, message: object) -> None:
        """Handle one message."""
        raise TypeError(f"unexpected message {message!r}")

    @receive.register
    async def _(self, message: AnswerTime) -> None:
        key = (message.service, message.route)
        self.route_times.setdefault(key, AnswerTimes()).record(message.seconds, self.env.now)
        times = self.service_times.setdefault(message.service, AnswerTimes())
        times.record(message.seconds, self.env.now)

    @receive.register
    async def _(self, message: EndpointTime) -> None:
        limits = self._limits(message.service)
        if message.refused:
            limits.record_refusal(self.env.now)
        if message.doubled:
            limits.record_doubled(message.seconds, self.env.now)
        else:
            limits.record_attempt(message.seconds, self.env.now)

    @receive.register
    async def _(self, message: SlowAnswerDelay) -> None:
        message.reply(self._delay(message.service, message.route))

    @receive.register
    async def _(self, message: SpendExtraAttempt) -> None:
        message.reply(self._limits(message.service).spend(self.policy, self.env.now))

    def _delay(self, service: str, route: str) -> float | None:
        if not self._limits(service).allow(self.policy, self.env.now):
            return None
        times = self.route_times.get((service, route))
        if times is None or not times.is_settled(self.policy.quantile, self.env.now):
            times = self.service_times.get(service, AnswerTimes())
        return times.delay(self.policy.quantile, self.env.now)

    def _limits(self, service: str) -> ExtraAttemptLimits:
        return self.limits.setdefault(service, ExtraAttemptLimits())


class ExtraAttemptsPlugin(Plugin):
    """Provides ``ExtraAttempts``; without this plug-in no request gets an extra attempt."""

    name = "extra_attempts"
    settings_type = ExtraAttemptSettings

    async def setup(self) -> None:
        """Create the task and provide it."""
        self.extra_attempts = ExtraAttempts(self.env, self.cfg.policy)
        self.env.provide(ExtraAttempts, self.extra_attempts)

    async def start(self) -> None:
        """Start the task."""
        self.extra_attempts.start()

    async def stop(self) -> None:
        """Stop the task."""
        await self.extra_attempts.stop()

    def reload(self, cfg: ExtraAttemptSettings) -> None:
        """Apply changed limits; what was learned and counted stays."""
        self.cfg = cfg
        self.extra_attempts.policy = cfg.policy


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(ExtraAttemptsPlugin)
