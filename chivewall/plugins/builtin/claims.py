"""Runs non-idempotent calls with an idempotency key at most once, by claims in the object API.

A keyed call runs only after its key has been claimed by a conditional write to
a shard object. Its outcome is recorded there, so that a repeated call with the
same key gets the recorded response.
"""

import uuid
from functools import singledispatchmethod

from attrs import field, frozen, validators
from twisted.internet.defer import Deferred, ensureDeferred

from chivewall.claim_messages import (
    CachedShard,
    FlushShard,
    GetShardCounts,
    OutcomeReady,
    Run,
    RunTimedOut,
    ShardCountFound,
    StartRun,
)
from chivewall.claim_store import (
    MAX_BACKOFF_SECONDS,
    CommitFailed,
    Committed,
    ShardStore,
    random_backoff,
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
from chivewall.messages import Drain, WithdrawAttempt
from chivewall.plugins.base import Plugin
from chivewall.plugins.registry import Registry
from chivewall.results import ResultCode
from chivewall.task import Inbox, Task
from chivewall.work import Attempt, PartBody, Refusal

CLAIM_TIMEOUT_SECONDS = 1.5  # longest wait for a claim; then the call is refused as not run
RECORD_TIMEOUT_SECONDS = 0.25  # longest time that a response is held back for its record
# Longest backoff after a write conflict, in seconds. It is shorter than after other errors,
# because a conflict shows that the object API works.
CONFLICT_BACKOFF_LIMIT_SECONDS = 0.08
POSITIVE = validators.gt(0)


@frozen
class ClaimsSettings:
    """Settings of how claims are stored."""

    shards: int = field(
        default=decisions.DEFAULT_SHARDS,
        validator=POSITIVE,
        metadata={"help": "Number of shard objects of a new service; a stored number is kept."},
    )
    window_ms: float = field(
        default=4.0,
        validator=POSITIVE,
        metadata={"help": "Changes within this time share one write, in milliseconds."},
    )
    retention_seconds: float = field(
        default=86_400.0,
        validator=POSITIVE,
        metadata={"help": "How long a key is remembered, in seconds."},
    )


class Claims(Task):
    """Task that owns the agent's cached claim shards and the keyed calls that it runs."""

    def __init__(self, env: Environment, endpoint: Endpoint, cfg: ClaimsSettings) -> None:
        super().__init__()
        self.env = env
        self.endpoint = endpoint
        self.cfg = cfg
        self.store = ShardStore(env, env.require(ObjectStore))
        # Not from ``env.random``: a seeded generator repeats its values after a restart, but a
        # restarted process must not reuse the tokens of the one before.
        self.token_prefix = uuid.uuid4().hex
        self.token_count = 0  # number of claim tokens made
        self.shard_counts: dict[str, int] = {}  # number of shards by service
        self.shards: dict[str, CachedShard] = {}
        self.undecided: dict[str, Run] = {}  # runs whose claim is undecided, by token
        self.runs: dict[tuple[str, int], Run] = {}  # runs at the endpoint
        self.held_back: dict[str, Run] = {}  # runs whose response waits for its record, by token
        self.pending_outcomes = 0  # outcomes on their way to a record; large ones are stored first
        self.drain_waiters: list[Drain] = []

    @singledispatchmethod
    async def receive(self, message: object) -> None:
        """Handle one message."""
        raise TypeError(f"unexpected message {message!r}")

    @receive.register
    async def _(self, message: GetShardCounts) -> None:
        self.spawn(self._find_layout(message))

    @receive.register
    async def _(self, message: ShardCountFound) -> None:
        self.shard_counts[message.service] = message.shard_count

    @receive.register
    async def _(self, message: StartRun) -> None:
        request = message.attempt.request
        key_parts = (request.work.service, request.workspace, request.idempotency_key)
        shard_number = decisions.shard_number(
            *key_parts, shards=self.shard_counts[request.work.service]
        )
        self.token_count += 1
        run_until = self.env.unix_time() + request.deadline - self.env.now
        claim = Claim(
            workspace=request.workspace,
            fingerprint=decisions.work_fingerprint(request.work),
            token=f"{self.token_prefix}-{self.token_count}",
            run_until=run_until,
            expires_at=run_until + self.cfg.retention_seconds,
        )
        shard_key = f"claims/{request.work.service}/{shard_number}"
        hashed_key = decisions.hashed_key(*key_parts)
        self.undecided[claim.token] = Run(
            message.attempt, message.sink, shard_key, hashed_key, claim
        )
        self._add_change(shard_key, ClaimKey(hashed_key, claim))
        self.env.clock.callLater(CLAIM_TIMEOUT_SECONDS, self.send, RunTimedOut(claim.token))

    @receive.register
    async def _(self, message: FlushShard) -> None:
        shard = self.shards[message.shard]
        changes = tuple(shard.pending_changes)
        if not changes:
            shard.flush_scheduled = False
            return
        shard.submitted_tokens.update(
            one.claim.token for one in changes if isinstance(one, ClaimKey)
        )
        self.spawn(self._commit(shard.key, shard.state, shard.version, changes))

    @receive.register
    async def _(self, message: Committed) -> None:
        shard = self.shards[message.shard]
        shard.state, shard.version = message.state, message.version
        shard.failures = 0
        shard.flush_scheduled = False
        committed = {id(one) for one in message.changes}
        shard.pending_changes = [one for one in shard.pending_changes if id(one) not in committed]
        for token, result in message.results.items():
            shard.submitted_tokens.discard(token)
            run = self.undecided.pop(token, None)
            if run is not None:
                self._handle_result(run, result)
        for change in message.changes:
            if isinstance(change, RecordOutcome):
                self._deliver_held_back(change.token)
        if shard.pending_changes:
            self._schedule_flush(shard, self.cfg.window_ms / 1000)
        self._reply_to_drain()

    @receive.register
    async def _(self, message: CommitFailed) -> None:
        shard = self.shards[message.shard]
        shard.version = None
        shard.failures += 1
        limit = CONFLICT_BACKOFF_LIMIT_SECONDS if message.conflict else MAX_BACKOFF_SECONDS
        shard.flush_scheduled = False
        self._schedule_flush(shard, random_backoff(self.env.random, shard.failures, limit))

    @receive.register
    async def _(self, message: RunTimedOut) -> None:
        run = self.undecided.get(message.token)
        if run is None:
            self._deliver_held_back(message.token)
            return
        self._withdraw(run)
        self._refuse(run, ResultCode.CLAIM_UNAVAILABLE, "the claim could not be stored in time")

    @receive.register
    async def _(self, message: WithdrawAttempt) -> None:
        for run in list(self.undecided.values()):
            request = run.attempt.request
            if (request.id, run.attempt.number) == (message.request_id, message.attempt):
                self._withdraw(run)

    @receive.register
    async def _(self, message: RunOutput) -> None:
        run = self.runs.pop((message.request_id, message.attempt), None)
        if run is None:
            return
        run.answer = message.body
        self.held_back[run.claim.token] = run
        self.env.clock.callLater(RECORD_TIMEOUT_SECONDS, self.send, RunTimedOut(run.claim.token))
        self.pending_outcomes += 1
        self.spawn(self._store_outcome(run))

    @receive.register
    async def _(self, message: OutcomeReady) -> None:
        self.pending_outcomes -= 1
        run = message.run
        self._add_change(run.shard, RecordOutcome(run.key, run.claim.token, message.outcome))

    @receive.register
    async def _(self, message: RunFailed) -> None:
        run = self.runs.pop((message.request_id, message.attempt), None)
        if run is None:
            return
        if not message.may_have_arrived:
            self._add_change(run.shard, ReleaseClaim(run.key, run.claim.token))
        run.sink.put(message)
        self._reply_to_drain()

    @receive.register
    async def _(self, message: Drain) -> None:
        self.drain_waiters.append(message)
        self._reply_to_drain()

    async def _find_layout(self, query: GetShardCounts) -> None:
        try:
            for service in query.services:
                if service not in self.shard_counts:
                    shards = await self.store.shard_count(service, self.cfg.shards)
                    self.send(ShardCountFound(service, shards))
        except (StoreError, ValueError) as exc:
            query.fail(EndpointError(f"the number of claim shards is not known: {exc}"))
        else:
            query.reply(None)

    async def _commit(
        self, key: str, state: ShardState, version: int | None, changes: tuple[ClaimChange, ...]
    ) -> None:
        self.send(await self.store.commit(key, state, version, changes))

    async def _store_outcome(self, run: Run) -> None:
        outcome = await self.store.store_outcome(f"{run.key}-{run.claim.token}", run.answer)
        self.send(OutcomeReady(run, outcome))

    async def _deliver_recorded(self, run: Run, outcome: Outcome) -> None:
        self._deliver(run, await self.store.load_answer(outcome))

    def _add_change(self, key: str, change: ClaimChange) -> None:
        shard = self.shards.setdefault(key, CachedShard(key))
        shard.pending_changes.append(change)
        self._schedule_flush(shard, self.cfg.window_ms / 1000)

    def _schedule_flush(self, shard: CachedShard, seconds: float) -> None:
        if not shard.flush_scheduled:
            shard.flush_scheduled = True
            self.env.clock.callLater(seconds, self.send, FlushShard(shard.key))

    def _withdraw(self, run: Run) -> None:
        # The token never returns to ``undecided``, so this process never runs the call.
        token = run.claim.token
        self.undecided.pop(token, None)
        shard = self.shards[run.shard]
        shard.pending_changes = [
            one for one in shard.pending_changes if one != ClaimKey(run.key, run.claim)
        ]
        if token in shard.submitted_tokens:
            shard.submitted_tokens.discard(token)
            self._add_change(run.shard, ReleaseClaim(run.key, token))

    def _handle_result(self, run: Run, result: ClaimResult) -> None:
        request = run.attempt.request
        self.env.log.emit(
            Event.CLAIM_DECIDED, request=request.id, verdict=result.verdict.value, shard=run.shard
        )
        if result.verdict is Verdict.GRANTED:
            self._start_run(run)
        elif result.verdict is Verdict.REPEAT:
            self.spawn(self._deliver_recorded(run, result.claim.outcome))
        else:
            self._refuse(run, *_REFUSALS[result.verdict])

    def _start_run(self, run: Run) -> None:
        request = run.attempt.request
        if not decisions.may_send(
            run.claim, self.env.unix_time(), deadline=request.deadline, now=self.env.now
        ):
            self._add_change(run.shard, ReleaseClaim(run.key, run.claim.token))
            self._refuse(run, ResultCode.DEADLINE_PASSED, "the deadline passed before the run")
            return
        self.runs[request.id, run.attempt.number] = run
        self.endpoint.run(run.attempt, self.inbox)

    def _deliver_held_back(self, token: str) -> None:
        run = self.held_back.pop(token, None)
        if run is not None:
            self._deliver(run, run.answer)

    def _refuse(self, run: Run, code: ResultCode, message: str) -> None:
        self._deliver(run, Refusal(code=code, message=message, run=code.run))

    def _deliver(self, run: Run, body: PartBody) -> None:
        run.sink.put(RunOutput(run.attempt.request.id, run.attempt.number, body))

    def _reply_to_drain(self) -> None:
        pending = any(shard.pending_changes for shard in self.shards.values())
        if pending or self.undecided or self.runs or self.pending_outcomes:
            return
        for waiter in self.drain_waiters:
            waiter.reply(None)
        self.drain_waiters = []


class ClaimingEndpoint:
    """Implements ``Endpoint``: passes keyed calls through the ``Claims`` task."""

    def __init__(self, endpoint: Endpoint, claims: Claims) -> None:
        self.endpoint = endpoint
        self.claims = claims
        self.load = endpoint.load

    def state(self) -> Deferred:
        """Read the endpoint's state; fails until the number of claim shards is known."""
        return ensureDeferred(self._state())

    async def _state(self) -> EndpointState:
        state = await self.endpoint.state()
        await self.claims.query(GetShardCounts(state.targets))
        return state

    def run(self, attempt: Attempt, sink: Inbox) -> None:
        """Run an attempt, a keyed call only under a claim."""
        if decisions.needs_claim(attempt.request):
            self.claims.send(StartRun(attempt, sink))
        else:
            self.endpoint.run(attempt, sink)

    def cancel(self, request_id: str, attempt: int) -> None:
        """Cancel an attempt; a call that was sent still gets its outcome recorded."""
        self.claims.send(WithdrawAttempt(request_id, attempt))
        self.endpoint.cancel(request_id, attempt)

    def order(self, order: Order) -> Deferred:
        """Send an order to the endpoint."""
        return self.endpoint.order(order)


class ClaimsPlugin(Plugin):
    """Wraps the endpoint in claims; list it after the endpoint's plug-in, before ``admission``."""

    name = "claims"
    settings_type = ClaimsSettings

    async def setup(self) -> None:
        """Replace the provided endpoint by one that claims keyed calls first."""
        endpoint = self.env.require(Endpoint)
        self.claims = Claims(self.env, endpoint, self.cfg)
        self.env.provide(Claims, self.claims)
        self.env.provide(Endpoint, ClaimingEndpoint(endpoint, self.claims))

    async def start(self) -> None:
        """Start accepting keyed calls."""
        self.claims.start()

    async def drain(self) -> None:
        """Wait until every outcome is recorded."""
        await self.claims.query(Drain())

    async def stop(self) -> None:
        """Stop the task."""
        await self.claims.stop()


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(ClaimsPlugin)


_REFUSALS = {
    Verdict.IN_PROGRESS: (ResultCode.IN_PROGRESS, "the first call with this key is running"),
    Verdict.UNKNOWN: (
        ResultCode.OUTCOME_LOST,
        "the outcome of the first call with this key was not recorded",
    ),
    Verdict.KEY_REUSED: (ResultCode.KEY_REUSED, "the key was used for a different request"),
    Verdict.SHARD_FULL: (ResultCode.CLAIM_UNAVAILABLE, "the claim shard is full"),
}
