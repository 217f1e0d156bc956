"""Keeps requests from engines that a part of their prompt would crash."""

from functools import singledispatchmethod
from hashlib import blake2b

from attrs import evolve

from chivewall.decisions.crash_evidence import (
    RECOVERY_SECONDS,
    CrashEvidence,
    EngineRun,
    PartCheck,
    PartKey,
    Verdict,
)
from chivewall.environment import Environment
from chivewall.events import Event
from chivewall.gateway.fleet import Fleet
from chivewall.gateway.fleet_messages import CountSoundEngines, EndpointCrashed
from chivewall.gateway.http_dialect import RequestFields
from chivewall.gateway.part_messages import (
    CheckParts,
    CurrentPartNews,
    EngineCrashed,
    GuardedRequestEnded,
    PartsServed,
    PartsSuspected,
    PeerPartNews,
    SharePartNews,
    SubscribeToPartNews,
)
from chivewall.messages import Tick
from chivewall.plugins.base import Plugin
from chivewall.plugins.registry import Registry
from chivewall.task import Inbox, Task

EXPIRE_SECONDS = 2.0  # interval between removals of old evidence
MAX_CHECKED_PARTS = 64  # parts of one prompt that are looked at
MAX_PART_ID_CHARS = 32  # longer ids are replaced by a hash
HASH_BYTES = 12
TAG_BYTES = 4  # tags of different requests are compared only for the same crash


def part_keys(service: str, fields: RequestFields) -> tuple[PartKey, ...]:
    """Return the keys of a request's parts without the last, which belongs to the request."""
    return tuple(
        PartKey(service, _bounded_id(one.id))
        for one in fields.prompt_parts[:-1][:MAX_CHECKED_PARTS]
    )


def _bounded_id(part: str) -> str:
    if len(part) <= MAX_PART_ID_CHARS:
        return part
    return blake2b(part.encode(), digest_size=HASH_BYTES).hexdigest()


def _request_tag(request_id: str | None) -> str:
    return blake2b((request_id or "").encode(), digest_size=TAG_BYTES).hexdigest()


