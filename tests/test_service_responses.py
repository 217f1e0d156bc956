"""Responses that a plain service breaks off, before an agent."""

import random
from io import StringIO

import pytest
from twisted.internet import reactor

from chivewall.environment import Environment
from chivewall.events import EventLog
from chivewall.interfaces import RunFailed, RunOutput
from chivewall.plugins.builtin.service_http import ServiceHttp, ServiceHttpSettings
from chivewall.settings import CoreSettings, Role, Settings
from chivewall.task import Inbox
from chivewall.work import Attempt, Call, Rank, Request
from tests.utils import raw_endpoints as raw
from tests.utils.reactors import run_on_reactor

BODY = b"u" * 500_000


def run_call(script, body=b"{}"):
    """Return what an agent makes of the response of a service that runs a script."""
    core = CoreSettings(role=Role.AGENT, instance="a", data_centre="Mombasa", plugins=("x",))
    env = Environment(
        settings=Settings(core=core),
        clock=reactor,
        random=random.Random(1),
        log=EventLog(StringIO()),
        reactor=reactor,
    )

    async def scenario(port):
        cfg = ServiceHttpSettings(name="desk", host="127.0.0.1", port=port)
        service, sink = ServiceHttp(env, cfg), Inbox()
        work = Call(service="desk", method="POST", path="/1", body=body)
        service.run(make_attempt(work), sink)
        found = await sink.get()
        await service.close()
        return found

    with raw.RawEndpoint("i-1", "desk", script).serve() as (_, port):
        return run_on_reactor(scenario(port))


def make_attempt(work):
    """Return the first attempt of a request."""
    request = Request(
        id="r1", workspace="w", rank=Rank.STANDARD, deadline=reactor.seconds() + 5, work=work
    )
    return Attempt(request=request, number=1, endpoint="desk", incarnation="1")


@pytest.mark.parametrize("end", [raw.reset, raw.close_unread, raw.half_close_and_reset])
@pytest.mark.parametrize("body", [b"{}", BODY])
def test_response_without_a_length_that_is_reset_is_not_complete(end, body):
    """Guards against a part of a body as a whole one: the client can't tell a reset from an end."""
    found = run_call(raw.answer_early(b'{"booked": ', end=end), body)
    assert isinstance(found, RunFailed)
    assert found.may_have_arrived


@pytest.mark.parametrize("status", ["000", "099", "600", "1000", "2 0", "-20"])
def test_response_without_a_valid_status_is_no_response(status):
    """Guards against a service's bytes passed on under a status that HTTP doesn't have."""
    found = run_call(raw.answer_status(f"HTTP/1.1 {status} Text"))
    assert isinstance(found, RunFailed)


def test_whole_response_is_passed_on():
    found = run_call(raw.answer_status("HTTP/1.1 200 OK"))
    assert isinstance(found, RunOutput)
    assert (found.body.status, found.body.body) == (200, b"body")
