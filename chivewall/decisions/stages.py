"""Decides which engine should change between prefill and decode, and who may order it.

A change costs seconds of an engine's time, so it needs a lasting imbalance. Each
change has one turn, taken by a conditional write of the turn record: the number of
the turn is the fencing number of its order, and a turn is used once and at once.
"""

from attrs import define, field, frozen

from chivewall.gateway.catalogue import Stage

BUSY_PREFILL = 0.85  # share of time that prefill engines read; nearly all of it
QUEUED_PREFILL = 0.6  # seconds that a prompt waits at the emptiest prefill engine
QUEUED_LOOKS = 3  # in a row, one a second, before a queue counts as lasting
# In a row, one a second, without a usable decode engine. At a start the engines appear in
# the list one by one, and the first ones may all be prefill engines.
BARE_LOOKS = 3
IDLE_PREFILL = 0.25  # share of time, after the change, below which one is given up
CROWDED_DECODE = 40  # requests of one decode engine, above which its steps get long
ROOMY_DECODE = 12  # requests of one decode engine after a change, at most
LEAST_DECODERS = 2  # a single one would be the only place for all streams
WINDOW = 5.0  # seconds over which the load is taken
SETTLE_SECONDS = 8.0  # after a change before the next one: drain, switch and a look at its effect
TURN_SECONDS = 0.5  # after the begin of its write in which a turn's order is sent
# A turn of another holder must have been seen unchanged for two lease times of the
# platform, or be older by the time of day than any clock is wrong.
OTHER_LEASES = 2.0
OLD_TURN_SECONDS = 60.0


@frozen
class EngineView:
    """What a gateway knows of one engine."""

    id: str
    stage: Stage
    in_flight: int
    usable: bool  # reachable, not leaving and not changing


@frozen
class StageLoad:
    """The engines of one service and the prompts that were sent to read."""

    engines: tuple[EngineView, ...]
    read_share: float  # engine seconds of reading sent a second
    queued_looks: int = 0  # in a row at which every prefill engine had a queue
    bare_looks: int = 0  # in a row at which no decode engine was usable


@frozen
class StageChange:
    """One engine and its new stage."""

    engine: str
    stage: Stage
    reason: str


def propose(load: StageLoad) -> StageChange | None:
    """Return the change that the load asks for, or ``None``."""
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
    """Seconds of reading that were sent in the last window."""

    _sent: list[tuple[float, float]] = field(factory=list, init=False)  # time, seconds
    _queued: int = field(default=0, init=False)
    _bare: int = field(default=0, init=False)
    _since: float | None = field(default=None, init=False)

    def add(self, seconds: float, now: float) -> None:
        """Count a prompt."""
        if self._since is None:
            self._since = now
        self._sent.append((now, seconds))

    def look(self, engines: tuple[EngineView, ...], shortest_wait: float, now: float) -> StageLoad:
        """Count a look at the engines and their queues; return the load."""
        bare = not any(one.usable and one.stage is Stage.DECODE for one in engines)
        self._bare = self._bare + 1 if bare else 0
        self._queued = self._queued + 1 if shortest_wait > QUEUED_PREFILL else 0
        return StageLoad(engines, self.share(now), self._queued, self._bare)

    def share(self, now: float) -> float:
        """Return engine seconds a second; 0 until a whole window was seen."""
        self._sent = [pair for pair in self._sent if pair[0] > now - WINDOW]
        if self._since is None or now - self._since < WINDOW:
            return 0.0
        return sum(seconds for _, seconds in self._sent) / WINDOW


@frozen
class Turn:
    """The latest turn, as it stands in the store."""

    number: int  # the fencing number of its order
    holder: str  # name of the instance
    engine: str
    stage: Stage
    taken_at: float  # Unix time of the holder, seconds


@define
class TurnView:
    """When this process first saw the latest turn."""

    lease_seconds: float
    turn: Turn | None = None
    seen_at: float = 0.0  # on the process's clock that counts a suspension

    def see(self, turn: Turn | None, now: float) -> None:
        """Take in the record."""
        if turn != self.turn:
            self.turn, self.seen_at = turn, now

    def may_take(self, own: str, now: float, unix_time: float) -> bool:
        """Return whether the next turn can't overlap with another holder's."""
        if self.turn is None or self.turn.holder == own:
            return True
        if now - self.seen_at >= OTHER_LEASES * self.lease_seconds:
            return True
        return unix_time - self.turn.taken_at > OLD_TURN_SECONDS

    def next(self, own: str, change: StageChange, unix_time: float) -> Turn:
        """Return the record of our turn."""
        number = 1 if self.turn is None else self.turn.number + 1
        return Turn(number, own, change.engine, change.stage, unix_time)
