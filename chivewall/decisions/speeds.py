"""Learns how fast engines and services are from the times that one gateway measures.

Times are fitted by medians, so that lost answers, slow spells and wrong assumptions about cached
prompts move an estimate little. A service has one set of estimates, which starts from the
settings, and each endpoint has a factor by which it is slower than its service.
"""

import math
from collections import deque
from collections.abc import Callable, Iterable

from attrs import define, evolve, field, frozen, validators

FORGET_SECONDS = 10.0  # older samples are dropped, so that a change of speed is followed
MIN_SAMPLES_KEPT = 6  # the latest samples, which are kept however old they are
MAX_SAMPLES = 24  # samples of one line; the fit looks at each pair of them
FIT_INTERVAL_SECONDS = 0.1  # shortest time between two fits of a line that has settled
SETTLED_SAMPLES = 8  # with fewer samples a line is fitted again after each one
MAX_ENDPOINT_SAMPLES = 7  # samples of one endpoint's factor
# Factors outside this range are taken for errors of measurement.
MIN_FACTOR, MAX_FACTOR = 0.01, 100.0
# The fixed part of a prefill's time is that of the faster times. Prompts that other gateways sent
# unnoticed, and slower engines than most, only add to it.
PREFILL_FIXED_SHARE = 0.25
# An endpoint's factor counts as 1 inside this range, since single times differ by as much.
EVEN_FACTORS = (0.8, 1.25)


def _positive(default: float, text: str) -> float:
    return field(default=default, validator=validators.gt(0), metadata={"help": text})


@frozen
class SpeedPriors:
    """Speeds that are assumed until times were measured, in seconds."""

    prefill_token_seconds: float = _positive(
        1 / 61_400, "Prefill time of a prompt token at a prefill engine."
    )
    prefill_pair_seconds: float = _positive(
        0.525e-9, "Extra prefill time for each pair of a token and an earlier one, for attention."
    )
    response_seconds: float = _positive(
        0.1, "Time from the end of a prefill to its response; other prompts use the engine then."
    )
    first_event_seconds: float = _positive(
        0.1, "Time from the end of the prefill at a decode engine to the first event."
    )
    running_request_seconds: float = _positive(
        0.002, "Delay that each running request adds to a first event."
    )
    fetched_event_seconds: float = _positive(
        0.04, "Time to the first event of a request that fetches its KV cache from another engine."
    )
    call_seconds: float = _positive(0.045, "Duration of a plain service's call.")

    def prefill_seconds(self, prompt: int, cached: int) -> float:
        """Return the time in which a prefill engine of this speed reads a prompt.

        ``prompt`` and ``cached`` count tokens; the cached ones are the first ones of the prompt.
        """
        uncached = max(1, prompt - cached)
        pairs = uncached * (cached + uncached / 2)
        return uncached * self.prefill_token_seconds + pairs * self.prefill_pair_seconds


@frozen
class Line:
    """Seconds as a linear function of a load.

    Example: ``Line(fixed=0.1, slope=0.002).seconds(20) == 0.14``.
    """

    fixed: float
    slope: float

    def seconds(self, load: float) -> float:
        """Return the seconds at a load."""
        return self.fixed + self.slope * load


