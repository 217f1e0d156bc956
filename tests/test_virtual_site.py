"""Requests through real entry and agent tasks on a virtual clock."""

from testtools import TestCase
from testtools.matchers import Equals

from bench.site import Site, drain
from chivewall.standins.engine import Sequence, SimulatedEngine, token_text
from chivewall.work import Call, Completion, End, Message, Rank, Request, Tokens


def completion(request_id, deadline, tokens=8):
    work = Completion(
        model="m", messages=(Message("user", request_id),), prompt_tokens=100, max_tokens=tokens
    )
    return Request(id=request_id, workspace="w", rank=Rank.STANDARD, deadline=deadline, work=work)


def text_of(parts):
    return "".join(text for one in parts if isinstance(one.body, Tokens) for text in one.body.texts)


def expected_text(request):
    return "".join(token_text(request.work, index) for index in range(request.work.max_tokens))


class VirtualSiteTest(TestCase):
    """Guards the path itself, without a network."""

    def setUp(self):
        super().setUp()
        self.site = Site(seed=1)
        for place in (1, 2):
            self.site.add_engine(f"engine-{place}", "Mombasa", targets=("m",))
        self.booking = self.site.add_service("booking-1", "Mombasa", "shift-booking")
        self.site.add_entry("entry-1", "Mombasa")
        self.site.settle()

    def test_completion_arrives_whole(self):
        request = completion("r1", deadline=30)
        sink = self.site.serve("entry-1", request)
        self.site.clock.run_until(10)
        parts = drain(sink)
        self.assertThat(text_of(parts), Equals(expected_text(request)))
        self.assertIsInstance(parts[-1].body, End)

    def test_call_runs_once(self):
        work = Call(service="shift-booking", method="POST", path="/x", body=b"b1")
        request = Request(id="r2", workspace="w", rank=Rank.URGENT, deadline=9, work=work)
        sink = self.site.serve("entry-1", request)
        self.site.clock.run_until(5)
        self.assertThat(drain(sink)[-1].body.status, Equals(201))
        self.assertThat(self.booking.runs[b"b1"], Equals(1))

    def test_stream_resumes_after_an_agent_is_killed(self):
        request = completion("r3", deadline=60, tokens=200)
        sink = self.site.serve("entry-1", request)
        self.site.clock.run_until(self.site.clock.now + 1)
        busy = next(
            name for name, one in self.site.endpoints.items() if getattr(one, "_runs", None)
        )
        self.site.kill_agent(busy)
        self.site.clock.run_until(40)
        parts = drain(sink)
        self.assertThat(text_of(parts), Equals(expected_text(request)))
        self.assertIsInstance(parts[-1].body, End)

    def test_resume_after_the_last_token_only_ends(self):
        """A lost end part led to one token too many."""
        work = completion("r4", deadline=30).work
        engine = SimulatedEngine(clock=self.site.clock)
        seen = []
        engine.submit(
            Sequence(
                id="r4/2",
                completion=work,
                priority=1,
                next_token=work.max_tokens,
                on_tokens=lambda index, _: seen.append(index),
                on_end=seen.append,
            )
        )
        self.site.clock.run_until(self.site.clock.now + 1)
        self.assertThat(seen, Equals([work.max_tokens]))
        self.assertThat(engine.batch, Equals([]))

    def test_restarted_agent_has_another_incarnation(self):
        """A restarted agent with the same seed was taken for its predecessor."""
        before = self.site.links.agents["engine-1"].incarnation
        self.site.kill_agent("engine-1")
        self.site.start_agent("engine-1")
        self.assertNotEqual(before, self.site.links.agents["engine-1"].incarnation)
