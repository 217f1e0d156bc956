"""Learns output lengths from the completions that this process has served."""

from attrs import define, field

from chivewall.work import Completion, Request

SMOOTHING_WEIGHT = 0.1  # weight of a new output length in the average
MIN_SAMPLES = 5  # with fewer, no expected length is given and max_tokens is the only bound
MAX_PAIRS = 2048  # pairs of workspace and model; the least recently updated one is removed


@define
class LengthAverage:
    """Average output length of one workspace and model."""

    mean: float = 0.0  # tokens
    samples: int = 0  # completions in the average


@define
class OutputLengths:
    """Average output lengths by workspace and model."""

    _lengths: dict[tuple[str, str], LengthAverage] = field(factory=dict, init=False)

    def learn(self, request: Request, tokens: int) -> None:
        """Update the average with the output length of one completed request."""
        pair = (request.workspace, request.work.target)
        length = self._lengths.pop(pair, None) or LengthAverage(mean=float(tokens))
        length.mean += SMOOTHING_WEIGHT * (tokens - length.mean)
        length.samples += 1
        self._lengths[pair] = length
        if len(self._lengths) > MAX_PAIRS:
            del self._lengths[next(iter(self._lengths))]

    def expected(self, request: Request) -> float | None:
        """Return the expected output tokens, or ``None`` if too few completions were seen."""
        if not isinstance(request.work, Completion):
            return None
        length = self._lengths.get((request.workspace, request.work.target))
        if length is None or length.samples < MIN_SAMPLES:
            return None
        return length.mean
