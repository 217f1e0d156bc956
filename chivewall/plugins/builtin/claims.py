"""Runs keyed non-idempotent calls at most once, under claims in the object API."""

import uuid
from functools import singledispatchmethod

from attrs import field, frozen, validators
from twisted.internet.defer import Deferred, ensureDeferred

from chivewall.claim_messages import (
    FindLayout,
    Flush,
    LayoutFound,
    OutcomeReady,
    Run,
    Shard,
    StartRun,
    WaitEnded,
)
from chivewall.claim_store import (
    BACKOFF_LIMIT,
    CommitFailed,
    Committed,
    ShardStore,
    backoff,
)
from chivewall.decisions import claims as decisions
from chivewall.decisions.claims import (
    Claim,
    ClaimChange,
    ClaimKey,
    ClaimResult,
    Outcome,
    RecordOutcome,
    ReleaseClaim,
    ShardState,
    Verdict,
)
from chivewall.environment import Environment
from chivewall.errors import EndpointError, StoreError
from chivewall.events import Event
from chivewall.interfaces import Endpoint, EndpointState, ObjectStore, Order, RunFailed, RunOutput
from chivewall.messages import Drain, Withdraw
from chivewall.plugins.base import Plugin
from chivewall.plugins.registry import Registry
from chivewall.results import ResultCode
from chivewall.task import Inbox, Task
from chivewall.work import Attempt, PartBody, Refusal

CLAIM_SECONDS = 1.5  # longest wait for a claim before the call is refused as not run
RECORD_SECONDS = 0.25  # longest delay of an answer for the record of its outcome
CONFLICT_LIMIT = 0.08  # seconds; a conflict means that the object API works
POSITIVE = validators.gt(0)


@frozen
class ClaimsSettings:
    """How claims are stored."""

    shards: int = field(
        default=decisions.DEFAULT_SHARDS,
        validator=POSITIVE,
        metadata={"help": "Shard objects of a new service; later its stored number stands."},
    )
    window_ms: float = field(
        default=4.0, validator=POSITIVE, metadata={"help": "Changes of this time share a write."}
    )
    retention_seconds: float = field(
        default=86_400.0, validator=POSITIVE, metadata={"help": "How long a key is remembered."}
    )


