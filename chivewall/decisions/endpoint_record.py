"""What one gateway knows about one endpoint: its work, cached prefixes, failures and speed."""

import math
from collections import OrderedDict
from collections.abc import Iterable
from hashlib import blake2b

from attrs import define, field, frozen

from chivewall.backoff import exponential_delay
from chivewall.decisions.availability import Availability, LeavingNotice, availability
from chivewall.decisions.engine_scale import EngineScale
from chivewall.decisions.permits import seconds_to_next
from chivewall.decisions.sent_work import (
    EngineSpeed,
    PrefillBudget,
    SentWork,
    Throughput,
    WorkItem,
    WorkKey,
)
from chivewall.decisions.speeds import FactorEstimator, ServiceSpeeds
from chivewall.decisions.stated_limits import LimitStatement
from chivewall.decisions.stated_pauses import Pause
from chivewall.gateway.http_dialect import RequestFields
from chivewall.gateway.routing_configuration import EndpointInfo, Stage

DECODE_PREFILL_FACTOR = 2.0  # a decode engine prefills at half the speed
FAILURE_WEIGHT = 0.25  # weight of the latest outcome in the failure share
FAILURE_HALF_LIFE_SECONDS = 4.0  # seconds in which a failure share decays by half
# Cooldown after a refusal, doubled with each further one. An engine that changes its stage
# refuses requests until its running work has ended and the change is done.
REFUSAL_COOLDOWN_SECONDS = 0.5
MAX_REFUSAL_COOLDOWN_SECONDS = 4.0
AVOID_SECONDS = 1.0  # avoidance after a failed connection, doubled with each further one
MAX_AVOID_SECONDS = 8.0
# An endpoint whose pause has ended counts as failing part of its requests, less and less, so that
# the work which waited for it doesn't come back at the same moment.
RECOVERY_SECONDS = 2.0
RECOVERY_FAILURE_SHARE = 0.5
PREFIX_LIFETIME_SECONDS = 9.0  # a prefix is assumed to be evicted if unused for this long
PREFIX_KEY_BYTES = 5  # size of a prefix key; a collision causes just one wrong estimate
MAX_PREFIXES = 4096  # prefixes recorded for one endpoint

PrefixChain = list[tuple[str, int]]  # key of each prefix, and the tokens that its last part adds


def prefix_chain(fields: RequestFields) -> PrefixChain:
    """Return the key of each prefix of the prompt, with the tokens that its last part adds."""
    chain, key = [], ""
    for part in fields.prompt_parts:
        key = blake2b(f"{key}/{part.id}".encode(), digest_size=PREFIX_KEY_BYTES).hexdigest()
        chain.append((key, part.tokens))
    return chain


@frozen
class CachedPrefix:
    """A prefix that an endpoint has been sent."""

    used_at: float  # time of its last use
    kept_from: float  # time from which it is probably kept, after its prefill


