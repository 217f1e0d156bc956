"""A site of separate processes over loopback TCP, from the settings in ``examples/site``."""

import json
import signal
import socket
import subprocess
import sys
from pathlib import Path
from tempfile import TemporaryDirectory

import httpx
import openai
from testtools import TestCase
from testtools.matchers import Contains, Equals, GreaterThan, HasLength, Not

from chivewall.exits import ExitStatus
from tests.utils.sites import EXAMPLES, MESSAGES, MODEL, ProcessSite

RUN_SECONDS = 30
PADDING_BYTES = 10_000_000  # more than the socket buffers of a connection hold
STREAM_TOKENS = 60  # 1.2 s at the engine's 20 ms per token


def new_site(test, **options):
    """Start a site for one test and return it."""
    site = ProcessSite(folder=Path(test.enterContext(TemporaryDirectory())))
    test.addCleanup(site.stop)
    return site.start(**options)


def client(site):
    return openai.OpenAI(base_url=f"{site.base_url()}/v1", api_key="unused", max_retries=0)


def complete_chat(site, tokens, *, stream=False):
    """Return a completion of this many tokens, or the chunks of its stream."""
    return client(site).chat.completions.create(
        model=MODEL, messages=MESSAGES, max_tokens=tokens, stream=stream
    )


def texts(chunks):
    """Return the texts of a stream's chunks."""
    return [one.choices[0].delta.content for one in chunks if one.choices[0].delta.content]


def run_module(*arguments):
    """Run a module as a program and return its ended process."""
    return subprocess.run(
        [sys.executable, "-m", *arguments],
        capture_output=True,
        text=True,
        timeout=RUN_SECONDS,
        check=False,
    )


class ProcessesTest(TestCase):
    """Tests that end no process and share one site."""

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        folder = Path(cls.enterClassContext(TemporaryDirectory()))
        cls.site = ProcessSite(folder=folder)
        cls.addClassCleanup(cls.site.stop)
        cls.site.start()

    def test_stream_has_the_tokens_of_the_full_response(self):
        """Guards against tokens lost, repeated or reordered between processes."""
        whole = complete_chat(self.site, 9)
        self.assertThat(whole.usage.completion_tokens, Equals(9))
        streamed = texts(complete_chat(self.site, 9, stream=True))
        self.assertThat("".join(streamed), Equals(whole.choices[0].message.content))

    def test_repeat_of_a_booking_gets_the_first_outcome(self):
        """Guards against a second run of a keyed call whose claim another process holds."""
        first, again = self.site.book("once"), self.site.book("once")
        self.assertThat(first.status_code, Equals(201))
        self.assertThat((again.status_code, again.json()), Equals((201, first.json())))
        self.assertThat(self.site.get_runs("booking-1")["shift for once"], Equals(1))

    def test_status_needs_the_operator_token(self):
        """Guards against an operator API that answers callers without the token."""
        command = ["chivewall.cli", "--address", self.site.base_url()]
        refused = run_module(*command, "status")
        self.assertThat(refused.returncode, Equals(ExitStatus.UNAUTHENTICATED))
        self.assertThat(refused.stderr, Contains("UNAUTHENTICATED"))
        token = str(self.site.folder / "operator.token")
        shown = run_module(*command, "--token-file", token, "status")
        self.assertThat(shown.returncode, Equals(ExitStatus.OK), shown.stderr)
        self.assertThat(shown.stdout, Contains("engine-1"))

    def test_wrong_peer_token_is_refused(self):
        """Guards against an agent that works for a process without the peer token."""
        (self.site.folder / "wrong.token").write_text("not the token\n")
        credentials = {"peer_token_file": "wrong.token", "operator_token_file": "operator.token"}
        entry = self.site.start_entry("entry-2", credentials=credentials)
        refused = entry.wait_for_event("LINK_BROKEN", endpoint="engine-1")
        self.assertThat(refused["reason"], Contains("peer token"))
        self.assertThat(self.site.get_states("entry-2")["engine-1"], Not(Equals("live")))
        response = httpx.post(
            f"{self.site.base_url('entry-2')}/v1/chat/completions",
            json={"model": MODEL, "messages": MESSAGES},
            headers={"X-Deadline-Ms": "1500"},
            timeout=10,
        )
        self.assertThat(response.json()["error"]["run"], Equals("no"))


