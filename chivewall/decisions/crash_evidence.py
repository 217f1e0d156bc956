"""Finds the prompt parts that crash engines, from the crashes and successes of all gateways.

A request that crashes its engine would crash the next one too (a query of death), and so would
other requests with the same part. The evidence about a part is the crashes of engines at which a
request with it was just starting, since its last success: a part that an engine began to answer
and survived is sound. A part with enough of it is blocked, as by a circuit breaker that lets a
single trial through after a time.
"""

import math
from collections import OrderedDict
from collections.abc import Iterable
from enum import IntEnum

from attrs import define, evolve, field, frozen

from chivewall.backoff import exponential_delay

# Weight of a crash for the parts of a request whose response had begun without an event, and for
# those of a request that was still waiting at the engine. Most of the latter are bystanders.
BEGUN_WEIGHT = 1.0
WAITING_WEIGHT = 0.5
# One crash may be a coincidence: at most moments some request is starting at an engine.
BLOCKING_WEIGHT = 2.0
# A part that was served lately is in requests of all kinds, so it is near many crashes.
TRUSTED_BLOCKING_WEIGHT = 4.0
TRUST_SECONDS = 60.0
# Doubled with each trial that crashes an engine.
BLOCK_SECONDS = 20.0
MAX_BLOCK_SECONDS = 120.0
TRIAL_SECONDS = 2.0  # a trial without an outcome doesn't hold up others for longer
# Time in which a crashed engine is back. Until then a trial must not take the last sound one.
RECOVERY_SECONDS = 10.0
SPARE_ENGINES = 2  # sound engines of which a trial may take one
FORGET_SECONDS = 60.0  # evidence is kept for this long after its part's block has ended
MAX_SUSPECTS = 256
MAX_CRASHES = 16  # crashes kept for one part
MAX_MAIN_NEWS = 6  # parts named in a hello, which many gateways get every few seconds
MAX_SUCCESSES = 4096  # parts whose latest success is kept


@frozen(order=True)
class PartKey:
    """A prompt part at the engines of one service."""

    service: str
    part: str


@frozen(order=True)
class EngineRun:
    """An engine between two of its starts; gateways that see the same crash count it once."""

    engine: str
    started_ms: int  # 0 if unknown


@frozen
class Crash:
    """A crash of an engine, as evidence about one part."""

    at: float
    weight: float
    request: str = ""  # short tag of the request with the part; one of several


@frozen
class PartNews:
    """What a gateway knows about one suspected part, in ages so that clocks may differ."""

    key: PartKey
    crashes: tuple[tuple[EngineRun, Crash], ...]  # with the age in seconds instead of the time
    success_age: float | None = None  # seconds since its last success
    trial_left: float = 0.0  # seconds for which a trial is awaited


class Verdict(IntEnum):
    """What to do with a request, the most restrictive last."""

    PASS = 0
    TRIAL = 1  # send it; its outcome is evidence that others wait for
    WAIT = 2  # another request's trial is awaited
    REFUSE = 3


@frozen
class PartCheck:
    """The verdict on a request."""

    verdict: Verdict
    suspects: tuple[PartKey, ...] = ()  # parts of the request behind the verdict
    until: float = 0.0  # end of the block of a refused request
    risky: bool = False  # no part that the request doesn't contain may be to blame instead


@define
class Suspect:
    """Evidence about one part."""

    crashes: dict[EngineRun, Crash] = field(factory=dict)
    trial_until: float = 0.0

    @property
    def last_crash_at(self) -> float:
        """Return the time of the latest crash."""
        return max(one.at for one in self.crashes.values())


