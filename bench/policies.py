"""The policies that the bench compares, made by replacing decisions from outside."""

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

BLIND_RETRY_SECONDS = 0.05
BLIND_TRIES = 4
EXPIRED = Refusal(code=ResultCode.DEADLINE_PASSED, message="expired", run=RunState.NO)


@frozen
class Replacement:
    """One attribute of an object that a policy replaces; raises if it doesn't exist."""

    owner: Any
    name: str
    value: Any


@frozen
class Policy:
    """A named set of replaced decisions."""

    name: str
    replacements: tuple[Replacement, ...] = ()
    priorities: bool = True  # engines run urgent work first
    shares: bool = True  # ranks have guaranteed shares

    @contextmanager
    def in_force(self) -> Iterator[None]:
        """Replace the decisions until the end of the block."""
        with ExitStack() as stack:
            for one in self.replacements:
                stack.enter_context(patch.object(one.owner, one.name, one.value))
            yield

    def configure(self, cfg: Configuration) -> Configuration:
        """Return the configuration under this policy."""
        if self.shares:
            return cfg
        ranks = {rank: evolve(policy, share=0.0) for rank, policy in cfg.ranks.items()}
        return evolve(cfg, ranks=ranks)


def random_route(
    _request: Request,
    members: list[Member],
    excluded: frozenset[str],
    _home: str,
    rng: random.Random,
    _expected_output: float | None = None,
    **_more: Any,
) -> Route | None:
    """Choose any endpoint, whatever its load."""
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


def blind_retry(
    request: Request, failure: Failure, _ledger: RunTracker, tries: int, now: float
) -> Retry | GiveUp:
    """Try again at once, whatever failed and whether or not it ran."""
    at = now + BLIND_RETRY_SECONDS
    if tries >= BLIND_TRIES or at >= request.deadline:
        return GiveUp(failure.refusal)
    return Retry(at=at, reason="blind")


@define
class FifoScheduler(Scheduler):
    """One queue in the order of arrival that takes everything."""

    line: deque[Attempt] = field(factory=deque)

    def offer(self, attempt: Attempt, *_args: Any, **_more: Any) -> Refusal | None:
        """Queue every attempt."""
        self.line.append(attempt)
        return None

    def start_next(self, now: float) -> Start | None:
        """Return the oldest attempt while the endpoint has a free slot."""
        if len(self.running) >= self.capacity.parallel or not self.line:
            return None
        attempt = self.line.popleft()
        self.running[attempt_key(attempt)] = attempt
        return Start(attempt=attempt, reason="first in, first out", waited_seconds=0.0)

    def record_first_token(self, *_args: Any, **_more: Any) -> bool:
        """Take no notice of prefills."""
        return False

    def finish(self, request_id: str, number: int, **_more: Any) -> None:
        """Forget an attempt, whether it was queued or running."""
        if self.running.pop((request_id, number), None) is None:
            self.line = deque(one for one in self.line if attempt_key(one) != (request_id, number))

    def shed(self, now: float) -> None:
        """Drop queued attempts whose deadline has passed."""
        late = [one for one in self.line if one.request.deadline <= now]
        if late:
            self.line = deque(one for one in self.line if one.request.deadline > now)
            self.dropped += [DroppedAttempt(attempt=one, refusal=EXPIRED) for one in late]

    def waits(self, *_args: Any, **_more: Any) -> tuple[float, ...]:
        """Return no estimates."""
        return (0.0,) * len(Rank)

    def idle(self) -> bool:
        """Return whether nothing is queued or running."""
        return not self.running and not self.line


def _always(*_args: Any, **_more: Any) -> bool:
    return True


def _nothing(*_args: Any, **_more: Any) -> None:
    return None


def _equal_estimates(*_args: Any, **_more: Any) -> float:
    return 1.0


CHIVEWALL = Policy("chivewall")
NAIVE = Policy(
    "naive",
    (
        Replacement(directory_plugin, "choose", random_route),
        Replacement(admission_plugin, "Scheduler", FifoScheduler),
        Replacement(request_task, "decide", blind_retry),
        Replacement(retries.RetryBudget, "spend", _always),
    ),
    priorities=False,
)
ABLATIONS = (
    Policy("no-estimates", (Replacement(routing, "estimate_finish", _equal_estimates),)),
    Policy("no-affinity", (Replacement(routing, "preferred_member", _nothing),)),
    Policy("no-shares", shares=False),
    Policy("no-early-refusal", (Replacement(admission, "_check_deadline", _nothing),)),
    Policy("no-retry-budget", (Replacement(retries.RetryBudget, "spend", _always),)),
)
POLICIES = (CHIVEWALL, NAIVE, *ABLATIONS)
BOUND = "upper-bound"  # computed, not run