@define
class LineEstimator:
    """Fits a line to measured times: the Theil-Sen slope, and the median of what is left.

    Two points on the expected line, scaled by the median ratio of measured to expected times,
    take part in the fit. They decide the slope if all loads are about the same.
    """

    expected: Line  # used until times were measured
    # Share of the times, less the slope's part, that are below the fixed part.
    fixed_share: float = 0.5
    # Time, load and seconds of the latest samples; time, load and slope of measured slopes.
    _samples: deque = field(factory=lambda: deque(maxlen=MAX_SAMPLES), init=False)
    _slopes: deque = field(factory=lambda: deque(maxlen=MAX_SAMPLES), init=False)
    _fitted: Line | None = field(default=None, init=False)
    _fit_at: float = field(default=-math.inf, init=False)  # time from which the next fit is due

    @property
    def line(self) -> Line:
        """Return the latest fit."""
        return self.expected if self._fitted is None else self._fitted

    @property
    def sample_count(self) -> int:
        """Return the number of samples that the fit uses."""
        return len(self._samples) + len(self._slopes)

    def add(self, load: float, seconds: float, now: float) -> None:
        """Add a measured time."""
        if not (math.isfinite(seconds) and math.isfinite(load)) or seconds <= 0 or load < 0:
            return
        self._samples.append((now, load, seconds))
        self._update(now)

    def add_slope(self, load: float, slope: float, now: float) -> None:
        """Add a measured slope, with the mean load that it was measured at."""
        if math.isfinite(slope) and slope > 0 and load > 0:
            self._slopes.append((now, load, slope))
            self._update(now)

    def adopt(self, line: Line) -> None:
        """Use a line that another gateway has learned, while this one has measured little."""
        if self.sample_count < SETTLED_SAMPLES:
            self.expected = line
            self._fitted = self._fit() if self.sample_count else None

    def _update(self, now: float) -> None:
        for samples in (self._samples, self._slopes):
            while len(samples) > MIN_SAMPLES_KEPT and samples[0][0] < now - FORGET_SECONDS:
                samples.popleft()
        if now >= self._fit_at or self.sample_count <= SETTLED_SAMPLES:
            self._fit_at = now + FIT_INTERVAL_SECONDS
            self._fitted = self._fit()

    def _fit(self) -> Line:
        ratios = [_log_ratio(took, self.expected.seconds(load)) for _, load, took in self._samples]
        ratios += [_log_ratio(slope, self.expected.slope) for _, _, slope in self._slopes]
        # The expected line counts as one sample.
        scale = math.exp(_median([*ratios, 0.0]))
        largest = max(load for _, load, _ in (*self._samples, *self._slopes))
        anchors = [(x, scale * self.expected.seconds(x)) for x in (0.0, 2 * largest)]
        points = [(load, took) for _, load, took in self._samples] + anchors
        slopes = [(slope, load * len(points)) for _, load, slope in self._slopes]
        for place, (x1, y1) in enumerate(points):
            for x2, y2 in points[place + 1 :]:
                if x1 != x2:
                    slopes.append(((y2 - y1) / (x2 - x1), abs(x2 - x1)))
        slope = max(0.0, _weighted_median(slopes)) if slopes else scale * self.expected.slope
        fixed = max(0.0, _quantile([y - slope * x for x, y in points], self.fixed_share))
        if fixed + slope <= 0:
            return Line(scale * self.expected.fixed, scale * self.expected.slope)
        return Line(fixed, slope)


@frozen
class ServiceSpeed:
    """The speeds of a service's endpoints, as one gateway knows them."""

    prefill: Line  # from the send of a prompt to its response, by its reference seconds
    first_event: Line  # after a prefill at the same engine, by the number of running requests
    fetched_event: Line  # after the send of a request that fetches its KV cache, likewise
    call_seconds: float  # duration of a plain service's call

    def differs(self, other: "ServiceSpeed", factor: float) -> bool:
        """Return whether one of the times differs from the other speed's by more than a factor."""
        pairs = (
            (self.prefill_scale, other.prefill_scale),
            (self.first_event.fixed, other.first_event.fixed),
            (self.fetched_event.fixed, other.fetched_event.fixed),
            (self.call_seconds, other.call_seconds),
        )
        return any(max(pair) > factor * max(min(pair), 1e-4) for pair in pairs)

    @property
    def prefill_scale(self) -> float:
        """Return the seconds that a prefill engine takes for one reference second."""
        return self.prefill.slope

    @property
    def response_seconds(self) -> float:
        """Return the time from the end of a prefill to its response."""
        return self.prefill.fixed


# Returns the time that a piece of work takes at an endpoint of a service with these speeds.
ExpectedTime = Callable[[ServiceSpeed], float]


@define
class FactorEstimator:
    """The factor by which one endpoint is slower than its service: a median of few samples.

    Each measured time is compared with what the service's speeds say now. They may be far off
    while little was measured, and factors against those speeds would count the difference twice
    once the service's speeds are learned.

    Example: ``estimator.add(0.9, lambda speed: speed.call_seconds, now)``.
    """

    # Time, seconds and what is expected of an endpoint of the service; the latest ones.
    _samples: deque = field(factory=lambda: deque(maxlen=MAX_ENDPOINT_SAMPLES), init=False)
    _compared_with: ServiceSpeed | None = field(default=None, init=False)
    _median: float = field(default=1.0, init=False)

    def add(self, seconds: float, expected: ExpectedTime, now: float) -> None:
        """Add a measured time."""
        if not math.isfinite(seconds) or seconds <= 0:
            return
        self._samples.append((now, seconds, expected))
        while self._samples[0][0] < now - FORGET_SECONDS:
            self._samples.popleft()
        self._compared_with = None

    def factor(self, now: float, service: ServiceSpeed) -> float:
        """Return the factor against a service; 1 if nothing was measured for a while."""
        if not self._samples or self._samples[-1][0] < now - FORGET_SECONDS:
            return 1.0
        if service is not self._compared_with:
            self._compared_with = service
            ratios = [
                _log_ratio(seconds, expected(service)) for _, seconds, expected in self._samples
            ]
            # Two samples of a usual endpoint, which one absurd time can't outweigh.
            self._median = math.exp(_median([0.0, 0.0, *ratios]))
        return 1.0 if EVEN_FACTORS[0] <= self._median <= EVEN_FACTORS[1] else self._median


