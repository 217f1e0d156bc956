"""Tests of floods of requests through real entry and agent tasks, on a virtual clock."""

from attrs import evolve
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from bench.site import Site, pending_messages
from chivewall.configuration import default_configuration
from chivewall.events import Event
from chivewall.work import Completion, End, Message, Rank, Refusal, Request, RunState, Tokens

CFG = default_configuration()


class FloodTest(TestCase):
    """Guards against floods that starve another rank, and against false refusals."""

    def setUp(self):
        super().setUp()
        limits = evolve(CFG.limits, requests_in_flight=1e6, tokens_in_flight=1e9)
        self.site = Site(seed=3, configuration=evolve(CFG, limits=limits))
        self.site.add_engine("engine-1", "Mombasa", targets=("m",))
        self.site.add_entry("entry-1", "Mombasa")
        self.events = []
        self.site.log.subscribe(lambda event, fields: self.events.append((event, fields)))
        self.site.settle()
        self.sinks = {}
        self.first = {}

    def serve(self, name, rank, deadline, tokens, prompt=400):
        work = Completion(
            model="m", messages=(Message("user", name),), prompt_tokens=prompt, max_tokens=tokens
        )
        request = Request(
            id=name, workspace="w", rank=rank, deadline=self.site.clock.now + deadline, work=work
        )
        self.sinks[name] = self.site.serve("entry-1", request)

    def first_token_seconds(self, name, limit=3.0):
        begin = self.site.clock.now
        while self.site.clock.now < begin + limit:
            self.site.clock.run_until(self.site.clock.now + 0.01)
            if any(isinstance(part.body, Tokens) for part in pending_messages(self.sinks[name])):
                break
        return self.site.clock.now - begin

    def last_bodies(self, prefix):
        last_parts = [
            pending_messages(sink)[-1:]
            for name, sink in self.sinks.items()
            if name.startswith(prefix)
        ]
        return [last[0].body for last in last_parts if last]

    def test_patient_flood_keeps_urgent_work_within_its_target(self):
        """Guards against urgent work that queues behind long patient prompts."""
        for number in range(200):
            self.serve(f"p{number}", Rank.PATIENT, 600, tokens=100, prompt=3000)
        late_count = 0
        for number in range(20):
            self.site.clock.run_until(self.site.clock.now + 1.0)
            self.serve(f"u{number}", Rank.URGENT, 10, tokens=10)
            late_count += self.first_token_seconds(f"u{number}") > 0.34
        self.assertThat(late_count, LessThan(2))  # target: 95 in 100 within 0.34 s
        self.site.clock.run_until(self.site.clock.now + 200)
        complete = [one for one in self.last_bodies("p") if isinstance(one, End)]
        self.assertThat(len(complete), Equals(200), "accepted patient work was lost")

    def test_urgent_flood_leaves_patient_work_its_share(self):
        """Guards against starved patient work, and "not run" for work that was started."""
        for number in range(60):
            self.serve(f"p{number}", Rank.PATIENT, 600, tokens=50)
        for second in range(30):
            for number in range(40):
                self.serve(f"u{second}-{number}", Rank.URGENT, 10, tokens=50)
            self.site.clock.run_until(self.site.clock.now + 1.0)
        patient = [one for one in self.last_bodies("p") if isinstance(one, End)]
        urgent = [one for one in self.last_bodies("u") if isinstance(one, End)]
        share = CFG.ranks[Rank.PATIENT].share
        expected = min(60, share * (len(patient) + len(urgent)) - 16)  # one batch of slack
        self.assertThat(len(patient), GreaterThan(expected - 1))
        self.assertThat(len(urgent), GreaterThan(len(patient)))
        started = {
            fields["request"] for event, fields in self.events if event is Event.WORK_STARTED
        }
        for name, sink in self.sinks.items():
            parts = pending_messages(sink)
            if parts and isinstance(parts[-1].body, Refusal) and parts[-1].body.run is RunState.NO:
                self.assertNotIn(name, started, "refused as not run, but it was started")
        chosen = [fields for event, fields in self.events if event is Event.WORK_CHOSEN]
        self.assertTrue(all(fields["reason"] for fields in chosen))
