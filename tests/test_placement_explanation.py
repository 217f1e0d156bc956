"""Where a request would go now, and why."""

import json
from unittest.mock import Mock

import pytest
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import Clock

from chivewall.decisions.overload import Overloaded
from chivewall.gateway.announcement_messages import EndpointLeaving, EndpointLimit, EndpointPause
from chivewall.gateway.fleet import Fleet
from chivewall.gateway.fleet_messages import (
    EndpointCrashed,
    EngineCooldown,
    ExplainPlacement,
    FindPlacement,
    WorkSent,
)
from chivewall.gateway.gateway import Gateway
from chivewall.gateway.http_dialect import HttpDialect, RequestFields, StatedLimit
from chivewall.gateway.route_explanation import LOOPBACK, RouteExplainer
from chivewall.gateway.routing_configuration import (
    IngressLimits,
    RoutingConfiguration,
    Stage,
    Workspace,
)
from chivewall.plugins.builtin.http_api import HttpApi
from chivewall.results import ResultCode
from tests.utils.fleets import make_fleet
from tests.utils.ingress import apply, make_gateway
from tests.utils.requests import make_stream_route


@pytest.fixture
def clock():
    return Clock()


def question(tokens=20_000, **fields):
    prompt = RequestFields(prompt_tokens=tokens)
    return FindPlacement("engines", prompt, frozenset(), None, **fields)


def explain(fleet, **fields):
    found = []
    fleet.query(ExplainPlacement(question(**fields))).addCallback(found.append)
    return found[0]


def reasons(explanation):
    return {one.endpoint: one.reason for one in explanation.candidates}


def info(fleet, name):
    return fleet.states[name].info


ENGINES = {"p1": Stage.PREFILL, "p2": Stage.PREFILL, "d1": Stage.DECODE, "d2": Stage.DECODE}


@pytest.mark.parametrize("tokens", [0, 100, 20_000])
@pytest.mark.parametrize("stages", [ENGINES, {"s1": Stage.NONE, "s2": Stage.NONE}])
def test_explanation_is_what_the_next_request_gets(clock, stages, tokens):
    """Guards against an explanation that differs from the placement, or changes it."""
    fleet = make_fleet(clock, **stages)
    for number in range(12):
        explained = explain(fleet, tokens=tokens).found
        assert explain(fleet, tokens=tokens).found == explained
        found = []
        fleet.query(question(tokens)).addCallback(found.append)
        assert found == [explained]
        work = WorkSent(explained.endpoint.id, 0.3, RequestFields(), 9.0, 9.0, number)
        fleet.send(work)


def test_each_endpoint_has_a_reason(clock):
    fleet = make_fleet(clock, **ENGINES)
    explanation = explain(fleet)
    found = explanation.found
    chosen = {found.endpoint.id, found.prefill_engine.id}
    assert {one.endpoint for one in explanation.candidates if one.chosen} == chosen
    for name, reason in reasons(explanation).items():
        assert (reason == "chosen") == (name in chosen)
        assert name in chosen or "slower" in reason


def test_slower_endpoint_is_compared_in_seconds(clock):
    fleet = make_fleet(clock, s1=Stage.NONE, s2=Stage.NONE)
    for number in range(8):
        fleet.send(WorkSent("s1", 0.0, RequestFields(), 9.0, 9.0, number))
    (busy,) = [one for one in explain(fleet).candidates if one.endpoint == "s1"]
    assert busy.slower_seconds > 0
    assert busy.reason == f"slower by {busy.slower_seconds:.3f} s"


@pytest.mark.parametrize(
    ("message", "reason"),
    [
        (lambda _: EngineCooldown("d1", 2.0), "cooldown for 2.00 s"),
        (lambda _: EndpointCrashed("d1", 0), "avoided for 1.00 s after failed connections"),
        (lambda fleet: EndpointLeaving(info(fleet, "d1")), "leaving"),
        (lambda fleet: EndpointPause(info(fleet, "d1"), 3.0), "; pauses for 3.00 s"),
        (
            lambda fleet: EndpointLimit(info(fleet, "d1"), StatedLimit(5.0, "5"), 0.0),
            "; limit 5/s, permit expected in 0.00 s",
        ),
    ],
)
def test_rejected_endpoint_has_its_reason(clock, message, reason):
    fleet = make_fleet(clock, **ENGINES)
    fleet.send(message(fleet))
    assert reasons(explain(fleet))["d1"].endswith(reason)


def test_overloaded_service_shows_where_the_request_would_wait(clock):
    fleet = make_fleet(clock, d1=Stage.DECODE)
    for number in range(50):
        fleet.send(WorkSent("d1", 1.0, RequestFields(), 60.0, 60.0, number))
    explanation = explain(fleet, slack_seconds=0.3, time_left_seconds=1.0)
    assert isinstance(explanation.found, Overloaded)
    assert reasons(explanation) == {"d1": "the best one, but too late"}


def test_service_without_endpoints(clock):
    explanation = explain(make_fleet(clock))
    assert (explanation.found, explanation.candidates) == (None, ())


def explained(*headers, public=False):
    """Return what the operator is told about a request of two workspaces' deployment."""
    gateway = make_gateway(Clock())
    route = make_stream_route(priority=1, public=public)
    workspaces = (Workspace("w1", ("k1",), 4), Workspace("w2", ("k2",), 3))
    apply(
        gateway,
        RoutingConfiguration(
            1, (route,), IngressLimits(), workspaces=workspaces, keys_required=True
        ),
    )
    api, http = Mock(), Mock()
    question = {"path": "/1", "headers": [["Host", route.host], *headers]}
    api.read_body.return_value = json.dumps(question).encode()
    http.getClientAddress.return_value.host = LOOPBACK
    env = gateway.env
    for kind, one in (
        (HttpApi, api),
        (Gateway, gateway),
        (Fleet, gateway.context.fleet),
        (HttpDialect, gateway.context.dialect),
    ):
        env.provide(kind, one)
    gateway.context.fleet.query = Mock(wraps=gateway.context.fleet.query)
    found = []
    ensureDeferred(RouteExplainer(env).explain_route(http)).addBoth(found.append)
    query = gateway.context.fleet.query.call_args
    return found[0], query and query.args[0].request


def test_explained_rank_is_that_of_the_request():
    """Guards against an explanation of another request than the one that the gateway serves."""
    _, query = explained(["X-Key", "k1"])
    assert (query.workspace, query.rank) == ("w1", 1)
    _, query = explained(["X-Key", "k1"], public=True)
    assert (query.workspace, query.rank) == (None, 0)


@pytest.mark.parametrize("keys", [("k9",), (), ("k1", "k1")])
def test_request_without_one_known_key_is_not_explained(keys):
    """Guards against a request that counts for a workspace though it would be refused."""
    failure, query = explained(*(["X-Key", one] for one in keys))
    assert (failure.value.code, query) == (ResultCode.UNKNOWN_KEY, None)
