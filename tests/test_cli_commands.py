"""Tests of the command-line tool: help, waits, exceptions, status, interrupts, completion."""

import json
import os
import re
import signal
import socket
import subprocess
import sys
import threading
from http.server import BaseHTTPRequestHandler, HTTPServer
from pathlib import Path
from tempfile import TemporaryDirectory

import click
from click.testing import CliRunner
from testtools import TestCase
from testtools.matchers import Contains, EndsWith, Equals, Not

from chivewall.cli.root import main
from chivewall.cli.status import format_status
from chivewall.exits import ExitStatus
from tests.utils.daemons import embedded_site, free_port

LAGGING_ENDPOINT = {
    "endpoint": "engine-9",
    "data_centre": "Diani",
    "state": "suspect",
    "version": 1,
}
ACCEPTED = {"version": 2}
PARTLY_IN_FORCE = {
    "version": 2,
    "in_force": False,
    "entry": {"name": "entry-1", "in_force": True},
    "data_centres": [{"name": "Diani", "version": 1}],
    "lagging": [LAGGING_ENDPOINT],
}


def run_command(base, *arguments, env=None):
    command = [sys.executable, "-m", "chivewall.cli", "--address", base, *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=30, check=False, env=env)


# Restores the default SIGINT handler before the command runs: a child process inherits an
# ignored SIGINT, for example if a background job of a script started the tests.
INTERRUPTIBLE_CLI = """
import signal
signal.signal(signal.SIGINT, signal.default_int_handler)
from chivewall.cli import main
main()
"""


class ScriptedEntry(BaseHTTPRequestHandler):
    """Stand-in for an entry that accepts a change which one endpoint never gets."""

    def do_PUT(self):
        self._answer(ACCEPTED)

    def do_GET(self):
        self._answer(PARTLY_IN_FORCE)

    def log_message(self, *arguments):
        pass

    def _answer(self, value):
        self.send_response(200)
        self.end_headers()
        self.wfile.write(json.dumps(value).encode())


