"""Decodes the routing configuration (object ``config/main``) into a ``Catalogue``."""

from typing import Any

from chivewall.errors import DecodeError
from chivewall.gateway.catalogue import (
    Catalogue,
    IngressLimits,
    Kind,
    Route,
    WeightedService,
)
from chivewall.platform.fields import flag, items, mapping, number, text, whole

KIND = "config"
NAME = "main"


def decode_manifest(spec: object) -> Catalogue:
    """Decode the document; raise a ``DecodeError`` that names the invalid field."""
    document = mapping(spec, "manifest")
    return Catalogue(
        version=whole(document, "version"),
        routes=tuple(_route(mapping(one, "routes")) for one in items(document, "routes")),
        limits=_limits(mapping(document.get("limits", {}), "limits")),
    )


def _route(document: dict[str, Any]) -> Route:
    return Route(
        name=text(document, "name", ""),
        host=text(document, "host").lower(),
        path_prefix=text(document, "pathPrefix"),
        kind=_kind(document),
        services=_services(document),
        attempts=max(1, whole(document, "attempts", 1)),
        timeout_ms=number(document, "timeoutMs"),
        objective_ms=number(document, "sloMs", number(document, "timeoutMs")),
        priority=whole(document, "priority", 0),
        resumable=flag(document, "resumable"),
        # Despite its name, this field marks routes whose requests name the parts of their
        # prompts.
        prefix_affinity=flag(document, "sticky"),
    )


def _kind(document: dict[str, Any]) -> Kind:
    name = text(document, "kind")
    try:
        return Kind(name)
    except ValueError as exc:
        raise DecodeError(f"kind: {name!r} is unknown") from exc


def _services(document: dict[str, Any]) -> tuple[WeightedService, ...]:
    parts = [mapping(one, "split") for one in items(document, "split")]
    if not parts:
        return (WeightedService(text(document, "service"), 1.0),)
    return tuple(WeightedService(text(one, "service"), number(one, "weight")) for one in parts)


def _limits(document: dict[str, Any]) -> IngressLimits:
    known = IngressLimits()
    return IngressLimits(
        header_bytes=whole(document, "maxHeaderBytes", known.header_bytes),
        body_bytes=whole(document, "maxBodyBytes", known.body_bytes),
        header_timeout_ms=number(document, "headerTimeoutMs", known.header_timeout_ms),
        idle_timeout_ms=number(document, "idleTimeoutMs", known.idle_timeout_ms),
    )
