"""The permits of one request for endpoints that name a rate limit."""

from attrs import define, field, frozen

from chivewall.decisions.placement import Placement
from chivewall.environment import Environment
from chivewall.gateway.rate_limit_messages import (
    AcquirePermit,
    Permit,
    PermitDenied,
    PermitNeed,
    ReleasePermit,
)
from chivewall.gateway.rate_limits import RateLimits
from chivewall.task import Inbox

MAX_DENIED = 12  # denied permits after which a request gives up
# A request waits for a permit for this many times the expected wait, and this much longer; if the
# wait turns out to be longer, it is placed anew with what is known then.
WAIT_FACTOR = 1.5
WAIT_MARGIN_SECONDS = 0.05


@frozen
class PermitsAcquired:
    """The permits for a placement were acquired, or one was denied; a step is taken again."""

    step: str
    permits: tuple[Permit, ...]
    denied: PermitDenied | None


@define(eq=False)
class RequestPermits:
    """Acquires permits, and holds them until they are used or the request ends."""

    env: Environment
    limits: RateLimits
    request_id: str | None
    sender: Inbox  # of the request's task
    denied: int = 0  # permits that were denied
    _held: dict[str, Permit] = field(factory=dict, init=False)  # by endpoint id

    @property
    def endpoints(self) -> frozenset[str]:
        """Return the ids of the endpoints for which it has a permit."""
        now = self.env.now
        return frozenset(one for one, permit in self._held.items() if permit.use_by > now)

    async def acquire(
        self, step: str, placement: Placement, deadline: float, *, committed: bool
    ) -> None:
        """Acquire the permits that a placement needs, and send ``PermitsAcquired``.

        ``deadline``: time until which the request can wait; ``committed``: it can't be refused,
        so it waits until then.
        """
        acquired: list[Permit] = []
        for need in placement.needs:
            reply = await self.limits.query(
                AcquirePermit(
                    need=need,
                    give_up_at=deadline if committed else min(deadline, self._give_up_at(need)),
                    request_id=self.request_id,
                )
            )
            if isinstance(reply, PermitDenied):
                self.sender.put(PermitsAcquired(step, tuple(acquired), reply))
                return
            acquired.append(reply)
        self.sender.put(PermitsAcquired(step, tuple(acquired), None))

    def _give_up_at(self, need: PermitNeed) -> float:
        return self.env.now + WAIT_FACTOR * need.wait + WAIT_MARGIN_SECONDS

    def record(self, message: PermitsAcquired) -> None:
        """Record what ``acquire`` brought."""
        if message.denied is not None:
            self.denied += 1
        for one in message.permits:
            self._held[one.endpoint] = one

    def use(self, endpoint: str) -> None:
        """Record that a request is sent to an endpoint."""
        self._held.pop(endpoint, None)

    def release(self, permits: tuple[Permit, ...] = ()) -> None:
        """Give back the permits that are left, and those of an answer that came too late."""
        for one in (*self._held.values(), *permits):
            if one.use_by > self.env.now:
                self.limits.send(ReleasePermit(one))
        self._held.clear()
