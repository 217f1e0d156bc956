"""Assembles the output of one request from the parts of several attempts."""

from enum import Enum

from attrs import define, evolve, field

from chivewall.work import Part, Tokens


class Verdict(Enum):
    """Action for a received part."""

    FORWARD = "forward"
    DROP = "drop"  # it belongs to another attempt or was received before
    BROKEN = "broken"  # earlier parts are missing, so the attempt can't be completed


@define
class AnswerStream:
    """Checks parts against the current attempt and removes tokens already delivered."""

    request_id: str
    attempt: int = 0
    next_seq: int = 0
    delivered: list[str] = field(factory=list)

    def begin(self, attempt: int) -> None:
        """Expect the parts of a new attempt; parts of earlier ones are then dropped."""
        self.attempt = attempt
        self.next_seq = 0

    def judge(self, part: Part) -> tuple[Verdict, Part]:
        """Return the action for a part, and the part without tokens delivered before."""
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