@define
class EndpointRecord:
    """State of one endpoint as this gateway knows it; lags behind what other gateways send."""

    info: EndpointInfo
    service_speeds: ServiceSpeeds = field(factory=ServiceSpeeds)  # shared by the service's records
    slowness: FactorEstimator = field(factory=FactorEstimator)  # against its service
    scale: EngineScale = field(factory=EngineScale)  # of its prefill
    logged_scale: float | None = None  # its scale in the latest log line
    work: SentWork = field(factory=SentWork)  # work of all gateways that share their records
    prefill_budget: PrefillBudget = field(factory=PrefillBudget)  # used for a decode engine
    failure_share: float = 0.0  # smoothed, as of ``last_outcome_at``
    last_outcome_at: float = 0.0  # time of the latest outcome, good or bad
    avoid_until: float = 0.0  # time until which it is avoided after failed connections
    cooldown_until: float = 0.0  # no new work until then, after a refusal or for a stage change
    consecutive_refusals: int = 0
    failed_connections: int = 0  # consecutive ones
    missing_since: float | None = None  # when a restored store was found not to have its entry
    unlisted_at: float | None = None  # when it left the list; it is then only a last resort
    notice: LeavingNotice | None = None  # the latest notice of leaving about its id
    limit: LimitStatement | None = None  # the latest limit that its id has named
    pause: Pause | None = None  # the latest pause that its id has asked for
    # Time before which no permit is expected for a request, by its rank.
    _permits_at: dict[int, float] = field(factory=dict, init=False)
    _prefixes: OrderedDict[str, CachedPrefix] = field(factory=OrderedDict, init=False)  # by key

    @property
    def prefills_first(self) -> bool:
        """Return whether it is a prefill engine."""
        return self.info.stage is Stage.PREFILL

    @property
    def availability(self) -> Availability:
        """Return whether requests may be sent to it."""
        return availability(self.info, self.notice, self.unlisted_at)

    def is_usable(self, now: float) -> bool:
        """Return whether it may get work now, and not just as a last resort."""
        return (
            self.availability is Availability.OPEN
            and self.cooldown_until <= now
            and self.avoid_until <= now
            and self.paused_until <= now
        )

    def can_answer(self, now: float) -> bool:
        """Return whether it is an engine that answers requests and is sound as far as is known."""
        return (
            self.info.stage is Stage.DECODE
            and self.availability is Availability.OPEN
            and self.failed_connections == 0
            and self.cooldown_until <= now
        )

    @property
    def paused_until(self) -> float:
        """Return the time until which it wants no requests from this gateway, or ``-math.inf``."""
        if self.pause is None or not self.pause.concerns(self.info.id, self.info.started_ms or 0):
            return -math.inf
        return self.pause.until

    @property
    def rate_limit(self) -> float | None:
        """Return the requests a second that it takes from all gateways, or ``None`` for any."""
        if self.limit is None or not self.limit.concerns(self.info.id, self.info.started_ms or 0):
            return None
        return self.limit.rate

    def record_permit_expected(self, rank: int, at: float, now: float) -> None:
        """Record that no permit is expected before a time for requests of a rank."""
        self._permits_at = {one: due for one, due in self._permits_at.items() if due > now}
        self._permits_at[rank] = at

    def permit_wait(self, now: float, rank: int) -> float:
        """Return the seconds until a permit is expected for a request, as far as is known."""
        if self.rate_limit is None:
            return 0.0
        times = [due for one, due in self._permits_at.items() if one <= rank]
        return max([0.0, *(due - now for due in times)])

    def speed(self, now: float) -> EngineSpeed:
        """Return how fast it prefills."""
        service = self.service_speeds.current
        if self.prefills_first:
            return EngineSpeed(self.learned_scale(now), service.response_seconds)
        factor = self.slowness.factor(now, service)
        return EngineSpeed(service.prefill_scale * factor, service.response_seconds * factor)

    def reference_prefill_seconds(self, prompt: int, cached: int) -> float:
        """Return the time of a prefill at the reference speed, for this engine's stage."""
        seconds = self.service_speeds.priors.prefill_seconds(prompt, cached)
        return seconds if self.prefills_first else seconds * DECODE_PREFILL_FACTOR

    def first_event_seconds(self, now: float, *, fetched: bool) -> float:
        """Return the time to the first event of a request that is sent to this decode engine.

        ``fetched``: it fetches its KV cache; else the time begins at the end of its prefill.
        """
        service = self.service_speeds.current
        line = service.fetched_event if fetched else service.first_event
        return line.seconds(self.work.running) * self.slowness.factor(now, service)

    def call_seconds(self, now: float) -> float:
        """Return the duration of a plain service's call."""
        service = self.service_speeds.current
        return service.call_seconds * self.slowness.factor(now, service)

    def add_work(self, key: WorkKey, item: WorkItem, now: float) -> None:
        """Record work that a gateway sent to the endpoint."""
        self.work.add(key, item, now)
        if self.rate_limit is not None:
            # It used a permit. Asks for another one are spared until it can be due.
            next_at = now + seconds_to_next(self.rate_limit)
            self.record_permit_expected(0, max(next_at, self._permits_at.get(0, next_at)), now)
        if self.info.stage is Stage.DECODE:
            work = item.reference_seconds * item.weight
            self.prefill_budget.add(work * self.speed(now).scale, now)

    def record_prefilled(self, key: WorkKey, now: float) -> Throughput | None:
        """Record the end of a prefill; return the throughput if a measurement of it ends."""
        speed = self.speed(now)
        prompt = self.work.prompt_seconds(key)
        if prompt > 0:
            spent = now - self.work.current_since - self._report_seconds(now, speed)
            self.scale.add(prompt, spent, self.service_speeds.current.prefill_scale, now)
        return self.work.record_prefilled(key, now, speed)

    def _report_seconds(self, now: float, speed: EngineSpeed) -> float:
        """Return the time from the end of a prefill to what shows it."""
        if self.prefills_first:
            return speed.response_seconds
        return self.service_speeds.current.first_event.seconds(self.work.running)

    def learned_scale(self, now: float) -> float:
        """Return its time for a reference second of prefill, whatever its stage."""
        return self.scale.scale(self.service_speeds.current.prefill_scale, now)

    def prefill_wait(self, now: float, rank: int) -> float:
        """Return the seconds until the prefill of a prompt that is sent now with this rank."""
        return self.work.prefill_wait(now, rank, self.speed(now))

    def prefilled_after(self, item: WorkItem, now: float) -> float:
        """Return the seconds until it will have prefilled, or fetched, a prompt that it is sent."""
        speed = self.speed(now)
        seconds = item.reference_seconds * speed.scale + speed.response_seconds
        return seconds + self.prefill_wait(now, item.rank)

    def overtaken_seconds(self, now: float, rank: int) -> float:
        """Return the wait for more urgent prompts that arrive while a prompt waits its turn."""
        share_left = self.work.share_left(now, rank, self.speed(now))
        return self.prefill_wait(now, rank) * (1 / share_left - 1)

    def prefill_debt(self, now: float) -> float:
        """Return the prefill time by which a decode engine exceeds its share for prefill."""
        return self.prefill_budget.pending_seconds(now)

    @property
    def in_flight(self) -> int:
        """Return the number of requests of all gateways, as of the last ``work.expire``."""
        return self.work.running

    def cached_tokens(self, chain: PrefixChain, now: float) -> int:
        """Return the number of leading prompt tokens that are probably in its prefix cache."""
        covered = 0
        for key, tokens in chain:
            seen = self._prefixes.get(key)
            if seen is None or now - seen.used_at > PREFIX_LIFETIME_SECONDS:
                break
            covered += tokens
        return covered

    def kept_tokens(self, chain: PrefixChain, now: float) -> int:
        """Return the number of leading prompt tokens that other engines can probably fetch."""
        kept = []
        for key, tokens in chain:
            seen = self._prefixes.get(key)
            if seen is None or seen.kept_from > now:
                break
            kept.append((key, tokens))
        return self.cached_tokens(kept, now)

    def record_prefixes(
        self, keys: Iterable[str], now: float, kept_from: float | None = None
    ) -> None:
        """Record prefixes that the endpoint prefills and then caches.

        ``kept_from``: time at which their prefill will probably have ended.
        """
        kept_from = now if kept_from is None else kept_from
        for key in keys:
            seen = self._prefixes.get(key)
            known = seen is not None and now - seen.used_at <= PREFIX_LIFETIME_SECONDS
            self._prefixes[key] = CachedPrefix(
                now, min(seen.kept_from, kept_from) if known else kept_from
            )
            self._prefixes.move_to_end(key)
        while len(self._prefixes) > MAX_PREFIXES:
            self._prefixes.popitem(last=False)

    def record_success(self, now: float) -> None:
        """Record a complete response."""
        self.failed_connections = self.consecutive_refusals = 0
        self.avoid_until = 0.0
        self._update_failure_share(0.0, now)

    def record_failure(self, now: float) -> None:
        """Record a failed response or a broken connection."""
        self._update_failure_share(1.0, now)

    def record_refusal(self) -> float:
        """Record a refusal; return the seconds of the cooldown that should follow."""
        seconds = exponential_delay(
            REFUSAL_COOLDOWN_SECONDS, MAX_REFUSAL_COOLDOWN_SECONDS, self.consecutive_refusals
        )
        self.consecutive_refusals += 1
        return seconds

    def record_failed_connection(self, now: float) -> None:
        """Record a failed connection."""
        self.avoid_until = now + exponential_delay(
            AVOID_SECONDS, MAX_AVOID_SECONDS, self.failed_connections
        )
        self.failed_connections += 1

    def current_failure_share(self, now: float) -> float:
        """Return the failure share, decayed since the latest outcome."""
        return max(self._outcome_failure_share(now), self._recovery_share(now))

    def _outcome_failure_share(self, now: float) -> float:
        return self.failure_share * 0.5 ** (
            (now - self.last_outcome_at) / FAILURE_HALF_LIFE_SECONDS
        )

    def _recovery_share(self, now: float) -> float:
        elapsed = now - self.paused_until
        if not 0 <= elapsed < RECOVERY_SECONDS:
            return 0.0
        return RECOVERY_FAILURE_SHARE * (1 - elapsed / RECOVERY_SECONDS)

    def _update_failure_share(self, outcome: float, now: float) -> None:
        self.failure_share = (
            self._outcome_failure_share(now) * (1 - FAILURE_WEIGHT) + FAILURE_WEIGHT * outcome
        )
        self.last_outcome_at = now
