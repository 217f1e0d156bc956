"""Keeps the answer of one request whole across attempts."""

from enum import Enum

from attrs import define, evolve, field

from chivewall.work import Part, Tokens


class Verdict(Enum):
    """What to do with a part."""

    FORWARD = "forward"
    DROP = "drop"  # of another attempt, or repeated
    BROKEN = "broken"  # parts are missing; the attempt can't be completed


@define
class AnswerStream:
    """Matches parts to the current attempt and the tokens already delivered."""

    request_id: str
    attempt: int = 0
    next_seq: int = 0
    delivered: list[str] = field(factory=list)

    def begin(self, attempt: int) -> None:
        """Expect the parts of a new attempt; those of earlier ones are dropped."""
        self.attempt = attempt
        self.next_seq = 0

    def judge(self, part: Part) -> tuple[Verdict, Part]:
        """Return what to do with a part, and the part less what was delivered before."""
        if part.request_id != self.request_id or part.attempt != self.attempt:
            return Verdict.DROP, part
        if part.seq < self.next_seq:
            return Verdict.DROP, part
        if part.seq > self.next_seq:
            return Verdict.BROKEN, part
        self.next_seq += 1
        if not isinstance(part.body, Tokens):
            return Verdict.FORWARD, part
        return self._judge_tokens(part, part.body)

    def _judge_tokens(self, part: Part, tokens: Tokens) -> tuple[Verdict, Part]:
        known = len(self.delivered)
        if tokens.index > known:
            return Verdict.BROKEN, part
        fresh = tokens.texts[known - tokens.index :]
        if not fresh:
            return Verdict.DROP, part
        self.delivered.extend(fresh)
        return Verdict.FORWARD, evolve(part, body=Tokens(index=known, texts=fresh))