class Claims(Task):
    """Owns this agent's cached shards and the keyed calls that it runs."""

    def __init__(self, env: Environment, endpoint: Endpoint, cfg: ClaimsSettings) -> None:
        super().__init__()
        self.env = env
        self.endpoint = endpoint
        self.cfg = cfg
        self.store = ShardStore(env, env.require(ObjectStore))
        # Not from the seeded source: two lives of a process must not share tokens.
        self.life = uuid.uuid4().hex
        self.tokens = 0
        self.layouts: dict[str, int] = {}  # number of shards by service
        self.shards: dict[str, Shard] = {}
        self.waiting: dict[str, Run] = {}  # by token, until granted or refused
        self.runs: dict[tuple[str, int], Run] = {}  # sent to the endpoint
        self.held: dict[str, Run] = {}  # by token, answers that wait for their record
        self.storing = 0  # large outcomes that are not yet stored
        self.drain_waiters: list[Drain] = []

    @singledispatchmethod
    async def receive(self, message: object) -> None:
        """Handle one message."""
        raise TypeError(f"unexpected message {message!r}")

    @receive.register
    async def _(self, message: FindLayout) -> None:
        self.spawn(self._find_layout(message))

    @receive.register
    async def _(self, message: LayoutFound) -> None:
        self.layouts[message.service] = message.shards

    @receive.register
    async def _(self, message: StartRun) -> None:
        request = message.attempt.request
        place = (request.work.service, request.workspace, request.key)
        number = decisions.shard_number(*place, shards=self.layouts[request.work.service])
        self.tokens += 1
        run_until = self.env.unix_time() + request.deadline - self.env.now
        claim = Claim(
            workspace=request.workspace,
            fingerprint=decisions.work_fingerprint(request.work),
            token=f"{self.life}-{self.tokens}",
            run_until=run_until,
            expires_at=run_until + self.cfg.retention_seconds,
        )
        shard = f"claims/{request.work.service}/{number}"
        key = decisions.hashed_key(*place)
        self.waiting[claim.token] = Run(message.attempt, message.sink, shard, key, claim)
        self._add(shard, ClaimKey(key, claim))
        self.env.clock.callLater(CLAIM_SECONDS, self.tell, WaitEnded(claim.token))

    @receive.register
    async def _(self, message: Flush) -> None:
        shard = self.shards[message.shard]
        changes = tuple(shard.pending)
        if not changes:
            shard.scheduled = False
            return
        shard.submitted.update(one.claim.token for one in changes if isinstance(one, ClaimKey))
        self.spawn(self._commit(shard.key, shard.state, shard.version, changes))

    @receive.register
    async def _(self, message: Committed) -> None:
        shard = self.shards[message.shard]
        shard.state, shard.version = message.state, message.version
        shard.failures = 0
        shard.scheduled = False
        done = {id(one) for one in message.changes}
        shard.pending = [one for one in shard.pending if id(one) not in done]
        for token, result in message.results.items():
            shard.submitted.discard(token)
            run = self.waiting.pop(token, None)
            if run is not None:
                self._decided(run, result)
        for change in message.changes:
            if isinstance(change, RecordOutcome):
                self._answer(change.token)
        if shard.pending:
            self._schedule(shard, self.cfg.window_ms / 1000)
        self._answer_drain()

    @receive.register
    async def _(self, message: CommitFailed) -> None:
        shard = self.shards[message.shard]
        shard.version = None
        shard.failures += 1
        limit = CONFLICT_LIMIT if message.conflict else BACKOFF_LIMIT
        shard.scheduled = False
        self._schedule(shard, backoff(self.env.random, shard.failures, limit))

    @receive.register
    async def _(self, message: WaitEnded) -> None:
        run = self.waiting.get(message.token)
        if run is None:
            self._answer(message.token)
            return
        self._give_up(run)
        self._refuse(run, ResultCode.CLAIM_UNAVAILABLE, "the claim could not be stored in time")

    @receive.register
    async def _(self, message: Withdraw) -> None:
        for run in list(self.waiting.values()):
            request = run.attempt.request
            if (request.id, run.attempt.number) == (message.request_id, message.attempt):
                self._give_up(run)

    @receive.register
    async def _(self, message: RunOutput) -> None:
        run = self.runs.pop((message.request_id, message.attempt), None)
        if run is None:
            return
        run.answer = message.body
        self.held[run.claim.token] = run
        self.env.clock.callLater(RECORD_SECONDS, self.tell, WaitEnded(run.claim.token))
        self.storing += 1
        self.spawn(self._store_outcome(run))

    @receive.register
    async def _(self, message: OutcomeReady) -> None:
        self.storing -= 1
        run = message.run
        self._add(run.shard, RecordOutcome(run.key, run.claim.token, message.outcome))

    @receive.register
    async def _(self, message: RunFailed) -> None:
        run = self.runs.pop((message.request_id, message.attempt), None)
        if run is None:
            return
        if not message.reached:
            self._add(run.shard, ReleaseClaim(run.key, run.claim.token))
        run.sink.put(message)
        self._answer_drain()

    @receive.register
    async def _(self, message: Drain) -> None:
        self.drain_waiters.append(message)
        self._answer_drain()

    async def _find_layout(self, query: FindLayout) -> None:
        try:
            for service in query.services:
                if service not in self.layouts:
                    shards = await self.store.layout(service, self.cfg.shards)
                    self.tell(LayoutFound(service, shards))
        except (StoreError, ValueError) as exc:
            query.fail(EndpointError(f"the number of claims shards is not known: {exc}"))
        else:
            query.answer(None)

    async def _commit(
        self, key: str, state: ShardState, version: int | None, changes: tuple[ClaimChange, ...]
    ) -> None:
        self.tell(await self.store.commit(key, state, version, changes))

    async def _store_outcome(self, run: Run) -> None:
        outcome = await self.store.keep(f"{run.key}-{run.claim.token}", run.answer)
        self.tell(OutcomeReady(run, outcome))

    async def _repeat(self, run: Run, outcome: Outcome) -> None:
        self._put(run, await self.store.load(outcome))

    def _add(self, key: str, change: ClaimChange) -> None:
        shard = self.shards.setdefault(key, Shard(key))
        shard.pending.append(change)
        self._schedule(shard, self.cfg.window_ms / 1000)

    def _schedule(self, shard: Shard, seconds: float) -> None:
        if not shard.scheduled:
            shard.scheduled = True
            self.env.clock.callLater(seconds, self.tell, Flush(shard.key))

    def _give_up(self, run: Run) -> None:
        # The token leaves ``waiting`` for good, so this process never runs it.
        token = run.claim.token
        self.waiting.pop(token, None)
        shard = self.shards[run.shard]
        shard.pending = [one for one in shard.pending if one != ClaimKey(run.key, run.claim)]
        if token in shard.submitted:
            shard.submitted.discard(token)
            self._add(run.shard, ReleaseClaim(run.key, token))

    def _decided(self, run: Run, result: ClaimResult) -> None:
        request = run.attempt.request
        self.env.log.emit(
            Event.CLAIM_DECIDED, request=request.id, verdict=result.verdict.value, shard=run.shard
        )
        if result.verdict is Verdict.GRANTED:
            self._send(run)
        elif result.verdict is Verdict.REPEAT:
            self.spawn(self._repeat(run, result.claim.outcome))
        else:
            self._refuse(run, *_REFUSALS[result.verdict])

    def _send(self, run: Run) -> None:
        request = run.attempt.request
        if not decisions.may_send(
            run.claim, self.env.unix_time(), deadline=request.deadline, now=self.env.now
        ):
            self._add(run.shard, ReleaseClaim(run.key, run.claim.token))
            self._refuse(run, ResultCode.DEADLINE_PASSED, "the deadline passed before the run")
            return
        self.runs[request.id, run.attempt.number] = run
        self.endpoint.run(run.attempt, self.inbox)

    def _answer(self, token: str) -> None:
        run = self.held.pop(token, None)
        if run is not None:
            self._put(run, run.answer)

    def _refuse(self, run: Run, code: ResultCode, message: str) -> None:
        self._put(run, Refusal(code=code, message=message, run=code.run))

    def _put(self, run: Run, body: PartBody) -> None:
        run.sink.put(RunOutput(run.attempt.request.id, run.attempt.number, body))

    def _answer_drain(self) -> None:
        pending = any(shard.pending for shard in self.shards.values())
        if pending or self.waiting or self.runs or self.storing:
            return
        for waiter in self.drain_waiters:
            waiter.answer(None)
        self.drain_waiters = []


