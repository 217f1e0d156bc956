"""Orders the number of a service's endpoints in each data centre as the load changes.

Every gateway measures the demand; the live one with the lowest address decides. If two gateways
both consider themselves that one, the lock of the duty lets only one make a call, and the other
learns from the lock what was ordered.
"""

from collections.abc import Callable, Mapping
from functools import singledispatchmethod
from typing import Any

from attrs import frozen
from twisted.internet.defer import Deferred

from chivewall.decisions.endpoint_counts import (
    LIST_SECONDS,
    CountOrder,
    EndpointCounts,
    window_seconds,
)
from chivewall.environment import Environment
from chivewall.errors import StoreError
from chivewall.events import MAX_ERROR_CHARS, Event
from chivewall.gateway.configuration_messages import ConfigurationInForce
from chivewall.gateway.duties import Duties
from chivewall.gateway.duty_messages import DutyOutcome, DutyState, PerformDuty, ReadDuty
from chivewall.gateway.fleet import Fleet
from chivewall.gateway.fleet_messages import ExpectEndpoints, FollowDemands, ServiceDemandQuery
from chivewall.gateway.gateway import Gateway, SubscribeToConfigurations
from chivewall.gateway.peers import IsFirstGateway, Peers
from chivewall.gateway.platform_duties import Duty, DutyLock, PlatformDuties
from chivewall.messages import Tick
from chivewall.plugins.base import Plugin
from chivewall.plugins.registry import Registry
from chivewall.task import Task

CHECK_SECONDS = 1.0  # interval between checks of the load
COUNT = "count"  # field of the lock's content
# An order of a former holder is taken for that of an earlier load after this time by the clocks of
# the two instances.
OLD_ORDER_SECONDS = 60.0

HolderOfSubject = Callable[[str], Task]


def subject(service: str, data_centre: str) -> str:
    """Return the subject of the lock for orders of a service's endpoints in a data centre."""
    return f"{service}--{data_centre}"


@frozen
class EndpointOrder:
    """The call that orders the number of endpoints in a data centre (``DutyCall``)."""

    service: str
    order: CountOrder

    @property
    def subject(self) -> str:
        """Return the subject of its lock."""
        return subject(self.service, self.order.data_centre)

    def content(self) -> Mapping[str, Any]:
        """Return the number, which a later holder has to know."""
        return {COUNT: self.order.count}

    def send(self, platform: PlatformDuties, lock: DutyLock) -> Deferred:
        """Make the call once."""
        return platform.order_endpoints(
            lock, self.service, self.order.data_centre, self.order.count
        )