@define
class CrashEvidence:
    """The evidence of one gateway about prompt parts, merged with that of the others.

    Example::

        evidence = CrashEvidence()
        evidence.record_crash(EngineRun("engine-1", 1700000000000), parts, begun=True, now=5.0)
        evidence.check(parts, now=5.1).verdict  # Verdict.TRIAL
    """

    _suspects: OrderedDict[PartKey, Suspect] = field(factory=OrderedDict, init=False)
    _successes: OrderedDict[PartKey, float] = field(factory=OrderedDict, init=False)

    def record_crash(
        self, run: EngineRun, keys: Iterable[PartKey], now: float, *, begun: bool, request: str = ""
    ) -> tuple[PartKey, ...]:
        """Record a crash of an engine at which a request with these parts was starting.

        ``begun``: its response had begun; ``request``: a short tag of the request. Returns the
        parts for which the crash is new.
        """
        crash = Crash(now, BEGUN_WEIGHT if begun else WAITING_WEIGHT, request)
        return tuple(key for key in keys if self._add_crash(key, run, crash))

    def record_success(self, keys: Iterable[PartKey], now: float) -> tuple[PartKey, ...]:
        """Record that an engine began to answer and survived; return the parts it clears."""
        cleared = tuple(key for key in keys if self._counted(key))
        for key in keys:
            self._add_success(key, now)
        return cleared

    def start_trial(self, keys: Iterable[PartKey], now: float) -> None:
        """Let other requests with these parts wait for the outcome of one."""
        for key in keys:
            self._suspects[key].trial_until = now + TRIAL_SECONDS

    def end_trial(self, keys: Iterable[PartKey]) -> None:
        """End a trial that has no outcome."""
        for key in keys:
            if key in self._suspects:
                self._suspects[key].trial_until = 0.0

    def check(self, keys: tuple[PartKey, ...], now: float, *, in_trial: bool = False) -> PartCheck:
        """Return the verdict on a request with these parts; ``in_trial``: it is a trial itself."""
        checks = [
            self._check_part(key, keys, now, in_trial=in_trial)
            for key in keys
            if key in self._suspects
        ]
        verdict = max((one.verdict for one in checks), default=Verdict.PASS)
        behind = tuple(
            key for one in checks if one.verdict is not Verdict.PASS for key in one.suspects
        )
        until = max((one.until for one in checks), default=0.0)
        return PartCheck(verdict, behind, until, risky=any(one.risky for one in checks))

    def may_try(self, check: PartCheck, sound_engines: int, now: float) -> bool:
        """Return whether a trial may be sent while a service has this many sound engines."""
        if not check.risky or sound_engines >= SPARE_ENGINES:
            return True
        since = now - RECOVERY_SECONDS
        return not any(self.crashed_since(one.service, since) for one in check.suspects)

    def blocked(self, now: float) -> tuple[PartKey, ...]:
        """Return the parts that are blocked, or whose trial after a block is still to come."""
        return tuple(key for key in self._suspects if self._weight(key) >= self._needed(key, now))

    def blocked_until(self, key: PartKey, now: float) -> float:
        """Return the end of a part's block; a trial follows it."""
        crashes = sorted(self._counted(key).values(), key=lambda one: one.at)
        needed, weight, until, failed_trials = self._needed(key, now), 0.0, -math.inf, -1
        for one in crashes:
            weight += one.weight
            if weight >= needed:
                failed_trials += one.at >= until
                until = one.at + exponential_delay(BLOCK_SECONDS, MAX_BLOCK_SECONDS, failed_trials)
        return until

    def crash_count(self, key: PartKey) -> int:
        """Return the number of crashes since the part's last success."""
        return len(self._counted(key))

    def news(self, key: PartKey, now: float) -> PartNews:
        """Return what is known about a suspected part, for other gateways."""
        suspect, succeeded_at = self._suspects[key], self._successes.get(key)
        return PartNews(
            key=key,
            crashes=tuple(
                (run, evolve(one, at=now - one.at)) for run, one in suspect.crashes.items()
            ),
            success_age=None if succeeded_at is None else now - succeeded_at,
            trial_left=max(0.0, suspect.trial_until - now),
        )

    def main_news(self, now: float) -> tuple[PartNews, ...]:
        """Return what is known about the parts with the most evidence against them."""
        suspected = [key for key in self._suspects if self._counted(key)]
        suspected.sort(key=lambda one: (-self._weight(one), -self._suspects[one].last_crash_at))
        return tuple(self.news(key, now) for key in suspected[:MAX_MAIN_NEWS])

    def crashed_since(self, service: str, since: float) -> frozenset[EngineRun]:
        """Return the engines of a service that crashed after a time, as far as it is known."""
        return frozenset(
            run
            for key, suspect in self._suspects.items()
            if key.service == service
            for run, one in suspect.crashes.items()
            if one.at > since
        )

    def merge(self, news: PartNews, now: float) -> bool:
        """Add what another gateway knows; return whether that changes the evidence."""
        before = self._counted(news.key).keys()
        found_crash = [
            self._add_crash(news.key, run, evolve(one, at=now - one.at))
            for run, one in news.crashes
        ]
        if news.success_age is not None:
            self._add_success(news.key, now - news.success_age)
        suspect = self._suspects.get(news.key)
        if suspect is not None:
            trial_until = now + news.trial_left if news.trial_left else 0.0
            # A trial that was announced before its crash has ended with it.
            suspect.trial_until = (
                trial_until if any(found_crash) else max(suspect.trial_until, trial_until)
            )
        return before != self._counted(news.key).keys()

    def expire(self, now: float) -> tuple[PartKey, ...]:
        """Forget old evidence; return the parts that were still under suspicion."""
        expired = [
            key
            for key, one in self._suspects.items()
            if now - max(one.last_crash_at, self.blocked_until(key, now)) > FORGET_SECONDS
        ]
        suspected = tuple(key for key in expired if self._counted(key))
        for key in expired:
            del self._suspects[key]
        return suspected

    def _add_crash(self, key: PartKey, run: EngineRun, crash: Crash) -> bool:
        suspect = self._suspects.setdefault(key, Suspect())
        self._suspects.move_to_end(key)
        known = suspect.crashes.get(run)
        if known is not None and known.weight >= crash.weight:
            return False
        suspect.crashes[run] = crash
        suspect.trial_until = 0.0
        if len(suspect.crashes) > MAX_CRASHES:
            oldest = min(suspect.crashes, key=lambda one: suspect.crashes[one].at)
            del suspect.crashes[oldest]
        if len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        return True

    def _add_success(self, key: PartKey, at: float) -> None:
        self._successes[key] = max(at, self._successes.get(key, -math.inf))
        self._successes.move_to_end(key)
        if len(self._successes) > MAX_SUCCESSES:
            self._successes.popitem(last=False)

    def _counted(self, key: PartKey) -> dict[EngineRun, Crash]:
        """Return the crashes since the part's last success."""
        suspect = self._suspects.get(key)
        if suspect is None:
            return {}
        since = self._successes.get(key, -math.inf)
        return {run: one for run, one in suspect.crashes.items() if one.at > since}

    def _is_trusted(self, key: PartKey, now: float) -> bool:
        return now - self._successes.get(key, -math.inf) <= TRUST_SECONDS

    def _needed(self, key: PartKey, now: float) -> float:
        return TRUSTED_BLOCKING_WEIGHT if self._is_trusted(key, now) else BLOCKING_WEIGHT

    def _weight(self, key: PartKey) -> float:
        return sum(one.weight for one in self._counted(key).values())

    def _is_explained(self, key: PartKey, now: float) -> bool:
        """Return whether a blocked part is behind all crashes that speak against this one."""
        runs = self._counted(key).keys()
        return any(
            runs < self._counted(one).keys() and self._weight(one) >= self._needed(one, now)
            for one in self._suspects
        )

    def _is_to_blame(self, key: PartKey, keys: tuple[PartKey, ...]) -> bool:
        """Return whether the evidence is against this part, or others that a request contains.

        If a part that the request doesn't contain may be to blame instead, its outcome shows it.
        """
        crashes, weight = self._counted(key), self._weight(key)
        for other in self._suspects.keys() - set(keys):
            counted, other_weight = self._counted(other), self._weight(other)
            shared = crashes.keys() & counted.keys()
            same_request = any(crashes[one].request == counted[one].request for one in shared)
            if same_request and weight < other_weight + BLOCKING_WEIGHT:
                return False
            if crashes.keys() <= counted.keys() and weight <= other_weight:
                return False
        return True

    def _check_part(
        self, key: PartKey, keys: tuple[PartKey, ...], now: float, *, in_trial: bool
    ) -> PartCheck:
        weight, blocked = self._weight(key), self._weight(key) >= self._needed(key, now)
        if weight < BEGUN_WEIGHT:
            return PartCheck(Verdict.PASS)
        if not blocked and (self._is_trusted(key, now) or self._is_explained(key, now)):
            return PartCheck(Verdict.PASS)
        risky = self._is_to_blame(key, keys)
        until = self.blocked_until(key, now)
        if blocked and risky and now < until:
            return PartCheck(Verdict.REFUSE, (key,), until)
        trial_until = self._suspects[key].trial_until
        if in_trial or now >= trial_until:
            return PartCheck(Verdict.TRIAL, (key,), risky=risky)
        if blocked and risky:
            return PartCheck(Verdict.REFUSE, (key,), trial_until)
        return PartCheck(Verdict.WAIT, (key,))
