"""Decides which engine should change between prefill and decode, and who may order it.

A change costs seconds of an engine's time, so it is proposed only for a lasting imbalance.
Each change needs an order lock, the right to send one order to one engine. It is acquired by
a conditional write of a stored record, its number is the fencing number of the order, and
it is used once and immediately.
"""

from collections import Counter

from attrs import define, evolve, field, frozen

from chivewall.gateway.routing_configuration import Stage

BUSY_PREFILL_SHARE = 0.85  # share of time in use above which prefill engines are nearly saturated
# Share of time in use that changes to prefill aim at. At the share that calls for a change prompts
# wait for each other already, and the next change is seconds away.
AIMED_PREFILL_SHARE = 0.6
EVEN_SCALES = 1.4  # engines whose scales differ by less than this factor count as equally fast
MAX_CHANGED_SHARE = 1 / 3  # largest share of the decode engines that change at the same time
QUEUED_PREFILL_SECONDS = 0.6  # seconds of wait at the least loaded prefill engine that mean a queue
QUEUED_SAMPLES = 3  # consecutive samples, one per second, before a queue counts as lasting
# Consecutive samples, one per second, without a usable decode engine before a prefill engine
# becomes one. At startup the engines appear in the list one by one, and the first may all be
# prefill engines.
NO_DECODER_SAMPLES = 3
# Shortest wait for a permit of a decode engine, in seconds, that means that rate limits shut
# requests out, and consecutive samples, one per second, before this counts as lasting.
QUEUED_PERMIT_SECONDS = 0.3
LIMITED_SAMPLES = 2
# Share of time in use at the remaining prefill engines, below which one of them is spare.
IDLE_PREFILL_SHARE = 0.25
CROWDED_DECODE_REQUESTS = 40  # requests per decode engine, above which decode steps become slow
ROOMY_DECODE_REQUESTS = 12  # largest number of requests per remaining decode engine after a change
MIN_DECODERS = 2  # a single decode engine would have to serve all streams
MIN_RECENT_SECONDS = 1.0  # shortest time over which the load is averaged
WINDOW_SECONDS = 5.0  # seconds over which the load is averaged
SETTLE_SECONDS = 8.0  # pause between changes, for draining, switching and measuring the effect
# Longest time from the start of an order lock's write to the sending of its order.
ORDER_LOCK_SECONDS = 0.5
# The order lock of another holder must have been seen unchanged for this many lease times of
# the platform, or be older by the wall clock than any clock error.
OTHER_HOLDER_LEASES = 2.0
OLD_LOCK_SECONDS = 60.0
# Bits of a fencing number below the era of the store: a year of orders in each era, and numbers
# that are exact in JSON (below 2**53) up to era 2**31.
ORDERS_IN_ERA_BITS = 22


@frozen
class EngineView:
    """State of one engine as a gateway knows it."""

    id: str
    stage: Stage
    in_flight: int
    usable: bool  # whether it is reachable, not leaving and not changing
    limited: bool = False  # whether it names a rate limit
    data_centre: str = ""
    scale: float = 1.0  # time that it takes for a second of prefill at the reference speed


@frozen
class StageLoad:
    """The engines of one service and their prefill load."""

    engines: tuple[EngineView, ...]
    prefill_load: float  # prefill sent, in engine seconds per second
    queued_samples: int = 0  # consecutive samples in which every prefill engine had a queue
    no_decoder_samples: int = 0  # consecutive samples in which no decode engine was usable
    limited_samples: int = 0  # consecutive samples in which requests waited for permits to decode
    # The same as ``prefill_load``, but also known in the first seconds of load.
    recent_load: float = 0.0
    moved_requests: int = 0  # of engines that begin to change; others decode their followers


@frozen
class StageChange:
    """A proposed stage change of one engine."""

    engine: str
    stage: Stage
    reason: str
    # Requests are refused although an engine is free, so it doesn't wait until a change that was
    # made for the load has settled.
    urgent: bool = False


