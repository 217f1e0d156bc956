"""Helpers for tests of a gateway's tasks on a virtual clock."""

import random
from io import StringIO

from twisted.internet.defer import Deferred

from chivewall.environment import Environment
from chivewall.events import EventLog
from chivewall.gateway.fleet import Fleet
from chivewall.gateway.fleet_messages import FindPlacement
from chivewall.gateway.fleet_settings import FleetSettings
from chivewall.gateway.http_dialect import RequestFields
from chivewall.gateway.sources import CollectionSources
from chivewall.gateway.store_collections import CollectionItem, CollectionSnapshot
from chivewall.settings import CoreSettings, Role, Settings
from chivewall.task import Inbox
from tests.utils.gateways import engine_info


class SilentSource:
    """Collection whose list is never returned."""

    name = "servers"

    def read_all(self):
        return Deferred()


def make_sources():
    """Return collections whose lists are never returned."""
    return CollectionSources(
        routing_configuration=SilentSource(),
        endpoints=SilentSource(),
        eras=Inbox(),
        decode_configuration=lambda document: document,
    )


def make_fleet(clock, **stages):
    """Return a started fleet that knows one engine for each name and stage."""
    core = CoreSettings(role=Role.GATEWAY, instance="g", data_centre="north", plugins=("x",))
    env = Environment(
        settings=Settings(core=core),
        clock=clock,
        random=random.Random(1),
        log=EventLog(StringIO()),
    )
    bounds = FleetSettings(
        drain_ms=2000, repeat_ratio=0.2, repeat_window_seconds=10, repeat_burst=58
    )
    fleet = Fleet(
        env,
        bounds,
        make_sources(),
    )
    fleet.start()
    engines = [engine_info(name, stage) for name, stage in stages.items()]
    items = tuple(CollectionItem(one.id, one, 1) for one in engines)
    fleet.send(CollectionSnapshot("servers", items, 1))
    return fleet


class RecordingSink:
    """Records the messages that would be shared with other gateways."""

    def __init__(self):
        self.messages = []

    def put(self, message):
        self.messages.append(message)


def query_placement(fleet, prompt_tokens=20_000, **fields):
    """Return the placement of a prompt, by default a long one, or ``None``."""
    found = []
    prompt = RequestFields(prompt_tokens=prompt_tokens)
    fleet.query(
        FindPlacement(
            service="engines", fields=prompt, excluded=frozenset(), allowed=None, **fields
        )
    ).addCallback(found.append)
    return found[0]
