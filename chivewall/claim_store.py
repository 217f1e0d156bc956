"""Reads and writes shards of claims and outcomes of calls in the object API."""

import random

from attrs import define, frozen
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from chivewall.backoff import exponential_delay
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

STORE_TIMEOUT_SECONDS = 0.5  # timeout of one call of the object API
BACKOFF_BASE_SECONDS = 0.02  # seconds
MAX_BACKOFF_SECONDS = 2.0  # seconds


@frozen
class Committed:
    """Result of a batch of changes that was decided and, if needed, stored."""

    shard: str
    state: ShardState
    version: int
    changes: tuple[ClaimChange, ...]
    results: dict[str, ClaimResult]


@frozen
class CommitFailed:
    """Reports a batch of changes that may or may not have been stored."""

    shard: str
    conflict: bool


@define(eq=False)
class ShardStore:
    """Stores shards and outcomes; each call of the object API has a timeout."""

    env: Environment
    store: ObjectStore

    async def shard_count(self, service: str, default_count: int) -> int:
        """Return the number of shards of a service.

        ``shards`` is stored if no agent has stored a number before.
        Raises ``StoreError`` or ``ValueError``.
        """
        key = f"claims/{service}/layout"
        try:
            return int((await self._with_timeout(self.store.get(key))).value)
        except ObjectMissingError:
            await self._with_timeout(self.store.create(key, str(default_count).encode()))
            return default_count

    async def commit(
        self, key: str, state: ShardState, version: int | None, changes: tuple[ClaimChange, ...]
    ) -> Committed | CommitFailed:
        """Decide a batch of changes and write the shard if needed.

        Uses the cached copy; reads the shard if there is none, or if the cached
        copy would not grant every change.
        """
        try:
            cached = version is not None
            if not cached:
                state, version = await self._read(key)
            decision = decisions.decide(state, changes, self.env.unix_time())
            if cached and any(
                one.verdict is not Verdict.GRANTED for one in decision.results.values()
            ):
                # Another agent may have recorded an outcome since the shard was read.
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

    async def store_outcome(self, name: str, answer: Answer) -> Outcome:
        """Return the outcome to record for an answer.

        A large answer is first written to an object of its own, with retries
        until the write succeeds. One above ``OUTCOME_BYTES`` is not kept.
        """
        text = decisions.encode_answer(answer)
        if len(text) <= decisions.MAX_INLINE_BYTES:
            return Outcome(inline=text)
        if len(text) > decisions.MAX_OUTCOME_BYTES:
            return Outcome()
        outcome = Outcome(object_key=f"outcomes/{name}")
        failures = 0
        while True:
            try:
                await self._with_timeout(self.store.create(outcome.object_key, text.encode()))
            except VersionConflictError:
                return outcome  # an earlier write succeeded: no other run writes this object
            except StoreError:
                failures += 1
                seconds = random_backoff(self.env.random, failures, MAX_BACKOFF_SECONDS)
                await deferLater(self.env.clock, seconds, lambda: None)
            else:
                return outcome

    async def load_answer(self, outcome: Outcome) -> Answer | Refusal:
        """Return the stored answer, or a refusal that says that the call ran.

        It is refused if the answer was too large to keep or can't be read.
        """
        text: str | bytes | None = outcome.inline
        message = "the call ran, but its answer was too large to store"
        if outcome.object_key is not None:
            try:
                text = (await self._with_timeout(self.store.get(outcome.object_key))).value
            except StoreError:
                message = "the call ran, but its stored answer can't be read now"
        if text is None:
            return Refusal(code=ResultCode.OUTCOME_UNKNOWN, message=message, run=RunState.YES)
        return decisions.decode_answer(text)

    async def _read(self, key: str) -> tuple[ShardState, int]:
        try:
            found = await self._with_timeout(self.store.get(key))
        except ObjectMissingError:
            return ShardState(), 0
        return decisions.decode(found.value), found.version

    def _write(self, key: str, value: bytes, version: int) -> Deferred:
        if version == 0:
            return self._with_timeout(self.store.create(key, value))
        return self._with_timeout(self.store.update(key, value, version))

    def _with_timeout(self, call: Deferred) -> Deferred:
        return call.addTimeout(
            STORE_TIMEOUT_SECONDS, self.env.clock, onTimeoutCancel=_raise_timeout
        )


def random_backoff(rng: random.Random, failures: int, limit: float) -> float:
    """Return a random delay in seconds whose upper bound doubles with each failure."""
    upper_bound = exponential_delay(BACKOFF_BASE_SECONDS, limit, failures)
    return rng.uniform(upper_bound / 4, upper_bound)


def _raise_timeout(_result: object, seconds: float) -> None:
    raise StoreUnavailableError(f"no response within {seconds} s")
