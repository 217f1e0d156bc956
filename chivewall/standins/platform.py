"""Runs a simulated object API as a process: ``python -m chivewall.standins.platform SETTINGS``."""

import sys
from pathlib import Path
from typing import Any

import click
import json5
from attrs import define, field
from twisted.internet import reactor

from chivewall.configuration import default_configuration, from_document
from chivewall.errors import ChivewallError, SettingsError
from chivewall.exits import ExitStatus
from chivewall.interfaces import Instance, InstanceKind
from chivewall.plugins.builtin.configuration import seed_configuration
from chivewall.settings import SettingsChecker
from chivewall.standins.objects import MemoryStore
from chivewall.standins.objects_http import ObjectServer, TokenBucket


@define
class PlatformSettings:
    """Settings of the simulated object API.

    Example: ``{"port": 9000, "instances": [{"name": "engine-1", "kind": "engine",
    "data_centre": "Mombasa", "host": "127.0.0.1", "port": 9101, "targets": ["m"]}]}``.
    """

    port: int
    host: str = "127.0.0.1"
    writes_per_second: float = 400.0
    reads_per_second: float = 2000.0
    list_lag_seconds: float = 0.0
    seed_default_configuration: bool = True  # only used without ``configuration``
    instances: tuple[Any, ...] = ()
    configuration: Any = field(default=None)


@click.command()
@click.argument("settings", type=click.Path(path_type=Path))
@click.option("--check", is_flag=True, help="Check the settings file and stop.")
def main(settings: Path, *, check: bool) -> None:
    """Serve the object API and the instance list of a JSON file with comments."""
    try:
        server, cfg = build_server(settings.read_text(encoding="utf-8"), source=str(settings))
    except (ChivewallError, OSError) as exc:
        click.echo(str(exc), err=True)
        sys.exit(ExitStatus.INVALID_SETTINGS)
    if check:
        click.echo(f"{settings}: the settings are valid")
        return
    reactor.listenTCP(cfg.port, server.site(), interface=cfg.host)
    reactor.run()


def build_server(text: str, source: str) -> tuple[ObjectServer, PlatformSettings]:
    """Return the configured server and its settings; raises ``SettingsError``."""
    try:
        raw = json5.loads(text)
    except ValueError as exc:
        raise SettingsError(f"{source}: not JSON with comments: {exc}") from exc
    checker = SettingsChecker(source=source, text=text)
    cfg = checker.structure(raw, PlatformSettings)
    checker.raise_problems()
    store = MemoryStore(clock=reactor)
    if cfg.configuration is not None:
        seed_configuration(store, from_document(cfg.configuration))
    elif cfg.seed_default_configuration:
        seed_configuration(store, default_configuration())
    server = ObjectServer(
        store=store,
        write_bucket=TokenBucket(per_second=cfg.writes_per_second),
        read_bucket=TokenBucket(per_second=cfg.reads_per_second),
        list_lag_seconds=cfg.list_lag_seconds,
    )
    server.set_instances(tuple(_parse_instance(one, source) for one in cfg.instances))
    return server, cfg


def _parse_instance(raw: dict[str, Any], source: str) -> Instance:
    try:
        return Instance(
            **{
                **raw,
                "kind": InstanceKind(raw["kind"]),
                "targets": tuple(raw.get("targets", ())),
            }
        )
    except (KeyError, TypeError, ValueError) as exc:
        raise SettingsError(f"{source}: instances: {raw!r}: {exc}") from exc


if __name__ == "__main__":
    main()