class PartGuard(Task):
    """Holds the evidence about prompt parts, and decides about requests that contain them."""

    def __init__(self, env: Environment, fleet: Fleet) -> None:
        super().__init__()
        self.env = env
        self.fleet = fleet
        self.evidence = CrashEvidence()
        self.news_subscriber: Inbox | None = None  # passes news to the other gateways
        self.blocked: frozenset[PartKey] = frozenset()  # as last logged
        # Parts of the requests that may be sent and have brought no event yet, by their inbox.
        self.unserved: dict[Inbox, tuple[PartKey, ...]] = {}

    def start(self) -> None:
        """Start the task and the removal of old evidence."""
        super().start()
        self.send(Tick("expire"))

    @singledispatchmethod
    async def receive(self, message: object) -> None:
        """Handle one message."""
        raise TypeError(f"unexpected message {message!r}")

    @receive.register
    async def _(self, message: CheckParts) -> None:
        now = self.env.now
        in_trial = message.last_verdict is Verdict.TRIAL
        check = self.evidence.check(message.keys, now, in_trial=in_trial)
        if check.verdict is Verdict.TRIAL:
            sound = await self.fleet.query(CountSoundEngines(message.keys[0].service))
            if not self.evidence.may_try(check, sound, now):
                check = evolve(check, verdict=Verdict.WAIT)
            elif not in_trial:
                self.evidence.start_trial(check.suspects, now)
                self._publish(check.suspects)
        if check.verdict not in (Verdict.PASS, message.last_verdict):
            self._log_check(check, message.request_id)
        if check.verdict in (Verdict.PASS, Verdict.TRIAL):
            self.unserved[message.sender] = message.keys
        message.reply(check)

    @receive.register
    async def _(self, message: PartsServed) -> None:
        self.unserved.pop(message.sender, None)
        cleared = self.evidence.record_success(message.keys, self.env.now)
        if cleared:
            self._publish(cleared)
            self._log_cleared(cleared, "served")

    @receive.register
    async def _(self, message: EngineCrashed) -> None:
        run = EngineRun(message.engine.id, message.engine.started_ms or 0)
        self.fleet.send(EndpointCrashed(run.engine, run.started_ms))
        found = self.evidence.record_crash(
            run,
            message.keys,
            self.env.now,
            begun=message.begun,
            request=_request_tag(message.request_id),
        )
        self.env.log.emit(
            Event.ENGINE_CRASHED,
            request=message.request_id,
            endpoint=message.engine.id,
            service=message.engine.service,
            begun=message.begun,
            prompt_parts=[one.part for one in message.keys],
        )
        if found:
            self._publish(found)
            self._notify_unserved(found)
            self._log_blocked()

    @receive.register
    async def _(self, message: GuardedRequestEnded) -> None:
        self.unserved.pop(message.sender, None)
        if message.in_trial:
            self.evidence.end_trial(message.keys)

    @receive.register
    async def _(self, message: SubscribeToPartNews) -> None:
        self.news_subscriber = message.inbox

    @receive.register
    async def _(self, message: CurrentPartNews) -> None:
        message.reply(self.evidence.main_news(self.env.now))

    @receive.register
    async def _(self, message: PeerPartNews) -> None:
        since = self.env.now - RECOVERY_SECONDS
        services = {one.key.service for one in message.news}
        known = {run for one in services for run in self.evidence.crashed_since(one, since)}
        changed = [one.key for one in message.news if self.evidence.merge(one, self.env.now)]
        found = {run for one in services for run in self.evidence.crashed_since(one, since)}
        for run in sorted(found - known):
            self.fleet.send(EndpointCrashed(run.engine, run.started_ms))
        if changed and message.relay:
            self._publish(changed)
        cleared = self.blocked.intersection(changed) - set(self.evidence.blocked(self.env.now))
        if cleared:
            self._log_cleared(tuple(sorted(cleared)), "served by another gateway")
        if changed:
            self._notify_unserved(changed)
            self._log_blocked()

    @receive.register
    async def _(self, message: Tick) -> None:
        expired = self.evidence.expire(self.env.now)
        if expired:
            self._log_cleared(expired, "expired")
        self.env.clock.callLater(EXPIRE_SECONDS, self.send, Tick("expire"))

    def _publish(self, keys: tuple[PartKey, ...] | list[PartKey]) -> None:
        if self.news_subscriber is not None and keys:
            news = tuple(self.evidence.news(key, self.env.now) for key in keys)
            self.news_subscriber.put(SharePartNews(news))

    def _notify_unserved(self, changed: tuple[PartKey, ...] | list[PartKey]) -> None:
        """Let requests that are on their way to an engine be checked again."""
        for inbox, keys in self.unserved.items():
            if not set(changed).isdisjoint(keys):
                inbox.put(PartsSuspected())

    def _log_check(self, check: PartCheck, request_id: str | None) -> None:
        self.env.log.emit(
            Event.PROMPT_PART_CHECKED,
            request=request_id,
            verdict=check.verdict.name.lower(),
            prompt_parts=[one.part for one in check.suspects],
            crashes=[self.evidence.crash_count(one) for one in check.suspects],
        )

    def _log_blocked(self) -> None:
        now = self.env.now
        blocked = frozenset(self.evidence.blocked(now))
        for key in sorted(blocked - self.blocked):
            self.env.log.emit(
                Event.PROMPT_PART_BLOCKED,
                service=key.service,
                prompt_part=key.part,
                crashes=self.evidence.crash_count(key),
                seconds=round(self.evidence.blocked_until(key, now) - now, 3),
                blocked_parts=len(blocked),
            )
        self.blocked = blocked

    def _log_cleared(self, keys: tuple[PartKey, ...], reason: str) -> None:
        blocked = frozenset(self.evidence.blocked(self.env.now))
        for key in keys:
            self.env.log.emit(
                Event.PROMPT_PART_CLEARED,
                service=key.service,
                prompt_part=key.part,
                reason=reason,
                blocked_parts=len(blocked),
            )
        self.blocked = blocked


class PartGuardPlugin(Plugin):
    """Provides the ``PartGuard``."""

    name = "part_guard"

    async def setup(self) -> None:
        """Create the task and provide it."""
        self.guard = PartGuard(self.env, self.env.require(Fleet))
        self.env.provide(PartGuard, self.guard)

    async def start(self) -> None:
        """Start the task."""
        self.guard.start()

    async def stop(self) -> None:
        """Stop the task."""
        await self.guard.stop()


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(PartGuardPlugin)
