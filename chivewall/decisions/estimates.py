"""Estimates what an attempt costs its endpoint, with output lengths learned from past answers."""

import math
from collections import OrderedDict
from collections.abc import Container

from attrs import define, field, frozen

from chivewall.work import TOKENS_PER_PIECE, Attempt, Completion

PRIOR_OUTPUT_TOKENS = 256.0  # until learned; callers often set max_tokens far above their need
LONG_ANSWER = 4.0  # times the learned length; answers are seldom longer
LEARNING_WEIGHT = 0.1  # of one more answer in the learned length
MAX_LEARNED = 8192  # pairs kept; above the 300 workspaces x 20 models of the design capacity
MAX_STRETCH = 8.0
CALL_SECONDS = 0.05  # expected run time of a plain service call


@frozen
class Capacity:
    """What the endpoint can do."""

    parallel: int  # attempts at once
    prefill_rate: float = 0.0  # tokens a second; 0 for a plain service
    decode_rate: float = 0.0  # tokens a second for one stream
    kv_total_tokens: int = 0  # 0 if unknown
    cached_prefixes: frozenset[str] = frozenset()


def cached_tokens(work: Completion, cached: Container[str]) -> int:
    """Return the prompt tokens that a prefix cache covers; hashes are chained."""
    covered = 0
    for place, prefix in enumerate(work.prefix_hashes, start=1):
        if prefix not in cached:
            break
        covered = place * TOKENS_PER_PIECE
    return covered


@frozen
class Cost:
    """Estimated use of the endpoint by one attempt."""

    prefill: float  # seconds
    decode: float  # seconds
    tokens: int  # prompt and expected output, in the KV cache
    parallel: int = 1  # slots of the endpoint
    longest: float = 0.0  # seconds from start to end that nearly no run exceeds

    @property
    def run_seconds(self) -> float:
        """Seconds from start to end."""
        return self.prefill + self.decode

    @property
    def seconds(self) -> float:
        """Endpoint seconds: a prefill holds up the whole batch, a decode takes one slot of it."""
        return self.prefill + self.decode_share

    @property
    def decode_share(self) -> float:
        """Endpoint seconds of the decode alone."""
        return self.decode / self.parallel


@define
class OutputLengths:
    """Learned output length of each workspace and model, least recently used pairs dropped."""

    learned: OrderedDict[tuple[str, str], float] = field(factory=OrderedDict)
    stretch: float = 1.0  # how much longer prefills take than at the engine's full rate

    def learn(self, workspace: str, model: str, tokens: int) -> None:
        """Take the length of a complete answer into account."""
        key = (workspace, model)
        before = self.learned.pop(key, float(tokens))
        self.learned[key] = before + LEARNING_WEIGHT * (tokens - before)
        if len(self.learned) > MAX_LEARNED:
            self.learned.popitem(last=False)

    def learn_prefill(self, estimated: float, actual: float) -> None:
        """Take the time from a start to its first token into account, in seconds.

        Prefills share the engine's steps with the decode of other sequences.
        """
        if estimated > 0:
            ratio = min(MAX_STRETCH, max(1.0, self.stretch * actual / estimated))
            self.stretch += LEARNING_WEIGHT * (ratio - self.stretch)

    def expected(self, workspace: str, work: Completion) -> float:
        """Return the expected length of an answer in tokens."""
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
