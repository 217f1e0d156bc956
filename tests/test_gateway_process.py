"""The gateway as a process, with a settings file as the platform writes it."""

import signal
import socket
from pathlib import Path

import httpx
import pytest

from chivewall.standins import platform_endpoint as behaviours
from chivewall.standins.platform_endpoint import PlatformEndpoint
from tests.utils.gateways import GatewaySite, manifest, route
from tests.utils.sites import wait_until

RECOVER_SECONDS = 12  # recoverS of the users' platform
EVENTS = b"".join(b"id: %d\ndata: token %d\n\n" % (one, one) for one in range(1, 6))


@pytest.fixture
def site(tmp_path: Path):
    with GatewaySite(tmp_path) as one:
        one.store.put(
            "config",
            "main",
            manifest(
                3,
                route("read", "desk"),
                route("book", "desk", kind="unsafe", attempts=1),
                route("audit", "engines", kind="stream", resumable=True, sticky=True),
                route("brief", "engines", kind="stream", attempts=1),
            ),
        )
        yield one


def test_calls_of_each_kind_are_answered(site):
    desk = site.add(PlatformEndpoint("i-desk", "desk"))
    site.add(PlatformEndpoint("i-engine", "engines", stage="decode", event_count=5))
    site.start()
    body = site.send("GET", "/read/1?x=2")
    assert (body.status_code, body.content) == (200, b"done by i-desk")
    assert body.headers["X-Answer-Stamp"] == behaviours.ANSWER_STAMP
    assert site.send("POST", "/book/1", content=b"slot 4").status_code == 200
    assert desk.received_bodies[-1] == b"slot 4"
    assert site.send("POST", "/audit/1", content=b"{}").content == EVENTS


def test_own_headers_are_not_taken_from_the_caller(site):
    """Guards calls that name another request's KV cache or an endpoint themselves."""
    desk = site.add(PlatformEndpoint("i-desk", "desk"))
    site.start()
    forged = {"X-Kv-From": "10.0.0.1:1/h", "X-Expect-Instance": "i-other", "X-Kv-Hold": "a"}
    assert site.send("GET", "/read/1", headers=forged).status_code == 200
    headers = desk.received_headers[-1]
    assert "x-kv-from" not in headers
    assert "x-kv-hold" not in headers
    assert headers["x-expect-instance"] == "i-desk"
    assert int(headers["x-deadline-ms"]) <= 3000


def test_unsafe_call_that_may_have_run_is_not_repeated(site):
    """Guards a second booking after an answer that got lost."""
    first = site.add(PlatformEndpoint("i-1", "desk"))
    second = site.add(PlatformEndpoint("i-2", "desk"))
    first.behaviours = [behaviours.close_without_response]
    second.behaviours = [behaviours.close_without_response]
    site.start()
    assert site.send("POST", "/book/1").status_code == 502
    assert len(first.run_ids) + len(second.run_ids) == 1


def test_unsafe_call_that_was_refused_gets_a_truthful_refusal(site):
    desk = site.add(PlatformEndpoint("i-1", "desk"))
    desk.behaviours = [behaviours.refuse]
    site.start()
    answer = site.send("POST", "/book/1")
    assert answer.status_code == 503
    assert float(answer.headers["Retry-After"]) > 0
    assert desk.run_ids == []


def test_safe_call_goes_to_another_endpoint_after_a_failure(site):
    broken = site.add(PlatformEndpoint("i-1", "desk"))
    broken.behaviours = [behaviours.fail, behaviours.truncate_body, behaviours.answer_without_stamp]
    site.add(PlatformEndpoint("i-2", "desk"))
    site.start()
    answers = [site.send("GET", f"/read/{one}", request_id=f"r{one}") for one in range(8)]
    assert {one.content for one in answers} <= {b"done by i-1", b"done by i-2"}


def test_extra_answer_is_not_given_to_the_next_call(site):
    """Guards an answer to another request on a kept connection."""
    desk = site.add(PlatformEndpoint("i-1", "desk"))
    desk.behaviours = [behaviours.answer_twice, behaviours.answer_twice]
    site.start()
    for one in range(4):
        assert site.send("GET", "/read/1", request_id=f"r{one}").content == b"done by i-1"


def test_broken_stream_goes_on_exactly(site):
    """Guards a piece that is missing, doubled or cut after an engine stops inside an event."""
    once = [behaviours.break_stream(2)]
    for one in ("i-1", "i-2"):
        site.add(PlatformEndpoint(one, "engines", stage="decode", event_count=5, behaviours=once))
    site.start()
    assert site.send("POST", "/audit/1", content=b"{}").content == EVENTS