class CommandTest(TestCase):
    """Guards against exit statuses, output and help that users and scripts can't rely on."""

    def all_commands(self, command=main, path=()):
        yield path, command
        for name, child in getattr(command, "commands", {}).items():
            yield from self.all_commands(child, (*path, name))

    def test_every_command_has_complete_help(self):
        """Guards against commands without an example or --json, and help without full sentences."""
        for path, command in self.all_commands():
            self.assertThat(command.help, Contains("Example: chivewall"), path)
            self.assertThat(command.help.partition("\n")[0], EndsWith("."), path)
            names = [name for one in command.params for name in one.opts]
            if not isinstance(command, click.Group):
                self.assertThat(names, Contains("--json"), path)
            for one in command.params:
                if isinstance(one, click.Option):
                    self.assertTrue(one.help and one.help.endswith("."), (path, one.name))

    def test_wait_says_where_a_change_is_not_in_force(self):
        """Guards against a timeout that doesn't name the endpoints without the change."""
        server = HTTPServer(("127.0.0.1", 0), ScriptedEntry)
        thread = threading.Thread(target=server.serve_forever)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)
        base = f"http://127.0.0.1:{server.server_port}"
        file = Path(self.enterContext(TemporaryDirectory())) / "new.json"
        file.write_text("{}")
        waited = run_command(base, "config", "apply", str(file), "--wait", "--timeout", "0.2")
        self.assertThat(waited.returncode, Equals(ExitStatus.NOT_IN_FORCE))
        self.assertThat(waited.stderr, Contains("engine-9 in Diani: suspect, version 1"))
        self.assertThat(waited.stderr, Contains("Next: chivewall status"))
        waited = run_command(
            base, "config", "apply", str(file), "--wait", "--timeout", "0", "--json"
        )
        self.assertThat(waited.returncode, Equals(ExitStatus.NOT_IN_FORCE))
        self.assertThat(json.loads(waited.stdout)["lagging"], Equals([LAGGING_ENDPOINT]))
        self.assertThat(run_command(base, "config", "apply", str(file)).returncode, Equals(0))

    def test_exceptions_are_added_listed_and_removed(self):
        """Guards against wrong exit statuses and views while exceptions are added and removed."""
        folder = Path(self.enterContext(TemporaryDirectory()))
        base = self.enterContext(embedded_site(folder))
        fields = ["--value", "5", "--reason", "vote é", "--author", "Aïcha", "--expires", "7d"]
        add = ["exceptions", "add", "x", "--limit", "output_tokens", *fields]
        added = run_command(base, *add, "--rank", "urgent", "--wait", "--json")
        self.assertThat(added.returncode, Equals(0), added.stderr)
        self.assertThat(json.loads(added.stdout)["in_force"], Equals(True))
        again = run_command(base, *add)
        self.assertThat(again.returncode, Equals(ExitStatus.INVALID_SETTINGS))
        self.assertThat(again.stderr, Contains("Next: "))
        listed = run_command(base, "exceptions", "list").stdout
        self.assertThat(listed, Contains("vote é"))
        self.assertThat(listed, Contains("urgent"))
        remove = ["exceptions", "remove", "x", "--author", "Aïcha", "--reason", "fin"]
        self.assertThat(run_command(base, *remove).stdout, Equals("version 3 is accepted\n"))
        gone = run_command(base, *remove)
        self.assertThat(gone.stderr, Contains("Next: chivewall exceptions list"))
        self.assertThat(run_command(base, "config", "history").stdout, Contains("3  Aïcha: fin"))
        views = run_command(
            base, "status", "--watch", "--count", "2", "--interval", "0.1", "--json"
        )
        versions = [
            json.loads(one)["configuration"]["version"] for one in views.stdout.split("\n")[:2]
        ]
        self.assertThat(versions, Equals([3, 3]))
        text = run_command(base, "status").stdout
        self.assertThat(text, Not(Contains("\x1b")))  # colour only on a terminal
        for part in ("WITHIN TARGET", "3 live", "Last decisions:", "configuration 3"):
            self.assertThat(text, Contains(part))

    def test_interrupted_command_shows_no_traceback(self):
        """Guards against a traceback, or a missing warning, when a command is interrupted."""
        with socket.create_server(("127.0.0.1", 0)) as silent:
            base = f"http://127.0.0.1:{silent.getsockname()[1]}"
            remove = ["exceptions", "remove", "x", "--author", "a", "--reason", "r"]
            cases = ((["status"], 1, "Aborted!"), (["status", "--watch"], 0, ""))
            for arguments, status, text in (*cases, (remove, 1, "may have been accepted")):
                command = [sys.executable, "-c", INTERRUPTIBLE_CLI, "--address", base, *arguments]
                process = subprocess.Popen(command, stderr=subprocess.PIPE, text=True)
                connection, _ = silent.accept()
                with connection:
                    connection.recv(1)
                    process.send_signal(signal.SIGINT)
                    errors = process.communicate(timeout=20)[1]
                self.assertThat(process.returncode, Equals(status), errors)
                self.assertThat(errors, Contains(text))
                self.assertThat(errors, Not(Contains("Traceback")))

    def test_status_marks_missed_targets_and_suspects(self):
        """Guards against a status that hides missed targets and suspect endpoints on a terminal."""
        rank = {"rank": "urgent", "requests": 4, "p95_ms": 900.0, "target_ms": 340.0}
        names = ("endpoint", "kind", "data_centre", "role", "running", "configuration_version")
        answer = {"entry": "e", "data_centre": "Diani", "configuration": None, "data_centres": []}
        answer |= {"decisions": [], "endpoints": [{**dict.fromkeys(names), "state": "suspect"}]}
        for within, colours in ((0.94, 2), (0.95, 1), (None, 1)):
            lines = format_status({**answer, "ranks": [{**rank, "within": within}]})
            self.assertThat("\n".join(lines).count("\x1b[31m"), Equals(colours))
        fleet = [{**dict.fromkeys(names), "state": "live"}] * 600
        lines = format_status({**answer, "ranks": [], "endpoints": [*answer["endpoints"], *fleet]})
        self.assertThat(lines[-1], Contains("600 live endpoints"))
        self.assertTrue(len(lines) < 20, lines)

    def test_wrong_expiry_is_refused_before_any_call(self):
        """Guards against an exception that is sent with a time nobody meant."""
        for wrong in ("2027-01-31T18:00", "soon", "7y"):
            arguments = ["exceptions", "add", "x", "--limit", "output_tokens", "--value", "5"]
            arguments += ["--reason", "r", "--author", "a", "--expires", wrong]
            result = CliRunner().invoke(main, arguments)
            self.assertThat(result.exit_code, Equals(ExitStatus.USAGE))
            self.assertThat(
                re.sub(r"\s+", " ", result.output), Contains("nor a time with its zone")
            )

    def test_unreachable_entry_has_its_own_exit_status(self):
        """Guards against a connection error without a status of its own and without advice."""
        down = run_command(f"http://127.0.0.1:{free_port()}", "status")
        self.assertThat(down.returncode, Equals(ExitStatus.UNREACHABLE))
        self.assertThat(down.stderr, Contains("Next: chivewall --address"))
        down = run_command(f"http://127.0.0.1:{free_port()}", "status", "--json")
        error = json.loads(down.stderr)["error"]
        self.assertThat(error["name"], Equals("UNREACHABLE"))
        self.assertThat(error["next"], Contains("chivewall --address"))

    def test_shell_completion_lists_commands(self):
        """Guards against a completion script that lists no commands."""
        variables = {"_CHIVEWALL_COMPLETE": "bash_complete", "COMP_CWORD": "2"}
        env = {**os.environ, **variables, "COMP_WORDS": "chivewall config a"}
        command = "from chivewall.cli import main; main(prog_name='chivewall')"
        result = subprocess.run(
            [sys.executable, "-c", command],
            capture_output=True,
            text=True,
            timeout=30,
            check=False,
            env=env,
        )
        self.assertThat(result.stdout, Equals("plain,apply\n"))
