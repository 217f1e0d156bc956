"""HTTP API for operators to read, check, compare and apply the configuration."""

import json
from collections.abc import Coroutine
from typing import Any

from attrs import asdict
from twisted.web.server import Request as HttpRequest

from chivewall.configuration import Configuration, from_document, to_document
from chivewall.configuration_changes import (
    CONFIGURATION_KEY,
    Archive,
    apply_change,
    decode_archive,
    difference,
)
from chivewall.decisions.rollout import lagging, summarise
from chivewall.environment import Environment
from chivewall.errors import ChangeUnknownError, ChivewallError, RequestError
from chivewall.events import Event
from chivewall.interfaces import ObjectStore
from chivewall.messages import ConfigurationReceived
from chivewall.plugins.base import Plugin
from chivewall.plugins.builtin.configuration import ConfigurationKeeper, CurrentConfiguration
from chivewall.plugins.builtin.credentials import Credentials, authenticate
from chivewall.plugins.builtin.directory import Directory, ListMembers, ProbeLagging
from chivewall.plugins.builtin.http_api import HttpApi, write_json
from chivewall.plugins.registry import Registry
from chivewall.results import ResultCode, RunState


class OperatorConfig:
    """Route handlers that read and change the stored configuration."""

    def __init__(self, env: Environment) -> None:
        self.env = env
        self.api = env.require(HttpApi)
        self.credentials = env.require(Credentials)
        self.store = env.require(ObjectStore)
        self.keeper = env.require(ConfigurationKeeper)
        self.directory = env.require(Directory)

    def add_routes(self) -> None:
        """Add the routes to the process's HTTP API."""
        route = self.api.route
        route("/operator/config", methods=["GET"])(self.show_configuration)
        route("/operator/config", methods=["PUT"])(self.apply_configuration)
        route("/operator/config/check", methods=["POST"])(self.check_configuration)
        route("/operator/config/diff", methods=["POST"])(self.diff_configuration)
        route("/operator/config/history", methods=["GET"])(self.show_history)
        route("/operator/config/in-force/<int:version>", methods=["GET"])(self.show_rollout)
        route("/operator/exceptions", methods=["GET"])(self.list_exceptions)
        route("/operator/exceptions", methods=["POST"])(self.add_exception)
        route("/operator/exceptions/<name>", methods=["DELETE"])(self.remove_exception)

    async def show_configuration(self, http: HttpRequest) -> bytes:
        """Return the stored document."""
        authenticate(self.credentials, http)
        archive = await _convert_errors(self._read_archive())
        return write_json(http, to_document(archive.current))

    async def show_history(self, http: HttpRequest) -> bytes:
        """Return the current document and the older ones, newest first."""
        authenticate(self.credentials, http)
        archive = await _convert_errors(self._read_archive())
        versions = [to_document(one) for one in (archive.current, *archive.history)]
        return write_json(http, {"versions": versions})

    async def check_configuration(self, http: HttpRequest) -> bytes:
        """Check a document without applying it."""
        authenticate(self.credentials, http)
        await _convert_errors(self._read_document(http))
        return write_json(http, {"valid": True})

    async def diff_configuration(self, http: HttpRequest) -> bytes:
        """Compare a document with the stored one."""
        authenticate(self.credentials, http)
        document = await _convert_errors(self._read_document(http))
        archive = await _convert_errors(self._read_archive())
        lines = difference(to_document(archive.current), to_document(document))
        return write_json(http, {"version": archive.current.version, "difference": lines})

    async def apply_configuration(self, http: HttpRequest) -> bytes:
        """Apply a document whose version is one above the version that it was made from."""
        authenticate(self.credentials, http)
        document = await _convert_errors(self._read_document(http))
        return await self._store_document(http, document)

    async def show_rollout(self, http: HttpRequest, version: int) -> bytes:
        """Report where a version is not yet in force, and probe the lagging endpoints."""
        authenticate(self.credentials, http)
        self.directory.send(ProbeLagging(version))
        members = await self.directory.query(ListMembers())
        current = await self.keeper.query(CurrentConfiguration())
        lags = lagging(members, version)
        in_force_here = current is not None and current.version >= version
        rollout = {
            "version": version,
            "in_force": in_force_here and bool(members) and not lags,
            "entry": {"name": self.env.settings.core.instance, "in_force": in_force_here},
            "data_centres": [
                {"name": one.name, "version": one.version} for one in summarise(members)
            ],
            "lagging": [{**asdict(one), "state": one.state.value} for one in lags],
        }
        return write_json(http, rollout)

    async def list_exceptions(self, http: HttpRequest) -> bytes:
        """Return the exceptions of the stored document."""
        authenticate(self.credentials, http)
        archive = await _convert_errors(self._read_archive())
        return write_json(http, {"exceptions": to_document(archive.current)["exceptions"]})

    async def add_exception(self, http: HttpRequest) -> bytes:
        """Add one exception, which must expire in the future."""
        authenticate(self.credentials, http)
        raw = self._read_json(http)
        archive = await _convert_errors(self._read_archive())
        old = to_document(archive.current)
        if not isinstance(raw, dict):
            raise RequestError(
                ResultCode.INVALID_CONFIGURATION, "an exception must be a JSON object"
            )
        changed = {
            **old,
            "version": archive.current.version + 1,
            "author": raw.get("author"),
            "reason": raw.get("reason"),
            "exceptions": [*old["exceptions"], raw],
        }
        document = await _convert_errors(_parse_document(changed))
        if document.exceptions[-1].expires_at <= self.env.unix_time():
            raise RequestError(ResultCode.INVALID_CONFIGURATION, "expires_at has passed")
        return await self._store_document(http, document)

    async def remove_exception(self, http: HttpRequest, name: str) -> bytes:
        """Remove one exception; ``X-Author`` and ``X-Reason`` must name who removes it and why."""
        authenticate(self.credentials, http)
        archive = await _convert_errors(self._read_archive())
        kept = tuple(one for one in archive.current.exceptions if one.id != name)
        if len(kept) == len(archive.current.exceptions):
            raise RequestError(ResultCode.UNKNOWN_EXCEPTION, f"there is no exception {name!r}")
        author, reason = http.getHeader("X-Author"), http.getHeader("X-Reason")
        if not author or not reason:
            raise RequestError(ResultCode.BAD_HEADER, "X-Author and X-Reason are required")
        document = archive.current.successor(author=author, reason=reason, exceptions=kept)
        return await self._store_document(http, document)

    async def _store_document(self, http: HttpRequest, document: Configuration) -> bytes:
        await _convert_errors(apply_change(self.store, document))
        self.keeper.send(ConfigurationReceived(document, origin="operator"))
        self.env.log.emit(
            Event.CONFIGURATION_APPLIED,
            version=document.version,
            author=document.author,
            reason=document.reason,
        )
        return write_json(http, {"version": document.version})

    async def _read_archive(self) -> Archive:
        return decode_archive((await self.store.get(CONFIGURATION_KEY)).value)

    async def _read_document(self, http: HttpRequest) -> Configuration:
        return from_document(self._read_json(http))

    def _read_json(self, http: HttpRequest) -> Any:
        try:
            return json.loads(self.api.read_body(http))
        except ValueError as exc:
            raise RequestError(ResultCode.BAD_JSON, f"the body is not JSON: {exc}") from exc


class OperatorConfigPlugin(Plugin):
    """Adds the operators' routes for the configuration."""

    name = "operator_config"

    async def setup(self) -> None:
        """Add the routes."""
        OperatorConfig(self.env).add_routes()


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(OperatorConfigPlugin)


async def _parse_document(document: dict[str, Any]) -> Configuration:
    return from_document(document)


async def _convert_errors(work: Coroutine[Any, Any, Any]) -> Any:
    """Return the result of ``work``; convert its errors to ``RequestError``."""
    try:
        return await work
    except RequestError:
        raise
    except ChivewallError as exc:
        refusal = RequestError(exc.code, str(exc))
        if isinstance(exc, ChangeUnknownError):
            refusal.run = RunState.UNKNOWN
        raise refusal from exc