class ExamplesTest(TestCase):
    """Guards against example settings that the programs reject."""

    def test_daemon_accepts_the_example_settings(self):
        """Guards against example settings that the daemon rejects."""
        found = list(EXAMPLES.rglob("*.jsonc"))
        self.assertThat(found, HasLength(6))
        for path in found:
            checked = run_module("chivewall", "--check", str(path))
            self.assertThat(checked.returncode, Equals(ExitStatus.OK), checked.stderr)

    def test_standins_accept_the_example_settings(self):
        """Guards against example settings that a stand-in rejects or that nothing checks."""
        found = list(EXAMPLES.glob("site/standins/*.json5"))
        self.assertThat(found, HasLength(3))
        checked = {*found, *EXAMPLES.rglob("*.jsonc"), *EXAMPLES.rglob("*.token")}
        files = {path for path in EXAMPLES.rglob("*") if path.is_file()}
        self.assertThat(files, Equals(checked))
        for path in found:
            program = "platform" if path.stem == "platform" else "endpoint"
            checked = run_module(f"chivewall.standins.{program}", "--check", str(path))
            self.assertThat(checked.returncode, Equals(ExitStatus.OK), checked.stderr)


class ShutdownTest(TestCase):
    """Guards against a shutdown that breaks a request or does not end."""

    def test_entry_finishes_its_stream(self):
        """Guards against a stream cut off by the shutdown of its entry."""
        site = new_site(self)
        chunks = iter(complete_chat(site, STREAM_TOKENS, stream=True))
        seen = [next(chunks), next(chunks)]
        site.entry.send_signal(signal.SIGTERM)
        seen += list(chunks)
        self.assertThat(texts(seen), HasLength(STREAM_TOKENS))
        self.assertThat(site.entry.wait(), Equals(ExitStatus.OK))

    def test_agent_finishes_its_stream(self):
        """Guards against a stream cut off by the shutdown of its agent."""
        site = new_site(self)
        chunks = iter(complete_chat(site, STREAM_TOKENS, stream=True))
        seen = [next(chunks), next(chunks)]
        site.agents["engine-1"].send_signal(signal.SIGTERM)
        seen += list(chunks)
        self.assertThat(texts(seen), HasLength(STREAM_TOKENS))
        self.assertThat(site.agents["engine-1"].wait(), Equals(ExitStatus.OK))
        # The agent itself ended the stream; no other attempt was needed.
        self.assertThat(site.entry.events("ATTEMPT_FAILED"), Equals([]))

    def test_entry_sends_the_rest_of_a_response(self):
        """Guards against an entry that exits while its last response is still in its buffer."""
        site = new_site(self, padding_bytes=PADDING_BYTES)
        caller = self.enterContext(socket.socket())
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.settimeout(RUN_SECONDS)
        caller.connect(("127.0.0.1", site.port("entry-1")))
        caller.sendall(b"GET /services/shift-booking/x HTTP/1.1\r\nHost: entry\r\n\r\n")
        site.entry.wait_for_event("REQUEST_ENDED")
        site.entry.send_signal(signal.SIGTERM)
        site.entry.wait_for_event("DRAINING")
        received = 0
        while data := caller.recv(65536):
            received += len(data)
        self.assertThat(received, GreaterThan(PADDING_BYTES))
        self.assertThat(site.entry.wait(), Equals(ExitStatus.OK))

    def test_interrupt_during_a_shutdown_ends_at_once(self):
        """Guards against a shutdown that an operator can't cut short."""
        site = new_site(self)
        chunks = iter(complete_chat(site, 2000, stream=True))  # 40 s
        next(chunks)
        site.entry.send_signal(signal.SIGTERM)
        site.entry.wait_for_event("DRAINING")
        site.entry.send_signal(signal.SIGINT)
        self.assertThat(site.entry.wait(), Equals(ExitStatus.FORCED))
        self.assertThat(site.entry.events("TASK_FAILED"), Equals([]))

    def test_second_sigterm_cuts_no_stream(self):
        """Guards against a stream cut off because a supervisor sent SIGTERM once more."""
        site = new_site(self)
        chunks = iter(complete_chat(site, STREAM_TOKENS, stream=True))
        seen = [next(chunks)]
        site.entry.send_signal(signal.SIGTERM)
        site.entry.wait_for_event("DRAINING")
        site.entry.send_signal(signal.SIGTERM)
        seen += list(chunks)
        self.assertThat(texts(seen), HasLength(STREAM_TOKENS))
        self.assertThat(site.entry.wait(), Equals(ExitStatus.OK))

    def test_open_idle_connection_delays_no_shutdown(self):
        """Guards against an entry that waits for callers to close their idle connections."""
        site = new_site(self)
        with httpx.Client() as caller:
            caller.get(f"{site.base_url()}/healthz")
            site.entry.send_signal(signal.SIGTERM)
            self.assertThat(site.entry.wait(), Equals(ExitStatus.OK))
        drained, stopped = site.entry.events("DRAINING"), site.entry.events("STOPPED")
        self.assertThat((len(drained), len(stopped)), Equals((1, 1)), json.dumps(stopped))
