"""Test that the commands of the page "first hour" work and print what the page shows."""

import os
import re
import subprocess
import sys
from pathlib import Path
from tempfile import TemporaryDirectory

from attrs import define, field
from testtools import TestCase
from testtools.matchers import Contains, Equals

from tests.utils.daemons import embedded_site, wait_live

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "operators" / "first-hour.md"
PROMPT = "    $ "
SKIPPED_COMMANDS = ("make ",)  # commands that start the site, which the test starts itself
OMITTED = "[...]"  # stands for lines that the page leaves out
MASKS = (
    (r"\breq-[0-9a-f]{32}\b", "req"),
    (r"\d+(\.\d+)? (ms|s)\b", "TIME"),  # durations vary, also between ms and s
    (r": [a-z ,]+; not chosen", ": REASON; not chosen"),  # candidates are drawn at random
    (r"^\s*TIME ago: .*", "DECISION"),
    (r"\d+(\.\d+)?", "N"),
    (r"\s+", " "),
)


@define
class Step:
    """A command of the page and the output lines shown for it."""

    command: str
    output: list[str] = field(factory=list)


def read_steps(text):
    """Return the commands of the page; a backslash at the end of a line continues a command."""
    steps, inside = [], False
    for line in text.splitlines():
        if line.startswith(PROMPT):
            steps.append(Step(line.removeprefix(PROMPT)))
            inside = True
        elif line and not line.startswith("    "):
            inside = False
        elif inside and steps[-1].command.endswith("\\"):
            steps[-1].command += "\n" + line
        elif inside and line.strip():
            steps[-1].output.append(line.strip())
    return steps


def mask(line):
    for pattern, text in MASKS:
        line = re.sub(pattern, text, line.strip())
    return line


class FirstHourTest(TestCase):
    """Guards against a page whose commands fail or print something else."""

    def test_commands_print_what_the_page_shows(self):
        folder = Path(self.enterContext(TemporaryDirectory()))
        base = self.enterContext(embedded_site(folder))
        wait_live(base)
        tool = folder / ".venv" / "bin" / "chivewall"
        tool.parent.mkdir(parents=True)
        tool.write_text(f'#!/bin/sh\nexec {sys.executable} -m chivewall.cli "$@"\n')
        tool.chmod(0o755)
        env = {**os.environ, "CHIVEWALL_ADDRESS": base, "PYTHONPATH": str(ROOT)}
        steps = [
            one
            for one in read_steps(PAGE.read_text())
            if not one.command.startswith(SKIPPED_COMMANDS)
        ]
        self.assertTrue(len(steps) > 9, steps)
        for step in steps:
            command = step.command.replace("http://127.0.0.1:8080", base)
            result = subprocess.run(
                ["/bin/bash", "-c", command],
                cwd=folder,
                env=env,
                capture_output=True,
                text=True,
                timeout=30,
                check=False,
            )
            self.assertThat(result.returncode, Equals(0), f"{command}\n{result.stderr}")
            printed = [mask(line) for line in result.stdout.splitlines()]
            for line in step.output:
                if line != OMITTED:
                    self.assertThat(printed, Contains(mask(line)), command)
