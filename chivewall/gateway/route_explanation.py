"""Tells operators where a request would go now, without sending it."""

import json
from typing import Any

from attrs import asdict
from twisted.web.server import Request as HttpRequest

from chivewall.decisions.overload import Overloaded
from chivewall.decisions.placement import Placement
from chivewall.decisions.placement_explanation import PlacementExplanation
from chivewall.environment import Environment
from chivewall.errors import RequestError
from chivewall.gateway.exchange import MS_PER_SECOND, request_deadline
from chivewall.gateway.fleet import Fleet
from chivewall.gateway.fleet_messages import ExplainPlacement, FindPlacement
from chivewall.gateway.gateway import Gateway
from chivewall.gateway.http_dialect import CallerRequest, HttpDialect
from chivewall.gateway.routing_configuration import Route, Workspace
from chivewall.gateway.workspace_access import key_refusal
from chivewall.plugins.base import Plugin
from chivewall.plugins.builtin.credentials import Credentials, authenticate
from chivewall.plugins.builtin.http_api import HttpApi, write_json
from chivewall.plugins.registry import Registry
from chivewall.results import ResultCode

PATH = "/operator/route"
LOOPBACK = "127.0.0.1"


class RouteExplainer:
    """Answers the question where a request would go; it changes nothing."""

    def __init__(self, env: Environment) -> None:
        self.env = env
        self.api = env.require(HttpApi)
        self.gateway = env.require(Gateway)
        self.fleet = env.require(Fleet)
        self.dialect = env.require(HttpDialect)

    async def explain_route(self, http: HttpRequest) -> bytes:
        """Return the route, the workspace, and the choice in each service of the route."""
        self._authenticate(http)
        request = self._read_request(http)
        if self.gateway.table is None:
            raise RequestError(ResultCode.NOT_READY, "no routes are known yet")
        route = self.gateway.table.match(request.header(b"host") or "", request.path)
        if route is None:
            raise RequestError(ResultCode.NOT_FOUND, "no route matches host and path")
        configuration = self.gateway.table.configuration
        ruling = self.gateway.access.rule(request, route)
        refusal = key_refusal(ruling)
        if refusal is not None:
            raise RequestError(refusal.code, refusal.reason)
        workspace = ruling.workspace
        weights = {one.service: max(0.0, one.weight) for one in route.services}
        services = [
            await self._explain_service(request, route, service, workspace) for service in weights
        ]
        for one in services:
            total = sum(weights.values())
            one["share"] = round(weights[one["service"]] / total, 4) if total else None
        return write_json(
            http,
            {
                "gateway": self.env.settings.core.instance,
                "configuration": configuration.version,
                "route": _describe_route(route),
                "workspace": None if workspace is None else workspace.name,
                "services": services,
            },
        )

    async def _explain_service(
        self, request: CallerRequest, route: Route, service: str, workspace: Workspace | None
    ) -> dict[str, Any]:
        question = FindPlacement(
            service=service,
            fields=request.fields,
            excluded=frozenset(),
            allowed=None,
            rank=self.gateway.access.in_force.ranks.rank(workspace, route),
            slack_seconds=route.objective_ms / MS_PER_SECOND,
            time_left_seconds=request_deadline(request, route) - request.received_at,
            pause_seconds=route.pause_ms / MS_PER_SECOND,
            workspace=None if workspace is None else workspace.name,
        )
        explanation = await self.fleet.query(ExplainPlacement(question))
        return {"service": service, **describe(explanation)}

    def _authenticate(self, http: HttpRequest) -> None:
        """Accept an operator's token, or without tokens a caller on the instance itself."""
        credentials = self.env.find(Credentials)
        if credentials is not None:
            authenticate(credentials, http)
        elif http.getClientAddress().host not in (LOOPBACK, http.getHost().host):
            raise RequestError(
                ResultCode.UNAUTHENTICATED, "without operator tokens, ask on the instance itself"
            )

    def _read_request(self, http: HttpRequest) -> CallerRequest:
        try:
            question = json.loads(self.api.read_body(http))
            headers = tuple(
                (name.encode("latin-1"), value.encode("latin-1"))
                for name, value in question["headers"]
            )
            target = question["path"].encode("latin-1")
        except (ValueError, TypeError, KeyError, AttributeError) as exc:
            raise RequestError(
                ResultCode.BAD_JSON, "the body must have a path and a list of headers"
            ) from exc
        return CallerRequest(
            method=b"GET",
            target=target,
            headers=headers,
            body=b"",
            has_body=False,
            received_at=self.env.now,
            fields=self.dialect.decode_request(headers),
        )


def describe(explanation: PlacementExplanation) -> dict[str, Any]:
    """Return the choice in a service and its reasons, as JSON."""
    found = explanation.found
    described: dict[str, Any] = {"outcome": "no endpoint"}
    if isinstance(found, Overloaded):
        described = {
            "outcome": "refused",
            "estimate": round(found.estimate, 4),
            "retry_after": round(found.retry_after, 3),
        }
    elif isinstance(found, Placement):
        engine = found.prefill_engine
        described = {
            "outcome": "placed",
            "endpoint": found.endpoint.id,
            "prefill_engine": None if engine is None else engine.id,
            "estimate": round(found.estimate, 4),
            "uncached_tokens": found.uncached_tokens,
            "rank": found.rank,
            "reason": found.reason,
            "permits": [one.endpoint for one in found.needs],
        }
    return described | {"candidates": [asdict(one) for one in explanation.candidates]}


def _describe_route(route: Route) -> dict[str, Any]:
    return {
        "name": route.name,
        "host": route.host,
        "path_prefix": route.path_prefix,
        "kind": route.kind.value,
        "attempts": route.attempts,
        "priority": route.priority,
        "timeout_ms": route.timeout_ms,
        "objective_ms": route.objective_ms,
        "may_run_again": route.idempotent,
    }


class RouteExplanationPlugin(Plugin):
    """Adds the question to the HTTP API of the gateway."""

    name = "route_explanation"

    async def setup(self) -> None:
        """Add the route."""
        explainer = RouteExplainer(self.env)
        self.env.require(HttpApi).route(PATH, methods=["POST"])(explainer.explain_route)


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(RouteExplanationPlugin)
