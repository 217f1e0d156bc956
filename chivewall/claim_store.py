"""Reads and writes shards of claims and stored outcomes in the object API."""

import random

from attrs import define, frozen
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from chivewall.backoff import doubled
from chivewall.decisions import claims as decisions
from chivewall.decisions.claims import ClaimChange, ClaimResult, Outcome, ShardState, Verdict
from chivewall.environment import Environment
from chivewall.errors import (
    ObjectMissingError,
    StoreError,
    StoreUnavailableError,
    VersionConflictError,
)
from chivewall.events import Event
from chivewall.interfaces import ObjectStore
from chivewall.results import ResultCode, RunState
from chivewall.work import Answer, Refusal

STORE_SECONDS = 0.5  # longest wait for one call of the object API
BACKOFF_BASE = 0.02  # seconds
BACKOFF_LIMIT = 2.0  # seconds


@frozen
class Committed:
    """A batch of changes was decided and is in the object API."""

    shard: str
    state: ShardState
    version: int
    changes: tuple[ClaimChange, ...]
    results: dict[str, ClaimResult]


@frozen
class CommitFailed:
    """A batch of changes may or may not be in the object API."""

    shard: str
    conflict: bool


@define(eq=False)
class ShardStore:
    """The operations on shards and outcomes; each call of the object API is bounded."""

    env: Environment
    store: ObjectStore

    async def layout(self, service: str, shards: int) -> int:
        """Return the number of shards of a service; the first agent's setting stands.

        Raises ``StoreError`` or ``ValueError``.
        """
        key = f"claims/{service}/layout"
        try:
            return int((await self._bounded(self.store.get(key))).value)
        except ObjectMissingError:
            await self._bounded(self.store.create(key, str(shards).encode()))
            return shards

    async def commit(
        self, key: str, state: ShardState, version: int | None, changes: tuple[ClaimChange, ...]
    ) -> Committed | CommitFailed:
        """Decide a batch on the cached copy, or on a fresh one, and write it if needed."""
        try:
            cached = version is not None
            if not cached:
                state, version = await self._read(key)
            decision = decisions.decide(state, changes, self.env.unix_time())
            if cached and any(
                one.verdict is not Verdict.GRANTED for one in decision.results.values()
            ):
                # Another agent may have recorded an outcome since the copy was read.
                state, version = await self._read(key)
                decision = decisions.decide(state, changes, self.env.unix_time())
            if decision.must_write:
                version = await self._write(key, decisions.encode(decision.state), version)
                state = decision.state
        except VersionConflictError:
            return CommitFailed(key, conflict=True)
        except (StoreError, ValueError) as exc:
            self.env.log.emit(Event.STORE_UNAVAILABLE, key=key, error=str(exc))
            return CommitFailed(key, conflict=False)
        return Committed(key, state, version, changes, decision.results)

    async def keep(self, name: str, answer: Answer) -> Outcome:
        """Return the outcome to record; large ones are first written, however long it takes."""
        text = decisions.encode_answer(answer)
        if len(text) <= decisions.MAX_INLINE_BYTES:
            return Outcome(inline=text)
        if len(text) > decisions.MAX_OUTCOME_BYTES:
            return Outcome()
        outcome = Outcome(object_key=f"outcomes/{name}")
        failures = 0
        while True:
            try:
                await self._bounded(self.store.create(outcome.object_key, text.encode()))
            except VersionConflictError:
                return outcome  # an earlier write took effect; only this run writes the key
            except StoreError:
                failures += 1
                seconds = backoff(self.env.random, failures, BACKOFF_LIMIT)
                await deferLater(self.env.clock, seconds, lambda: None)
            else:
                return outcome

    async def load(self, outcome: Outcome) -> Answer | Refusal:
        """Return the stored answer, or a refusal that says that the call ran."""
        text: str | bytes | None = outcome.inline
        message = "the call ran, but its answer was too large to keep"
        if outcome.object_key is not None:
            try:
                text = (await self._bounded(self.store.get(outcome.object_key))).value
            except StoreError:
                message = "the call ran, but its answer can't be read now"
        if text is None:
            return Refusal(code=ResultCode.OUTCOME_UNKNOWN, message=message, run=RunState.YES)
        return decisions.decode_answer(text)

    async def _read(self, key: str) -> tuple[ShardState, int]:
        try:
            found = await self._bounded(self.store.get(key))
        except ObjectMissingError:
            return ShardState(), 0
        return decisions.decode(found.value), found.version

    def _write(self, key: str, value: bytes, version: int) -> Deferred:
        if version == 0:
            return self._bounded(self.store.create(key, value))
        return self._bounded(self.store.update(key, value, version))

    def _bounded(self, call: Deferred) -> Deferred:
        return call.addTimeout(STORE_SECONDS, self.env.clock, onTimeoutCancel=_time_out)


def backoff(rng: random.Random, failures: int, limit: float) -> float:
    """Return a pause with jitter that doubles with each failure, in seconds."""
    longest = doubled(BACKOFF_BASE, limit, failures)
    return rng.uniform(longest / 4, longest)


def _time_out(_result: object, seconds: float) -> None:
    raise StoreUnavailableError(f"no answer within {seconds} s")
