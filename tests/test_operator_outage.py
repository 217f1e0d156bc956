"""Operators' changes at an entry process while the object API fails."""

import json
from pathlib import Path
from tempfile import TemporaryDirectory

import httpx
from testtools import TestCase
from testtools.matchers import Contains, Equals

from chivewall.configuration_changes import MAX_DOCUMENT_BYTES
from tests.utils.daemons import free_port, run_daemon, wait_ready

PLUGINS = ["credentials", "store_http", "http_api", "configuration", "links_grpc", "directory"]
OPERATOR_PLUGINS = ["operator_http", "operator_config"]


class OperatorOutageTest(TestCase):
    """Guards against false responses to operators and an older version after a restart."""

    def setUp(self):
        super().setUp()
        self.folder = Path(self.enterContext(TemporaryDirectory()))
        self.store_port = free_port()
        self.store = f"http://127.0.0.1:{self.store_port}"
        path = self.write_settings("platform", {"port": self.store_port, "instances": []})
        log = self.folder / "platform.log"
        process = self.enterContext(run_daemon(["chivewall.standins.platform", path], log))
        wait_ready(self.store, process, log)

    def write_settings(self, name, settings):
        path = self.folder / f"{name}.jsonc"
        path.write_text(json.dumps(settings))
        return str(path)

    def entry_process(self, name):
        """Return the context of an entry process, its base address and its log."""
        port = free_port()
        settings = {
            "role": "entry",
            "instance": name,
            "data_centre": "Mombasa",
            "plugins": PLUGINS + OPERATOR_PLUGINS,
            "credentials": {"disabled": True},
            "store_http": {"host": "127.0.0.1", "port": self.store_port},
            "http_api": {"port": port},
        }
        log = self.folder / f"{name}.log"
        context = run_daemon(["chivewall", self.write_settings(name, settings)], log)
        return context, f"http://127.0.0.1:{port}", log

    def set_faults(self, **faults):
        httpx.put(f"{self.store}/faults", json=faults)

    def test_responses_and_a_restart_follow_the_stored_version(self):
        """Guards against a stored change reported as failed, and an old version after a restart."""
        context, base, log = self.entry_process("entry-1")
        with context as process:
            wait_ready(base, process, log)
            url = f"{base}/operator/config"
            document = httpx.get(url).json()
            self.set_faults(down=True)
            second = {**document, "version": 2, "reason": "vote 2"}
            down = httpx.put(url, json=second, timeout=20)
            self.assertThat(down.status_code, Equals(503))
            self.assertThat(down.json()["error"]["run"], Equals("no"))
            self.set_faults(lose_responses=1)
            lost = httpx.put(url, json=second, timeout=20)
            self.assertThat(lost.json(), Equals({"version": 2}))
            self.set_faults()
            large = {**second, "version": 3, "reason": "x" * MAX_DOCUMENT_BYTES}
            refused = httpx.put(url, json=large, timeout=20)
            self.assertThat(refused.status_code, Equals(413))
            self.assertThat(refused.json()["error"]["message"], Contains(str(MAX_DOCUMENT_BYTES)))
            versions = httpx.get(f"{url}/history").json()["versions"]
            self.assertThat([one["version"] for one in versions], Equals([2, 1]))
        self.set_faults(down=True)
        context, base, log = self.entry_process("entry-1")
        with context as process:
            self.assertRaises(AssertionError, wait_ready, base, process, log, max_polls=20)
            self.assertThat(httpx.get(f"{base}/readyz").status_code, Equals(503))
            self.set_faults()
            wait_ready(base, process, log)
            status = httpx.get(f"{base}/operator/status").json()
            self.assertThat(status["configuration"]["version"], Equals(2))
