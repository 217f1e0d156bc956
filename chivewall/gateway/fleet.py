"""Owns what this gateway knows of the endpoints, and the allowance of repeats."""

from collections import OrderedDict
from functools import singledispatchmethod

from chivewall.decisions.placement import (
    DECODE_PREFILL_FACTOR,
    MAX_RANK,
    EndpointRecord,
    PlacementContext,
    choose,
    prefix_chain,
)
from chivewall.decisions.repeat_budget import RepeatBudget
from chivewall.decisions.sent_work import WorkItem, WorkKey
from chivewall.decisions.stages import EngineView, PrefillLoad
from chivewall.environment import Environment
from chivewall.events import Event
from chivewall.gateway.catalogue import EndpointInfo, Stage
from chivewall.gateway.collections import (
    CollectionChanges,
    CollectionFollower,
    CollectionItem,
    CollectionLost,
    CollectionSnapshot,
)
from chivewall.gateway.fleet_messages import (
    EngineLoads,
    EngineRests,
    GatewaysLive,
    KvCacheLost,
    PeerEngineRests,
    PeerProgress,
    PeerWork,
    Place,
    PromptRead,
    RequestSeen,
    ServiceLoad,
    ShareWorkWith,
    SpendRepeat,
    WorkOver,
    WorkSent,
)
from chivewall.gateway.fleet_settings import FleetSettings, allowance_policy
from chivewall.gateway.peer_codec import SharedWork, WorkProgress
from chivewall.gateway.sources import Sources
from chivewall.messages import Tick
from chivewall.plugins.base import Plugin
from chivewall.plugins.registry import Registry
from chivewall.task import Inbox, Task

MS_PER_SECOND = 1000.0
PEER_WORK_LIMIT = 20_000  # of other gateways' work whose end is waited for
GONE_MARGIN = 0.3  # seconds before an endpoint that left the list may get no more work


