"""Estimates the cost of an attempt at its endpoint from learned output lengths."""

import math
from collections import OrderedDict
from collections.abc import Container

from attrs import define, field, frozen

from chivewall.work import TOKENS_PER_PIECE, Attempt, Completion

PRIOR_OUTPUT_TOKENS = 256.0  # used until a length is learned; callers often set max_tokens too high
LONG_ANSWER = 4.0  # multiple of the learned output length that few responses exceed
LEARNING_WEIGHT = 0.1  # weight of a new sample in a moving average
MAX_LEARNED = 8192  # pairs of workspace and model; the design capacity is 300 x 20
MAX_STRETCH = 8.0  # largest ratio of actual to estimated prefill time that is learned
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

    prefill: float  # seconds
    decode: float  # seconds
    tokens: int  # KV cache tokens of the prompt and the expected output
    parallel: int = 1  # batch slots of the endpoint
    longest: float = 0.0  # seconds from start to end that few runs exceed

    @property
    def run_seconds(self) -> float:
        """Seconds from start to end."""
        return self.prefill + self.decode

    @property
    def seconds(self) -> float:
        """Endpoint seconds: a prefill blocks the whole batch, a decode uses one slot of it."""
        return self.prefill + self.decode_share

    @property
    def decode_share(self) -> float:
        """Endpoint seconds of the decode only."""
        return self.decode / self.parallel


@define
class OutputLengths:
    """Estimates costs from learned output lengths and prefill times.

    Keeps one output length for each workspace and model and drops the pair that
    went longest without an update.
    """

    learned: OrderedDict[tuple[str, str], float] = field(factory=OrderedDict)
    stretch: float = 1.0  # ratio of actual prefill time to that at the engine's full rate

    def learn(self, workspace: str, model: str, tokens: int) -> None:
        """Update the learned output length with that of a completed request."""
        key = (workspace, model)
        before = self.learned.pop(key, float(tokens))
        self.learned[key] = before + LEARNING_WEIGHT * (tokens - before)
        if len(self.learned) > MAX_LEARNED:
            self.learned.popitem(last=False)

    def learn_prefill(self, estimated: float, actual: float) -> None:
        """Update the learned prefill slowdown; both times are in seconds.

        Prefills take longer than estimated, since they share the engine's steps
        with the decoding of other sequences.
        """
        if estimated > 0:
            ratio = min(MAX_STRETCH, max(1.0, self.stretch * actual / estimated))
            self.stretch += LEARNING_WEIGHT * (ratio - self.stretch)

    def expected(self, workspace: str, work: Completion) -> float:
        """Return the expected output length in tokens."""
        learned = self.learned.get((workspace, work.model), PRIOR_OUTPUT_TOKENS)
        return min(float(work.max_tokens), learned)

    def cost(self, attempt: Attempt, capacity: Capacity) -> Cost:
        """Return the estimated cost of an attempt."""
        work = attempt.request.work
        if not isinstance(work, Completion):
            return Cost(
                prefill=0.0, decode=CALL_SECONDS, tokens=0, parallel=max(1, capacity.parallel)
            )
        output = self.expected(attempt.request.workspace, work)
        left = max(1.0, output - attempt.resume_from)
        prompt = work.prompt_tokens + attempt.resume_from
        fresh = prompt - cached_tokens(work, capacity.cached_prefixes)
        prefill = max(0, fresh) / capacity.prefill_rate if capacity.prefill_rate else 0.0
        most = max(1.0, min(work.max_tokens, LONG_ANSWER * output) - attempt.resume_from)
        return Cost(
            prefill=prefill * self.stretch,
            longest=prefill * self.stretch + most / (capacity.decode_rate or math.inf),
            decode=left / capacity.decode_rate if capacity.decode_rate else 0.0,
            tokens=int(prompt + left),
            parallel=max(1, capacity.parallel),
        )
