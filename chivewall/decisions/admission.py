"""Admission control and scheduling of the attempts at one endpoint's agent."""

import math

from attrs import define, evolve, field, frozen

from chivewall.configuration import Configuration, LimitName
from chivewall.decisions.estimates import Capacity, Cost, CostEstimator
from chivewall.decisions.fair_queueing import QueueEntry, RankCredits, RankQueue, workspace_weight
from chivewall.decisions.limits import Limiter, limit_for
from chivewall.decisions.preemption import choose_victim
from chivewall.decisions.waits import Backlog, queue_wait
from chivewall.results import ResultCode, RunState
from chivewall.work import Attempt, Completion, Rank, Refusal

RANKS = tuple(Rank)
STANDING_QUEUE_SECONDS = 5.0  # a queue that stays non-empty this long is shed
MIN_REMAINING_FRACTION = 0.1  # least remaining run time, as a fraction of the estimate
MIN_RETRY_AFTER_SECONDS = 1.0  # shortest Retry-After of a refusal
STEP_MARGIN_SECONDS = 0.06  # an engine ends its current step before it begins a new prefill
WAIT_SAFETY_FACTOR = 1.25  # on the estimated wait; accepted work must finish by its deadline
LATE_START_LEAD_SECONDS = 5.0  # before its safe start, an attempt past its target goes first


@frozen
class Start:
    """An attempt to start now, and why it was selected."""

    attempt: Attempt
    reason: str
    waited_seconds: float  # seconds in the queue
    preempted: Attempt | None = None  # running attempt to stop first; pass it to ``requeue`` then


@frozen
class DroppedAttempt:
    """A queued attempt that is refused instead of being started."""

    attempt: Attempt
    refusal: Refusal


