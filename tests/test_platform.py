"""The object API stand-in as a process."""

import json
from pathlib import Path
from tempfile import TemporaryDirectory

import httpx
from testtools import TestCase
from testtools.matchers import Equals

from tests.utils.daemons import free_port, run_daemon, wait_ready


class PlatformProcessTest(TestCase):
    """Guards against a settings file whose instances or configuration are not served."""

    def test_instances_and_configuration_of_the_settings_are_served(self):
        """Guards against a stand-in that ignores its settings file or a fault that is set."""
        folder = Path(self.enterContext(TemporaryDirectory()))
        port = free_port()
        one = {"name": "e-1", "kind": "engine", "data_centre": "Malindi", "host": "127.0.0.1"}
        cfg = {"port": port, "instances": [{**one, "port": 9, "targets": ["m"]}]}
        path = folder / "platform.jsonc"
        path.write_text("// a comment\n" + json.dumps(cfg))
        log = folder / "log"
        arguments = ["chivewall.standins.platform", str(path)]
        process = self.enterContext(run_daemon(arguments, log))
        base = f"http://127.0.0.1:{port}"
        wait_ready(base, process, log)
        served = httpx.get(f"{base}/instances").json()["instances"]
        self.assertThat([found["name"] for found in served], Equals(["e-1"]))
        stored = httpx.get(f"{base}/objects/config").json()
        self.assertThat(stored["current"]["version"], Equals(1))
        httpx.put(f"{base}/faults", json={"down": True})
        self.assertRaises(httpx.TransportError, httpx.get, f"{base}/objects/config")
