"""Assembles the output of one request from the parts of several attempts."""

from enum import Enum

from attrs import define, evolve, field

from chivewall.work import Part, Tokens


class PartAction(Enum):
    """Action for a received part."""

    FORWARD = "forward"
    DROP = "drop"  # it belongs to another attempt or was received before
    BROKEN = "broken"  # earlier parts are missing, so the attempt can't be completed


@define
class ResponseStream:
    """Checks parts against the current attempt and removes tokens already delivered."""

    request_id: str
    attempt: int = 0
    next_seq: int = 0
    delivered: list[str] = field(factory=list)

    def begin_attempt(self, attempt: int) -> None:
        """Expect the parts of a new attempt; parts of earlier ones are then dropped."""
        self.attempt = attempt
        self.next_seq = 0

    def check_part(self, part: Part) -> tuple[PartAction, Part]:
        """Return the action for a part, and the part without tokens delivered before."""
        if part.request_id != self.request_id or part.attempt != self.attempt:
            return PartAction.DROP, part
        if part.seq < self.next_seq:
            return PartAction.DROP, part
        if part.seq > self.next_seq:
            return PartAction.BROKEN, part
        self.next_seq += 1
        if not isinstance(part.body, Tokens):
            return PartAction.FORWARD, part
        return self._check_tokens(part, part.body)

    def _check_tokens(self, part: Part, tokens: Tokens) -> tuple[PartAction, Part]:
        known = len(self.delivered)
        if tokens.index > known:
            return PartAction.BROKEN, part
        fresh = tokens.texts[known - tokens.index :]
        if not fresh:
            return PartAction.DROP, part
        self.delivered.extend(fresh)
        return PartAction.FORWARD, evolve(part, body=Tokens(index=known, texts=fresh))
