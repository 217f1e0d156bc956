"""Faults of separate processes over loopback TCP: kills, pauses and silent connections."""

import signal
import threading
from pathlib import Path
from tempfile import TemporaryDirectory

import httpx
import openai
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, HasLength

from tests.utils.relays import TcpRelay
from tests.utils.sites import MESSAGES, MODEL, ProcessSite, wait_until

STREAM_TOKENS = 100  # 2 s at the engine's 20 ms per token
PAUSED_STREAM_TOKENS = 300  # 6 s, longer than the 3 s after which an agent counts as silent
TOKENS_BEFORE_FAULT = 5
LEASE_SECONDS = 2.0
CALL_SECONDS = 1.5  # duration of the booking that is interrupted


class FaultCase(TestCase):
    """Base of the tests that each start a site of processes."""

    def start_site(self, **options):
        site = ProcessSite(folder=Path(self.enterContext(TemporaryDirectory())))
        self.addCleanup(site.stop)
        return site.start(**options)

    def complete_chat(self, site, tokens, *, stream):
        client = openai.OpenAI(base_url=f"{site.base_url()}/v1", api_key="unused", max_retries=0)
        return client.chat.completions.create(
            model=MODEL, messages=MESSAGES, max_tokens=tokens, stream=stream
        )

    def stream_through(self, site, tokens, fault):
        """Return the texts of a stream during which ``fault(endpoint)`` is called."""
        chunks = iter(self.complete_chat(site, tokens, stream=True))
        seen = [next(chunks) for _ in range(TOKENS_BEFORE_FAULT)]
        fault(site.entry.wait_for_event("ROUTE_CHOSEN")["endpoint"])
        seen += list(chunks)
        return [one.choices[0].delta.content for one in seen if one.choices[0].delta.content]

    def assert_complete(self, site, texts):
        """Check that the streamed texts equal the response that isn't streamed."""
        whole = self.complete_chat(site, len(texts), stream=False).choices[0].message.content
        self.assertThat("".join(texts), Equals(whole))

    def assert_resumed(self, site, first):
        """Check that another engine resumed after the delivered tokens."""
        routes = site.entry.events("ROUTE_CHOSEN")
        request = routes[0]["request"]
        second = [one["endpoint"] for one in routes if one["request"] == request][1]
        self.assertThat(second != first, Equals(True))
        started = site.get_runs(second)["completions"][f"{request}/2"]
        self.assertThat(started, GreaterThan(TOKENS_BEFORE_FAULT - 1))


class AgentFaultTest(FaultCase):
    """Guards against a response that is lost, repeated or incomplete when an agent fails."""

    def test_killed_agent(self):
        """Guards against a stream that ends or starts again when its agent is killed."""
        site = self.start_site(engines=2)
        killed = []

        def kill(endpoint):
            site.agents[endpoint].kill()
            killed.append(endpoint)

        texts = self.stream_through(site, STREAM_TOKENS, kill)
        self.assertThat(texts, HasLength(STREAM_TOKENS))
        self.assert_resumed(site, killed[0])
        self.assert_complete(site, texts)

    def test_paused_agent(self):
        """Guards against a stream that hangs on a paused agent, or repeats tokens afterwards."""
        site = self.start_site(engines=2)
        paused = []

        def pause(endpoint):
            site.agents[endpoint].send_signal(signal.SIGSTOP)
            paused.append(endpoint)
            resume = threading.Thread(target=resume_when_replaced, args=(endpoint,), daemon=True)
            resume.start()
            self.addCleanup(resume.join)

        def resume_when_replaced(endpoint):
            wait_until(lambda: len(site.entry.events("ROUTE_CHOSEN")) > 1, "a second route")
            site.agents[endpoint].send_signal(signal.SIGCONT)

        texts = self.stream_through(site, PAUSED_STREAM_TOKENS, pause)
        self.assertThat(texts, HasLength(PAUSED_STREAM_TOKENS))
        self.assert_resumed(site, paused[0])
        site.wait_live("entry-1", paused)
        self.assert_complete(site, texts)

    def test_silent_connection(self):
        """Guards against a connection that is reused after it went silent for good."""
        site = ProcessSite(folder=Path(self.enterContext(TemporaryDirectory())))
        self.addCleanup(site.stop)
        names = ("engine-1", "engine-2")
        relays = {name: TcpRelay(port=site.port(f"gate {name}")) for name in names}
        for relay in relays.values():
            self.addCleanup(relay.stop)
        site.start(engines=2, agent_ports={name: one.start() for name, one in relays.items()})
        silenced = []

        def silence(endpoint):
            relays[endpoint].silence()
            silenced.append(endpoint)

        texts = self.stream_through(site, STREAM_TOKENS, silence)
        self.assertThat(texts, HasLength(STREAM_TOKENS))
        self.assert_resumed(site, silenced[0])
        site.wait_live("entry-1", silenced)
        relay = relays[silenced[0]]
        self.assertThat(relay.accepted_count, GreaterThan(relay.silenced_count))
        self.assert_complete(site, texts)


