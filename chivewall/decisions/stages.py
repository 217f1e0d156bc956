"""Decides which engine should change between prefill and decode, and who may order it.

A change costs seconds of an engine's time, so it is proposed only for a lasting imbalance.
Each change needs an order lock, the right to send one order to one engine. It is taken by
a conditional write of a stored record, its number is the fencing number of the order, and
it is used once and immediately.
"""

from attrs import define, field, frozen

from chivewall.gateway.catalogue import Stage

BUSY_PREFILL = 0.85  # share of time in use above which prefill engines are nearly saturated
QUEUED_PREFILL = 0.6  # seconds of wait at the least loaded prefill engine that mean a queue
QUEUED_LOOKS = 3  # consecutive samples, one per second, before a queue counts as lasting
# Consecutive samples, one per second, without a usable decode engine before a prefill engine
# becomes one. At startup the engines appear in the list one by one, and the first may all be
# prefill engines.
BARE_LOOKS = 3
IDLE_PREFILL = 0.25  # share of time in use by the remaining prefill engines that makes one spare
CROWDED_DECODE = 40  # requests per decode engine, above which decode steps become slow
ROOMY_DECODE = 12  # largest number of requests per remaining decode engine after a change
LEAST_DECODERS = 2  # kept, since a single one would have to take all streams
WINDOW = 5.0  # seconds over which the load is averaged
SETTLE_SECONDS = 8.0  # between changes, for draining, switching and measuring the effect
TURN_SECONDS = 0.5  # from the start of writing an order lock to the latest sending of its order
# The order lock of another holder must have been seen unchanged for this many lease times of
# the platform, or be older by the wall clock than any clock error.
OTHER_LEASES = 2.0
OLD_TURN_SECONDS = 60.0


@frozen
class EngineView:
    """State of one engine as a gateway knows it."""

    id: str
    stage: Stage
    in_flight: int
    usable: bool  # whether it is reachable, not leaving and not changing


@frozen
class StageLoad:
    """The engines of one service and their prefill load."""

    engines: tuple[EngineView, ...]
    read_share: float  # prefill sent, in engine seconds per second
    queued_looks: int = 0  # consecutive samples in which every prefill engine had a queue
    bare_looks: int = 0  # consecutive samples in which no decode engine was usable


@frozen
class StageChange:
    """A proposed stage change of one engine."""

    engine: str
    stage: Stage
    reason: str


def propose(load: StageLoad) -> StageChange | None:
    """Return the stage change that the load requires, or ``None``."""
    usable = [one for one in load.engines if one.usable]
    readers = [one for one in usable if one.stage is Stage.PREFILL]
    decoders = [one for one in usable if one.stage is Stage.DECODE]
    running = sum(one.in_flight for one in decoders)
    if _needs_reader(load, len(readers), len(decoders), running):
        return _change(decoders, Stage.PREFILL, f"prefill busy {load.read_share:.2f} engines")
    if _needs_decoder(load, len(readers), len(decoders), running):
        return _change(readers, Stage.DECODE, f"{running} requests on {len(decoders)} decoders")
    return None


def _needs_reader(load: StageLoad, readers: int, decoders: int, running: int) -> bool:
    if decoders <= LEAST_DECODERS:
        return False
    room = running <= ROOMY_DECODE * (decoders - 1)
    queued = load.queued_looks >= QUEUED_LOOKS
    return room and (queued or load.read_share > BUSY_PREFILL * readers)


def _needs_decoder(load: StageLoad, readers: int, decoders: int, running: int) -> bool:
    if readers == 0:
        return False
    if decoders == 0:
        return load.bare_looks >= BARE_LOOKS
    crowded = running > CROWDED_DECODE * decoders
    return readers > 1 and crowded and load.read_share < IDLE_PREFILL * (readers - 1)


def _change(engines: list[EngineView], stage: Stage, reason: str) -> StageChange:
    least = min(engines, key=lambda one: (one.in_flight, one.id))
    return StageChange(least.id, stage, reason)


@define
class ReadLoad:
    """Measures the prefill load of one service over a sliding window."""

    _sent: list[tuple[float, float]] = field(factory=list, init=False)  # time, seconds
    _queued: int = field(default=0, init=False)
    _bare: int = field(default=0, init=False)
    _since: float | None = field(default=None, init=False)

    def add(self, seconds: float, now: float) -> None:
        """Record the prefill time of a prompt that was sent."""
        if self._since is None:
            self._since = now
        self._sent.append((now, seconds))

    def look(self, engines: tuple[EngineView, ...], shortest_wait: float, now: float) -> StageLoad:
        """Record a sample of the engines and their shortest queue; return the load."""
        bare = not any(one.usable and one.stage is Stage.DECODE for one in engines)
        self._bare = self._bare + 1 if bare else 0
        self._queued = self._queued + 1 if shortest_wait > QUEUED_PREFILL else 0
        return StageLoad(engines, self.share(now), self._queued, self._bare)

    def share(self, now: float) -> float:
        """Return the prefill sent, in engine seconds per second; 0 before the first full window."""
        self._sent = [pair for pair in self._sent if pair[0] > now - WINDOW]
        if self._since is None or now - self._since < WINDOW:
            return 0.0
        return sum(seconds for _, seconds in self._sent) / WINDOW


@frozen
class Turn:
    """The latest order lock as it is stored."""

    number: int  # the fencing number of its order
    holder: str  # name of the instance that took it
    engine: str
    stage: Stage
    taken_at: float  # Unix time in seconds, by the holder's clock


@define
class TurnView:
    """The latest order lock and the time when this process first saw it."""

    lease_seconds: float
    turn: Turn | None = None
    seen_at: float = 0.0  # by a clock of the process that also runs during suspension

    def see(self, turn: Turn | None, now: float) -> None:
        """Update the lock from the stored record."""
        if turn != self.turn:
            self.turn, self.seen_at = turn, now

    def may_take(self, own: str, now: float, unix_time: float) -> bool:
        """Return whether the next order lock can't overlap with that of another holder."""
        if self.turn is None or self.turn.holder == own:
            return True
        if now - self.seen_at >= OTHER_LEASES * self.lease_seconds:
            return True
        return unix_time - self.turn.taken_at > OLD_TURN_SECONDS

    def next(self, own: str, change: StageChange, unix_time: float) -> Turn:
        """Return the record to write to take the next order lock."""
        number = 1 if self.turn is None else self.turn.number + 1
        return Turn(number, own, change.engine, change.stage, unix_time)