def test_broken_stream_that_may_not_be_resumed_is_cut(site):
    """Guards an incomplete answer that looks complete."""
    site.add(PlatformEndpoint("i-1", "engines", stage="decode", event_count=5)).behaviours = [
        behaviours.break_stream(2)
    ]
    site.start()
    with pytest.raises(httpx.TransportError):
        site.send("POST", "/brief/1", content=b"{}")


def test_prompt_is_handed_over_from_a_prefill_engine(site):
    prefill_engine = site.add(PlatformEndpoint("i-p", "engines", stage="prefill"))
    engine = site.add(PlatformEndpoint("i-d", "engines", stage="decode", event_count=5))
    site.start()
    prompt = {"X-Token-Count": "20000,10", "X-Prompt-Prefix": "aa:15000,bb:5000"}
    assert site.send("POST", "/audit/1", content=b"{}", headers=prompt).content == EVENTS
    assert prefill_engine.received_headers[-1]["x-stage"] == "prefill"
    host, port = site.addresses["i-p"]
    assert engine.received_headers[-1]["x-kv-from"] == f"{host}:{port}/h1"


@pytest.mark.parametrize(("path", "prefills"), [("/audit/1", 2), ("/brief/1", 1)])
def test_prompt_whose_prefill_failed_is_read_by_another_prefill_engine(site, path, prefills):
    """Guards long prompts that stop the streams of a decode engine after a lost answer.

    A second prefill counts as an attempt, so a route with one attempt has none
    (rmsk-totems trouble-2).
    """
    prefill_engines = [
        site.add(PlatformEndpoint(one, "engines", stage="prefill")) for one in ("i-p", "i-q")
    ]
    drops = [behaviours.close_without_running]
    for one in prefill_engines:
        one.behaviours = drops
    engine = site.add(PlatformEndpoint("i-d", "engines", stage="decode", event_count=5))
    site.start()
    prompt = {"X-Token-Count": "20000,10", "X-Prompt-Prefix": "aa:15000,bb:5000"}
    assert site.send("POST", path, content=b"{}", headers=prompt).content == EVENTS
    assert sum(len(one.received_headers) for one in prefill_engines) == prefills
    assert ("x-kv-from" in engine.received_headers[-1]) == (prefills == 2)


def test_leaving_endpoint_gets_no_calls(site):
    leaving = site.add(PlatformEndpoint("i-1", "desk"))
    site.add(PlatformEndpoint("i-2", "desk"))
    site.start()
    site.store.put(
        "servers", "i-1", leaving.store_document(site.addresses["i-1"], state="draining")
    )
    wait_until(lambda: site.events("ENDPOINT_LISTED", endpoint="i-1", draining=True), "leaving")
    seen = len(leaving.run_ids)
    for one in range(6):
        site.send("GET", "/read/1", request_id=f"r{one}")
    assert len(leaving.run_ids) == seen


def test_routes_change_and_never_revert(site):
    site.add(PlatformEndpoint("i-1", "desk"))
    site.start()
    site.store.put("config", "main", manifest(9, route("new", "desk")))
    wait_until(lambda: site.send("GET", "/new/1").status_code == 200, "new route")
    site.store.put("config", "main", manifest(5, route("read", "desk")))
    site.store.compact()
    wait_until(lambda: site.events("STORE_HISTORY_LOST", collection="config"), "compaction")
    assert site.send("GET", "/read/1").status_code == 404
    assert site.send("GET", "/new/1").status_code == 200


def test_serves_on_while_the_store_is_down(site):
    site.add(PlatformEndpoint("i-1", "desk"))
    site.start()
    site.store.down = True
    site.store.compact()
    wait_until(lambda: site.events("STORE_UNAVAILABLE"), "outage")
    assert site.send("GET", "/read/1").status_code == 200
    assert site.is_ready()


def test_not_ready_and_refuses_before_the_routes_are_known(site):
    site.store.down = True
    site.start(wait_ready=False)
    wait_until(lambda: site.events("STORE_UNAVAILABLE"), "start")
    assert site.send("GET", "/read/1").status_code == 503
    assert not site.is_ready()


@pytest.mark.parametrize("last", ["config", "servers"])
def test_killed_gateway_serves_again_when_the_store_is_back_in_pieces(site, last):
    """Guards a fresh process that answers 404, or is ready, from half of what it must know."""
    site.add(PlatformEndpoint("i-1", "desk"))
    site.start()
    site.process.kill()
    site.process.wait(10)
    site.store.down = True
    site.start(wait_ready=False)
    wait_until(lambda: site.events("STORE_UNAVAILABLE"), "start without the store")
    site.store.unavailable_kinds = frozenset({last})
    site.store.down = False
    first = "ENDPOINT_LISTED" if last == "config" else "CATALOGUE_IN_FORCE"
    wait_until(lambda: site.events(first), "the first piece")
    assert not site.is_ready()
    assert site.send("GET", "/read/1").status_code == 503
    site.store.unavailable_kinds = frozenset()
    wait_until(site.is_ready, "ready", timeout_seconds=RECOVER_SECONDS)
    assert site.send("GET", "/read/1").status_code == 200


