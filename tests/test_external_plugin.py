"""Tests of the example in CONTRIBUTING.md, run as an external plug-in."""

import json
import re
import sys
from io import StringIO
from pathlib import Path
from tempfile import TemporaryDirectory

import treq
from testtools import TestCase
from testtools.matchers import Contains, Equals
from twisted.internet import reactor

from chivewall.environment import Environment
from chivewall.errors import SettingsError
from chivewall.events import Event
from chivewall.kernel import Application
from chivewall.plugins.builtin.http_api import HttpApiPlugin
from chivewall.settings import parse
from tests.utils.reactors import run_on_reactor

PAGE = Path(__file__).resolve().parent.parent / "CONTRIBUTING.md"


class ExternalPluginTest(TestCase):
    """Guards against an example that no longer fits the plug-in interface."""

    def setUp(self):
        super().setUp()
        text = PAGE.read_text()
        self.code = re.search(r"```python\n(.*?)```", text, re.DOTALL)[1]
        self.settings = re.search(r"```json\n(.*?)```", text, re.DOTALL)[1]
        folder = Path(self.enterContext(TemporaryDirectory()))
        package = folder / "our_plugins"
        package.mkdir()
        (package / "__init__.py").touch()
        (package / "workspace_counter.py").write_text(self.code)
        sys.path.insert(0, str(folder))
        self.addCleanup(sys.path.remove, str(folder))
        self.addCleanup(sys.modules.pop, "our_plugins.workspace_counter", None)
        self.addCleanup(sys.modules.pop, "our_plugins", None)

    def build_application(self, text):
        env = Environment.build(parse(text), reactor, stdout=StringIO(), stderr=StringIO())
        return Application(env)

    def test_example_runs(self):
        """Guards against an example that can't be loaded or counts nothing."""

        async def scenario():
            app = self.build_application(self.settings)
            await app.start()
            try:
                for workspace in ("crew", "desk", "crew"):
                    app.env.log.emit(Event.REQUEST_ENDED, workspace=workspace)
                port = app.find(HttpApiPlugin).port
                response = await treq.get(f"http://127.0.0.1:{port}/workspaces", persistent=False)
                return await treq.json_content(response)
            finally:
                await app.stop()

        self.assertThat(run_on_reactor(scenario()), Equals({"crew": 2, "desk": 1}))

    def test_section_of_an_external_plugin_is_checked(self):
        """Guards against wrong values and misspelled keys that pass unnoticed."""
        raw = json.loads(self.settings)
        raw["workspace_counter"] = {"workspaces": 0, "workplaces": 3}
        error = self.assertRaises(SettingsError, self.build_application(json.dumps(raw)).check)
        for part in ("workspace_counter.workspaces = 0", "workspace_counter.workplaces"):
            self.assertThat(str(error), Contains(part))
