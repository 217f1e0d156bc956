"""The fleet: this gateway's state of the endpoints, and the repeat budgets of the services."""

from collections import OrderedDict
from functools import singledispatchmethod

from chivewall.decisions.endpoint_record import (
    DECODE_PREFILL_FACTOR,
    EndpointRecord,
    prefix_chain,
)
from chivewall.decisions.engine_memory import (
    RETRY_SECONDS,
    EngineMemories,
    MemoryVerdict,
    must_be_placed,
)
from chivewall.decisions.extra_attempts import spare_endpoints
from chivewall.decisions.overload import Overloaded
from chivewall.decisions.peers import record_weight
from chivewall.decisions.placement import MAX_RANK, PlacementContext, choose
from chivewall.decisions.placement_explanation import explain_choice
from chivewall.decisions.repeat_budget import RepeatBudget
from chivewall.decisions.sent_work import WorkItem, WorkKey
from chivewall.decisions.service_demands import ServiceDemands
from chivewall.decisions.speed_samples import SpeedSamples
from chivewall.decisions.speeds import SETTLED_SAMPLES, ServiceSpeed, ServiceSpeeds
from chivewall.decisions.stages import EngineView, PrefillLoad
from chivewall.environment import Environment
from chivewall.events import Event
from chivewall.gateway.announcement_messages import (
    EndpointLeaving,
    EndpointLimit,
    EndpointPause,
    FollowLimits,
    LeavingNews,
    PeerLeavingNews,
    SubscribeToAnnouncements,
)
from chivewall.gateway.announcements import Announcements
from chivewall.gateway.channels import ConnectionPool
from chivewall.gateway.endpoint_list import MS_PER_SECOND, WATCH_PAUSE_SHARE, EndpointList
from chivewall.gateway.endpoint_waits import EndpointWaits
from chivewall.gateway.fleet_messages import (
    AwaitEndpoint,
    CountSoundEngines,
    EndpointCrashed,
    EngineCooldown,
    EngineLoads,
    EngineMemoryStated,
    ExpectEndpoints,
    ExplainPlacement,
    FindPlacement,
    FirstBytesReceived,
    FollowDemands,
    KvCacheLost,
    LearnedSpeeds,
    LiveGateways,
    PeerEngineCooldown,
    PeerProgress,
    PeerShares,
    PeerSpeeds,
    PeerWork,
    RequestReceived,
    ServiceDemandQuery,
    ServiceLoad,
    ShareReports,
    SpendRepeat,
    SubscribeToWork,
    WorkEnded,
    WorkSent,
)
from chivewall.gateway.fleet_settings import FleetSettings, repeat_budget_policy
from chivewall.gateway.peer_codec import SharedWork, WorkProgress
from chivewall.gateway.rate_limit_messages import (
    CurrentLimits,
    LimitNews,
    PeerLimitNews,
    PermitExpected,
)
from chivewall.gateway.routing_configuration import EndpointInfo, Stage
from chivewall.gateway.sources import CollectionSources
from chivewall.gateway.store_collections import (
    CollectionChanges,
    CollectionSnapshot,
    CollectionUnavailable,
    CollectionWatcher,
    EndWatchAt,
)
from chivewall.gateway.workspace_fairness import ReportShares, WorkspaceFairness
from chivewall.messages import Tick
from chivewall.plugins.base import Plugin
from chivewall.plugins.registry import Registry
from chivewall.task import Inbox, Task

SPEED_CHANGE = 1.5  # a learned speed that changed by this factor is logged
MAX_PEER_WORK = 20_000  # attempts of other gateways that are tracked until they end


