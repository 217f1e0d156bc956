"""The policies that the benchmark compares, made by patching decision functions."""

import random
from collections import deque
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from typing import Any
from unittest.mock import patch

from attrs import define, evolve, field, frozen

from chivewall import request_task
from chivewall.configuration import Configuration
from chivewall.decisions import admission, retries, routing
from chivewall.decisions.admission import DroppedAttempt, Scheduler, Start, attempt_key
from chivewall.decisions.membership import Member
from chivewall.decisions.retries import Failure, GiveUp, Retry, RunTracker
from chivewall.decisions.routing import Route
from chivewall.plugins.builtin import admission as admission_plugin
from chivewall.plugins.builtin import directory as directory_plugin
from chivewall.results import ResultCode, RunState
from chivewall.work import Attempt, Rank, Refusal, Request

NAIVE_RETRY_SECONDS = 0.05  # delay of each retry in the naive policy
NAIVE_MAX_SEARCHES = 4  # searches for an endpoint after which the naive policy gives up
EXPIRED = Refusal(code=ResultCode.DEADLINE_PASSED, message="expired", run=RunState.NO)


@frozen
class Replacement:
    """An attribute of a module or class that a policy patches; it must exist."""

    owner: Any
    name: str
    value: Any


@frozen
class Policy:
    """A serving policy: Chivewall with some decisions replaced."""

    name: str
    replacements: tuple[Replacement, ...] = ()
    priorities: bool = True  # engines run requests by rank
    shares: bool = True  # ranks have guaranteed shares

    @contextmanager
    def applied(self) -> Iterator[None]:
        """Patch the decisions until the end of the ``with`` block."""
        with ExitStack() as stack:
            for one in self.replacements:
                stack.enter_context(patch.object(one.owner, one.name, one.value))
            yield

    def configure(self, cfg: Configuration) -> Configuration:
        """Return the configuration adapted to this policy."""
        if self.shares:
            return cfg
        ranks = {rank: evolve(policy, share=0.0) for rank, policy in cfg.ranks.items()}
        return evolve(cfg, ranks=ranks)


def random_route(
    _request: Request,
    members: list[Member],
    excluded: frozenset[str],
    _data_centre: str,
    rng: random.Random,
    _expected_output: float | None = None,
    **_more: Any,
) -> Route | None:
    """Choose a random endpoint, regardless of its load."""
    usable = [one for one in members if one.instance.name not in excluded] or members
    if not usable:
        return None
    member = rng.choice(usable)
    return Route(
        endpoint=member.instance.name,
        incarnation=member.report.incarnation,
        estimate=0.0,
        service_seconds=0.0,
        reason="random",
    )


def naive_retry(
    request: Request, failure: Failure, _run_tracker: RunTracker, searches: int, now: float
) -> Retry | GiveUp:
    """Retry at once, whatever failed and whether or not the attempt ran."""
    at = now + NAIVE_RETRY_SECONDS
    if searches >= NAIVE_MAX_SEARCHES or at >= request.deadline:
        return GiveUp(failure.refusal)
    return Retry(at=at, reason="blind")


@define
class FifoScheduler(Scheduler):
    """A scheduler with one queue in the order of arrival and without limits."""

    queue: deque[Attempt] = field(factory=deque)

    def offer(self, attempt: Attempt, *_args: Any, **_more: Any) -> Refusal | None:
        """Queue every attempt."""
        self.queue.append(attempt)
        return None

    def start_next(self, now: float) -> Start | None:
        """Return the oldest attempt while the endpoint has a free slot."""
        if len(self.running) >= self.capacity.parallel or not self.queue:
            return None
        attempt = self.queue.popleft()
        self.running[attempt_key(attempt)] = attempt
        return Start(attempt=attempt, reason="first in, first out", waited_seconds=0.0)

    def record_first_token(self, *_args: Any, **_more: Any) -> bool:
        """Ignore the first token."""
        return False

    def finish(self, request_id: str, number: int, **_more: Any) -> None:
        """Remove an attempt, whether it was queued or running."""
        if self.running.pop((request_id, number), None) is None:
            self.queue = deque(
                one for one in self.queue if attempt_key(one) != (request_id, number)
            )

    def shed(self, now: float) -> None:
        """Remove queued attempts whose deadline has passed."""
        expired = [one for one in self.queue if one.request.deadline <= now]
        if expired:
            self.queue = deque(one for one in self.queue if one.request.deadline > now)
            self.dropped += [DroppedAttempt(attempt=one, refusal=EXPIRED) for one in expired]

    def waits(self, *_args: Any, **_more: Any) -> tuple[float, ...]:
        """Return a waiting time of zero for every rank."""
        return (0.0,) * len(Rank)

    def idle(self) -> bool:
        """Return whether nothing is queued or running."""
        return not self.running and not self.queue


def _return_true(*_args: Any, **_more: Any) -> bool:
    return True


def _return_none(*_args: Any, **_more: Any) -> None:
    return None


def _return_equal_estimate(*_args: Any, **_more: Any) -> float:
    return 1.0


CHIVEWALL = Policy("chivewall")
NAIVE = Policy(
    "naive",
    (
        Replacement(directory_plugin, "choose", random_route),
        Replacement(admission_plugin, "Scheduler", FifoScheduler),
        Replacement(request_task, "decide", naive_retry),
        Replacement(retries.RetryBudget, "spend", _return_true),
    ),
    priorities=False,
)
ABLATIONS = (
    Policy("no-estimates", (Replacement(routing, "estimate_finish", _return_equal_estimate),)),
    Policy("no-affinity", (Replacement(routing, "preferred_member", _return_none),)),
    Policy("no-shares", shares=False),
    Policy("no-early-refusal", (Replacement(admission, "_check_deadline", _return_none),)),
    Policy("no-retry-budget", (Replacement(retries.RetryBudget, "spend", _return_true),)),
)
POLICIES = (CHIVEWALL, NAIVE, *ABLATIONS)
BOUND = "upper-bound"  # computed from the arrivals, not simulated
