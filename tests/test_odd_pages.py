"""Responses of the store with odd items, events and fields of its own: the watch goes on."""

import json
import random
from io import StringIO

import pytest
from attrs import define, field
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from chivewall.environment import Environment
from chivewall.errors import HistoryLostError
from chivewall.events import EventLog
from chivewall.gateway.channels import HttpResponse
from chivewall.gateway.store_collections import MAX_RETRY_SECONDS, CollectionWatcher
from chivewall.platform.endpoint_entries import decode_endpoint
from chivewall.platform.objects import ObjectClient, ObjectCollection
from chivewall.settings import CoreSettings, Role, Settings
from chivewall.standins.platform_store import RawJson, encode_document
from chivewall.task import Inbox
from tests.test_odd_entries import ENDPOINT, UNREADABLE, stored
from tests.test_platform_formats import JSON

ODD_ITEMS = [
    None,
    7,
    "i-9",
    [],
    {},
    {"metadata": None},
    {"metadata": {"name": 7}},
    {"metadata": {"name": "i-9", "rev": "x"}, "spec": ENDPOINT},
    {"metadata": {"name": "i-9", "rev": 1e999}, "spec": ENDPOINT},
    {"metadata": {"name": "\ud800", "rev": 1}, "spec": None},
]


@define(eq=False)
class ScriptedStore:
    """Responds to one request after the other with these documents; then never.

    An exception among them is raised.
    """

    responses: list = field(factory=list)
    targets: list = field(factory=list)

    def fetch(self, address, method, target, deadline):
        self.targets.append(target.decode())
        if not self.responses:
            return Deferred()
        response = self.responses.pop(0)
        if isinstance(response, Exception):
            raise response
        return succeed(HttpResponse(200, (), encode_document(response)))


@define(eq=False)
class Site:
    """A watcher of the endpoints' list, and what it sends."""

    store: ScriptedStore
    clock: Clock = field(factory=Clock)
    log: StringIO = field(factory=StringIO)
    inbox: Inbox = field(factory=Inbox)

    def run(self):
        core = CoreSettings(role=Role.GATEWAY, instance="g", data_centre="n", plugins=("x",))
        env = Environment(
            settings=Settings(core=core),
            clock=self.clock,
            random=random.Random(1),
            log=EventLog(self.log),
        )
        client = ObjectClient(env, self.store, ("10.0.0.1", 1))
        source = ObjectCollection(client, "servers", decode_endpoint)
        CollectionWatcher(env, source, self.inbox, eras=Inbox()).start()
        return self

    def items(self):
        """Return what was read: the names and whether each names an endpoint."""
        messages = []
        while len(self.inbox):
            self.inbox.get().addCallback(messages.append)
        return [
            (item.name, item.value is not None)
            for message in messages
            for item in getattr(message, "items", ())
        ]


def page(*items, truncated=False):
    return {"items": list(items), "truncated": truncated, "asOf": 5}


def event(item):
    return {"object": item, "tombstone": False}


@pytest.mark.parametrize("odd", ODD_ITEMS, ids=repr)
def test_odd_item_does_not_end_the_watch(odd):
    """Guards against a watch that ends for good at an item without the fields of an object."""
    site = Site(ScriptedStore([page(odd, stored("i-1", ENDPOINT))])).run()
    assert ("i-1", True) in site.items()
    assert site.store.targets[-1].startswith("/objects/servers?watch=5")


@pytest.mark.parametrize("odd", [*ODD_ITEMS, {"object": 7}, {"tombstone": True}], ids=repr)
def test_odd_event_does_not_end_the_watch(odd):
    """Guards against a watch that ends for good at an event without the fields of one."""
    events = {"events": [odd, event(odd), event(stored("i-1", ENDPOINT))], "asOf": 9}
    site = Site(ScriptedStore([page(), events])).run()
    assert ("i-1", True) in site.items()
    assert site.store.targets[-1].startswith("/objects/servers?watch=9")