class Fleet(Task):
    """Owns the states of the endpoints."""

    def __init__(self, env: Environment, cfg: FleetSettings, sources: Sources) -> None:
        super().__init__()
        self.env = env
        self.cfg = cfg
        self.follower = CollectionFollower(env, sources.endpoints, self.inbox)
        self.known = False  # a list was read since the start
        self.states: dict[str, EndpointRecord] = {}
        self.allowances: dict[str, RepeatBudget] = {}
        self.gateways = 1  # live ones, with this one
        self.policy = allowance_policy(cfg, self.gateways)
        self.reading: dict[str, PrefillLoad] = {}  # by service
        self.peer_work: OrderedDict[WorkKey, str] = OrderedDict()  # endpoint of each
        self.share_with: Inbox | None = None  # what this gateway sends is told there

    def reload(self, cfg: FleetSettings) -> None:
        """Take over changed bounds; what was counted so far stays."""
        self.cfg = cfg
        self._share_allowance()

    def _share_allowance(self) -> None:
        self.policy = allowance_policy(self.cfg, self.gateways)
        for allowance in self.allowances.values():
            allowance.policy = self.policy

    def start(self) -> None:
        """Begin to follow the list."""
        super().start()
        self.follower.start()

    async def on_stop(self) -> None:
        """Stop following the list."""
        await self.follower.stop()

    @singledispatchmethod
    async def receive(self, message: object) -> None:
        """Handle one message."""
        raise TypeError(f"unexpected message {message!r}")

    @receive.register
    async def _(self, message: CollectionSnapshot) -> None:
        self.known = True
        listed = {one.name for one in message.items}
        for item in message.items:
            self._take(item)
        for name in self.states.keys() - listed:
            self._remove(name)

    @receive.register
    async def _(self, message: CollectionChanges) -> None:
        for item in message.items:
            self._take(item)

    @receive.register
    async def _(self, message: CollectionLost) -> None:
        """Go on with the endpoints known so far."""

    @receive.register
    async def _(self, message: Tick) -> None:
        self._forget_gone()

    @receive.register
    async def _(self, message: Place) -> None:
        self._forget_gone()
        for one in self.states.values():
            one.work.expire(self.env.now)
        states = [
            one
            for one in self.states.values()
            if one.info.service == message.service
            and (message.allowed is None or one.info.id in message.allowed)
        ]
        at = PlacementContext(
            data_centre=self.env.settings.core.data_centre,
            now=self.env.now,
            rng=self.env.random,
            excluded=message.excluded,
            rank=message.rank,
            slack_seconds=message.slack,
            kv_data_centre=message.kv_home,
        )
        message.answer(choose(message.fields, states, at, message.prompt))

    @receive.register
    async def _(self, message: RequestSeen) -> None:
        self._allowance(message.service).count_request(self.env.now)

    @receive.register
    async def _(self, message: SpendRepeat) -> None:
        message.answer(self._allowance(message.service).spend(self.env.now))

    @receive.register
    async def _(self, message: WorkSent) -> None:
        state = self.states.get(message.endpoint)
        if state is None:
            return
        keys = tuple(key for key, _ in prefix_chain(message.fields))
        item = WorkItem(message.read_seconds, message.rank, self.env.now + message.time_left)
        self._count(state, ("", message.exchange), item, keys)
        self._share(
            SharedWork(
                number=message.exchange,
                endpoint=message.endpoint,
                read_seconds=message.read_seconds,
                seconds=message.seconds,
                rank=message.rank,
                prefixes=keys,
            )
        )

    @receive.register
    async def _(self, message: PromptRead) -> None:
        state = self.states.get(message.endpoint)
        if state is not None:
            state.work.record_prefilled(("", message.exchange), self.env.now)
            self._share(WorkProgress(message.exchange, over=False))

    @receive.register
    async def _(self, message: ShareWorkWith) -> None:
        self.share_with = message.inbox

    @receive.register
    async def _(self, message: GatewaysLive) -> None:
        if message.count != self.gateways:
            self.gateways = message.count
            self._share_allowance()

    @receive.register
    async def _(self, message: PeerWork) -> None:
        work = message.work
        state = self.states.get(work.endpoint)
        if state is None:
            return
        key = (message.host, work.number)
        item = WorkItem(work.read_seconds, work.rank, self.env.now + work.seconds)
        self._count(state, key, item, work.prefixes)
        self.peer_work[key] = work.endpoint
        if len(self.peer_work) > PEER_WORK_LIMIT:
            self.peer_work.popitem(last=False)

    @receive.register
    async def _(self, message: PeerProgress) -> None:
        for number in message.read:
            state = self.states.get(self.peer_work.get((message.host, number)))
            if state is not None:
                state.work.record_prefilled((message.host, number), self.env.now)
        for number in message.over:
            state = self.states.get(self.peer_work.pop((message.host, number), None))
            if state is not None:
                state.work.record_ended((message.host, number), self.env.now)

    @receive.register
    async def _(self, message: WorkOver) -> None:
        state = self.states.get(message.endpoint)
        if state is None:
            return
        state.work.record_ended(("", message.exchange), self.env.now)
        if state.info.stage is not Stage.NONE:  # other gateways let the short calls expire
            self._share(WorkProgress(message.exchange, over=True))
        answered = message.outcome == "answered"
        if answered:
            state.record_success(self.env.now)
        elif message.outcome == "failed":
            state.record_failure(self.env.now)
        elif message.outcome == "refused" and state.info.stage is not Stage.NONE:
            self.tell(EngineRests(message.endpoint, state.record_refusal()))
        elif message.outcome == "missed":
            state.record_failed_connection(self.env.now)
            self.env.log.emit(
                Event.ENDPOINT_AVOIDED,
                endpoint=message.endpoint,
                seconds=round(state.avoid_until - self.env.now, 3),
            )

    @receive.register
    async def _(self, message: KvCacheLost) -> None:
        state = self.states.get(message.endpoint)
        if state is not None:
            state.record_failure(self.env.now)

    @receive.register
    async def _(self, message: EngineRests) -> None:
        self._rest(message.endpoint, message.seconds)
        self._share(message)

    @receive.register
    async def _(self, message: PeerEngineRests) -> None:
        self._rest(message.endpoint, message.seconds)

    @receive.register
    async def _(self, message: EngineLoads) -> None:
        # Services without any work count too: without a decode engine none can be sent.
        engines = [one.info for one in self.states.values() if one.info.stage is not Stage.NONE]
        services = sorted({one.service for one in engines})
        message.answer([self._load(service) for service in services])

    def _load(self, service: str) -> ServiceLoad:
        now = self.env.now
        states = [one for one in self.states.values() if one.info.service == service]
        for one in states:
            one.work.expire(now)
        engines = tuple(
            EngineView(
                id=one.info.id,
                stage=one.info.stage,
                in_flight=one.in_flight,
                usable=one.unlisted_at is None
                and not one.info.draining
                and one.cooldown_until <= now
                and one.avoid_until <= now,
            )
            for one in states
        )
        waits = [
            one.work.prefill_wait(now, MAX_RANK)
            for one, view in zip(states, engines, strict=True)
            if view.usable and view.stage is Stage.PREFILL
        ]
        reading = self.reading.setdefault(service, PrefillLoad())
        load = reading.sample(engines, min(waits, default=0.0), now)
        return ServiceLoad(service, load, {one.info.id: one.info for one in states})

    def _rest(self, endpoint: str, seconds: float) -> None:
        state = self.states.get(endpoint)
        if state is not None:
            state.cooldown_until = self.env.now + seconds

    def _count(
        self, state: EndpointRecord, key: WorkKey, item: WorkItem, prefixes: tuple[str, ...]
    ) -> None:
        now = self.env.now
        state.add_work(key, item, now)
        state.record_prefixes(prefixes, now)
        if state.info.stage is Stage.NONE:
            return
        load = self.reading.setdefault(state.info.service, PrefillLoad())
        own_speed = 1.0 if state.info.stage is Stage.PREFILL else DECODE_PREFILL_FACTOR
        load.add(item.prefill_seconds / own_speed, now)

    def _share(self, message: SharedWork | WorkProgress | EngineRests) -> None:
        if self.share_with is not None:
            self.share_with.put(message)

    def _allowance(self, service: str) -> RepeatBudget:
        return self.allowances.setdefault(service, RepeatBudget(self.policy))

    def _take(self, item: CollectionItem) -> None:
        info: EndpointInfo | None = item.value
        if info is None:
            self._remove(item.name)
            return
        state = self.states.get(item.name)
        if state is None or state.info.started_ms != info.started_ms:
            self.states[item.name] = EndpointRecord(info)
        else:
            if state.info.stage is not info.stage:
                state.cooldown_until = 0.0
            state.info = info
            state.unlisted_at = None
        self.env.log.emit(
            Event.ENDPOINT_LISTED,
            endpoint=info.id,
            service=info.service,
            draining=info.draining,
            stage=info.stage.value,
            revision=item.revision,
        )

    def _remove(self, name: str) -> None:
        state = self.states.get(name)
        if state is None or state.unlisted_at is not None:
            return
        self.env.log.emit(Event.ENDPOINT_LISTED, endpoint=name, gone=True)
        if state.info.draining:
            del self.states[name]
            return
        # It may have lapsed while the store was away, or leave without a notice; until the
        # bound of a leaving endpoint it is used if no listed one is left.
        state.unlisted_at = self.env.now

    def _forget_gone(self) -> None:
        limit = self.env.now - self.cfg.drain_ms / MS_PER_SECOND + GONE_MARGIN
        for name, state in list(self.states.items()):
            if state.unlisted_at is not None and state.unlisted_at <= limit:
                del self.states[name]


class FleetPlugin(Plugin):
    """Offers the ``Fleet``."""

    name = "fleet"
    settings_type = FleetSettings

    async def setup(self) -> None:
        """Offer the task."""
        self.fleet = Fleet(self.env, self.cfg, self.env.require(Sources))
        self.env.provide(Fleet, self.fleet)

    async def start(self) -> None:
        """Begin to follow the list."""
        self.fleet.start()

    async def stop(self) -> None:
        """Stop following."""
        await self.fleet.stop()

    def reload(self, cfg: FleetSettings) -> None:
        """Hand changed bounds to the task."""
        self.cfg = cfg
        self.fleet.reload(cfg)

    def ready(self) -> bool:
        """Return whether the list was read."""
        return self.fleet.known


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(FleetPlugin)