class EndpointScaler(Task):
    """Checks the load once a second, and orders endpoints if needed."""

    def __init__(
        self, env: Environment, fleet: Fleet, peers: Peers, holder: HolderOfSubject
    ) -> None:
        super().__init__()
        self.env = env
        self.fleet = fleet
        self.peers = peers
        self.holder = holder  # the running task of a subject's duty
        self.counts: dict[str, EndpointCounts] = {}  # by service
        self.learned: dict[str, int] = {}  # number of the other holder's lock, by subject

    def start(self) -> None:
        """Start the task and the checks of the load."""
        super().start()
        self._schedule_check()

    @singledispatchmethod
    async def receive(self, message: object) -> None:
        """Handle one message."""
        raise TypeError(f"unexpected message {message!r}")

    @receive.register
    async def _(self, message: ConfigurationInForce) -> None:
        scales = {one.service: one for one in message.configuration.scales}
        if scales == {name: one.scale for name, one in self.counts.items()}:
            return
        self.counts = {
            name: self.counts.get(name) or EndpointCounts(one) for name, one in scales.items()
        }
        for name, one in scales.items():
            self.counts[name].scale = one
        self.fleet.send(FollowDemands({name: window_seconds(one) for name, one in scales.items()}))

    @receive.register
    async def _(self, message: Tick) -> None:
        if self.counts:
            await self._check()
        self._schedule_check()

    async def _check(self) -> None:
        if not await self.peers.query(IsFirstGateway()):
            for one in self.counts.values():
                one.pause()
            return
        for demand in await self.fleet.query(ServiceDemandQuery()):
            counts = self.counts.get(demand.service)
            for one in demand.data_centres:
                # The holder sees the era of the store from now on, not only at the first order.
                self.holder(subject(demand.service, one.data_centre))
            order = None if counts is None else counts.sample(demand, self.env.now)
            if order is not None:
                await self._order(counts, EndpointOrder(demand.service, order))

    async def _order(self, counts: EndpointCounts, call: EndpointOrder) -> None:
        holder = self.holder(call.subject)
        place = call.order.data_centre
        try:
            state: DutyState = await holder.query(ReadDuty())
        except StoreError as exc:
            counts.record_held(place, self.env.now)
            self._log(call, DutyOutcome.HELD, str(exc)[:MAX_ERROR_CHARS])
            return
        if self._learn(counts, call, state):
            self._log(call, DutyOutcome.HELD, "another instance has ordered a moment ago")
            return
        if not state.may_take:
            counts.record_held(place, self.env.now)
            self._log(
                call,
                DutyOutcome.HELD,
                "the lock of another holder or of the store's era is too recent",
            )
            return
        began_at = self.env.now
        until = began_at + counts.scale.start_seconds + LIST_SECONDS
        # Engines keep their stages from now on, also if the call is accepted without an answer.
        self.fleet.send(ExpectEndpoints(call.service, until))
        outcome = await holder.query(PerformDuty(call, state))
        if outcome in (DutyOutcome.ACCEPTED, DutyOutcome.UNKNOWN):
            counts.record_order(place, call.order.count, began_at)
        else:
            if outcome is DutyOutcome.REFUSED:
                counts.record_refused(place, self.env.now)
            else:
                counts.record_held(place, self.env.now)
            self.fleet.send(ExpectEndpoints(call.service, self.env.now))
        self._log(call, outcome, call.order.reason)

    def _learn(self, counts: EndpointCounts, call: EndpointOrder, state: DutyState) -> bool:
        """Learn the order of another holder; return whether it was not known and may have effect.

        Its call may never have been made. Then the endpoints are missed once they should serve.
        """
        lock = state.lock
        if lock is None or state.is_own or self.learned.get(call.subject) == lock.number:
            return False
        self.learned[call.subject] = lock.number
        count = lock.content.get(COUNT)
        age = self.env.unix_time() - lock.taken_at
        if not isinstance(count, int) or age > OLD_ORDER_SECONDS + counts.scale.start_seconds:
            return False
        counts.record_order(call.order.data_centre, count, self.env.now)
        return True

    def _log(self, call: EndpointOrder, outcome: DutyOutcome, reason: str) -> None:
        self.env.log.emit(
            Event.ENDPOINTS_ORDERED,
            service=call.service,
            place=call.order.data_centre,  # the line's own data centre is that of the gateway
            count=call.order.count,
            outcome=outcome.value,
            reason=reason,
        )

    def _schedule_check(self) -> None:
        self.env.clock.callLater(CHECK_SECONDS, self.send, Tick())


class EndpointScalerPlugin(Plugin):
    """Runs the ``EndpointScaler`` task where the platform asks for this duty."""

    name = "endpoint_scaler"

    async def setup(self) -> None:
        """Create the task."""
        self.scaler: EndpointScaler | None = None
        if Duty.ENDPOINT_COUNTS in self.env.require(PlatformDuties).duties:
            self.scaler = EndpointScaler(
                self.env,
                fleet=self.env.require(Fleet),
                peers=self.env.require(Peers),
                holder=self.env.require(Duties).holder,
            )

    async def start(self) -> None:
        """Start the task, and subscribe it to the services' ranges."""
        if self.scaler is not None:
            self.scaler.start()
            self.env.require(Gateway).send(SubscribeToConfigurations(self.scaler.inbox))

    async def drain(self) -> None:
        """Stop ordering."""
        await self.stop()

    async def stop(self) -> None:
        """Stop the task."""
        if self.scaler is not None:
            await self.scaler.stop()


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(EndpointScalerPlugin)
