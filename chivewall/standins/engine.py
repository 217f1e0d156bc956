"""Simulated model engine: continuous batching, priorities, prefix cache, cancel and resume.

It uses the clock that is passed to it, so it also runs on a virtual clock.
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
    """Speed and capacity of a simulated engine."""

    prefill_rate: float = 20_000.0  # prompt tokens per second
    step_seconds: float = 0.02  # duration of a decode step, without ``sequence_seconds``
    sequence_seconds: float = 0.0  # added to a decode step by each sequence in the batch
    batch_slots: int = 16  # batch slots
    prefix_cache_pieces: int = (
        64  # capacity of the prefix cache, in pieces of TOKENS_PER_PIECE tokens
    )
    step_prefill_tokens: int = 4096  # most prompt tokens that one step prefills
    kv_tokens: int = 1_000_000  # KV cache: prompt and output tokens of the whole batch
    tokens_per_callback: int = 1  # tokens per callback; the first token has a callback of its own

    @property
    def full_step_seconds(self) -> float:
        """Duration in seconds of a decode step of a full batch, without prefill."""
        return self.step_seconds + self.sequence_seconds * self.batch_slots


@define(eq=False)
class Sequence:
    """A completion that waits for a batch slot or occupies one."""

    id: str
    completion: Completion
    priority: int  # lower runs first
    next_token: int  # index of the token that is generated next
    on_tokens: Callable[[int, tuple[str, ...]], None]
    on_end: Callable[[int], None]
    prefill_left: float = 0.0  # prompt tokens still to prefill
    emitted: int = 0  # index of the first token not yet passed to ``on_tokens``
    first_emitted: bool = False

    @property
    def kv_tokens(self) -> int:
        """KV cache that the sequence reserves, in tokens."""
        return self.completion.prompt_tokens + self.completion.max_tokens


@define(eq=False)
class SimulatedEngine:
    """Simulates an engine that decodes one token per step for each prefilled sequence.

    Prefill and decode share a step; ``step_prefill_tokens`` limits how long the prompts of
    some sequences can delay the decoding of the others.
    """

    clock: IReactorTime
    speed: EngineSpeed = field(factory=EngineSpeed)
    waiting: list[Sequence] = field(factory=list)
    batch: list[Sequence] = field(factory=list)
    prefix_cache: OrderedDict[str, None] = field(factory=OrderedDict)
    _stepping: bool = False

    def submit(self, sequence: Sequence) -> None:
        """Queue a sequence by priority; its callbacks are called on the engine's clock."""
        self.waiting.append(sequence)
        self.waiting.sort(key=lambda one: one.priority)
        if not self._stepping:
            self._stepping = True
            self.clock.callLater(0, self._step)

    def cancel(self, sequence_id: str) -> None:
        """Remove a sequence; its callbacks aren't called any more."""
        self.waiting = [one for one in self.waiting if one.id != sequence_id]
        self.batch = [one for one in self.batch if one.id != sequence_id]

    @property
    def kv_free_tokens(self) -> int:
        """KV cache that no sequence in the batch has reserved, in tokens."""
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
        while self.waiting and len(self.batch) < self.speed.batch_slots:
            sequence = self.waiting[0]
            if sequence.next_token >= sequence.completion.max_tokens:
                del self.waiting[0]
                # Resumed after its last token: only the end is missing.
                sequence.on_end(sequence.next_token)
                continue
            if self.batch and sequence.kv_tokens > self.kv_free_tokens:
                return
            del self.waiting[0]
            sequence.prefill_left = self._tokens_to_prefill(sequence.completion)
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
            ended = sequence.next_token >= sequence.completion.max_tokens
            pending = sequence.next_token - sequence.emitted
            if ended or not sequence.first_emitted or pending >= self.speed.tokens_per_callback:
                self._emit(sequence)
            if ended and sequence in self.batch:
                self.batch.remove(sequence)
                sequence.on_end(sequence.next_token)
        self._step()

    def _emit(self, sequence: Sequence) -> None:
        index, end = sequence.emitted, sequence.next_token
        sequence.emitted, sequence.first_emitted = end, True
        texts = tuple(token_text(sequence.completion, position) for position in range(index, end))
        sequence.on_tokens(index, texts)

    def _tokens_to_prefill(self, completion: Completion) -> float:
        cached_tokens = 0
        for position, prefix in enumerate(completion.prefix_hashes, start=1):
            if prefix in self.prefix_cache and cached_tokens == (position - 1) * TOKENS_PER_PIECE:
                cached_tokens = position * TOKENS_PER_PIECE
            self.prefix_cache[prefix] = None
            self.prefix_cache.move_to_end(prefix)
        while len(self.prefix_cache) > self.speed.prefix_cache_pieces:
            self.prefix_cache.popitem(last=False)
        return max(0, completion.prompt_tokens - cached_tokens)


def token_text(completion: Completion, index: int) -> str:
    """Return a token that depends only on prompt and index, so that tests can check resumption."""
    prompt = "".join(one.content for one in completion.messages)
    seed = zlib.crc32(f"{prompt}/{index}".encode())
    return WORDS[seed % len(WORDS)] + " "
