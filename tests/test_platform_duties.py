"""The platform's side of duties: calls, stored locks and the settings that switch them on."""

import json

import json5
import pytest
from twisted.internet.defer import fail, succeed
from twisted.internet.task import Clock

from chivewall.errors import (
    DutyRefusedError,
    ObjectMissingError,
    PlatformUnavailableError,
    StoreUnavailableError,
)
from chivewall.gateway.channels import HttpResponse
from chivewall.gateway.platform_duties import Duty, DutyLock
from chivewall.platform.objects import StoredObject
from chivewall.platform.platform_duties import (
    LOCKS_KIND,
    CloudDuties,
    PlatformDutiesSettings,
    PlatformDutyLocks,
)
from chivewall.standins.template import instance_fields, render_settings
from tests.utils.duties import make_env

LOCK = DutyLock(12, "gateway-1", 1000.5, era=3, content={"window": 7, "counts": {"w": 1}})


class FakeConnections:
    """Answers every request with one status."""

    def __init__(self, status):
        self.status = status
        self.requests = []

    def fetch(self, address, method, target, deadline, *, headers, body):
        self.requests.append((address, method, target, dict(headers), json.loads(body)))
        if self.status is None:
            return fail(StoreUnavailableError("no answer"))
        return succeed(HttpResponse(self.status, (), b""))


class FakeObjects:
    """Holds one object."""

    def __init__(self, spec=None):
        self.spec = spec

    async def get(self, kind, name):
        if self.spec is None:
            raise ObjectMissingError("404")
        return StoredObject(self.spec, revision=5, era=3)

    async def put(self, kind, name, spec, revision):
        assert kind == LOCKS_KIND
        self.spec = json.loads(json.dumps(spec))
        return 3


def make_duties(status):
    """Return the calls of a platform that answers with a status, and its connections."""
    connections = FakeConnections(status)
    cfg = PlatformDutiesSettings("10.0.0.9:80", names=("metering", "unknown"))
    return CloudDuties(make_env(Clock(), "gateway-1"), cfg, connections), connections


def test_usage_is_reported_in_the_platforms_words():
    """Guards against a report that the platform can't read."""
    duties, connections = make_duties(200)
    duties.report_usage(LOCK, 7, {"w": 1})
    address, *call, headers, document = connections.requests[0]
    assert (address, *call) == (("10.0.0.9", 80), b"POST", b"/usage")
    assert headers[b"X-Duty-Holder"] == b"gateway-1"
    assert headers[b"X-Fence-Token"] == b"12"
    assert document == {"windowId": 7, "counts": {"w": 1}}


def test_numbers_of_endpoints_are_ordered_in_the_platforms_words():
    """Guards against an order that the platform can't read."""
    duties, connections = make_duties(200)
    duties.order_endpoints(LOCK, "engines", "north", 6)
    assert connections.requests[0][2] == b"/scale"
    assert connections.requests[0][4] == {"service": "engines", "zone": "north", "desired": 6}


@pytest.mark.parametrize(
    ("status", "error"),
    [
        (200, None),
        (429, DutyRefusedError),
        (503, PlatformUnavailableError),
        (None, PlatformUnavailableError),
    ],
)
def test_only_a_refusal_says_that_a_call_was_not_accepted(status, error):
    """Guards against a lost answer that is taken for a refusal."""
    errors = []
    make_duties(status)[0].report_usage(LOCK, 7, {}).addErrback(errors.append)
    assert [one.type for one in errors] == ([] if error is None else [error])


def test_stored_lock_reads_as_it_was_written():
    """Guards against a next holder that repeats something else than was sent."""
    locks = PlatformDutyLocks(FakeObjects())
    found = []
    locks.read("usage").addCallback(found.append)
    locks.acquire("usage", LOCK, 0)
    locks.read("usage").addCallback(found.append)
    assert [(one.lock, one.revision) for one in found] == [(None, 0), (LOCK, 5)]


def test_unreadable_lock_is_not_a_missing_one():
    """Guards against a lock taken over one that another version wrote."""
    errors = []
    PlatformDutyLocks(FakeObjects({"number": "x"})).read("usage").addErrback(errors.append)
    assert errors[0].check(StoreUnavailableError)


def test_settings_have_duties_only_where_the_platform_asks_for_them():
    """Guards against a gateway that doesn't start because a field of the platform is missing."""
    ports = dict.fromkeys(("metrics", "peer", "front", "ready"), 8000)
    fields = instance_fields("gateway-1", ports, ("127.0.0.1", 80))
    plain = json5.loads(render_settings(fields))
    assert not [one for one in plain["plugins"] if "dut" in one]
    fields["cloud"] = {"addr": "10.0.0.9:80", "duties": ["metering"]}
    settings = json5.loads(render_settings(fields))
    assert settings["platform_duties"] == {"address": "10.0.0.9:80", "names": ["metering"]}
    assert "chivewall.gateway.duties" in settings["plugins"]


def test_duties_are_those_that_the_platform_names():
    """Guards against a duty that the platform doesn't ask for, and a start stopped by a new one."""
    assert make_duties(200)[0].duties == {Duty.USAGE}