@define
class ServiceSpeeds:
    """Learns the speeds of one service's endpoints.

    The work of a prefill is given in reference seconds: the time that an engine of the speed in
    the settings takes (``SpeedPriors.prefill_seconds``).
    """

    priors: SpeedPriors = field(factory=SpeedPriors)
    prefill: LineEstimator = field(init=False)
    first_event: LineEstimator = field(init=False)
    fetched_event: LineEstimator = field(init=False)
    call: LineEstimator = field(init=False)
    _current: ServiceSpeed | None = field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        priors = self.priors
        per_request = priors.running_request_seconds
        self.prefill = LineEstimator(Line(priors.response_seconds, 1.0), PREFILL_FIXED_SHARE)
        self.first_event = LineEstimator(Line(priors.first_event_seconds, per_request))
        self.fetched_event = LineEstimator(Line(priors.fetched_event_seconds, per_request))
        self.call = LineEstimator(Line(priors.call_seconds, 0.0))
        self._refresh()

    @property
    def current(self) -> ServiceSpeed:
        """Return the latest estimates."""
        return self._current

    @property
    def sample_count(self) -> int:
        """Return the number of samples of all estimates."""
        return sum(one.sample_count for one in self._estimators())

    def add_prefill(self, reference_seconds: float, seconds: float, now: float) -> None:
        """Add the time from the send of a prompt to an idle prefill engine to its response."""
        self.prefill.add(reference_seconds, seconds, now)
        self._refresh()

    def add_throughput(self, count: int, work: float, seconds: float, now: float) -> None:
        """Add a time in which a prefill engine that was never idle read ``count`` prompts.

        ``work`` is the sum of their reference seconds.
        """
        self.prefill.add_slope(work / count, seconds / work, now)
        self._refresh()

    def add_first_event(self, running: int, seconds: float, now: float) -> None:
        """Add the time from the end of a prefill at a decode engine to the first event."""
        self.first_event.add(running, seconds, now)
        self._refresh()

    def add_fetched_event(self, running: int, seconds: float, now: float) -> None:
        """Add the time from the send of a request that fetches its KV cache to its first event."""
        self.fetched_event.add(running, seconds, now)
        self._refresh()

    def add_call(self, seconds: float, now: float) -> None:
        """Add the duration of a plain service's call that had a free slot."""
        self.call.add(0.0, seconds, now)
        self._refresh()

    def adopt(self, speed: ServiceSpeed) -> None:
        """Use what another gateway has learned, where this one has measured little."""
        self.prefill.adopt(speed.prefill)
        self.first_event.adopt(speed.first_event)
        self.fetched_event.adopt(speed.fetched_event)
        self.call.adopt(Line(speed.call_seconds, 0.0))
        self._refresh()

    def _estimators(self) -> tuple[LineEstimator, ...]:
        return self.prefill, self.first_event, self.fetched_event, self.call

    def _refresh(self) -> None:
        prefill = self.prefill.line
        found = ServiceSpeed(
            prefill=evolve(prefill, slope=max(prefill.slope, MIN_FACTOR)),
            first_event=self.first_event.line,
            fetched_event=self.fetched_event.line,
            call_seconds=self.call.line.fixed,
        )
        if found != self._current:
            self._current = found


def _log_ratio(seconds: float, expected_seconds: float) -> float:
    ratio = seconds / max(expected_seconds, 1e-9)
    return math.log(min(MAX_FACTOR, max(MIN_FACTOR, ratio)))


def _median(values: Iterable[float]) -> float:
    return _quantile(values, 0.5)


def _quantile(values: Iterable[float], share: float) -> float:
    ordered = sorted(values)
    place = share * (len(ordered) - 1)
    low, high = ordered[math.floor(place)], ordered[math.ceil(place)]
    return low + (high - low) * (place - math.floor(place))


def _weighted_median(pairs: list[tuple[float, float]]) -> float:
    """Return the median of (value, weight) pairs."""
    half = sum(weight for _, weight in pairs) / 2
    seen = 0.0
    for value, weight in sorted(pairs):
        seen += weight
        if seen >= half:
            return value
    return pairs[-1][0]