class BookingFaultTest(FaultCase):
    """Guards against a booking that runs twice or whose run state is reported wrongly."""

    def test_killed_agent_of_a_running_booking(self):
        """Guards against a second run of a booking whose agent was killed while it ran."""
        site = self.start_site(call_seconds=CALL_SECONDS)
        responses = []
        caller = threading.Thread(target=lambda: responses.append(site.book("k")), daemon=True)
        caller.start()
        wait_until(lambda: site.get_runs("booking-1"), "the booking runs")
        site.agents["booking-1"].kill()
        replacement = site.start_agent("booking-1", "service", log="booking-1-agent-2")
        replacement.wait_for_event("STARTED")
        caller.join()
        wait_until(lambda: site.get_states()["booking-1"] == "live", "the replacement is live")
        for response in (*responses, site.book("k")):
            self.assertThat(response.json()["error"]["run"], Equals("unknown"), response.text)
        self.assertThat(site.get_runs("booking-1"), Equals({"shift for k": 1}))

    def test_platform_down(self):
        """Guards against bookings without a claim, and completions refused, during an outage."""
        site = self.start_site()
        site.platform.kill()
        refused = site.book("early")
        self.assertThat(refused.json()["error"]["run"], Equals("no"), refused.text)
        self.assertThat(site.get_runs("booking-1"), Equals({}))
        self.assertThat(
            self.complete_chat(site, 5, stream=False).usage.completion_tokens, Equals(5)
        )
        site.platform.start()
        site.wait_standins(["platform"])
        wait_until(lambda: site.book("late").status_code == 201, "a booking after the outage")
        self.assertThat(site.get_runs("booking-1"), Equals({"shift for late": 1}))


class LeaseFaultTest(FaultCase):
    """Guards against a lease holder that acts after its lease has passed to another."""

    def test_paused_holder(self):
        """Guards against a paused lease holder that writes over its successor's plan."""
        site = ProcessSite(folder=Path(self.enterContext(TemporaryDirectory())))
        self.addCleanup(site.stop)
        site.start(planner={"lease_seconds": LEASE_SECONDS})
        wait_until(lambda: site.get_plan().is_success, "a first holder")
        other = site.start_entry("entry-2", planner={"lease_seconds": LEASE_SECONDS})
        site.wait_live("entry-2", ["engine-1"])
        before = site.get_plan()
        self.assertThat(before.json()["holder_name"], Equals("entry-1"))
        site.entry.send_signal(signal.SIGSTOP)
        wait_until(lambda: site.get_plan().json()["holder_name"] == "entry-2", "a takeover")
        other.wait_for_event("LEASE_TAKEN")
        after = site.get_plan()
        self.assertThat(after.json()["fence"], GreaterThan(before.json()["fence"]))
        site.entry.send_signal(signal.SIGCONT)
        # The renewal that the old holder would send, with the version it has seen.
        renewal = httpx.put(
            f"{site.base_url('platform')}/objects/plan/Mombasa",
            content=before.content,
            headers={"If-Match": before.headers["ETag"]},
        )
        self.assertThat(renewal.status_code, Equals(412))
        site.entry.wait_for_event("LEASE_LOST", to="entry-2")
        version = int(after.headers["ETag"])
        wait_until(
            lambda: int(site.get_plan().headers["ETag"]) > version + 2, "renewals by entry-2"
        )
        kept = site.get_plan().json()
        self.assertThat(kept["holder_name"], Equals("entry-2"))
        self.assertThat(kept["fence"], Equals(after.json()["fence"]))


class EndpointLockFaultTest(FaultCase):
    """Guards against two agents that act for one endpoint at the same time."""

    def test_second_agent_waits_for_the_endpoint_lock(self):
        """Guards against a second agent that serves beside the first or never takes over."""
        site = self.start_site()
        second = site.start_agent("engine-1", "engine", log="engine-1-agent-2")
        second.wait_for_event("SLOT_TAKEN")
        third = site.start_agent("engine-1", "engine", log="engine-1-agent-3")
        third.wait_for_event("SLOT_TAKEN")
        third.send_signal(signal.SIGTERM)
        self.assertThat(third.wait(), Equals(0), third.log.read_text())
        self.assertThat(third.events("TASK_FAILED"), Equals([]))
        self.assertThat(
            self.complete_chat(site, 5, stream=False).usage.completion_tokens, Equals(5)
        )
        self.assertThat(second.events("WORK_STARTED"), Equals([]))
        site.agents["engine-1"].kill()
        wait_until(
            lambda: (
                httpx.post(
                    f"{site.base_url()}/v1/chat/completions",
                    json={"model": MODEL, "messages": MESSAGES, "max_tokens": 5},
                ).is_success
            ),
            "an answer by the second agent",
        )
        self.assertThat(second.events("WORK_STARTED"), HasLength(1))