def test_gateway_starts_with_entries_of_other_writers(site):
    """Guards a gateway that stops at an unreadable entry of the list."""
    site.add(PlatformEndpoint("i-1", "desk"))
    for number, spec in enumerate([None, [], {"addr": 4}, {"service": "desk", "state": "odd"}]):
        site.store.put("servers", f"x-{number}", spec)
    site.start()
    assert site.send("GET", "/read/1").status_code == 200
    assert len(site.events("DOCUMENT_REJECTED")) == 4


def test_hangup_reads_the_settings_again(site):
    """Guards a gateway that ended at SIGHUP."""
    site.add(PlatformEndpoint("i-1", "desk"))
    site.start()
    site.write_settings(retryBurst=0)
    site.process.send_signal(signal.SIGHUP)
    wait_until(lambda: site.events("SETTINGS_RELOADED", changed=["fleet"]), "reload")
    assert site.send("GET", "/read/1").status_code == 200


def test_stopping_gateway_answers_what_it_took_and_takes_nothing_late(site):
    """Guards calls taken on a kept connection just before the kill."""
    engine = site.add(PlatformEndpoint("i-1", "engines", stage="decode", event_count=5))
    engine.event_interval_seconds = 0.2
    site.start()
    kept = httpx.Client(headers={"Host": "desk.example", "X-Request-Id": "r1"})
    with kept.stream("POST", site.url("/audit/1"), content=b"{}", timeout=8) as answer:
        site.process.send_signal(signal.SIGTERM)
        assert answer.read() == EVENTS
    idle = site.connect()
    wait_until(lambda: site.process.poll() is not None, "end of the process", timeout_seconds=8)
    assert site.process.returncode == 0
    assert idle.recv(1) == b""


def test_oversized_and_malformed_calls_are_rejected(site):
    site.add(PlatformEndpoint("i-1", "desk"))
    site.start()
    assert site.send("GET", "/read/1", headers={"X-Long": "a" * 20_000}).status_code == 431
    assert site.send("GET", "/none/1").status_code == 404
    with site.connect() as raw:
        raw.sendall(
            b"POST /book/1 HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 4\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        )
        assert raw.recv(100).startswith(b"HTTP/1.1 400 ")


def test_caller_that_leaves_frees_the_endpoint(site):
    """Guards an endpoint that works on for a caller that has gone."""
    engine = site.add(PlatformEndpoint("i-1", "engines", stage="decode", event_count=500))
    engine.event_interval_seconds = 0.05
    site.start()
    raw = site.connect()
    raw.sendall(
        b"POST /audit/1 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: r1\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    raw.recv(10)
    raw.shutdown(socket.SHUT_RDWR)
    raw.close()
    wait_until(lambda: site.events("CALL_ENDED", outcome="caller gone"), "end of the call")


def test_decoding_engine_is_chosen_after_the_prompt_was_read(site):
    """Guards a request that reaches an engine which began to leave while its prompt waited."""
    leaving = site.add(PlatformEndpoint("i-1", "engines", stage="decode", event_count=5))
    prefill_engine = site.add(PlatformEndpoint("i-p", "engines", stage="prefill"))

    def leave_and_answer(handler):
        site.store.put(
            "servers", "i-1", leaving.store_document(site.addresses["i-1"], state="draining")
        )
        site.add(PlatformEndpoint("i-2", "engines", stage="decode", event_count=5))
        wait_until(lambda: site.events("ENDPOINT_LISTED", endpoint="i-2"), "new engine")
        behaviours.answer(handler)

    prefill_engine.behaviours = [leave_and_answer]
    site.start()
    prompt = {"X-Token-Count": "20000,10", "X-Prompt-Prefix": "aa:15000,bb:5000"}
    assert site.send("POST", "/audit/1", content=b"{}", headers=prompt).content == EVENTS
    assert leaving.run_ids == []


def test_metrics_count_calls(site):
    site.add(PlatformEndpoint("i-1", "desk"))
    site.start()
    site.send("GET", "/read/1")
    text = httpx.get(f"http://127.0.0.1:{site.ports['metrics']}/metrics", timeout=5).text
    assert 'chivewall_gateway_calls_total{outcome="answered",route="read"} 1' in text
    assert "chivewall_gateway_call_seconds_bucket" in text


def test_log_line_of_each_decision_names_the_request(site):
    site.add(PlatformEndpoint("i-1", "desk"))
    site.start()
    site.send("GET", "/read/1", request_id="r-77")
    assert site.events("CALL_ATTEMPT", request="r-77", endpoint="i-1")
    assert site.events("CALL_ENDED", request="r-77", outcome="answered", route="read")