class Fleet(Task):
    """Tracks the state of every endpoint, and chooses endpoints for requests."""

    def __init__(self, env: Environment, cfg: FleetSettings, sources: CollectionSources) -> None:
        super().__init__()
        self.env = env
        self.cfg = cfg
        self.watcher = CollectionWatcher(
            env,
            sources.endpoints,
            self.inbox,
            sources.eras,
            pause_seconds=WATCH_PAUSE_SHARE * cfg.drain_ms / MS_PER_SECOND,
        )
        self.list_read = False  # the list of endpoints was read at least once
        self.announcements = Announcements(env)
        self.endpoints = EndpointList(env, cfg, self._new_record, self.announcements)
        self.states = self.endpoints.records  # by endpoint id
        self.repeat_budgets: dict[str, RepeatBudget] = {}  # by service
        self.live_gateways = 1  # including this one
        self.repeat_policy = repeat_budget_policy(cfg, self.live_gateways)
        self.speeds: dict[str, ServiceSpeeds] = {}  # by service
        self.speed_samples = SpeedSamples()
        self.logged_speeds: dict[str, ServiceSpeed] = {}  # by service
        self.prefill_loads: dict[str, PrefillLoad] = {}  # by service
        self.peer_work: OrderedDict[WorkKey, str] = OrderedDict()  # endpoint id of each attempt
        self.work_subscriber: Inbox | None = None  # receives the attempts of this gateway
        self.connections: Inbox | None = None  # of the task that reports what endpoints announce
        self.limited: frozenset[str] = frozenset()  # endpoints whose limits are followed there
        self.waits = EndpointWaits()
        self.demands = ServiceDemands()
        self.memories = EngineMemories()
        self.fairness = WorkspaceFairness(env, self.inbox)

    def reload(self, cfg: FleetSettings) -> None:
        """Apply changed settings; earlier requests and repeats stay counted."""
        self.cfg = self.endpoints.cfg = cfg
        self._update_repeat_budgets()

    def _new_record(self, info: EndpointInfo) -> EndpointRecord:
        speeds = self.speeds.setdefault(info.service, ServiceSpeeds(self.cfg.speeds))
        return EndpointRecord(info, speeds)

    def _update_repeat_budgets(self) -> None:
        self.repeat_policy = repeat_budget_policy(self.cfg, self.live_gateways)
        for budget in self.repeat_budgets.values():
            budget.policy = self.repeat_policy

    def _await_confirmation(self) -> None:
        at = self.endpoints.next_confirmation()
        if at is not None:
            self.watcher.send(EndWatchAt(at))

    def start(self) -> None:
        """Start the task and the watch of the endpoint list."""
        super().start()
        self.watcher.start()

    async def on_stop(self) -> None:
        """Stop watching the endpoint list."""
        await self.watcher.stop()

    @singledispatchmethod
    async def receive(self, message: object) -> None:
        """Handle one message."""
        raise TypeError(f"unexpected message {message!r}")

    @receive.register
    async def _(self, message: CollectionSnapshot) -> None:
        self.list_read = True
        self.endpoints.apply_snapshot(message)
        self._await_confirmation()
        self._end_waits()

    @receive.register
    async def _(self, message: CollectionChanges) -> None:
        self.endpoints.apply_changes(message)
        self._await_confirmation()
        self._end_waits()

    @receive.register
    async def _(self, message: CollectionUnavailable) -> None:
        """Continue with the endpoints known so far."""
        self.endpoints.record_unavailable()

    @receive.register
    async def _(self, message: Tick) -> None:
        self.endpoints.expire()
        self._end_waits()

    @receive.register
    async def _(self, message: AwaitEndpoint) -> None:
        self.waits.add(message)
        self._end_waits()

    @receive.register
    async def _(self, message: FindPlacement) -> None:
        states, context = self._choice(message)
        if not must_be_placed(message.prompt, committed=message.committed):
            states, verdict = self.memories.fitting(states, message.fields)
            if verdict is not MemoryVerdict.FITS:
                self._refuse_for_memory(message, verdict)
                return
        found = choose(message.fields, states, context, message.prompt)
        self.fairness.record_choice(message, found, context.queue_weight)
        message.reply(found)

    @receive.register
    async def _(self, message: ExplainPlacement) -> None:
        request = message.request
        states, context = self._choice(request)
        fitting, _ = self.memories.fitting(states, request.fields)
        full = frozenset(one.info.id for one in states) - {one.info.id for one in fitting}
        message.reply(explain_choice(request.fields, states, context, request.prompt, full))

    def _choice(self, message: FindPlacement) -> tuple[list[EndpointRecord], PlacementContext]:
        """Return the endpoints to choose from, and the circumstances of the choice."""
        self.endpoints.expire()
        for one in self.states.values():
            one.work.expire(self.env.now)
        states = [
            one
            for one in self.states.values()
            if one.info.service == message.service
            and (message.allowed is None or one.info.id in message.allowed)
        ]
        context = PlacementContext(
            data_centre=self.env.settings.core.data_centre,
            now=self.env.now,
            rng=self.env.random,
            excluded=message.excluded,
            rank=message.rank,
            slack_seconds=message.slack_seconds,
            time_left_seconds=message.time_left_seconds,
            committed=message.committed,
            pause_seconds=message.pause_seconds,
            kv_data_centre=message.kv_data_centre,
            permits=message.permits,
            permit_rank=message.rank,
            last_resort=message.last_resort,
            queue_weight=self.fairness.queue_weight(message),
        )
        if message.spare:
            states = spare_endpoints(states, self.env.now)
        return states, context

    @receive.register
    async def _(self, message: RequestReceived) -> None:
        self._repeat_budget(message.service).count_request(self.env.now)
        if message.use is not None:
            self.fairness.shares.record_demand(message.use, self.env.now)

    @receive.register
    async def _(self, message: ReportShares) -> None:
        reports = self.fairness.due_reports()
        if reports:
            self._share(ShareReports(reports))

    @receive.register
    async def _(self, message: PeerShares) -> None:
        self.fairness.record_reports(message.reports, record_weight(self.live_gateways))

    @receive.register
    async def _(self, message: SpendRepeat) -> None:
        message.reply(self._repeat_budget(message.service).spend(self.env.now, message.share))

    @receive.register
    async def _(self, message: WorkSent) -> None:
        state = self.states.get(message.endpoint)
        if state is None:
            return
        if message.use is not None:
            self.fairness.shares.record_sent(message.use, self.env.now)
        keys = tuple(key for key, _ in prefix_chain(message.fields))
        expires_at = self.env.now + message.seconds_left
        item = WorkItem(message.reference_seconds, message.rank, expires_at)
        self.speed_samples.record_sent(
            message.exchange, state, message.reference_seconds, self.env.now
        )
        self.memories.record_sent(state, message.exchange, message.fields)
        self._add_work(state, ("", message.exchange), item, keys)
        self.demands.add_prompt(state, message.fields, message.reference_seconds, self.env.now)
        self._share(
            SharedWork(
                number=message.exchange,
                endpoint=message.endpoint,
                reference_seconds=message.reference_seconds,
                counted_seconds=message.counted_seconds,
                rank=message.rank,
                prefixes=keys,
            )
        )

    @receive.register
    async def _(self, message: FirstBytesReceived) -> None:
        state = self.states.get(message.endpoint)
        if state is None:
            return
        if message.succeeded:
            self.speed_samples.record_first_bytes(message.exchange, message.seconds, self.env.now)
        if message.prefilled:
            self._record_prefilled(state, ("", message.exchange))
            self._share(WorkProgress(message.exchange, ended=False))
        self._log_speed(state.info.service)

    @receive.register
    async def _(self, message: SubscribeToWork) -> None:
        self.work_subscriber = message.inbox

    @receive.register
    async def _(self, message: LiveGateways) -> None:
        if message.count != self.live_gateways:
            self.live_gateways = message.count
            self._update_repeat_budgets()

    @receive.register
    async def _(self, message: PeerWork) -> None:
        work = message.work
        state = self.states.get(work.endpoint)
        if state is None:
            return
        key = (message.gateway_ip, work.number)
        item = WorkItem(
            reference_seconds=work.reference_seconds,
            rank=work.rank,
            expires_at=self.env.now + work.counted_seconds,
            weight=record_weight(self.live_gateways),
        )
        if work.reference_seconds > 0:
            self.speed_samples.record_peer_work(state, self.env.now)
        self._add_work(state, key, item, work.prefixes)
        self.peer_work[key] = work.endpoint
        if len(self.peer_work) > MAX_PEER_WORK:
            self.peer_work.popitem(last=False)

    @receive.register
    async def _(self, message: PeerProgress) -> None:
        for number in message.prefilled:
            state = self.states.get(self.peer_work.get((message.gateway_ip, number)))
            if state is not None:
                self._record_prefilled(state, (message.gateway_ip, number))
        for number in message.ended:
            state = self.states.get(self.peer_work.pop((message.gateway_ip, number), None))
            if state is not None:
                state.work.record_ended((message.gateway_ip, number), self.env.now)

    @receive.register
    async def _(self, message: LearnedSpeeds) -> None:
        message.reply(
            tuple(
                (service, one.current)
                for service, one in sorted(self.speeds.items())
                if one.sample_count >= SETTLED_SAMPLES
            )
        )

    @receive.register
    async def _(self, message: PeerSpeeds) -> None:
        for service, speed in message.speeds:
            if service in self.speeds:
                self.speeds[service].adopt(speed)

    @receive.register
    async def _(self, message: WorkEnded) -> None:
        self.memories.record_ended(message.endpoint, message.exchange)
        self.speed_samples.record_ended(message.exchange)
        state = self.states.get(message.endpoint)
        if state is None:
            return
        state.work.record_ended(("", message.exchange), self.env.now)
        # The end of an attempt at a plain service isn't shared: it is short, and the other
        # gateways let it expire.
        if state.info.stage is not Stage.NONE:
            self._share(WorkProgress(message.exchange, ended=True))
        answered = message.outcome == "answered"
        if answered:
            state.record_success(self.env.now)
            self._end_waits()
        elif message.outcome == "failed":
            state.record_failure(self.env.now)
        elif message.outcome == "refused" and state.info.stage is not Stage.NONE:
            self.send(EngineCooldown(message.endpoint, state.record_refusal()))
        elif message.outcome == "missed":
            self._avoid(state)

    @receive.register
    async def _(self, message: KvCacheLost) -> None:
        state = self.states.get(message.endpoint)
        if state is not None:
            state.record_failure(self.env.now)

    @receive.register
    async def _(self, message: EndpointCrashed) -> None:
        state = self.states.get(message.endpoint)
        if state is not None and (state.info.started_ms or 0) == message.started_ms:
            self._avoid(state)

    @receive.register
    async def _(self, message: CountSoundEngines) -> None:
        states = [one for one in self.states.values() if one.info.service == message.service]
        message.reply(sum(one.can_answer(self.env.now) for one in states))

    @receive.register
    async def _(self, message: EngineCooldown) -> None:
        self._set_cooldown(message.endpoint, message.seconds)
        self._share(message)

    @receive.register
    async def _(self, message: PeerEngineCooldown) -> None:
        self._set_cooldown(message.endpoint, message.seconds)

    @receive.register
    async def _(self, message: EndpointLeaving) -> None:
        info = message.endpoint
        news = self.announcements.record_response(info, listed=self._is_listed(info.id))
        if news is not None:
            self._apply_notice(info.id)
            self._share(news)

    @receive.register
    async def _(self, message: EndpointLimit) -> None:
        news = self.announcements.record_limit(message)
        if news is not None:
            self._share(news)
        self._apply_limit(message.endpoint.id)

    @receive.register
    async def _(self, message: EndpointPause) -> None:
        self.announcements.record_pause(message)
        state = self.states.get(message.endpoint.id)
        if state is not None:
            state.pause = self.announcements.pauses.get(message.endpoint.id)

    @receive.register
    async def _(self, message: PeerLimitNews) -> None:
        for news in message.news:
            changed = self.announcements.record_limit_news(news)
            self._apply_limit(news.endpoint)
            if changed and message.relay:
                self._share(news)

    @receive.register
    async def _(self, message: CurrentLimits) -> None:
        message.reply(self.announcements.limit_news())

    @receive.register
    async def _(self, message: PermitExpected) -> None:
        state = self.states.get(message.endpoint)
        if state is not None:
            state.record_permit_expected(message.rank, message.at, self.env.now)

    @receive.register
    async def _(self, message: PeerLeavingNews) -> None:
        for news in message.news:
            self.announcements.record_news(news, listed=self._is_listed(news.endpoint))
            self._apply_notice(news.endpoint)

    @receive.register
    async def _(self, message: EngineLoads) -> None:
        # Services without work are included: without a decode engine no work can be sent to a
        # service, and an engine must change its stage.
        engines = [one.info for one in self.states.values() if one.info.stage is not Stage.NONE]
        services = sorted({one.service for one in engines})
        message.reply([self._service_load(one, settling=message.settling) for one in services])

    @receive.register
    async def _(self, message: EngineMemoryStated) -> None:
        self.memories.capacity = message.tokens

    @receive.register
    async def _(self, message: FollowDemands) -> None:
        self.demands.follow(message.windows)

    @receive.register
    async def _(self, message: ExpectEndpoints) -> None:
        self.demands.expect_change(message.service, message.until)

    @receive.register
    async def _(self, message: ServiceDemandQuery) -> None:
        self.endpoints.expire()
        message.reply(self.demands.measure(self.states.values(), self.env.now))

    def _refuse_for_memory(self, message: FindPlacement, verdict: MemoryVerdict) -> None:
        self.env.log.emit(
            Event.ENGINE_MEMORY_FULL,
            request=message.fields.request_id,
            service=message.service,
            verdict=verdict.value,
        )
        full = verdict is MemoryVerdict.FULL
        found = Overloaded(RETRY_SECONDS, RETRY_SECONDS) if full else None
        self.fairness.record_choice(message, found, queue_weight=1.0)
        message.reply(found)

    def _service_load(self, service: str, *, settling: bool) -> ServiceLoad:
        now = self.env.now
        states = [one for one in self.states.values() if one.info.service == service]
        for one in states:
            one.work.expire(now)
        engines = tuple(
            EngineView(
                id=one.info.id,
                stage=one.info.stage,
                in_flight=one.in_flight,
                usable=one.is_usable(now),
                limited=one.rate_limit is not None,
                data_centre=one.info.data_centre,
                scale=one.learned_scale(now),
            )
            for one in states
        )
        waits = [
            one.work.prefill_wait(now, MAX_RANK, one.speed(now))
            for one, view in zip(states, engines, strict=True)
            if view.usable and view.stage is Stage.PREFILL
        ]
        permit_waits = [
            one.permit_wait(now, MAX_RANK)
            for one, view in zip(states, engines, strict=True)
            if view.usable and view.stage is Stage.DECODE
        ]
        prefill_load = self.prefill_loads.setdefault(service, PrefillLoad())
        load = prefill_load.sample(
            engines,
            min(waits, default=0.0),
            now,
            permit_wait=min(permit_waits, default=0.0),
            settling=settling,
            endpoints_settled=self.demands.endpoints_settled(service, states, now),
        )
        return ServiceLoad(service, load, {one.info.id: one.info for one in states})

    def _end_waits(self) -> None:
        """Answer the requests for whose services an endpoint is usable."""
        next_check = self.waits.end(self.states.values(), self.env.now)
        if next_check is not None:
            self.env.clock.callLater(next_check - self.env.now, self.send, Tick())

    def _is_listed(self, endpoint: str) -> bool:
        state = self.states.get(endpoint)
        return state is not None and state.unlisted_at is None

    def _apply_notice(self, endpoint: str) -> None:
        state = self.states.get(endpoint)
        if state is not None:
            state.notice = self.announcements.notice(endpoint)
            self._end_waits()

    def _apply_limit(self, endpoint: str) -> None:
        state = self.states.get(endpoint)
        if state is not None:
            state.limit = self.announcements.limits.statement(endpoint)
        limited = frozenset(one.endpoint for one in self.announcements.limits)
        if self.connections is not None and limited != self.limited:
            self.limited = limited
            self.connections.put(FollowLimits(limited))  # so that the end of a limit is reported

    def _avoid(self, state: EndpointRecord) -> None:
        state.record_failed_connection(self.env.now)
        self.env.log.emit(
            Event.ENDPOINT_AVOIDED,
            endpoint=state.info.id,
            seconds=round(state.avoid_until - self.env.now, 3),
        )

    def _set_cooldown(self, endpoint: str, seconds: float) -> None:
        state = self.states.get(endpoint)
        if state is not None:
            state.cooldown_until = self.env.now + seconds
            self._end_waits()

    def _add_work(
        self, state: EndpointRecord, key: WorkKey, item: WorkItem, prefixes: tuple[str, ...]
    ) -> None:
        now = self.env.now
        kept_from = now + state.prefilled_after(item, now)
        state.add_work(key, item, now)
        state.record_prefixes(prefixes, now, kept_from)
        if state.info.stage is Stage.NONE:
            return
        prefill_load = self.prefill_loads.setdefault(state.info.service, PrefillLoad())
        slowdown = 1.0 if state.info.stage is Stage.PREFILL else DECODE_PREFILL_FACTOR
        work = item.reference_seconds * item.weight
        engine_seconds = work * state.speed(now).scale / slowdown
        prefill_load.add(engine_seconds, now)
        self.demands.add_work(state, item, engine_seconds, now)

    def _record_prefilled(self, state: EndpointRecord, key: WorkKey) -> None:
        throughput = state.record_prefilled(key, self.env.now)
        if throughput is not None:
            self.speed_samples.record_throughput(state, throughput, self.env.now)
        self._log_engine_speed(state)

    def _log_engine_speed(self, state: EndpointRecord) -> None:
        """Log the learned scale of an engine if it has changed by much."""
        scale = state.learned_scale(self.env.now)
        expected = state.service_speeds.current.prefill_scale
        logged = expected if state.logged_scale is None else state.logged_scale
        if max(scale, logged) < SPEED_CHANGE * min(scale, logged):
            return
        state.logged_scale = scale
        self.env.log.emit(
            Event.ENGINE_SPEED_LEARNED,
            endpoint=state.info.id,
            stage=state.info.stage.value,
            prefill_scale=round(scale, 4),
            service_scale=round(expected, 4),
        )

    def _log_speed(self, service: str) -> None:
        """Log the learned speeds of a service if one of them has changed by much."""
        if self.speeds[service].sample_count < SETTLED_SAMPLES:
            return
        current = self.speeds[service].current
        logged = self.logged_speeds.get(service)
        if logged is not None and not current.differs(logged, SPEED_CHANGE):
            return
        self.logged_speeds[service] = current
        self.env.log.emit(
            Event.SPEED_LEARNED,
            service=service,
            prefill_scale=round(current.prefill_scale, 4),
            response_seconds=round(current.response_seconds, 4),
            first_event_seconds=round(current.first_event.fixed, 4),
            fetched_event_seconds=round(current.fetched_event.fixed, 4),
            call_seconds=round(current.call_seconds, 4),
            samples=self.speeds[service].sample_count,
        )

    def _share(
        self,
        message: SharedWork
        | WorkProgress
        | EngineCooldown
        | LeavingNews
        | LimitNews
        | ShareReports,
    ) -> None:
        if self.work_subscriber is not None:
            self.work_subscriber.put(message)

    def _repeat_budget(self, service: str) -> RepeatBudget:
        return self.repeat_budgets.setdefault(service, RepeatBudget(self.repeat_policy))


class FleetPlugin(Plugin):
    """Provides the ``Fleet``."""

    name = "fleet"
    settings_type = FleetSettings

    async def setup(self) -> None:
        """Create the task and provide it."""
        self.fleet = Fleet(self.env, self.cfg, self.env.require(CollectionSources))
        self.env.provide(Fleet, self.fleet)

    async def start(self) -> None:
        """Start the task, and subscribe it to what endpoints announce."""
        connections = self.env.require(ConnectionPool)
        self.fleet.connections = connections.inbox
        self.fleet.start()
        connections.send(SubscribeToAnnouncements(self.fleet.inbox))

    async def stop(self) -> None:
        """Stop the task."""
        await self.fleet.stop()

    def reload(self, cfg: FleetSettings) -> None:
        """Apply changed settings."""
        self.cfg = cfg
        self.fleet.reload(cfg)

    def ready(self) -> bool:
        """Return whether the list of endpoints was read at least once."""
        return self.fleet.list_read


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(FleetPlugin)
