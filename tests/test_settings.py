"""Settings files: errors name the file, line, key, value and what is allowed."""

from io import StringIO
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Contains, Equals
from twisted.internet.task import Clock

from chivewall.environment import Environment
from chivewall.errors import SettingsError
from chivewall.kernel import Application
from chivewall.plugins.builtin.http_api import HttpApiSettings
from chivewall.settings import Role, load, parse

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
VALID = """
{
  // comments are allowed
  "role": "entry", "instance": "entry-1", "data_centre": "Mombasa",
  "plugins": ["http_api"],
  "http_api": {"port": 8080},
}
"""


class SettingsTest(TestCase):
    """Guards against a start with wrong or only partly checked settings."""

    def error_message(self, text, section=None):
        """Return the error message for settings that must be rejected."""
        exc = self.assertRaises(SettingsError, self.parse_section, text, section)
        return str(exc)

    def parse_section(self, text, section):
        settings = parse(text, source="site.jsonc")
        return settings.section(*section) if section else settings

    def test_comments_and_trailing_commas_are_accepted(self):
        """Guards against comments or trailing commas that make a file unreadable."""
        settings = parse(VALID)
        self.assertThat(settings.core.role, Equals(Role.ENTRY))
        self.assertThat(settings.section("http_api", HttpApiSettings).port, Equals(8080))

    def test_all_problems_are_reported_at_once(self):
        """Guards against a check that reports only the first problem."""
        message = self.error_message(VALID.replace('"entry",', '"king",').replace('"entry-1"', "3"))
        self.assertThat(message, Contains("site.jsonc:4: role = 'king': allowed: one of 'entry'"))
        self.assertThat(message, Contains("site.jsonc:4: instance = 3"))

    def test_unknown_key_is_rejected(self):
        """Guards against a misspelt key that is ignored."""
        message = self.error_message(
            VALID.replace('"port"', '"prot"'), ("http_api", HttpApiSettings)
        )
        self.assertThat(message, Contains("site.jsonc:6: http_api.prot = 8080: unknown key"))

    def test_value_out_of_bounds_is_rejected(self):
        """Guards against a value that fails only when it is used."""
        message = self.error_message(VALID.replace("8080", "99999"), ("http_api", HttpApiSettings))
        self.assertThat(message, Contains("site.jsonc:6: http_api.port = 99999: allowed: int"))

    def test_bool_is_not_accepted_as_a_number(self):
        """Guards against `true` accepted as the number 1."""
        message = self.error_message(VALID.replace("8080", "true"), ("http_api", HttpApiSettings))
        self.assertThat(message, Contains("http_api.port = True"))

    def test_missing_key_is_rejected(self):
        """Guards against a start without a required key."""
        message = self.error_message(VALID.replace('"data_centre": "Mombasa",', ""))
        self.assertThat(message, Contains("data_centre"))
        self.assertThat(message, Contains("required"))

    def test_invalid_json_is_rejected(self):
        """Guards against a file whose syntax error isn't reported as a settings error."""
        self.assertThat(self.error_message("{"), Contains("not JSON with comments"))

    def test_examples_load(self):
        """Guards against examples that no longer fit the plug-ins' settings."""
        examples = sorted(EXAMPLES.rglob("*.jsonc"))
        self.assertTrue(examples)
        for path in examples:
            env = Environment.build(load(path), Clock(), stdout=StringIO(), stderr=StringIO())
            Application(env).check()
