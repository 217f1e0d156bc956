"""Model of an engine: continuous batching, priorities, prefix cache, cancel and resume.

Time comes from the clock that it is given, so it runs on a virtual clock as well.
"""

import zlib
from collections import OrderedDict
from collections.abc import Callable

from attrs import define, field, frozen
from twisted.internet.interfaces import IReactorTime

from chivewall.work import TOKENS_PER_PIECE, Completion

WORDS = ("tide", "rota", "tower", "guard", "beach", "cedar", "chisel", "square", "season", "shift")


@frozen
class EngineSpeed:
    """How fast and how large the engine is."""

    prefill_rate: float = 20_000.0  # tokens a second
    step_seconds: float = 0.02  # one decode step, apart from what each sequence adds
    sequence_seconds: float = 0.0  # what each sequence in the batch adds to a step
    parallel: int = 16  # sequences in the batch
    cache_pieces: int = 64  # prompt pieces that the prefix cache holds
    step_prefill_tokens: int = 4096  # prompt tokens that one step takes at most
    kv_tokens: int = 1_000_000  # prompt and output tokens of the whole batch
    emit_tokens: int = 1  # tokens for each callback after the first one

    @property
    def full_step_seconds(self) -> float:
        """Duration of a decode step of a full batch without prefill."""
        return self.step_seconds + self.sequence_seconds * self.parallel


@define(eq=False)
class Sequence:
    """One completion in the engine."""

    id: str
    work: Completion
    priority: int  # lower runs first
    next_token: int
    on_tokens: Callable[[int, tuple[str, ...]], None]
    on_end: Callable[[int], None]
    prefill_left: float = 0.0  # tokens
    emitted: int = 0  # tokens up to this index went to ``on_tokens``
    first_emitted: bool = False

    @property
    def kv_tokens(self) -> int:
        """KV space that the sequence reserves."""
        return self.work.prompt_tokens + self.work.max_tokens


@define(eq=False)
class EngineModel:
    """A batch that advances one token a step for each sequence past its prefill.

    Prefill and decode share a step; ``step_prefill_tokens`` bounds by how much
    long prompts delay the decode of the others.
    """

    clock: IReactorTime
    speed: EngineSpeed = field(factory=EngineSpeed)
    waiting: list[Sequence] = field(factory=list)
    batch: list[Sequence] = field(factory=list)
    cache: OrderedDict[str, None] = field(factory=OrderedDict)
    _stepping: bool = False

    def submit(self, sequence: Sequence) -> None:
        """Take a completion; its callbacks run on the engine's clock."""
        self.waiting.append(sequence)
        self.waiting.sort(key=lambda one: one.priority)
        if not self._stepping:
            self._stepping = True
            self.clock.callLater(0, self._step)

    def cancel(self, sequence_id: str) -> None:
        """Drop a completion; no more callbacks follow."""
        self.waiting = [one for one in self.waiting if one.id != sequence_id]
        self.batch = [one for one in self.batch if one.id != sequence_id]

    @property
    def kv_free(self) -> int:
        """KV space that no sequence in the batch has reserved, in tokens."""
        return self.speed.kv_tokens - sum(one.kv_tokens for one in self.batch)

    def _step(self) -> None:
        self._admit()
        if not self.batch:
            self._stepping = False
            return
        speed = self.speed
        duration = speed.step_seconds + speed.sequence_seconds * len(self.batch)
        self.clock.callLater(duration + self._prefill_seconds(), self._finish_step)

    def _admit(self) -> None:
        while self.waiting and len(self.batch) < self.speed.parallel:
            sequence = self.waiting[0]
            if sequence.next_token >= sequence.work.max_tokens:
                del self.waiting[0]
                sequence.on_end(sequence.next_token)  # only the end was lost
                continue
            if self.batch and sequence.kv_tokens > self.kv_free:
                return
            del self.waiting[0]
            sequence.prefill_left = self._prefill(sequence.work)
            sequence.emitted = sequence.next_token
            self.batch.append(sequence)
            self.batch.sort(key=lambda one: one.priority)

    def _prefill_seconds(self) -> float:
        budget = self.speed.step_prefill_tokens
        for sequence in self.batch:
            taken = min(sequence.prefill_left, budget)
            sequence.prefill_left -= taken
            budget -= taken
        return (self.speed.step_prefill_tokens - budget) / self.speed.prefill_rate

    def _finish_step(self) -> None:
        # A sequence that joined during the step starts its prefill in the next one.
        for sequence in list(self.batch):
            if sequence.prefill_left > 0 or sequence not in self.batch:
                continue
            sequence.next_token += 1
            ended = sequence.next_token >= sequence.work.max_tokens
            pending = sequence.next_token - sequence.emitted
            if ended or not sequence.first_emitted or pending >= self.speed.emit_tokens:
                self._emit(sequence)
            if ended and sequence in self.batch:
                self.batch.remove(sequence)
                sequence.on_end(sequence.next_token)
        self._step()

    def _emit(self, sequence: Sequence) -> None:
        index, end = sequence.emitted, sequence.next_token
        sequence.emitted, sequence.first_emitted = end, True
        texts = tuple(token_text(sequence.work, place) for place in range(index, end))
        sequence.on_tokens(index, texts)

    def _prefill(self, work: Completion) -> float:
        covered = 0
        for place, prefix in enumerate(work.prefix_hashes, start=1):
            if prefix in self.cache and covered == (place - 1) * TOKENS_PER_PIECE:
                covered = place * TOKENS_PER_PIECE
            self.cache[prefix] = None
            self.cache.move_to_end(prefix)
        while len(self.cache) > self.speed.cache_pieces:
            self.cache.popitem(last=False)
        return max(0, work.prompt_tokens - covered)


def token_text(work: Completion, index: int) -> str:
    """Return a token that depends only on the prompt and the index, so resumes can be checked."""
    prompt = "".join(one.content for one in work.messages)
    seed = zlib.crc32(f"{prompt}/{index}".encode())
    return WORDS[seed % len(WORDS)] + " "
