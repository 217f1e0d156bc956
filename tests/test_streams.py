"""The answer of one request stays whole across attempts."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals

from chivewall.decisions.streams import PartAction, ResponseStream
from chivewall.work import Part, Tokens

ANSWER = tuple(f"t{place}" for place in range(12))


def part(attempt, seq, index, count, request_id="r1"):
    body = Tokens(index=index, texts=ANSWER[index : index + count])
    return Part(request_id=request_id, attempt=attempt, seq=seq, body=body)


class ResponseStreamTest(TestCase):
    """Guards against tokens lost, repeated, or taken from somebody else's answer."""

    def stream(self, attempt=1):
        stream = ResponseStream(request_id="r1")
        stream.begin_attempt(attempt)
        return stream

    def test_part_of_another_request_is_dropped(self):
        verdict, _ = self.stream().check_part(part(1, 0, 0, 1, request_id="r2"))
        self.assertThat(verdict, Equals(PartAction.DROP))

    def test_late_part_of_an_earlier_attempt_is_dropped(self):
        verdict, _ = self.stream(attempt=2).check_part(part(1, 0, 0, 1))
        self.assertThat(verdict, Equals(PartAction.DROP))

    def test_repeated_part_is_dropped(self):
        stream = self.stream()
        stream.check_part(part(1, 0, 0, 2))
        verdict, _ = stream.check_part(part(1, 0, 0, 2))
        self.assertThat(verdict, Equals(PartAction.DROP))

    def test_gap_breaks_the_attempt(self):
        verdict, _ = self.stream().check_part(part(1, 1, 1, 1))
        self.assertThat(verdict, Equals(PartAction.BROKEN))

    def test_missing_tokens_break_the_attempt(self):
        verdict, _ = self.stream().check_part(part(1, 0, 3, 1))
        self.assertThat(verdict, Equals(PartAction.BROKEN))

    @given(st.lists(st.integers(1, 4), min_size=1), st.integers(0, 5), st.integers(0, 3))
    def test_resume_with_overlap_gives_each_token_once(self, sizes, cut, overlap):
        stream = self.stream()
        forwarded = []
        self._feed(stream, 1, sizes[:cut], start=0, into=forwarded)
        stream.begin_attempt(2)
        start = max(0, len(stream.delivered) - overlap)
        self._feed(stream, 2, [1] * len(ANSWER), start=start, into=forwarded)
        self.assertThat(tuple(forwarded), Equals(ANSWER))

    def _feed(self, stream, attempt, sizes, start, into):
        index = start
        for seq, size in enumerate(sizes):
            if index >= len(ANSWER):
                return
            verdict, judged = stream.check_part(part(attempt, seq, index, size))
            if verdict is PartAction.FORWARD:
                into.extend(judged.body.texts)
            index += size
