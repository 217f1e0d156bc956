"""Decodes the endpoints' entries (objects of kind ``servers``) into ``EndpointInfo``."""

from ipaddress import IPv4Address
from typing import Any

from chivewall.addresses import Address, parse_address
from chivewall.errors import DecodeError
from chivewall.gateway.routing_configuration import EndpointInfo, Stage
from chivewall.platform.fields import (
    bounded,
    check_label,
    integer,
    json_object,
    label,
    number,
    string,
)

KIND = "servers"
STATES = ("ready", "draining")
MAX_SLOTS = 1_000_000
MAX_UNIX_MS = 1e14  # the year 5138
MAX_WARMUP_MS = 86_400_000.0  # a day


def decode_endpoint(name: str, spec: object) -> EndpointInfo:
    """Decode an endpoint's entry.

    Raises ``DecodeError`` if a field is missing or odd, for example because something other than
    an endpoint wrote it.
    """
    document = json_object(spec, "entry")
    state = string(document, "state")
    if state not in STATES:
        raise DecodeError("state: unknown")
    ip, port = _address(string(document, "addr"))
    label(document, "version")
    return EndpointInfo(
        id=_id(name),
        service=label(document, "service"),
        ip=ip,
        port=port,
        data_centre=label(document, "zone"),
        slots=max(1, int(bounded(integer(document, "slots"), MAX_SLOTS, "slots"))),
        draining=state == "draining",
        stage=_stage(document),
        started_ms=_started_ms(document),
        updates=integer(document, "seq"),
        warmup_left_ms=bounded(number(document, "coldLeftMs"), MAX_WARMUP_MS, "coldLeftMs"),
    )


def _id(name: str) -> str:
    """Return an endpoint's id, which requests to it carry in a header."""
    if not check_label(name, "id").isascii() or " " in name:
        raise DecodeError("id: not of ASCII letters, digits and signs")
    return name


def _address(value: str) -> Address:
    """Return an address with an IPv4 literal; a host name would have to be looked up."""
    try:
        host, port = parse_address(value)
        ip = IPv4Address(host)
    except ValueError as exc:
        raise DecodeError("addr: not of the form IP:PORT") from exc
    if ip.is_unspecified or ip.is_multicast:
        raise DecodeError("addr: not the address of one machine")
    return host, port


def _started_ms(document: dict[str, Any]) -> int | None:
    if "born" not in document:
        return None
    return int(bounded(integer(document, "born"), MAX_UNIX_MS, "born"))


def _stage(document: dict[str, Any]) -> Stage:
    if document.get("stage") is None:
        return Stage.NONE
    try:
        return Stage(string(document, "stage"))
    except ValueError as exc:
        raise DecodeError("stage: unknown") from exc
