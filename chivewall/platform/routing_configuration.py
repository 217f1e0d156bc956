"""Decodes the routing configuration (object ``config/main``) into a ``RoutingConfiguration``."""

from collections.abc import Callable
from typing import Any, TypeVar

from chivewall.errors import DecodeError
from chivewall.gateway.routing_configuration import (
    EndpointScale,
    EngineMemory,
    IngressLimits,
    Route,
    RouteKind,
    RoutingConfiguration,
    WeightedService,
)
from chivewall.platform.fields import (
    boolean,
    bounded,
    integer,
    json_object,
    list_items,
    number,
    string,
)
from chivewall.platform.workspaces import decode_workspaces

DEFAULT_PAUSE_MS = 300.0  # of routes that declare none
DEFAULT_START_SECONDS = 10.0  # of endpoints whose service names no time
MAX_START_SECONDS = 3_600.0
MAX_MS = 86_400_000.0  # a day
MAX_BYTES = 2**40
KIND = "config"
NAME = "main"
Part = TypeVar("Part")


def decode_object(
    name: str, spec: object, *, bounds_engine_memory: bool = False
) -> RoutingConfiguration:
    """Decode an object of the kind; only one of them is the routing configuration."""
    if name != NAME:
        raise DecodeError(f"name: not {NAME!r}")
    return decode_routing_configuration(spec, bounds_engine_memory=bounds_engine_memory)


def decode_routing_configuration(
    spec: object, *, bounds_engine_memory: bool = False
) -> RoutingConfiguration:
    """Decode the document; raise a ``DecodeError`` that names the invalid field.

    ``bounds_engine_memory``: the requests at an engine must fit into its memory.
    """
    document = json_object(spec, "manifest")
    decoded = decode_workspaces(document)
    return RoutingConfiguration(
        version=integer(document, "version"),
        routes=tuple(_route(json_object(one, "routes")) for one in list_items(document, "routes")),
        limits=_limits(json_object(document.get("limits", {}), "limits")),
        scales=_parts(document, _scale),
        engine_memory=_parts(document, _engine_memory) if bounds_engine_memory else (),
        workspaces=decoded.workspaces,
        keys_required=decoded.required,
        odd_workspaces=decoded.odd,
    )


def _parts(
    document: dict[str, Any], decode: Callable[[dict[str, Any]], Part | None]
) -> tuple[Part, ...]:
    """Decode one optional part of each service.

    A part that can't be read is left out, since no part is worth the loss of all routes.
    """
    services = document.get("services")
    found = []
    for one in services if isinstance(services, list) else ():
        try:
            found.append(decode(json_object(one, "services")))
        except DecodeError:
            continue
    return tuple(one for one in found if one is not None)


def _scale(service: dict[str, Any]) -> EndpointScale | None:
    if service.get("scale") is None:
        return None
    scale = json_object(service["scale"], "scale")
    minimum = max(0, integer(scale, "min", 1))
    return EndpointScale(
        service=string(service, "name"),
        minimum=minimum,
        maximum=max(minimum, integer(scale, "max")),
        start_seconds=bounded(
            number(scale, "bootS", DEFAULT_START_SECONDS), MAX_START_SECONDS, "bootS"
        ),
    )


def _engine_memory(service: dict[str, Any]) -> EngineMemory | None:
    engine = json_object(service.get("engine") or {}, "engine")
    tokens = integer(engine, "kvCapTokens", 0)
    return EngineMemory(string(service, "name"), tokens) if tokens > 0 else None


def _route(document: dict[str, Any]) -> Route:
    return Route(
        name=string(document, "name", ""),
        host=string(document, "host").lower(),
        path_prefix=string(document, "pathPrefix"),
        kind=_kind(document),
        services=_services(document),
        attempts=max(1, integer(document, "attempts", 1)),
        timeout_ms=_milliseconds(document, "timeoutMs"),
        objective_ms=_milliseconds(document, "sloMs", number(document, "timeoutMs")),
        priority=integer(document, "priority", 0),
        pause_ms=_milliseconds(document, "gapSloMs", DEFAULT_PAUSE_MS),
        resumable=boolean(document, "resumable"),
        # Despite its name, this field marks routes whose requests name the parts of their
        # prompts.
        prefix_affinity=boolean(document, "sticky"),
        public=boolean(document, "public"),
    )


def _milliseconds(document: dict[str, Any], name: str, default: float | None = None) -> float:
    return bounded(number(document, name, default), MAX_MS, name)


def _bytes(document: dict[str, Any], name: str, default: int) -> int:
    return int(bounded(integer(document, name, default), MAX_BYTES, name))


def _kind(document: dict[str, Any]) -> RouteKind:
    name = string(document, "kind")
    try:
        return RouteKind(name)
    except ValueError as exc:
        raise DecodeError("kind: unknown") from exc


def _services(document: dict[str, Any]) -> tuple[WeightedService, ...]:
    parts = [json_object(one, "split") for one in list_items(document, "split")]
    if not parts:
        return (WeightedService(string(document, "service"), 1.0),)
    return tuple(WeightedService(string(one, "service"), number(one, "weight")) for one in parts)


def _limits(document: dict[str, Any]) -> IngressLimits:
    defaults = IngressLimits()
    return IngressLimits(
        header_bytes=_bytes(document, "maxHeaderBytes", defaults.header_bytes),
        body_bytes=_bytes(document, "maxBodyBytes", defaults.body_bytes),
        header_timeout_ms=_milliseconds(document, "headerTimeoutMs", defaults.header_timeout_ms),
        idle_timeout_ms=_milliseconds(document, "idleTimeoutMs", defaults.idle_timeout_ms),
    )
