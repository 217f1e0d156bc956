"""Acquires permits for requests to endpoints that name a rate limit, and grants them to others.

Each limit is kept by one live gateway (``decisions/permits.py``). A request is sent only with a
permit of the gateway that keeps the limit, so that all gateways together keep it. A gateway that
doesn't answer is passed over for a while.
"""

import itertools
from collections import OrderedDict
from functools import singledispatchmethod

from attrs import define
from twisted.internet.interfaces import IDelayedCall

from chivewall.decisions.permits import (
    ASK_LIFETIME_SECONDS,
    PERMIT_SECONDS,
    AskKey,
    PermitAsk,
    PermitDecision,
    PermitQueue,
    Ruling,
    granted_share,
    keeper_order,
)
from chivewall.environment import Environment
from chivewall.events import Event
from chivewall.gateway.fleet import Fleet
from chivewall.gateway.rate_limit_messages import (
    AcquirePermit,
    EndedAsk,
    GatewaysChanged,
    PeerAsk,
    PeerRelease,
    PeerRuling,
    Permit,
    PermitDenied,
    PermitExpected,
    ReleasePermit,
    SendAsk,
    SendRelease,
    SendRuling,
    SharedAsk,
    SharedRuling,
    SubscribeToPermits,
)
from chivewall.messages import Tick
from chivewall.plugins.base import Plugin
from chivewall.plugins.registry import Registry
from chivewall.task import Inbox, Task

ANSWER_SECONDS = 0.1  # time in which another gateway answers an ask; a datagram may be lost
MAX_UNANSWERED = 3  # asks without an answer after which the next gateway is asked
SILENT_SECONDS = 2.0  # time for which a gateway that did not answer is passed over
MAX_KEEPERS = 3  # gateways that are asked for one permit
REPEAT_SECONDS = 0.4  # interval in which a waiting ask is repeated
# Two intervals between hellos: a gateway that has just started may not know the others yet.
SETTLED_SECONDS = 4.0
MAX_GRANTED = 4096  # granted asks whose numbers are kept, since a second answer may be under way
FIRST_NUMBERS = 2**40  # range of the first number of an ask
UNKNOWN_WAIT_SECONDS = 1.0  # expected wait if no gateway answers


@define(eq=False)
class PendingAsk:
    """An ask of this gateway that has no final answer."""

    query: AcquirePermit
    number: int
    asked_at: float
    keeper: str = ""  # gateway that is asked, ``""`` for this one
    sent_at: float = 0.0  # the last time
    answered: bool = False  # since then
    unanswered: int = 0  # asks without an answer since the last one
    keepers_asked: int = 1

    def ended(self) -> EndedAsk:
        """Return what is told of it when it ends without a use of its permit."""
        return EndedAsk(self.number, self.query.need.endpoint)


