"""The task of one request against a scripted directory and scripted agents."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals, HasLength, Is

from bench.clock import VirtualClock
from bench.site import QuietLog, drain
from chivewall.decisions.routing import Route
from chivewall.environment import Environment
from chivewall.messages import (
    AttemptBroken,
    AttemptEnded,
    AttemptSent,
    CancelRequest,
    ChooseRoute,
    ServeRequest,
    SubmitAttempt,
)
from chivewall.request_task import RequestServed, RequestTask, SpendRetry
from chivewall.results import ResultCode, RunState
from chivewall.settings import CoreSettings, Role, Settings
from chivewall.task import Inbox
from chivewall.work import (
    Answer,
    Call,
    Completion,
    End,
    Message,
    Part,
    Rank,
    Refusal,
    Request,
    Tokens,
    Waiting,
)

DEADLINE = 30.0
TEXTS = ("a", "b", "c", "d", "e")


class ScriptedDirectory:
    """Answers route queries at once and keeps the submitted attempts."""

    def __init__(self):
        self.routes = True
        self.submitted = []
        self.open = set()

    def query(self, query):
        assert isinstance(query, ChooseRoute)
        name = "e1" if "e1" not in query.excluded else "e2"
        reused = {"e1", "e2"} <= query.excluded
        route = Route(name, "a", 1.0, 1.0, "scripted", reused=reused)
        query.reply(route if self.routes else None)
        return query.deferred

    def send(self, message):
        if isinstance(message, SubmitAttempt):
            self.submitted.append(message)
        elif isinstance(message, AttemptSent):
            self.open.add(message.attempt.number)
        elif isinstance(message, AttemptEnded):
            self.open.discard(message.attempt)


class ScriptedDispatcher:
    """Grants a few retries and counts ends."""

    def __init__(self):
        self.retries = 3
        self.served = 0

    def query(self, query):
        assert isinstance(query, SpendRetry)
        self.retries -= 1
        query.reply(self.retries >= 0)
        return query.deferred

    def send(self, message):
        assert isinstance(message, RequestServed)
        self.served += 1


REFUSALS = st.tuples(
    st.just("refuse"),
    st.sampled_from([one for one in ResultCode if one.number < 4000]),
    st.sampled_from(list(RunState)),
)
STEPS = st.lists(
    st.one_of(
        REFUSALS,
        st.tuples(st.just("broken"), st.booleans(), st.none()),
        st.tuples(st.just("time"), st.sampled_from([0.1, 1.0, 4.0, 31.0]), st.none()),
        st.tuples(st.just("tokens"), st.integers(0, 4), st.integers(1, 3)),
        st.tuples(st.just("gap"), st.none(), st.none()),
        st.tuples(st.just("late"), st.none(), st.none()),
        st.tuples(st.just("finish"), st.none(), st.none()),
        st.tuples(st.just("routes"), st.booleans(), st.none()),
        st.tuples(st.just("abandon"), st.none(), st.none()),
    ),
    max_size=25,
)
WORKS = st.sampled_from(["completion", "booking", "keyed booking"])


class Harness:
    """One request with everything around it scripted."""

    def __init__(self, kind):
        self.clock = VirtualClock()
        core = CoreSettings(role=Role.ENTRY, instance="x", data_centre="d", plugins=("none",))
        rng = random.Random(1)
        env = Environment(
            settings=Settings(core=core, sections={}), clock=self.clock, random=rng, log=QuietLog()
        )
        work = Call(service="s", method="POST", path="/", body=b"")
        if kind == "completion":
            work = Completion("m", (Message("user", "x"),), prompt_tokens=1, max_tokens=5)
        key = "k" if kind == "keyed booking" else None
        self.request = Request("r", "w", Rank.URGENT, DEADLINE, work, idempotency_key=key)
        self.directory, self.dispatcher = ScriptedDirectory(), ScriptedDispatcher()
        self.sink = Inbox()
        self.seqs = {}
        self.told_not_run = set()  # attempts that truthfully were not run
        serve = ServeRequest(request=self.request, sink=self.sink)
        self.task = RequestTask(env, self.directory, self.dispatcher, serve)
        self.task.start()

    def step(self, kind, first, second):
        if kind == "time":
            self.clock.run_until(self.clock.now + first)
        elif kind == "routes":
            self.directory.routes = first
        elif kind == "abandon":
            self.task.send(CancelRequest("r"))
        elif self.directory.submitted:
            self.answer(self.directory.submitted[-1].attempt.number, kind, first, second)

    def answer(self, number, kind, first, second):
        not_run = (kind == "refuse" and second is RunState.NO) or (kind == "broken" and not first)
        if not_run and number in self.directory.open:
            self.told_not_run.add(number)
        if kind == "refuse":
            self.part(number, Refusal(first, "scripted", second, retry_after=1.0))
        elif kind == "broken":
            self.task.send(AttemptBroken("r", number, may_have_arrived=first, reason="scripted"))
        elif kind == "tokens":
            if isinstance(self.request.work, Completion):
                self.part(number, Tokens(first, TEXTS[first : first + second]))
        elif kind == "gap":
            self.seqs[number] = self.seqs.get(number, 0) + 1
            self.part(number, Waiting())
        elif kind == "late":
            self.part(max(1, number - 1), Waiting())
        else:
            self.finish(number)

    def finish(self, number):
        if isinstance(self.request.work, Completion):
            self.part(number, End("stop", 1, 5))
        else:
            self.part(number, Answer(201, (), b""))

    def part(self, number, body):
        seq = self.seqs.get(number, 0)
        self.seqs[number] = seq + 1
        self.task.send(Part("r", number, seq, body))


class RequestTaskTest(TestCase):
    """Guards against requests that hang, end twice or lie about what ran."""

    def test_claim_in_progress_is_asked_until_its_outcome(self):
        """Guards against a keyed call given up, or charged, while another agent runs it."""
        run = Harness("keyed booking")
        for _ in range(10):
            run.step("refuse", ResultCode.IN_PROGRESS, RunState.UNKNOWN)
            run.step("time", 2.1, None)
        run.step("finish", None, None)
        (part,) = drain(run.sink)
        self.assertThat(part.body.status, Equals(201))
        self.assertThat(run.dispatcher.retries, Equals(3))
        self.assertThat({one.attempt.endpoint for one in run.directory.submitted}, Equals({"e1"}))
        run.task.stop()

    @settings(max_examples=500, deadline=None, derandomize=True)
    @given(WORKS, STEPS)
    def test_exactly_one_truthful_last_part(self, kind, steps):
        """Guards against two last parts, none at the deadline, and a false "not run"."""
        run = Harness(kind)
        for step in steps:
            run.step(*step)
        run.clock.run_until(DEADLINE + 1)
        parts = drain(run.sink)
        self.assertThat([one.last for one in parts].count(True), Equals(1))
        self.assertThat(parts[-1].last, Is(True))
        self.assertThat(run.dispatcher.served, Equals(1))
        self.assertThat(run.directory.open, HasLength(0))
        sent = {one.attempt.number for one in run.directory.submitted}
        last = parts[-1].body
        if isinstance(last, Refusal) and last.run is RunState.NO:
            self.assertThat(sent - run.told_not_run, Equals(set()))
        if kind == "booking":
            self.assertThat(len(sent - run.told_not_run) <= 1, Is(True))
        text = [one for part in parts if isinstance(part.body, Tokens) for one in part.body.texts]
        self.assertThat(text, Equals(list(TEXTS[: len(text)])))
        run.task.stop()
        self.assertThat(run.clock.getDelayedCalls(), HasLength(0))
