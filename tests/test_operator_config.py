"""The operators' configuration API over real sockets."""

from pathlib import Path
from tempfile import TemporaryDirectory

import httpx
from testtools import TestCase
from testtools.matchers import Contains, Equals

from tests.utils.daemons import embedded_site


class OperatorConfigTest(TestCase):
    """Guards against invalid documents in force and a lost race that overwrites the winner."""

    def test_only_valid_documents_of_the_next_version_are_applied(self):
        """Guards against a late writer that overwrites a version, and invalid documents."""
        folder = Path(self.enterContext(TemporaryDirectory()))
        base = self.enterContext(embedded_site(folder)) + "/operator/config"
        document = httpx.get(base).json()
        winner = {**document, "version": 2, "author": "asha", "reason": "vote 1"}
        self.assertThat(httpx.put(base, json=winner).status_code, Equals(200))
        loser = httpx.put(base, json={**winner, "author": "omar"})
        self.assertThat(loser.status_code, Equals(409))
        self.assertThat(loser.json()["error"]["message"], Contains('"asha" -> "omar"'))
        for wrong in ({**winner, "crown": 1}, {**winner, "ranks": {}}, []):
            response = httpx.post(f"{base}/check", json=wrong)
            self.assertThat(response.status_code, Equals(422), response.text)
            self.assertThat(response.json()["error"]["code"], Equals(4002))
        versions = httpx.get(f"{base}/history").json()["versions"]
        self.assertThat([one["version"] for one in versions], Equals([2, 1]))
        status = httpx.get(base.replace("config", "status")).json()
        self.assertThat(status["configuration"]["version"], Equals(2))
        self.check_exceptions(base.replace("config", "exceptions"))

    def check_exceptions(self, base):
        """Guards against exceptions without a reason or with an expiry in the past."""
        good = {"id": "x1", "limit": "output_tokens", "value": 9, "reason": "vote 2"}
        good |= {"author": "asha", "expires_at": 4e9}
        for wrong in ({**good, "reason": ""}, {**good, "expires_at": 1}, {**good, "limit": "z"}):
            self.assertThat(httpx.post(base, json=wrong).status_code, Equals(422))
        self.assertThat(httpx.post(base, json=good).json(), Equals({"version": 3}))
        self.assertThat(httpx.post(base, json=good).status_code, Equals(422))  # same id
        listed = httpx.get(base).json()["exceptions"]
        self.assertThat([one["id"] for one in listed], Equals(["x1"]))
        headers = {"X-Author": "asha", "X-Reason": "vote 3"}
        removed = httpx.delete(f"{base}/x1", headers=headers)
        self.assertThat(removed.json(), Equals({"version": 4}))
        self.assertThat(httpx.delete(f"{base}/x1", headers=headers).status_code, Equals(404))