class RateLimits(Task):
    """Owns the permits of the limits that this gateway keeps, and its own open asks."""

    def __init__(self, env: Environment, fleet: Fleet) -> None:
        super().__init__()
        self.env = env
        self.fleet = fleet
        self.started_at = env.now
        self.gateways = GatewaysChanged(own="", live=("",), remembered=1)
        self.sender: Inbox | None = None  # sends messages to other gateways
        self.queues: dict[str, PermitQueue] = {}  # by endpoint id
        self.pending: dict[int, PendingAsk] = {}
        self._granted: OrderedDict[int, None] = OrderedDict()  # numbers of the latest granted asks
        self._silent_until: dict[str, float] = {}  # by gateway
        self._orders: dict[str, list[str]] = {}  # keeper order by endpoint id
        # A gateway that restarts must not take up the numbers of its asks before.
        self._numbers = itertools.count(env.random.randrange(FIRST_NUMBERS))
        self._timer: IDelayedCall | None = None

    async def on_stop(self) -> None:
        """Cancel the timer of the queues."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    @singledispatchmethod
    async def receive(self, message: object) -> None:
        """Handle one message."""
        raise TypeError(f"unexpected message {message!r}")

    @receive.register
    async def _(self, message: SubscribeToPermits) -> None:
        self.sender = message.inbox

    @receive.register
    async def _(self, message: GatewaysChanged) -> None:
        if set(message.live) != set(self.gateways.live):
            self._orders.clear()
            self._silent_until = {
                one: until for one, until in self._silent_until.items() if one in message.live
            }
        self.gateways = message

    @receive.register
    async def _(self, message: AcquirePermit) -> None:
        pending = PendingAsk(message, next(self._numbers), self.env.now)
        self.pending[pending.number] = pending
        self._ask(pending)

    @receive.register
    async def _(self, message: ReleasePermit) -> None:
        permit = message.permit
        self._release(permit.keeper, EndedAsk(permit.number, permit.endpoint))

    @receive.register
    async def _(self, message: PeerAsk) -> None:
        ask = message.ask
        decision = self._rule(
            ask,
            PermitAsk(
                key=AskKey(message.gateway, ask.number),
                rank=ask.rank,
                give_up_at=self.env.now + ask.seconds_left,
            ),
            stated_at=self.env.now - ask.age,
        )
        self._answer(ask.endpoint, decision)

    @receive.register
    async def _(self, message: PeerRelease) -> None:
        self._release_kept(message.gateway, message.ask)

    @receive.register
    async def _(self, message: PeerRuling) -> None:
        ruling = message.ruling
        pending = self.pending.get(ruling.number)
        if pending is not None and pending.keeper == message.gateway:
            pending.answered, pending.unanswered = True, 0
            self._settle(pending, ruling.ruling, ruling.wait)
        elif ruling.ruling is Ruling.GRANTED and ruling.number not in self._granted:
            self._release(message.gateway, EndedAsk(ruling.number, ruling.endpoint))

    @receive.register
    async def _(self, message: Tick) -> None:
        if message.purpose == "queues":
            self._timer = None
            self._grant_due()
        else:
            self._repeat(int(message.purpose))

    def _ask(self, pending: PendingAsk) -> None:
        """Ask the gateway that keeps the endpoint's limit."""
        need = pending.query.need
        pending.keeper = self._keeper(need.endpoint)
        pending.sent_at, pending.answered = self.env.now, False
        ask = SharedAsk(
            number=pending.number,
            endpoint=need.endpoint,
            rate=need.rate,
            age=max(0.0, self.env.now - need.stated_at),
            rank=need.rank,
            seconds_left=max(0.0, pending.query.give_up_at - self.env.now),
        )
        if pending.keeper == self.gateways.own:
            own = PermitAsk(
                AskKey(self.gateways.own, pending.number), ask.rank, pending.query.give_up_at
            )
            decision = self._rule(ask, own, need.stated_at)
            self._settle(pending, decision.ruling, decision.wait)
        elif self.sender is not None:
            self.sender.put(SendAsk(pending.keeper, ask))
        if pending.number in self.pending:
            self._check_later(pending, ANSWER_SECONDS)

    def _check_later(self, pending: PendingAsk, seconds: float) -> None:
        self.env.clock.callLater(seconds, self.send, Tick(str(pending.number)))

    def _repeat(self, number: int) -> None:
        """Repeat an ask, so that its place is kept, or ask another gateway."""
        pending = self.pending.get(number)
        if pending is None:
            return
        if pending.query.deferred.called:  # the request has ended
            del self.pending[number]
            self._release(pending.keeper, pending.ended())
            return
        repeat_in = pending.sent_at + REPEAT_SECONDS - self.env.now
        if pending.answered and repeat_in > 0:
            self._check_later(pending, repeat_in)
            return
        if not pending.answered and pending.keeper != self.gateways.own:
            pending.unanswered += 1
        if pending.unanswered >= MAX_UNANSWERED:
            self._pass_over(pending)
            if pending.keepers_asked > MAX_KEEPERS:
                self._settle(pending, Ruling.DENIED, UNKNOWN_WAIT_SECONDS)
                return
        self._ask(pending)

    def _pass_over(self, pending: PendingAsk) -> None:
        """Ask the next gateway, since the one that keeps the limit doesn't answer."""
        self._silent_until[pending.keeper] = self.env.now + SILENT_SECONDS
        self._release(pending.keeper, pending.ended())
        pending.unanswered = 0
        pending.keepers_asked += 1
        self.env.log.emit(
            Event.PERMIT_KEEPER_SILENT,
            request=pending.query.request_id,
            endpoint=pending.query.need.endpoint,
            peer=pending.keeper,
            seconds=SILENT_SECONDS,
        )

    def _settle(self, pending: PendingAsk, ruling: Ruling, wait: float) -> None:
        """Take the answer to an ask of this gateway."""
        query, now = pending.query, self.env.now
        endpoint = query.need.endpoint
        if ruling is not Ruling.GRANTED:
            self.fleet.send(PermitExpected(endpoint, query.need.rank, now + wait))
        if ruling is Ruling.QUEUED:
            return
        del self.pending[pending.number]
        if ruling is Ruling.GRANTED and query.deferred.called:
            self._release(pending.keeper, pending.ended())
            return
        self.env.log.emit(
            Event.PERMIT_DECIDED,
            request=query.request_id,
            endpoint=endpoint,
            outcome=ruling.name.lower(),
            peer=pending.keeper,
            rank=query.need.rank,
            rate=query.need.rate,
            age=round(now - query.need.stated_at, 3),
            waited=round(now - pending.asked_at, 4),
            wait=round(wait, 3),
        )
        if ruling is Ruling.GRANTED:
            self._granted[pending.number] = None
            if len(self._granted) > MAX_GRANTED:
                self._granted.popitem(last=False)
            permit = Permit(endpoint, pending.number, pending.keeper, now + PERMIT_SECONDS)
            query.reply(permit)
        else:
            query.reply(PermitDenied(endpoint, wait))

    def _rule(self, ask: SharedAsk, key: PermitAsk, stated_at: float) -> PermitDecision:
        """Rule on an ask as the gateway that keeps the limit."""
        now = self.env.now
        queue = self.queues.get(ask.endpoint)
        position = self._own_position(ask.endpoint)
        live = len(self.gateways.live)
        rate = ask.rate * granted_share(position, live, self.gateways.remembered)
        if queue is None:
            self.queues = {one: kept for one, kept in self.queues.items() if not kept.is_idle(now)}
            # Another gateway may have granted a permit just before.
            first_at = now + 1 / rate if position else now
            queue = PermitQueue(rate, stated_at, first_at)
            self.queues[ask.endpoint] = queue
        elif stated_at >= queue.stated_at:
            queue.set_rate(rate, stated_at, now)
        own = key.key.gateway == self.gateways.own
        decision = queue.ask(
            key, now, repeated_by=key.give_up_at if own else now + ASK_LIFETIME_SECONDS
        )
        self._schedule_queues()
        return decision

    def _answer(self, endpoint: str, decision: PermitDecision) -> None:
        """Pass a decision to the gateway that asked."""
        if decision.key.gateway == self.gateways.own:
            pending = self.pending.get(decision.key.number)
            if pending is not None and pending.keeper == self.gateways.own:
                self._settle(pending, decision.ruling, decision.wait)
        elif self.sender is not None:
            ruling = SharedRuling(decision.key.number, endpoint, decision.ruling, decision.wait)
            self.sender.put(SendRuling(decision.key.gateway, ruling))

    def _grant_due(self) -> None:
        for endpoint, queue in list(self.queues.items()):
            for decision in queue.due(self.env.now):
                self._answer(endpoint, decision)
        self._schedule_queues()

    def _schedule_queues(self) -> None:
        """Set the timer to the time at which the next permit is due."""
        times = [queue.next_due(self.env.now) for queue in self.queues.values()]
        due_at = min((one for one in times if one is not None), default=None)
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        if due_at is not None:
            delay = max(0.0, due_at - self.env.now)
            self._timer = self.env.clock.callLater(delay, self.send, Tick("queues"))

    def _release(self, keeper: str, ask: EndedAsk) -> None:
        """End an ask of this gateway, or give its permit back."""
        if keeper == self.gateways.own:
            self._release_kept(keeper, ask)
        elif self.sender is not None:
            self.sender.put(SendRelease(keeper, ask))

    def _release_kept(self, gateway: str, ask: EndedAsk) -> None:
        queue = self.queues.get(ask.endpoint)
        if queue is not None:
            queue.release(AskKey(gateway, ask.number), self.env.now)
            self._schedule_queues()

    def _keeper(self, endpoint: str) -> str:
        """Return the first gateway in the keeper order that isn't passed over."""
        now = self.env.now
        order = self._keeper_order(endpoint)
        answering = [one for one in order if self._silent_until.get(one, 0.0) <= now]
        return next(iter(answering), self.gateways.own)

    def _keeper_order(self, endpoint: str) -> list[str]:
        if endpoint not in self._orders:
            self._orders[endpoint] = keeper_order(endpoint, self.gateways.live)
        return self._orders[endpoint]

    def _own_position(self, endpoint: str) -> int:
        """Return the position of this gateway in the keeper order, 0 for the first.

        After its start others may come first that it doesn't know yet.
        """
        position = self._keeper_order(endpoint).index(self.gateways.own)
        return position + (self.env.now < self.started_at + SETTLED_SECONDS)


class RateLimitsPlugin(Plugin):
    """Provides the ``RateLimits``."""

    name = "rate_limits"

    async def setup(self) -> None:
        """Create the task and provide it."""
        self.limits = RateLimits(self.env, self.env.require(Fleet))
        self.env.provide(RateLimits, self.limits)

    async def start(self) -> None:
        """Start the task."""
        self.limits.start()

    async def stop(self) -> None:
        """Stop the task."""
        await self.limits.stop()


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(RateLimitsPlugin)
