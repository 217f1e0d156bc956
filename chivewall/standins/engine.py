"""Model of an engine: continuous batching, priorities, prefix cache, cancel and resume.

Time comes from the clock that it is given, so it runs on a virtual clock as well.
"""

import hashlib
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
    step_seconds: float = 0.02  # one decode step of the whole batch
    parallel: int = 16  # sequences in the batch
    cache_pieces: int = 64  # prompt pieces that the prefix cache holds


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


@define(eq=False)
class EngineModel:
    """A batch that advances one token a step for each sequence past its prefill."""

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

    def _step(self) -> None:
        self._admit()
        if not self.batch:
            self._stepping = False
            return
        duration = self.speed.step_seconds + self._prefill_seconds()
        self.clock.callLater(duration, self._finish_step)

    def _admit(self) -> None:
        while self.waiting and len(self.batch) < self.speed.parallel:
            sequence = self.waiting.pop(0)
            if sequence.next_token >= sequence.work.max_tokens:
                sequence.on_end(sequence.next_token)  # only the end was lost
                continue
            sequence.prefill_left = self._prefill(sequence.work)
            self.batch.append(sequence)

    def _prefill_seconds(self) -> float:
        tokens = sum(one.prefill_left for one in self.batch)
        for sequence in self.batch:
            sequence.prefill_left = 0.0
        return tokens / self.speed.prefill_rate

    def _finish_step(self) -> None:
        for sequence in list(self.batch):
            index = sequence.next_token
            sequence.next_token += 1
            sequence.on_tokens(index, (token_text(sequence.work, index),))
            if sequence.next_token >= sequence.work.max_tokens and sequence in self.batch:
                self.batch.remove(sequence)
                sequence.on_end(sequence.next_token)
        self._step()

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
    seed = hashlib.blake2b(f"{prompt}/{index}".encode(), digest_size=2).digest()
    return WORDS[seed[0] % len(WORDS)] + " "