def propose(load: StageLoad, busy_share: float = BUSY_PREFILL_SHARE) -> StageChange | None:
    """Return the first stage change that the load requires, or ``None``.

    ``busy_share``: share of time in use above which the prefill engines are too few.
    """
    usable = [one for one in load.engines if one.usable]
    prefill_engines = [one for one in usable if one.stage is Stage.PREFILL]
    decoders = [one for one in usable if one.stage is Stage.DECODE]
    running = load.moved_requests + sum(one.in_flight for one in decoders)
    free = [one for one in prefill_engines if not one.limited]
    if load.limited_samples >= LIMITED_SAMPLES and free:
        change = _change(free, Stage.DECODE, "the decode engines limit their requests")
        return evolve(change, urgent=True)
    if any(one.limited for one in decoders):
        # A limited engine serves most by whole requests, and a free one must remain for the rest.
        decoders = [one for one in decoders if not one.limited]
    if _needs_prefill_engine(load, len(prefill_engines), len(decoders), running, busy_share):
        reason = f"prefill busy {max(load.prefill_load, load.recent_load):.2f} engines"
        return _change(_spare(_fast(decoders)), Stage.PREFILL, reason)
    if _needs_decoder(load, len(prefill_engines), len(decoders), running):
        return _change(
            prefill_engines, Stage.DECODE, f"{running} requests on {len(decoders)} decoders"
        )
    return None


def propose_all(load: StageLoad) -> tuple[StageChange, ...]:
    """Return the stage changes that the load requires at the same time.

    A service with many engines may lack several prefill engines when its load grows. One change at
    a time, with a pause after each, would follow a burst long after its end.
    """
    first = propose(load)
    if first is None or first.stage is not Stage.PREFILL:
        return () if first is None else (first,)
    decoders = [one for one in load.engines if one.usable and one.stage is Stage.DECODE]
    most = max(1, int(MAX_CHANGED_SHARE * len(decoders)))
    changes = [first]
    aimed = evolve(load, prefill_load=load.recent_load, queued_samples=0)
    while len(changes) < most:
        changed = {one.engine for one in changes}
        aimed = evolve(
            aimed,
            engines=tuple(
                evolve(one, stage=Stage.PREFILL) if one.id in changed else one
                for one in load.engines
            ),
            moved_requests=sum(one.in_flight for one in decoders if one.id in changed),
        )
        following = propose(aimed, AIMED_PREFILL_SHARE)
        if following is None or following.stage is not Stage.PREFILL:
            break
        changes.append(following)
    return tuple(changes)


def _needs_prefill_engine(
    load: StageLoad, prefill_engines: int, decoders: int, running: int, busy_share: float
) -> bool:
    if decoders <= MIN_DECODERS:
        return False
    has_room = running <= ROOMY_DECODE_REQUESTS * (decoders - 1)
    queued = load.queued_samples >= QUEUED_SAMPLES
    return has_room and (queued or load.prefill_load > busy_share * prefill_engines)


def _needs_decoder(load: StageLoad, prefill_engines: int, decoders: int, running: int) -> bool:
    if prefill_engines == 0:
        return False
    if decoders == 0:
        return load.no_decoder_samples >= NO_DECODER_SAMPLES
    crowded = running > CROWDED_DECODE_REQUESTS * decoders
    return (
        prefill_engines > 1
        and crowded
        and load.prefill_load < IDLE_PREFILL_SHARE * (prefill_engines - 1)
    )


def _fast(decoders: list[EngineView]) -> list[EngineView]:
    """Return the fastest decode engines.

    A prompt waits for its whole prefill, but a stream only for its steps, which are fast enough
    for its pauses at a slow engine too.
    """
    least = min(one.scale for one in decoders)
    return [one for one in decoders if one.scale <= EVEN_SCALES * least]


def _spare(decoders: list[EngineView]) -> list[EngineView]:
    """Return the decode engines of the data centre that has most of them.

    KV caches that are moved to another data centre take longer and use its links.
    """
    counts = Counter(one.data_centre for one in decoders)
    most = max(counts.values())
    return [one for one in decoders if counts[one.data_centre] == most]


def _change(engines: list[EngineView], stage: Stage, reason: str) -> StageChange:
    least = min(engines, key=lambda one: (one.in_flight, one.id))
    return StageChange(least.id, stage, reason)


