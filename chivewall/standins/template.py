"""Renders the gateway's settings template in ``deploy/`` as the users' platform does."""

import json
import re
from pathlib import Path
from typing import Any

TEMPLATE = Path(__file__).parents[2] / "deploy" / "gateway.jsonc"
PLACEHOLDER = re.compile(r"\{\{([\w.]+)\|json\}\}")
# A section, rendered if its field has a value; the fields that the template names are no lists.
SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)


def render_settings(fields: dict[str, Any]) -> str:
    """Return the settings file of an instance with these fields.

    ``metricsPort`` is not a field of the platform; it replaces the port that the template fixes.
    """
    text = _render_sections(TEMPLATE.read_text(), fields)
    text = PLACEHOLDER.sub(lambda match: json.dumps(_value(fields, match[1])), text)
    return text.replace("{{ip}}:9464", f"{fields['ip']}:{fields['metricsPort']}")


def _render_sections(text: str, fields: dict[str, Any]) -> str:
    """Return a text without the sections whose field is missing, empty or false."""

    def section(match: re.Match[str]) -> str:
        return _render_sections(match[2], fields) if _has_value(fields, match[1]) else ""

    return SECTION.sub(section, text)


def _has_value(fields: dict[str, Any], path: str) -> bool:
    try:
        return _value(fields, path) not in (None, False, [], {})
    except (KeyError, IndexError):
        return False


def _value(fields: dict[str, Any], path: str) -> Any:
    found = fields
    for key in path.split("."):
        found = found[int(key)] if key.isdigit() else found[key]
    return found


def instance_fields(
    name: str,
    ports: dict[str, int],
    store: tuple[str, int],
    ip: str = "127.0.0.1",
    seeds: tuple[str, ...] = (),
) -> dict[str, Any]:
    """Return the template fields of an instance whose addresses are all on loopback."""
    return {
        "node": name,
        "zone": "north",
        "ip": ip,
        "metricsPort": ports["metrics"],
        "portRange": [ports["peer"], ports["peer"]],
        "seeds": list(seeds),
        "listen": {
            "front": f"{ip}:{ports['front']}",
            "ready": f"{ip}:{ports['ready']}",
        },
        "heartbeatMs": 1200,
        "limits": {"memoryMb": 552},
        "bounds": {
            "graceS": 8,
            "drainMs": 2000,
            "retryRatio": 0.2,
            "retryWindowS": 10,
            "retryBurst": 240,
            "leaseMs": 3000,
        },
        "provider": {"addr": f"{store[0]}:{store[1]}"},
    }