class ClaimingEndpoint:
    """Implements ``Endpoint``: keyed calls go through the ``Claims`` task."""

    def __init__(self, endpoint: Endpoint, claims: Claims) -> None:
        self.endpoint = endpoint
        self.claims = claims
        self.load = endpoint.load

    def state(self) -> Deferred:
        """See ``Endpoint.state``; fails until the number of shards is known."""
        return ensureDeferred(self._state())

    async def _state(self) -> EndpointState:
        state = await self.endpoint.state()
        await self.claims.ask(FindLayout(state.targets))
        return state

    def run(self, attempt: Attempt, sink: Inbox) -> None:
        """See ``Endpoint.run``."""
        if decisions.needs_claim(attempt.request):
            self.claims.tell(StartRun(attempt, sink))
        else:
            self.endpoint.run(attempt, sink)

    def cancel(self, request_id: str, attempt: int) -> None:
        """See ``Endpoint.cancel``; a call that was sent still gets its outcome recorded."""
        self.claims.tell(Withdraw(request_id, attempt))
        self.endpoint.cancel(request_id, attempt)

    def order(self, order: Order) -> Deferred:
        """See ``Endpoint.order``."""
        return self.endpoint.order(order)


class ClaimsPlugin(Plugin):
    """Puts claims before the endpoint; stands between it and ``admission``."""

    name = "claims"
    settings_type = ClaimsSettings

    async def setup(self) -> None:
        """Replace the endpoint by one that claims keyed calls first."""
        endpoint = self.env.require(Endpoint)
        self.claims = Claims(self.env, endpoint, self.cfg)
        self.env.provide(Claims, self.claims)
        self.env.provide(Endpoint, ClaimingEndpoint(endpoint, self.claims))

    async def start(self) -> None:
        """Begin to take keyed calls."""
        self.claims.start()

    async def drain(self) -> None:
        """Wait until every outcome is recorded."""
        await self.claims.ask(Drain())

    async def stop(self) -> None:
        """Stop the task."""
        await self.claims.stop()


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(ClaimsPlugin)


_REFUSALS = {
    Verdict.IN_PROGRESS: (ResultCode.IN_PROGRESS, "the first call with this key is running"),
    Verdict.UNKNOWN: (ResultCode.OUTCOME_LOST, "the first call with this key left no outcome"),
    Verdict.KEY_REUSED: (ResultCode.KEY_REUSED, "the key was used for a different request"),
    Verdict.SHARD_FULL: (ResultCode.CLAIM_UNAVAILABLE, "the claims shard is full"),
}