@define
class PrefillLoad:
    """Measures the prefill load of one service over a sliding window."""

    _sent: list[tuple[float, float]] = field(factory=list, init=False)  # time, seconds
    _queued_samples: int = field(default=0, init=False)
    _no_decoder_samples: int = field(default=0, init=False)
    _limited_samples: int = field(default=0, init=False)
    _first_sent_at: float | None = field(default=None, init=False)

    def add(self, seconds: float, now: float) -> None:
        """Record the prefill time of a prompt that was sent."""
        if self._first_sent_at is None:
            self._first_sent_at = now
        self._sent.append((now, seconds))

    def sample(
        self,
        engines: tuple[EngineView, ...],
        shortest_wait: float,
        now: float,
        *,
        permit_wait: float = 0.0,
        settling: bool = False,
    ) -> StageLoad:
        """Record a sample of the engines and their shortest queue; return the load.

        ``permit_wait``: shortest wait for a permit of a decode engine, in seconds;
        ``settling``: the queues may still be those of before the latest change.
        """
        if not settling:
            no_decoder = not any(one.usable and one.stage is Stage.DECODE for one in engines)
            self._no_decoder_samples = self._no_decoder_samples + 1 if no_decoder else 0
            queued = shortest_wait > QUEUED_PREFILL_SECONDS
            self._queued_samples = self._queued_samples + 1 if queued else 0
        limited = permit_wait > QUEUED_PERMIT_SECONDS
        self._limited_samples = self._limited_samples + 1 if limited else 0
        return StageLoad(
            engines,
            self.average(now),
            queued_samples=self._queued_samples,
            no_decoder_samples=self._no_decoder_samples,
            limited_samples=self._limited_samples,
            recent_load=self._recent(now),
        )

    def average(self, now: float) -> float:
        """Return the prefill sent, in engine seconds per second; 0 before the first full window."""
        if self._first_sent_at is None or now - self._first_sent_at < WINDOW_SECONDS:
            return 0.0
        return self._recent(now)

    def _recent(self, now: float) -> float:
        """Return the same over the time since the first prompt, if that is shorter."""
        self._sent = [pair for pair in self._sent if pair[0] > now - WINDOW_SECONDS]
        since = WINDOW_SECONDS if self._first_sent_at is None else now - self._first_sent_at
        elapsed = min(WINDOW_SECONDS, max(MIN_RECENT_SECONDS, since))
        return sum(seconds for _, seconds in self._sent) / elapsed


@frozen
class OrderLock:
    """The latest order lock as it is stored."""

    number: int  # the fencing number of its order
    holder: str  # name of the instance that acquired it
    engine: str
    stage: Stage
    taken_at: float  # Unix time in seconds, by the holder's clock
    era: int | None = None  # of the store, when the lock was acquired


@define
class OrderLockView:
    """The latest order lock and the time when this process first saw it."""

    lease_seconds: float
    lock: OrderLock | None = None
    seen_at: float = 0.0  # by a clock of the process that also runs during suspension
    highest_number: int = 0  # of all order locks that were seen

    def update(self, lock: OrderLock | None, now: float) -> None:
        """Update the lock from the stored record."""
        if lock != self.lock:
            self.lock, self.seen_at = lock, now
        if lock is not None:
            self.highest_number = max(self.highest_number, lock.number)

    def may_take(self, own: str, now: float, unix_time: float, era: int | None = None) -> bool:
        """Return whether the next order lock can't overlap with that of another holder.

        ``era`` is that of the store. A late write of an earlier era may have replaced the lock of
        another holder: the store gives the revision that it names out again.
        """
        if self.lock is None or (self.lock.holder == own and self.lock.era == era):
            return True
        if now - self.seen_at >= OTHER_HOLDER_LEASES * self.lease_seconds:
            return True
        return unix_time - self.lock.taken_at > OLD_LOCK_SECONDS

    def next_lock(
        self, own: str, change: StageChange, unix_time: float, era: int | None
    ) -> OrderLock:
        """Return the record to write to acquire the next order lock in an era of the store.

        Its number is greater than all that were given out, also by locks that a restore of the
        store has lost: the era is in its upper bits.
        """
        first = (era or 0) << ORDERS_IN_ERA_BITS
        number = max(self.highest_number, first) + 1
        return OrderLock(number, own, change.engine, change.stage, unix_time, era)


@define
class LockEra:
    """The era of the store that holds the order locks, and when this process first saw it.

    A restore may lose the latest order lock. Its order may have been sent just before, so no
    instance takes an order lock until that one would be old.
    """

    lease_seconds: float
    era: int | None = None  # None: the store names no era
    seen_at: float = 0.0  # by a clock of the process that also runs during suspension

    def update(self, era: int | None, now: float) -> None:
        """Record the era of an answer of the store."""
        if era is not None and (self.era is None or era > self.era):
            self.era, self.seen_at = era, now

    def settled(self, now: float) -> bool:
        """Return whether every order lock of an earlier era is old."""
        return self.era is None or now - self.seen_at >= OTHER_HOLDER_LEASES * self.lease_seconds
