"""Test of the configuration commands against a running entry."""

import json
import subprocess
import sys
from pathlib import Path
from tempfile import TemporaryDirectory

from testtools import TestCase
from testtools.matchers import Contains, Equals

from chivewall.exits import ExitStatus
from tests.utils.daemons import embedded_site


class CliConfigTest(TestCase):
    """Guards against wrong exit statuses and missing reasons, on which scripts rely."""

    def run_command(self, *arguments):
        command = [sys.executable, "-m", "chivewall.cli", "--address", self.base, *arguments]
        return subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)

    def test_stale_and_unreadable_documents_are_refused(self):
        """Guards against a stale or unreadable document that is applied or reported as such."""
        folder = Path(self.enterContext(TemporaryDirectory()))
        self.base = self.enterContext(embedded_site(folder))
        document = json.loads(self.run_command("config", "show").stdout)
        file = folder / "new.json"
        file.write_text(json.dumps({**document, "version": 2, "reason": "vote"}))
        self.assertThat(self.run_command("config", "diff", str(file)).stdout, Contains('-> "vote"'))
        applied = self.run_command("config", "apply", str(file), "--json")
        self.assertThat(json.loads(applied.stdout), Equals({"version": 2}))
        file.write_text(json.dumps({**document, "version": 2, "reason": "late"}))
        late = self.run_command("config", "apply", str(file))
        self.assertThat(late.returncode, Equals(ExitStatus.CONFLICT))
        self.assertThat(late.stderr, Contains('"vote" -> "late"'))
        file.write_text("{")
        broken = self.run_command("config", "check", str(file))
        self.assertThat(broken.returncode, Equals(ExitStatus.INVALID_SETTINGS))
        self.assertThat(broken.stderr, Contains("chivewall config check"))
        self.assertThat(self.run_command("exceptions", "list").stdout, Contains("no exceptions"))
