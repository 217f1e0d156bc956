"""The whole path over real sockets: caller, entry, agent, endpoint and back."""

import json
from pathlib import Path
from tempfile import TemporaryDirectory

import httpx
import openai
from testtools import TestCase
from testtools.matchers import Contains, Equals, HasLength

from tests.utils.daemons import embedded_site

MODEL = "rota-assistant"
MESSAGES = [{"role": "user", "content": "Who guards tower 4?"}]


class WholePathTest(TestCase):
    """Tests that share one embedded site."""

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        folder = cls.enterClassContext(TemporaryDirectory())
        cls.base = cls.enterClassContext(embedded_site(Path(folder)))

    def post(self, body, **headers):
        content = body if isinstance(body, bytes) else json.dumps(body).encode()
        return httpx.post(f"{self.base}/v1/chat/completions", content=content, headers=headers)

    def client(self):
        return openai.OpenAI(base_url=f"{self.base}/v1", api_key="unused", max_retries=0)

    def test_public_client_lists_models(self):
        """Guards against a list of models that the public client can't read."""
        names = [one.id for one in self.client().models.list()]
        self.assertThat(names, Contains(MODEL))

    def test_public_client_completes(self):
        """Guards against a completion that the public client can't read."""
        response = self.client().chat.completions.create(
            model=MODEL, messages=MESSAGES, max_tokens=7
        )
        self.assertThat(response.choices[0].message.content.split(), HasLength(7))
        self.assertThat(response.usage.completion_tokens, Equals(7))
        self.assertThat(response.choices[0].finish_reason, Equals("stop"))

    def test_public_client_streams_the_same_response(self):
        """Guards against tokens lost, repeated or reordered on the way."""
        whole = self.client().chat.completions.create(model=MODEL, messages=MESSAGES, max_tokens=9)
        stream = self.client().chat.completions.create(
            model=MODEL,
            messages=MESSAGES,
            max_tokens=9,
            stream=True,
            stream_options={"include_usage": True},
        )
        chunks = list(stream)
        text = "".join(one.choices[0].delta.content or "" for one in chunks if one.choices)
        self.assertThat(text, Equals(whole.choices[0].message.content))
        self.assertThat(chunks[-1].usage.completion_tokens, Equals(9))

    def assert_error(self, response, status, name):
        """Check for an error response that says the request was not run."""
        self.assertThat(response.status_code, Equals(status))
        error = response.json()["error"]
        self.assertThat(error["name"], Equals(name))
        self.assertThat(error["run"], Equals("no"))

    def test_unknown_model_is_refused(self):
        """Guards against a request for an unknown model that waits or gets another error."""
        response = self.post({"model": "absent", "messages": MESSAGES})
        self.assert_error(response, 404, "UNKNOWN_MODEL")

    def test_bad_json_is_refused(self):
        """Guards against a body that is not JSON and causes an internal error."""
        self.assert_error(self.post(b"{"), 400, "BAD_JSON")

    def test_wrong_type_in_json_is_named(self):
        """Guards against a field of the wrong type that the error doesn't name."""
        response = self.post({"model": MODEL, "messages": MESSAGES, "max_tokens": "many"})
        self.assert_error(response, 400, "BAD_JSON")
        self.assertThat(response.json()["error"]["message"], Contains("max_tokens"))

    def test_unknown_rank_is_refused(self):
        """Guards against an unknown rank that is served as another one."""
        response = self.post({"model": MODEL, "messages": MESSAGES}, **{"X-Rank": "royal"})
        self.assert_error(response, 400, "UNKNOWN_RANK")

    def test_passed_deadline_is_refused(self):
        """Guards against work for a request whose deadline has passed."""
        response = self.post({"model": MODEL, "messages": MESSAGES}, **{"X-Deadline-Ms": "0"})
        self.assert_error(response, 408, "DEADLINE_PASSED")

    def test_body_over_the_limit_is_refused(self):
        """Guards against bodies that are buffered without a bound."""
        self.assert_error(self.post(b" " * 8_000_001), 413, "BODY_TOO_LARGE")

    def test_unknown_service_is_refused(self):
        """Guards against a call of an unknown service that waits or gets another error."""
        response = httpx.get(f"{self.base}/services/absent/x")
        self.assert_error(response, 404, "UNKNOWN_SERVICE")

    def test_plain_service_takes_any_method(self):
        """Guards against methods that don't reach a plain service."""
        for method in ("GET", "POST", "PUT", "DELETE"):
            response = httpx.request(method, f"{self.base}/services/shift-booking/shifts?day=1")
            self.assertThat(response.is_success, Equals(True), f"{method}: {response.text}")
