"""Entry point of the processes that ``make bench-capacity`` measures.

It imports only what a daemon imports, so that the measured memory is that of a daemon.
"""

import json
import os
import sys
from typing import Any

from attrs import define

from chivewall.configuration import default_configuration
from chivewall.daemon import Daemon
from chivewall.environment import Environment
from chivewall.interfaces import Instance, InstanceKind, ObjectStore
from chivewall.kernel import Application
from chivewall.reactor import install_reactor
from chivewall.settings import parse
from chivewall.standins.engine import EngineSpeed
from chivewall.standins.objects import MemoryStore

IDLE_SECONDS = 5.0  # length of the measurement without requests
MAX_LIFETIME_SECONDS = 120.0  # then the child exits, in case its parent has died


@define
class CountingStore(MemoryStore):
    """A ``MemoryStore`` that counts the calls of the object API that a process makes."""

    calls: int = 0

    def __getattribute__(self, name: str) -> Any:
        if name in ("get", "list", "create", "update", "delete", "watch", "instances"):
            object.__setattr__(self, "calls", object.__getattribute__(self, "calls") + 1)
        return object.__getattribute__(self, name)


def serve(options: dict[str, Any]) -> None:
    """Run an entry, an agent or a stand-in endpoint until SIGTERM."""
    reactor = install_reactor()
    reactor.callLater(MAX_LIFETIME_SECONDS, os._exit, 1)
    if options["name"].startswith("standin"):
        _serve_standin(reactor, options)
        return
    text = json.dumps({"drain_seconds": 1.0, "data_centre": "Mombasa", **options["settings"]})
    env = Environment.build(parse(text), reactor, stdout=sys.stdout, stderr=sys.stderr)
    store = CountingStore(clock=reactor)
    store.instance_list = tuple(
        Instance(
            one["name"], InstanceKind(one["kind"]), "Mombasa", "127.0.0.1", one["port"], ("x",)
        )
        for one in options.get("instances", ())
    )
    env.provide(ObjectStore, store)
    app = Application(env)
    from chivewall.plugins.builtin.configuration import seed_configuration  # noqa: PLC0415

    seed_configuration(store, default_configuration())
    reactor.callLater(1.0, _print_port, app)
    reactor.callLater(1.0 + IDLE_SECONDS, _print_call_rate, store)
    Daemon(app, reactor).run()


def _print_port(app: Application) -> None:
    port = next(one.port for one in app.plugins if hasattr(one, "port"))
    print(json.dumps({"port": port}), flush=True)


def _print_call_rate(store: CountingStore) -> None:
    print(json.dumps({"calls_per_second": store.calls / (1.0 + IDLE_SECONDS)}), flush=True)


def _serve_standin(reactor: Any, options: dict[str, Any]) -> None:
    from chivewall.standins.engine_http import EngineServer  # noqa: PLC0415
    from chivewall.standins.service_http import BookingService  # noqa: PLC0415

    if options["name"] == "standin-engine":
        speed = EngineSpeed(step_seconds=0.002)
        site = EngineServer(clock=reactor, models=("x",), speed=speed).site()
    else:
        site = BookingService(name="x").site()
    listener = reactor.listenTCP(0, site, interface="127.0.0.1")
    print(json.dumps({"port": listener.getHost().port}), flush=True)
    reactor.run()


if __name__ == "__main__":
    serve(json.loads(sys.argv[1]))
