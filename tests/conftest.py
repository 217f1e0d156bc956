"""Settings of hypothesis, and the logs of failed tests.

The test command draws the same examples on every machine.
"""

import pytest
from hypothesis import settings

# A deadline by the wall clock fails on a busy machine, and a database of earlier failures would
# make the verdict depend on the working copy.
settings.register_profile("repeatable", derandomize=True, deadline=None, database=None)
# Fresh examples for ``make fuzz``, which prints the seed.
settings.register_profile("fuzz", max_examples=1000, deadline=None, database=None, print_blob=True)
settings.load_profile("repeatable")


SHOWN_LOG_LINES = 80  # of each process of a failed test


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item, call):  # noqa: ARG001 - pytest passes them by name
    """Show the logs of the processes of a failed test, whose folder is soon deleted."""
    report = yield
    folder = getattr(item, "funcargs", {}).get("tmp_path")
    if report.when == "call" and report.failed and folder is not None:
        for path in sorted(folder.rglob("*.log")):
            lines = path.read_text(errors="replace").splitlines()[-SHOWN_LOG_LINES:]
            report.sections.append((path.name, "\n".join(lines)))
    return report