@define(eq=False)
class Scheduler:
    """Schedules the attempts of one endpoint by rank, workspace and deadline.

    An accepted attempt starts, is withdrawn or is refused before its deadline.
    A rank whose queue is never empty gets its share of the endpoint seconds.
    With B endpoint seconds of its rank ahead of it, an attempt therefore starts
    within about B / share seconds plus the longest run. An accepted patient attempt
    is refused only when the time left to its deadline is shorter than its run time.
    """

    capacity: Capacity
    cfg: Configuration | None = None
    estimator: CostEstimator = field(factory=CostEstimator)
    limiter: Limiter = field(factory=Limiter)
    credits: RankCredits = field(factory=RankCredits)
    queues: dict[Rank, RankQueue] = field(factory=lambda: {one: RankQueue() for one in Rank})
    queued: dict[tuple[str, int], QueueEntry] = field(factory=dict)
    running: dict[tuple[str, int], QueueEntry] = field(factory=dict)
    preempted: dict[tuple[str, int], QueueEntry] = field(factory=dict)  # until ``requeue``
    dropped: list[DroppedAttempt] = field(factory=list)  # until ``take_dropped``
    nonempty_since: dict[Rank, float] = field(factory=dict)  # when each non-empty queue became so

    def offer(
        self, attempt: Attempt, cfg: Configuration, *, now: float, unix_time: float
    ) -> Refusal | None:
        """Queue an attempt, or return its refusal."""
        self.cfg = cfg
        cost = self.estimator.cost(attempt, self.capacity)
        share = limit_for(attempt, LimitName.WORKSPACE_SHARE, cfg, unix_time)
        weight = workspace_weight(share.value)
        rank, workspace = attempt.request.rank, attempt.request.workspace
        own = self.queues[rank].seconds_ahead(workspace, weight)
        wait = queue_wait(self._backlog(now), rank, own)
        refusal = (
            self.limiter.check(
                attempt, cost, self.capacity, cfg=cfg, unix_time=unix_time, wait=wait
            )
            or _check_deadline(attempt, cost, now, wait)
            or self._check_first_token_target(attempt, cost, now, wait)
        )
        if refusal is None:
            self._push(QueueEntry(attempt=attempt, cost=cost, weight=weight, queued_at=now), now)
        return refusal

    def start_next(self, now: float) -> Start | None:
        """Return the next attempt to run, or ``None`` if none may start now.

        Attempts that can no longer meet their deadline are moved to ``dropped``.
        """
        for rank in self._rank_order(now):
            entry = self._next_feasible(rank, now)
            if entry is None:
                continue
            if len(self.running) >= self.capacity.parallel:
                return self._start_by_preemption(entry, now)
            if not self._fits_kv_cache(entry):
                return None  # starting smaller attempts of other ranks would starve this one
            return self._start(entry, now)
        return None

    def requeue(self, attempt: Attempt, now: float) -> None:
        """Queue a preempted attempt again; ``attempt.delivered`` holds the tokens sent so far."""
        preempted = self.preempted.pop(attempt_key(attempt))
        requeued = QueueEntry(
            attempt=attempt,
            cost=self.estimator.cost(attempt, self.capacity),
            weight=preempted.weight,
            queued_at=now,
            preemptions=preempted.preemptions + 1,
        )
        self._push(requeued, now)

    def record_first_token(self, request_id: str, number: int, *, now: float) -> bool:
        """Record the first token of an attempt; return whether this ended its prefill."""
        entry = self.running.get((request_id, number))
        if entry is None or not entry.prefilling:
            return False
        entry.prefilling = False
        if entry.rank is Rank.URGENT:  # engines prefill urgent prompts first
            self.estimator.learn_prefill(entry.cost.prefill_seconds, now - entry.started_at)
        return True

    def finish(
        self, request_id: str, number: int, *, now: float, output_tokens: int | None = None
    ) -> None:
        """Remove a queued or running attempt; learn from the output length if it completed."""
        key = (request_id, number)
        if key in self.queued:
            self._remove_queued(self.queued[key])
            return
        entry = self.running.pop(key, None)
        if entry is None:
            return
        request = entry.attempt.request
        self.limiter.remove(request.workspace, entry.cost.kv_tokens)
        if isinstance(request.work, Completion) and output_tokens is not None:
            self.estimator.learn_output(request.workspace, request.work.model, output_tokens)
        self._charge(
            entry,
            self._decode_seconds_used(entry, now, output_tokens)
            - entry.cost.decode_endpoint_seconds,
        )

    def shed(self, now: float) -> None:
        """Move queued attempts that can't meet their deadline to ``dropped``.

        Scans all queues, so call it periodically and not at each start.
        """
        for rank in reversed(RANKS):
            for entry in list(self.queues[rank].entries()):
                if entry.misses_deadline(now):
                    self._drop(entry, now, ResultCode.HOPELESS, "too late to finish in time")
            since = self.nonempty_since.get(rank, now)
            if rank is not Rank.PATIENT and now - since >= STANDING_QUEUE_SECONDS:
                self._shed_standing_queue(rank, now)

    def clear_queues(self, now: float) -> None:
        """Move every queued attempt to ``dropped``, so that it can be sent to another endpoint."""
        for rank in RANKS:
            for entry in list(self.queues[rank].entries()):
                self._drop(entry, now, ResultCode.DRAINING, "the endpoint is about to change")

    def take_dropped(self) -> list[DroppedAttempt]:
        """Return the dropped attempts and clear their list."""
        taken, self.dropped = self.dropped, []
        return taken

    def waits(self, now: float) -> tuple[float, ...]:
        """Return the estimated queueing time of a new attempt of each rank, in seconds."""
        backlog = self._backlog(now)
        return tuple(queue_wait(backlog, one, backlog.queued_seconds[one]) for one in RANKS)

    def idle(self) -> bool:
        """Return whether nothing is queued or running."""
        return not self.running and not self.queued

    def _push(self, entry: QueueEntry, now: float) -> None:
        request = entry.attempt.request
        if not self.queues[request.rank].size:
            self.nonempty_since[request.rank] = now
        self.queues[request.rank].push(entry)
        self.queued[attempt_key(entry.attempt)] = entry
        self.limiter.add(request.workspace, entry.cost.kv_tokens)

    def _remove_queued(self, entry: QueueEntry) -> None:
        request = entry.attempt.request
        del self.queued[attempt_key(entry.attempt)]
        self.queues[request.rank].remove(entry)
        self.limiter.remove(request.workspace, entry.cost.kv_tokens)
        if not self.queues[request.rank].size:
            self.nonempty_since.pop(request.rank, None)

    def _start(self, entry: QueueEntry, now: float) -> Start:
        rank = entry.attempt.request.rank
        reason = "within its guaranteed share"
        if self.credits.credits[rank] < 0:
            reason = "unused capacity in rank order"
        del self.queued[attempt_key(entry.attempt)]
        entry.guaranteed = self.credits.credits[rank] >= 0 and self._others_waiting(rank)
        self._charge(entry, entry.cost.endpoint_seconds)
        self.queues[rank].start(entry)
        if not self.queues[rank].size:
            self.nonempty_since.pop(rank, None)
        entry.started_at = now
        self.running[attempt_key(entry.attempt)] = entry
        return Start(attempt=entry.attempt, reason=reason, waited_seconds=now - entry.queued_at)

    def _start_by_preemption(self, entry: QueueEntry, now: float) -> Start | None:
        """Start the entry in the batch slot of a running attempt of lower rank."""
        victim = self._choose_victim(entry.rank, now)
        if victim is None:
            return None
        request = victim.attempt.request
        del self.running[attempt_key(victim.attempt)]
        self.preempted[attempt_key(victim.attempt)] = victim
        self.limiter.remove(request.workspace, victim.cost.kv_tokens)
        start = self._start(entry, now)
        self._charge(
            victim,
            self._decode_seconds_used(victim, now, None) - victim.cost.decode_endpoint_seconds,
        )
        return evolve(start, preempted=victim.attempt)

    def _others_waiting(self, rank: Rank) -> bool:
        return any(self.queues[one].size for one in RANKS if one is not rank)

    def _charge(self, entry: QueueEntry, seconds: float) -> None:
        self.credits.charge(
            entry.attempt.request.rank,
            seconds,
            shares=self._shares(),
            waiting=frozenset(one for one in RANKS if self.queues[one].size),
            guaranteed=entry.guaranteed,
        )

    def _decode_seconds_used(
        self, entry: QueueEntry, now: float, output_tokens: int | None
    ) -> float:
        """Return the endpoint seconds of decode that an ended attempt used.

        Computed from the output tokens if known: the elapsed time includes the
        prefills of other attempts, which are charged to those attempts.
        """
        if output_tokens is not None and self.capacity.decode_rate:
            fresh = max(0, output_tokens - entry.attempt.resume_from)
            return fresh / self.capacity.decode_rate / entry.cost.parallel
        elapsed = max(0.0, now - entry.started_at - entry.cost.prefill_seconds)
        if isinstance(entry.attempt.request.work, Completion):
            elapsed = min(elapsed, entry.cost.decode_seconds)
        return elapsed / entry.cost.parallel

    def _shares(self) -> dict[Rank, float]:
        if self.cfg is None:
            return dict.fromkeys(RANKS, 0.0)
        return {one: self.cfg.ranks[one].share for one in RANKS}

    def _rank_order(self, now: float) -> list[Rank]:
        """Return the order in which ranks start; those about to miss a deadline come first."""
        due = [one for one in RANKS if self._due_late_entry(self.queues[one], now) is not None]
        return due + [one for one in self.credits.rank_order() if one not in due]

    def _due_late_entry(self, queue: RankQueue, now: float) -> QueueEntry | None:
        """Return the late entry that must start now to end in time even with a long output."""
        late = self._next_feasible_late(queue, now)
        if late is None:
            return None
        return late if late.safe_start - now <= LATE_START_LEAD_SECONDS else None

    def _next_feasible(self, rank: Rank, now: float) -> QueueEntry | None:
        """Return the next entry of a rank, or ``None``.

        Entries that can still meet their first-token target precede those that
        missed it, unless one of the latter is about to miss its deadline as well.
        """
        queue = self.queues[rank]
        due_late = self._due_late_entry(queue, now)
        if due_late is not None:
            return due_late
        while (entry := queue.head()) is not None:
            if entry.misses_deadline(now):
                self._drop(entry, now, ResultCode.HOPELESS, "too late to finish in time")
            elif not entry.misses_target(now):
                return entry
            else:
                queue.demote(entry)
        return self._next_feasible_late(queue, now)

    def _next_feasible_late(self, queue: RankQueue, now: float) -> QueueEntry | None:
        while (entry := queue.late_head()) is not None and entry.misses_deadline(now):
            self._drop(entry, now, ResultCode.HOPELESS, "too late to finish in time")
        return entry

    def _choose_victim(self, rank: Rank, now: float) -> QueueEntry | None:
        slots = self.capacity.parallel
        protected = {one: math.ceil(share * slots) for one, share in self._shares().items()}
        return choose_victim(self.running.values(), rank, now, protected)

    def _check_first_token_target(
        self, attempt: Attempt, cost: Cost, now: float, wait: float
    ) -> Refusal | None:
        """Refuse an urgent attempt that would miss its target, so that another endpoint is tried.

        Serving late urgent attempts would take time from those that can meet their
        target. An entry that finds no endpoint in time may send it without a target.
        """
        target = attempt.request.first_token_deadline
        if attempt.request.rank is not Rank.URGENT or target is None:
            return None
        first_token = now + wait + cost.prefill_seconds + STEP_MARGIN_SECONDS
        if self._starts_at_once(Rank.URGENT, now) and first_token <= target:
            return None
        return Refusal(
            code=ResultCode.TARGET_MISSED,
            message=f"the first token would come {first_token - target:.2f} s after its target",
            run=RunState.NO,
            retry_after=max(MIN_RETRY_AFTER_SECONDS, wait),
        )

    def _starts_at_once(self, rank: Rank, now: float) -> bool:
        """Return whether a new attempt of a rank would get a batch slot without waiting."""
        order = self.credits.rank_order()
        before = order[: order.index(rank) + 1]
        if any(self.queues[one].size for one in before):
            return False
        free = len(self.running) < self.capacity.parallel
        return free or self._choose_victim(rank, now) is not None

    def _fits_kv_cache(self, entry: QueueEntry) -> bool:
        total = self.capacity.kv_total_tokens
        held = sum(one.cost.kv_tokens for one in self.running.values())
        return not total or held + entry.cost.kv_tokens <= total or not self.running

    def _backlog(self, now: float) -> Backlog:
        running = self.running.values()
        full = len(running) >= self.capacity.parallel
        remaining = sum(_remaining_seconds(one, now) for one in running)
        return Backlog(
            queued_seconds={one: self.queues[one].queued_seconds for one in RANKS},
            shares=self._shares(),
            blocked_ranks=frozenset(
                one for one in RANKS if full and not self._choose_victim(one, now)
            ),
            slot_seconds=remaining / max(1, self.capacity.parallel) ** 2,
            prefill_seconds={
                rank: sum(
                    one.cost.prefill_seconds
                    for one in running
                    if one.prefilling and one.rank is rank
                )
                for rank in RANKS
            },
        )

    def _drop(self, entry: QueueEntry, now: float, code: ResultCode, message: str) -> None:
        rank = entry.attempt.request.rank
        self._remove_queued(entry)
        wait = self.waits(now)[RANKS.index(rank)]
        refusal = Refusal(
            code=code,
            message=message,
            run=RunState.UNKNOWN if entry.preemptions else RunState.NO,
            retry_after=max(MIN_RETRY_AFTER_SECONDS, wait),
        )
        self.dropped.append(DroppedAttempt(attempt=entry.attempt, refusal=refusal))

    def _shed_standing_queue(self, rank: Rank, now: float) -> None:
        """Shed attempts that would be late even with all capacity that higher ranks leave."""
        ahead = sum(self.queues[one].queued_seconds for one in RANKS[: RANKS.index(rank)])
        entries = sorted(self.queues[rank].entries(), key=lambda one: one.attempt.request.deadline)
        for entry in entries:
            if now + ahead + entry.cost.run_seconds > entry.attempt.request.deadline:
                self._drop(entry, now, ResultCode.SHED, "the queue has been non-empty for too long")
            else:
                ahead += entry.cost.endpoint_seconds


def attempt_key(attempt: Attempt) -> tuple[str, int]:
    """Return the key of an attempt: request id and attempt number."""
    return attempt.request.id, attempt.number


def _remaining_seconds(entry: QueueEntry, now: float) -> float:
    least = entry.cost.run_seconds * MIN_REMAINING_FRACTION
    return max(entry.cost.run_seconds - (now - entry.started_at), least)


def _check_deadline(attempt: Attempt, cost: Cost, now: float, wait: float) -> Refusal | None:
    run_seconds = max(cost.run_seconds, cost.max_run_seconds)
    if now + wait * WAIT_SAFETY_FACTOR + run_seconds <= attempt.request.deadline:
        return None
    return Refusal(
        code=ResultCode.HOPELESS,
        message=f"{wait:.1f} s in the queue and {run_seconds:.1f} s of run time "
        "end past the deadline",
        run=RunState.NO,
        retry_after=max(MIN_RETRY_AFTER_SECONDS, wait),
    )
