"""Tests of requests through real entry and agent tasks while agents and links fail."""

import random

from attrs import evolve
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, HasLength, Is, LessThan

from bench.site import Site, pending_messages
from chivewall.configuration import default_configuration
from chivewall.decisions.membership import MemberState
from chivewall.events import Event
from chivewall.messages import CancelRequest, ConfigurationReceived, LinkFailed
from chivewall.plugins.builtin.configuration import ConfigurationKeeper
from chivewall.plugins.builtin.directory import Directory
from chivewall.plugins.builtin.dispatch import Dispatcher
from chivewall.results import ResultCode, RunState
from chivewall.work import Answer, Call, End, Rank, Refusal, Request
from tests.test_virtual_site import completion, expected_text, text_of


def booking(request_id, deadline, key=None):
    work = Call(service="shift-booking", method="POST", path="/x", body=request_id.encode())
    return Request(
        id=request_id,
        workspace="w",
        rank=Rank.URGENT,
        deadline=deadline,
        work=work,
        idempotency_key=key,
    )


class EntryFaultTest(TestCase):
    """Guards against lost, repeated and false responses, and against leaks."""

    def setUp(self):
        super().setUp()
        self.build_site(seed=1)

    def build_site(self, seed):
        self.site = Site(seed=seed)
        self.events = []
        self.site.log.subscribe(lambda event, fields: self.events.append((event, fields)))
        for index in (1, 2, 3):
            self.site.add_engine(f"engine-{index}", "Mombasa", targets=("m",))
            self.site.add_service(f"booking-{index}", "Mombasa", "shift-booking")
        self.site.add_entry("entry-1", "Mombasa")
        self.site.settle()
        self.directory = self.site.apps["entry-1"].env.require(Directory)
        self.dispatcher = self.site.apps["entry-1"].env.require(Dispatcher)

    def run_for(self, seconds):
        self.site.clock.run_until(self.site.clock.now + seconds)

    def busy_endpoint(self):
        return next(
            name for name, one in self.site.endpoints.items() if getattr(one, "_sinks", None)
        )

    def member_state(self, name):
        return self.directory.fleet.members[name].state

    def sent_to(self, name):
        return [
            fields
            for event, fields in self.events
            if event is Event.ROUTE_CHOSEN and fields["endpoint"] == name
        ]

    def assert_whole(self, request, sink):
        parts = pending_messages(sink)
        self.assertThat(text_of(parts), Equals(expected_text(request)))
        self.assertThat([type(one.body) for one in parts if one.last], Equals([End]))

    def assert_nothing_left(self):
        self.assertThat(self.dispatcher.dispatches, HasLength(0))
        self.assertThat(self.directory.attempt_links, HasLength(0))
        for member in self.directory.fleet.members.values():
            self.assertThat(member.work_in_flight, HasLength(0))
            self.assertThat(member.unreported_work, HasLength(0))
        opened = [link for link in self.site.links.opened if not link.closed]
        self.assertThat(sum(len(link._open_sinks) for link in opened), Equals(0))
        self.assertThat(len(opened), LessThan(len(self.directory.fleet.members) + 1))

    def test_silent_link_is_replaced_and_the_stream_resumes(self):
        """Guards against new attempts on a connection that has gone silent."""
        request = completion("r1", deadline=60, tokens=200)
        sink = self.site.serve("entry-1", request)
        self.run_for(1)
        busy = self.busy_endpoint()
        silent = self.directory.links[busy]
        silent.silent = True
        self.run_for(30)
        self.assert_whole(request, sink)
        self.assertThat(silent.closed, Is(True))
        self.assertIsNot(self.directory.links.get(busy), silent)
        self.assertThat(self.member_state(busy), Equals(MemberState.LIVE))
        self.assert_nothing_left()

    def test_silence_closes_only_the_connection_that_carried_the_attempt(self):
        """Guards against a silent connection kept open until a probe, and its successor closed."""
        self.site.serve("entry-1", completion("r1", deadline=90, tokens=2000))
        self.run_for(1)
        busy = self.busy_endpoint()
        first = self.directory.links[busy]
        silent = LinkFailed(endpoint=busy, reason="no part", attempt_key=("r1", 1))
        self.directory.send(silent)
        self.assertThat(first.closed, Is(True))
        self.run_for(2)
        second = self.directory.links[busy]
        self.directory.attempt_links["r1", 1] = first
        self.directory.send(silent)
        self.assertThat(second.closed, Is(False))

    def test_request_survives_a_partition_in_each_direction(self):
        """Guards against a request that hangs when messages are lost in one direction."""
        for direction in ("requests_cut", "answers_cut"):
            self.build_site(seed=2)
            request = completion("r1", deadline=60, tokens=200)
            sink = self.site.serve("entry-1", request)
            self.run_for(1)
            busy = self.busy_endpoint()
            setattr(self.site.links.faults[busy], direction, True)
            self.run_for(30)
            self.assert_whole(request, sink)
            if direction == "answers_cut":
                self.assertThat(self.member_state(busy), Equals(MemberState.SUSPECT))
            setattr(self.site.links.faults[busy], direction, False)
            self.run_for(20)
            self.assertThat(self.member_state(busy), Equals(MemberState.LIVE))
            self.assert_nothing_left()

    def test_paused_agent_is_readmitted(self):
        """Guards against late parts mixed into the new attempt, and an agent evicted for good."""
        request = completion("r1", deadline=60, tokens=300)
        sink = self.site.serve("entry-1", request)
        self.run_for(1)
        busy = self.busy_endpoint()
        agent = self.site.links.agents[busy]
        handle, held = agent.receive, []

        async def hold(message):
            held.append(message)

        agent.receive = hold
        self.run_for(8)
        self.assertThat(self.member_state(busy), Equals(MemberState.SUSPECT))
        agent.receive = handle
        for message in held:
            agent.send(message)
        self.run_for(30)
        self.assert_whole(request, sink)
        self.assertThat(self.member_state(busy), Equals(MemberState.LIVE))
        self.assert_nothing_left()

    def test_duplicated_submit_doesnt_fail_the_request(self):
        """Guards against the refusal of a duplicated submit taken for the response."""
        for fault in self.site.links.faults.values():
            fault.duplicate = True
        request = completion("r1", deadline=30)
        sink = self.site.serve("entry-1", request)
        call = self.site.serve("entry-1", booking("b1", deadline=30))
        self.run_for(20)
        self.assert_whole(request, sink)
        self.assertThat([type(one.body) for one in pending_messages(call)], Equals([Answer]))
        runs = sum(
            one.runs_by_body[b"b1"]
            for name, one in self.site.endpoints.items()
            if "booking" in name
        )
        self.assertThat(runs, Equals(1))
        self.assert_nothing_left()

    def test_booking_with_a_lost_answer_is_unknown(self):
        """Guards against "not run" for a booking that ran while its answer was lost."""
        for name, fault in self.site.links.faults.items():
            fault.answers_cut = "booking" in name
        sink = self.site.serve("entry-1", booking("b1", deadline=20))
        self.run_for(20)
        (part,) = pending_messages(sink)
        self.assertThat(part.body.run, Equals(RunState.UNKNOWN))
        self.assert_nothing_left()

    def test_leaving_endpoint_gets_no_new_work_after_3_seconds(self):
        """Guards against new work for an agent that drains."""
        self.site.links.agents["engine-1"].draining = True
        self.run_for(3)
        before = len(self.sent_to("engine-1"))
        for number in range(30):
            self.site.serve("entry-1", completion(f"r{number}", deadline=60))
        self.run_for(30)
        self.assertThat(len(self.sent_to("engine-1")), Equals(before))
        self.assertThat(self.member_state("engine-1"), Equals(MemberState.LEAVING))

    def test_caller_that_hangs_up_frees_the_engine(self):
        """Guards against an engine that generates tokens for a caller that has gone."""
        sink = self.site.serve("entry-1", completion("r1", deadline=90, tokens=2000))
        self.run_for(1)
        busy = self.site.endpoints[self.busy_endpoint()]
        self.dispatcher.send(CancelRequest("r1"))
        self.run_for(1)
        self.assertThat(busy._sinks, HasLength(0))
        self.assertThat(busy.engine.batch, HasLength(0))
        parts = pending_messages(sink)
        self.assertThat([one.last for one in parts].count(True), Equals(1))
        self.assertThat(parts[-1].body.code, Equals(ResultCode.CANCELLED))
        self.assert_nothing_left()

    def test_stop_ends_requests_truthfully(self):
        """Guards against callers left without a response, or a false one, when the entry stops."""
        for fault in self.site.links.faults.values():
            fault.requests_cut = True
        sinks = [self.site.serve("entry-1", booking(f"b{n}", deadline=90)) for n in range(3)]
        self.run_for(1)
        self.dispatcher.stop()
        for sink in sinks:
            (part,) = pending_messages(sink)
            self.assertThat(part.body.run, Equals(RunState.UNKNOWN))
        self.assertThat(self.directory.attempt_links, HasLength(0))

    def test_timers_of_finished_requests_are_gone(self):
        """Guards against timers that pile up with the number of requests."""
        before = len(self.site.clock.getDelayedCalls())
        for number in range(100):
            self.site.serve("entry-1", completion(f"r{number}", deadline=400, tokens=4))
        self.run_for(300)
        self.assert_nothing_left()
        self.assertThat(len(self.site.clock.getDelayedCalls()), LessThan(before + 20))

    def test_newer_configuration_reaches_the_entry_and_the_agents(self):
        """Guards against an old version kept by a process without the object API."""
        newer = evolve(default_configuration(), version=7)
        source = self.site.links.keepers["engine-1"]
        source.send(ConfigurationReceived(newer, origin="test"))
        self.run_for(13)
        keepers = [self.site.apps["entry-1"].env.require(ConfigurationKeeper)]
        keepers += self.site.links.keepers.values()
        self.assertThat({one.current.version for one in keepers}, Equals({7}))
        documents = sum(link.exchange_count for link in self.site.links.opened)
        self.run_for(60)
        self.assertThat(
            sum(link.exchange_count for link in self.site.links.opened), Equals(documents)
        )
        self.assertThat(documents, LessThan(2 * len(keepers)))

    def test_patient_work_refused_with_retry_after_completes(self):
        """Guards against patient work that fails because agents refuse it with Retry-After."""
        free_at = self.site.clock.now + 60
        refusals = []

        def refuse(attempt):
            if self.site.clock.now >= free_at:
                return None
            refusals.append(attempt.endpoint)
            return Refusal(ResultCode.QUEUE_FULL, "full", RunState.NO, retry_after=5.0)

        for agent in self.site.links.agents.values():
            agent._check_arrival = refuse
        requests = [evolve(completion(f"p{n}", deadline=400), rank=Rank.PATIENT) for n in range(20)]
        sinks = [self.site.serve("entry-1", one) for one in requests]
        self.run_for(200)
        for request, sink in zip(requests, sinks, strict=True):
            self.assert_whole(request, sink)
        # 60 s of refusals with Retry-After 5 s are 12 rounds; each tries at most 3 endpoints.
        self.assertThat(len(refusals), LessThan(20 * 12 * 3 + 1))
        self.assert_nothing_left()

    def test_random_faults_end_with_exactly_one_truthful_last_part(self):
        """Guards against requests that end without a final part, with two, or with a false one."""
        for seed in range(12):
            self.build_site(seed=seed)
            self.run_random_faults(random.Random(seed), seed)

    def run_random_faults(self, rng, seed):
        sinks = {}
        for number in range(40):
            name = f"b{number}"
            deadline = self.site.clock.now + rng.uniform(1, 15)
            request = booking(name, deadline)
            if number % 2:
                request = completion(name, deadline, tokens=rng.randint(1, 100))
            sinks[name] = (request, self.site.serve("entry-1", request))
            self.inject_random_fault(rng)
            self.run_for(rng.uniform(0, 1))
        self.run_for(20)
        for name, (request, sink) in sinks.items():
            parts = pending_messages(sink)
            context = f"seed {seed}, request {name}"
            self.assertThat([one.last for one in parts].count(True), Equals(1), context)
            self.assertThat(parts[-1].last, Is(True), context)
            self.check_runs(request, parts[-1].body, context)
        self.assert_nothing_left()

    def inject_random_fault(self, rng):
        fault = rng.choice(list(self.site.links.faults.values()))
        kind = rng.choice(["requests_cut", "answers_cut", "duplicate", "silent", "restart", "none"])
        if kind == "silent":
            rng.choice(self.site.links.opened).silent = True
        elif kind == "restart":
            name = rng.choice(list(self.site.links.agents))
            self.site.kill_agent(name)
            self.site.start_agent(name)
        elif kind != "none":
            setattr(fault, kind, True)
            self.site.clock.callLater(rng.uniform(0, 5), setattr, fault, kind, False)

    def check_runs(self, request, last, context):
        if not isinstance(request.work, Call):
            return
        services = [one for name, one in self.site.endpoints.items() if "booking" in name]
        runs = sum(one.runs_by_body[request.work.body] for one in services)
        self.assertThat(runs, LessThan(2), context)
        if isinstance(last, Refusal) and last.run is RunState.NO:
            self.assertThat(runs, Equals(0), context)
        if isinstance(last, Answer):
            self.assertThat(runs, GreaterThan(0), context)
