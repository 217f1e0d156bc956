"""Estimates the cost of an attempt at its endpoint from learned output lengths."""

import math
from collections import OrderedDict
from collections.abc import Container

from attrs import define, field, frozen

from chivewall.work import TOKENS_PER_PIECE, Attempt, Completion

DEFAULT_OUTPUT_TOKENS = 256.0  # until a length is learned; callers often set max_tokens too high
LONG_OUTPUT_FACTOR = 4.0  # multiple of the learned output length that few responses exceed
LEARNING_WEIGHT = 0.1  # weight of a new sample in a moving average
MAX_LEARNED_LENGTHS = 8192  # pairs of workspace and model; the design capacity is 300 x 20
MAX_PREFILL_SLOWDOWN = 8.0  # largest ratio of actual to estimated prefill time that is learned
CALL_SECONDS = 0.05  # expected run time of a plain service call


@frozen
class Capacity:
    """Speed and size of an endpoint."""

    parallel: int  # attempts that run at once
    prefill_rate: float = 0.0  # tokens per second; 0 for a plain service
    decode_rate: float = 0.0  # tokens per second of one stream
    kv_total_tokens: int = 0  # 0 if unknown
    cached_prefixes: frozenset[str] = frozenset()


def cached_tokens(work: Completion, cached: Container[str]) -> int:
    """Return the prompt tokens that a prefix cache covers.

    Hashes are chained, so a block counts only if all blocks before it are cached.
    """
    covered = 0
    for place, prefix in enumerate(work.prefix_hashes, start=1):
        if prefix not in cached:
            break
        covered = place * TOKENS_PER_PIECE
    return covered


@frozen
class Cost:
    """Estimated endpoint time and KV cache that one attempt uses."""

    prefill_seconds: float
    decode_seconds: float
    kv_tokens: int  # KV cache tokens of the prompt and the expected output
    parallel: int = 1  # batch slots of the endpoint
    max_run_seconds: float = 0.0  # seconds from start to end that few runs exceed

    @property
    def run_seconds(self) -> float:
        """Seconds from start to end."""
        return self.prefill_seconds + self.decode_seconds

    @property
    def endpoint_seconds(self) -> float:
        """Endpoint seconds: a prefill blocks the whole batch, a decode uses one slot of it."""
        return self.prefill_seconds + self.decode_endpoint_seconds

    @property
    def decode_endpoint_seconds(self) -> float:
        """Endpoint seconds of the decode only."""
        return self.decode_seconds / self.parallel


@define
class CostEstimator:
    """Estimates costs from learned output lengths and prefill times.

    Keeps one output length for each workspace and model and drops the pair that
    went longest without an update.
    """

    output_lengths: OrderedDict[tuple[str, str], float] = field(factory=OrderedDict)
    prefill_slowdown: float = 1.0  # ratio of actual prefill time to that at the engine's full rate

    def learn_output(self, workspace: str, model: str, tokens: int) -> None:
        """Update the learned output length with that of a completed request."""
        key = (workspace, model)
        before = self.output_lengths.pop(key, float(tokens))
        self.output_lengths[key] = before + LEARNING_WEIGHT * (tokens - before)
        if len(self.output_lengths) > MAX_LEARNED_LENGTHS:
            self.output_lengths.popitem(last=False)

    def learn_prefill(self, estimated: float, actual: float) -> None:
        """Update the learned prefill slowdown; both times are in seconds.

        Prefills take longer than estimated, since they share the engine's steps
        with the decoding of other sequences.
        """
        if estimated > 0:
            ratio = min(MAX_PREFILL_SLOWDOWN, max(1.0, self.prefill_slowdown * actual / estimated))
            self.prefill_slowdown += LEARNING_WEIGHT * (ratio - self.prefill_slowdown)

    def expected_output(self, workspace: str, work: Completion) -> float:
        """Return the expected output length in tokens."""
        learned = self.output_lengths.get((workspace, work.model), DEFAULT_OUTPUT_TOKENS)
        return min(float(work.max_tokens), learned)

    def cost(self, attempt: Attempt, capacity: Capacity) -> Cost:
        """Return the estimated cost of an attempt."""
        work = attempt.request.work
        if not isinstance(work, Completion):
            return Cost(
                prefill_seconds=0.0,
                decode_seconds=CALL_SECONDS,
                kv_tokens=0,
                parallel=max(1, capacity.parallel),
            )
        output = self.expected_output(attempt.request.workspace, work)
        remaining_output = max(1.0, output - attempt.resume_from)
        prompt = work.prompt_tokens + attempt.resume_from
        uncached = prompt - cached_tokens(work, capacity.cached_prefixes)
        prefill = max(0, uncached) / capacity.prefill_rate if capacity.prefill_rate else 0.0
        max_remaining_output = max(
            1.0, min(work.max_tokens, LONG_OUTPUT_FACTOR * output) - attempt.resume_from
        )
        return Cost(
            prefill_seconds=prefill * self.prefill_slowdown,
            max_run_seconds=prefill * self.prefill_slowdown
            + max_remaining_output / (capacity.decode_rate or math.inf),
            decode_seconds=remaining_output / capacity.decode_rate if capacity.decode_rate else 0.0,
            kv_tokens=int(prompt + remaining_output),
            parallel=max(1, capacity.parallel),
        )