@pytest.mark.parametrize("document", [7, [], {}, {"items": 7}, {"items": [], "asOf": "x"}])
def test_malformed_response_is_read_again(document):
    """Guards against a watch that ends for good when a response lacks a field."""
    site = Site(ScriptedStore([document, page(stored("i-1", ENDPOINT))])).run()
    site.clock.advance(MAX_RETRY_SECONDS)
    assert ("i-1", True) in site.items()


def test_list_goes_on_after_a_page_of_odd_items():
    """Guards against pages that are never read because the last item before has no name."""
    pages = [page(stored("i-1", ENDPOINT), 7, truncated=True), page(stored("i-2", ENDPOINT))]
    site = Site(ScriptedStore(pages)).run()
    assert site.store.targets[1] == "/objects/servers?after=i-1"
    assert [one for one in site.items() if one[1]] == [("i-1", True), ("i-2", True)]


def test_list_without_a_name_to_go_on_is_tried_again():
    """Guards against a list that reads the same page for ever."""
    site = Site(ScriptedStore([page(7, truncated=True)])).run()
    assert len(site.store.targets) == 1
    site.clock.advance(MAX_RETRY_SECONDS)
    assert len(site.store.targets) == 2


def test_unexpected_error_does_not_end_the_watch():
    """Guards against a watch that ends for good at an error that nobody foresaw."""
    site = Site(ScriptedStore([ArithmeticError("odd"), page(stored("i-1", ENDPOINT))])).run()
    site.clock.advance(MAX_RETRY_SECONDS)
    assert ("i-1", True) in site.items()


def rejections(site):
    lines = [json.loads(one) for one in site.log.getvalue().splitlines()]
    return [one for one in lines if one["name"] == "DOCUMENT_REJECTED"]


def test_rejected_entry_is_logged_once_for_each_revision():
    """Guards against a log that fills up with the same odd entry at every read of the list."""
    odd = [stored("odd", None, 3), stored("o" * 5000, {"state": "x" * 5000}, 4), 7]
    lost = HistoryLostError("410")
    changes = {"events": [event(stored("odd", 7, 8))], "asOf": 8}
    site = Site(ScriptedStore([page(*odd), lost, page(*odd), lost, page(*odd), changes])).run()
    for _ in range(9):
        site.clock.advance(MAX_RETRY_SECONDS)
    found = rejections(site)
    assert [(one["object"][:3], one["revision"]) for one in found] == [
        ("odd", 3),
        ("ooo", 4),
        ("", 0),
        ("odd", 8),
    ]
    assert max(map(len, site.log.getvalue().splitlines())) < 1000


def test_entry_that_is_rejected_again_is_logged_again():
    """Guards against a second odd entry under the same id that nothing shows."""
    stages = [stored("i-1", 7, 3), stored("i-1", ENDPOINT, 4), stored("i-1", 7, 5)]
    gone = {"object": stages[0], "tombstone": True}
    events = [event(stages[0]), event(stages[1]), event(stages[2]), gone, event(stages[0])]
    site = Site(ScriptedStore([page(), {"events": events, "asOf": 9}])).run()
    assert [one["revision"] for one in rejections(site)] == [3, 5, 3]


@given(JSON | st.sampled_from(list(UNREADABLE.values())).map(RawJson), st.booleans())
def test_any_value_in_place_of_an_item_leaves_the_others(value, watched):
    """Guards against other endpoints that are lost with any value in place of an item."""
    others = [stored("i-1", ENDPOINT), stored("i-2", ENDPOINT)]
    for odd in (value, stored("odd", value)):
        items = [others[0], odd, others[1]]
        events = {"events": [event(one) for one in items], "asOf": 9}
        site = Site(ScriptedStore([page(), events] if watched else [page(*items)])).run()
        assert {("i-1", True), ("i-2", True)} <= set(site.items())
        assert all(json.loads(one) for one in site.log.getvalue().splitlines())
