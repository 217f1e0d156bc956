"""Decides whether a request is admitted while endpoints have more work than they can do in time.

The load that this answers is a burst beyond the capacity of a service. A request that meets its
objective is always admitted. A late one yields to those, and is admitted only if its turn comes
well before its deadline; otherwise it is refused at once, since it would wait in a queue that
others could use, and end unanswered.
"""

import random

from attrs import frozen

# Share of the time to the deadline in which the first event of a late request must be expected.
# Requests that arrive later and meet their objective go before it, which the estimate leaves out.
LATE_SHARE = 0.5
MIN_RETRY_SECONDS = 0.1  # shortest time after which a refused caller may come back
MAX_RETRY_SECONDS = 5.0
RETRY_SPREAD = (0.75, 1.25)  # range of the random factor that spreads the callers who come back
CLOSED_SPREAD = (1.0, 1.25)  # the same for a time before which nobody can be served


@frozen
class Overloaded:
    """A request is not admitted."""

    retry_after: float  # seconds after which a place is expected
    estimate: float  # seconds to its first event if it were admitted
    yields: bool = False  # it would be admitted if its workspace were not over its fair share


def admit(
    estimate: float,
    slack_seconds: float,
    time_left_seconds: float,
    rng: random.Random,
    *,
    closed_seconds: float = 0.0,
    yielded_seconds: float = 0.0,
) -> Overloaded | None:
    """Return ``None`` if a request is admitted, or why not.

    ``estimate``: expected seconds to the first event or the response;
    ``slack_seconds``: seconds to the objective; ``time_left_seconds``: to the deadline;
    ``closed_seconds``: part of the estimate in which endpoints pause or have no permit for it;
    ``yielded_seconds``: added to the estimate of a request that yields to other workspaces.
    """
    limit = max(slack_seconds, LATE_SHARE * time_left_seconds)
    if estimate + yielded_seconds <= limit:
        return None
    yields = estimate <= limit
    estimate += yielded_seconds
    # After this time the queue is short enough for a request with the same time left.
    seconds = (estimate - LATE_SHARE * time_left_seconds) * rng.uniform(*RETRY_SPREAD)
    # A caller who comes back before that finds the same pause, or as long a queue for permits.
    closed = closed_seconds * rng.uniform(*CLOSED_SPREAD)
    retry_after = max(MIN_RETRY_SECONDS, min(MAX_RETRY_SECONDS, seconds), closed)
    return Overloaded(retry_after, estimate, yields)
