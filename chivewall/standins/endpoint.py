"""Runs a simulated endpoint as a process: ``python -m chivewall.standins.endpoint SETTINGS``."""

import sys
from enum import Enum
from pathlib import Path
from typing import Any

import click
import json5
from attrs import define, field, validators
from twisted.internet import reactor
from twisted.web.server import Site

from chivewall.errors import ChivewallError, SettingsError
from chivewall.exits import ExitStatus
from chivewall.settings import SettingsChecker
from chivewall.standins.engine import EngineSpeed
from chivewall.standins.engine_http import EngineServer
from chivewall.standins.service_http import BookingService


class Kind(Enum):
    """Type of the simulated endpoint."""

    ENGINE = "engine"
    SERVICE = "service"


@define
class EndpointSettings:
    """Settings of a simulated endpoint.

    Example: ``{"kind": "engine", "port": 9201, "targets": ["rota-assistant"]}``.
    """

    kind: Kind
    port: int
    targets: tuple[str, ...] = field(validator=validators.min_len(1))
    host: str = "127.0.0.1"
    step_seconds: float = 0.02  # duration of an engine's decode step
    call_seconds: float = 0.0  # time between running an action and responding to it
    padding_bytes: int = 0  # extra bytes in a service's response to a GET


@click.command()
@click.argument("settings", type=click.Path(path_type=Path))
@click.option("--check", is_flag=True, help="Check the settings file and stop.")
def main(settings: Path, *, check: bool) -> None:
    """Serve an engine or a plain service described in a JSON file with comments."""
    try:
        cfg = read_settings(settings.read_text(encoding="utf-8"), source=str(settings))
    except (ChivewallError, OSError) as exc:
        click.echo(str(exc), err=True)
        sys.exit(ExitStatus.INVALID_SETTINGS)
    if check:
        click.echo(f"{settings}: the settings are valid")
        return
    reactor.listenTCP(cfg.port, build_site(cfg, reactor), interface=cfg.host)
    reactor.run()


def read_settings(text: str, source: str) -> EndpointSettings:
    """Parse and check the settings; raises ``SettingsError``."""
    try:
        raw = json5.loads(text)
    except ValueError as exc:
        raise SettingsError(f"{source}: not JSON with comments: {exc}") from exc
    checker = SettingsChecker(source=source, text=text)
    cfg = checker.structure(raw, EndpointSettings)
    checker.raise_problems()
    return cfg


def build_site(cfg: EndpointSettings, clock: Any) -> Site:
    """Return the HTTP site of the configured engine or service."""
    if cfg.kind is Kind.ENGINE:
        speed = EngineSpeed(step_seconds=cfg.step_seconds)
        return EngineServer(clock=clock, models=cfg.targets, speed=speed).site()
    service = BookingService(
        name=cfg.targets[0],
        clock=clock,
        call_seconds=cfg.call_seconds,
        padding_bytes=cfg.padding_bytes,
    )
    return service.site()


if __name__ == "__main__":
    main()
