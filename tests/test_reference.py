"""The reference pages agree with the code."""

import re

from testtools import TestCase
from testtools.matchers import Equals

from chivewall.events import Event
from chivewall.exits import ExitStatus
from chivewall.results import ResultCode
from extras.reference import DOCS, PAGES

HTTP_METHODS = {"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"}


class ReferenceTest(TestCase):
    """Guards against pages that differ from the code."""

    def test_pages_are_current(self):
        """Guards against tables that were not regenerated after a change."""
        for name, page in PAGES.items():
            self.assertThat((DOCS / name).read_text(), Equals(page()), f"run make docs: {name}")

    def test_numbers_are_unique(self):
        """Guards against two events, or two result codes, with the same number."""
        for kind in (Event, ResultCode):
            numbers = [one.number for one in kind]
            self.assertThat(sorted(set(numbers)), Equals(sorted(numbers)))

    def test_glossary_names_exist_in_the_code(self):
        """Guards against a glossary that gives the name of a renamed class."""
        glossary = (DOCS / "glossary.md").read_text()
        sources = "\n".join(
            path.read_text() for path in sorted((DOCS.parent / "chivewall").rglob("*.py"))
        )
        for name in re.findall(r"\| `([A-Za-z_]+)` \|", glossary):
            self.assertTrue(re.search(rf"\b{name}\b", sources), f"{name} is not in the code")

    def test_operator_pages_name_what_exists(self):
        """Guards against operators' pages that give a renamed event, code, status or page."""
        known = {one.name for kind in (Event, ResultCode, ExitStatus) for one in kind}
        known |= {"RUNNING", "CONFIG"}  # column names of the status command
        for page in sorted((DOCS / "operators").glob("*.md")):
            text = page.read_text()
            for name in re.findall(r"`([A-Z]+(?:_[A-Z]+)*)`", text):
                if name not in HTTP_METHODS and not name.startswith("CHIVEWALL_"):
                    self.assertIn(name, known, page.name)
            for link in re.findall(r"\]\(([^)#]+)\)", text):
                self.assertTrue((page.parent / link).exists(), f"{page.name}: {link}")
