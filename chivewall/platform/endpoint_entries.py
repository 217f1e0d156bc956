"""Decodes the endpoints' entries (objects of kind ``servers``) into ``EndpointInfo``."""

from chivewall.addresses import Address, parse_address
from chivewall.errors import DecodeError
from chivewall.gateway.routing_configuration import EndpointInfo, Stage
from chivewall.platform.fields import integer, json_object, number, string

KIND = "servers"
STATES = ("ready", "draining")


def decode_endpoint(name: str, spec: object) -> EndpointInfo:
    """Decode an endpoint's entry.

    Raises ``DecodeError`` if it is malformed, for example because something other than an
    endpoint wrote it.
    """
    document = json_object(spec, "entry")
    state = string(document, "state")
    if state not in STATES:
        raise DecodeError(f"state: {state!r} is unknown")
    ip, port = _address(string(document, "addr"))
    return EndpointInfo(
        id=name,
        service=string(document, "service"),
        ip=ip,
        port=port,
        data_centre=string(document, "zone"),
        slots=max(1, integer(document, "slots")),
        draining=state == "draining",
        stage=_stage(document.get("stage")),
        started_ms=integer(document, "born") if "born" in document else None,
        updates=integer(document, "seq", 0),
        warmup_left_ms=number(document, "coldLeftMs", 0),
    )


def _address(value: str) -> Address:
    try:
        return parse_address(value)
    except ValueError as exc:
        raise DecodeError(f"addr: {exc}") from exc


def _stage(value: object) -> Stage:
    if value is None:
        return Stage.NONE
    try:
        return Stage(value)
    except ValueError as exc:
        raise DecodeError(f"stage: {value!r} is unknown") from exc
