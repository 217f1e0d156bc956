"""Learns how fast one engine prefills from the work of all gateways that it was busy with.

The load that this answers is engines of one service that differ in speed, and more gateways than
requests at an engine: a gateway hardly ever finds an engine idle, so its own times say little
about single engines. The records that gateways share name each prompt and the end of its prefill.
"""

import math

from attrs import define, field

# Time over which the work of an engine is averaged, in seconds. Slow moments of less than a second
# show as an overdue prefill; a lasting change of speed is followed within this time.
AVERAGE_SECONDS = 6.0
# The expected scale counts as this much measured work, in reference seconds.
EXPECTED_WORK_SECONDS = 0.25
# The time of one prompt counts as at most this multiple of the expected one, and a little more: a
# lost report of the prompt before makes the engine seem busy while it was idle.
MAX_SAMPLE_FACTOR = 5.0
REPORT_LAG_SECONDS = 0.045  # other gateways' reports come in batches and take some time


@define
class EngineScale:
    """Ratio of the time an engine was busy to the reference time of what it prefilled."""

    _busy_seconds: float = field(default=0.0, init=False)  # as of ``_updated_at``
    _work: float = field(default=0.0, init=False)  # reference seconds, as of ``_updated_at``
    _updated_at: float = field(default=0.0, init=False)

    def add(self, reference_seconds: float, seconds: float, expected: float, now: float) -> None:
        """Add a prompt and the time for which the engine was busy with it.

        ``expected``: scale of an engine about which nothing is known.
        """
        longest = MAX_SAMPLE_FACTOR * expected * reference_seconds + REPORT_LAG_SECONDS
        kept = self._kept_share(now)
        self._busy_seconds = self._busy_seconds * kept + min(seconds, longest)
        self._work = self._work * kept + reference_seconds
        self._updated_at = now

    def scale(self, expected: float, now: float) -> float:
        """Return the seconds that the engine takes for a reference second."""
        kept = self._kept_share(now)
        busy = max(0.0, self._busy_seconds * kept) + EXPECTED_WORK_SECONDS * expected
        return busy / (self._work * kept + EXPECTED_WORK_SECONDS)

    def _kept_share(self, now: float) -> float:
        return math.exp(min(0.0, self._updated_at - now) / AVERAGE_SECONDS)
