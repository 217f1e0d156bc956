"""HTTP API for operators: the status of the system as this entry knows it."""

import json
from typing import Any

from attrs import asdict
from twisted.web.server import Request as HttpRequest

from chivewall import __version__
from chivewall.activity import ActivityTask, Decision, GetDecisions, GetRankLatency, RankLatency
from chivewall.configuration import Configuration
from chivewall.decisions.membership import Member
from chivewall.decisions.rollout import summarise
from chivewall.environment import Environment
from chivewall.plugins.base import Plugin
from chivewall.plugins.builtin.configuration import ConfigurationKeeper, CurrentConfiguration
from chivewall.plugins.builtin.credentials import Credentials, authenticate
from chivewall.plugins.builtin.directory import Directory, ListMembers
from chivewall.plugins.builtin.http_api import HttpApi, write_json
from chivewall.plugins.registry import Registry


class OperatorHttp:
    """Route handlers for operators; each one checks the operator token first."""

    def __init__(self, env: Environment) -> None:
        self.env = env
        self.api = env.require(HttpApi)
        self.credentials = env.require(Credentials)
        self.keeper = env.require(ConfigurationKeeper)
        self.directory = env.require(Directory)
        self.activity = ActivityTask(env)

    def add_routes(self) -> None:
        """Add the operators' routes to the process's HTTP API."""
        self.api.route("/operator/status", methods=["GET"])(self.show_status)

    async def show_status(self, http: HttpRequest) -> bytes:
        """Return the configuration in force, data centres, ranks, decisions and endpoints."""
        authenticate(self.credentials, http)
        configuration = await self.keeper.query(CurrentConfiguration())
        members = await self.directory.query(ListMembers())
        status = {
            "version": __version__,
            "entry": self.env.settings.core.instance,
            "data_centre": self.env.settings.core.data_centre,
            "ready": self.api.app.ready(),
            "configuration": _describe_configuration(configuration),
            "data_centres": [asdict(one) for one in summarise(members)],
            "ranks": await self._describe_ranks(configuration),
            "decisions": [
                _describe_decision(one) for one in await self.activity.query(GetDecisions())
            ],
            "endpoints": [_describe_member(one) for one in members],
        }
        return write_json(http, status)

    async def _describe_ranks(self, configuration: Configuration | None) -> list[dict[str, Any]]:
        if configuration is None:
            return []
        targets = {rank.value: one.first_token_ms for rank, one in configuration.ranks.items()}
        services: dict[str, RankLatency] = await self.activity.query(GetRankLatency(targets))
        return [
            {"rank": rank, "target_ms": targets[rank], **asdict(one)}
            for rank, one in services.items()
        ]


class OperatorHttpPlugin(Plugin):
    """Adds the operators' routes."""

    name = "operator_http"

    async def setup(self) -> None:
        """Add the routes and subscribe to the event log."""
        handlers = OperatorHttp(self.env)
        handlers.add_routes()
        self.activity = handlers.activity
        self.env.log.subscribe(self.activity.observe)

    async def start(self) -> None:
        """Start recording recent events."""
        self.activity.start()

    async def stop(self) -> None:
        """Stop recording events."""
        await self.activity.stop()


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(OperatorHttpPlugin)


def _describe_configuration(configuration: Configuration | None) -> dict[str, Any] | None:
    if configuration is None:
        return None
    return {
        "version": configuration.version,
        "author": configuration.author,
        "reason": configuration.reason,
    }


def _describe_decision(decision: Decision) -> dict[str, Any]:
    return {
        "event": decision.event.name,
        "text": decision.event.text,
        "seconds_ago": round(decision.seconds_ago, 1),
        "fields": json.loads(json.dumps(decision.fields, default=str)),
    }


def _describe_member(member: Member) -> dict[str, Any]:
    report = member.report
    return {
        "endpoint": member.instance.name,
        "kind": member.instance.kind.value,
        "data_centre": member.instance.data_centre,
        "state": member.state.value,
        "targets": list(member.targets),
        "role": report.role.value if report is not None else None,
        "running": report.running if report is not None else None,
        "configuration_version": report.configuration_version if report is not None else None,
    }
