"""Serves a gateway's counters and latency histograms on a separate address."""

from typing import Any

from aioprometheus import Counter, Gauge, Histogram, Registry, render
from attrs import field, frozen
from twisted.internet.interfaces import IListeningPort
from twisted.web.resource import Resource
from twisted.web.server import Request as HttpRequest
from twisted.web.server import Site

from chivewall.addresses import check_address, parse_address
from chivewall.events import Event
from chivewall.plugins.base import Plugin
from chivewall.plugins.registry import Registry as PluginRegistry

# Upper bounds of the histogram buckets, in seconds; 0.34 is the target for the first token.
LATENCY_BUCKETS = [0.025, 0.05, 0.1, 0.2, 0.34, 0.5, 0.8, 1.2, 2.0, 3.0, 5.0, 8.0]


@frozen
class GatewayMetricsSettings:
    """Listening address of the metrics."""

    address: str = field(validator=check_address, metadata={"help": "IP:PORT to listen on."})


class GatewayMetrics:
    """Counters and histograms that are fed with the log events of one gateway."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.requests = self._counter("calls_total", "Ended calls by route and outcome.")
        self.attempts = self._counter("attempts_total", "Attempts by kind.")
        self.prefix_fetches = self._counter(
            "prefix_fetches_total",
            "Attempts at engines that fetch a part of the prompt from another engine, by kind.",
        )
        self.failures = self._counter("attempt_failures_total", "Failed attempts by outcome.")
        self.waits = self._counter("call_waits_total", "Waits of calls for an endpoint by route.")
        self.refusals = self._counter("refusals_total", "Calls refused without a route, by code.")
        self.outages = self._counter("store_outages_total", "Outages of the store by collection.")
        self.rejected = self._counter(
            "rejected_documents_total",
            "Documents that can't be decoded, by collection; once for each of their revisions.",
        )
        self.orders = self._counter("orders_total", "Orders to engines by stage.")
        self.duty_calls = self._counter(
            "duty_calls_total", "Calls that are the duty of one gateway, by outcome."
        )
        self.memory_refusals = self._counter(
            "memory_refusals_total", "Calls for which no engine had memory, by verdict."
        )
        self.count_orders = self._counter(
            "endpoint_orders_total", "Orders of the number of endpoints by outcome."
        )
        self.incomplete_windows = self._counter(
            "usage_windows_incomplete_total", "Windows reported without some gateways' counts."
        )
        self.skipped_windows = self._counter(
            "usage_windows_skipped_total", "Windows of usage that were not reported."
        )
        self.engine_crashes = self._counter(
            "engine_crashes_total", "Calls that were starting at an engine when it crashed."
        )
        self.part_checks = self._counter(
            "prompt_part_checks_total", "Calls with a suspected prompt part by verdict."
        )
        self.parts_blocked = self._counter(
            "prompt_parts_blocked_total", "Prompt parts that were blocked for crashing engines."
        )
        self.restores = self._counter(
            "store_restores_total", "Restores of the store from a copy that were seen."
        )
        self.peer_configurations = self._counter(
            "peer_configurations_total", "Routing configurations taken from another gateway."
        )
        self.store_era = Gauge(
            "chivewall_gateway_store_era",
            "Newest era of the store that was seen.",
            registry=self.registry,
        )
        self.ignored_entries = self._counter(
            "endpoint_entries_ignored_total", "Entries of a restored store that were not believed."
        )
        self.leaving = self._counter(
            "endpoints_leaving_total", "Notices that an endpoint leaves, by how they were learned."
        )
        self.limited_endpoints = Gauge(
            "chivewall_gateway_limited_endpoints",
            "Endpoints that name a rate limit now.",
            registry=self.registry,
        )
        self.limited_attempts = self._counter(
            "limited_attempts_total",
            "Attempts sent to endpoints that name a rate limit, by endpoint and kind.",
        )
        self._limits: set[str] = set()  # ids of the endpoints that name one
        self.pauses = self._counter(
            "endpoint_pauses_total", "Pauses that endpoints asked for, by how they were learned."
        )
        self.permits = self._counter(
            "permits_total", "Permits for endpoints with a rate limit, by outcome."
        )
        self.extra_attempts = self._counter(
            "extra_attempts_total", "Extra attempts sent beside slow ones, by route."
        )
        self.extra_outcomes = self._counter(
            "extra_attempts_ended_total", "Ended extra attempts by outcome."
        )
        self.doubled_seconds = self._counter(
            "extra_attempt_seconds_total", "Time for which two endpoints worked on one call."
        )
        self.silent_keepers = self._counter(
            "silent_permit_keepers_total", "Gateways that did not answer an ask for a permit."
        )
        self.revoked_keys = self._counter(
            "revoked_keys_total", "Calls that ended since their key was revoked, by route."
        )
        self.yields = self._counter(
            "workspace_yields_total",
            "Calls that were late or refused since their workspace was over its share.",
        )
        self.workspace_keys = Gauge(
            "chivewall_gateway_workspace_keys",
            "Keys of workspaces in force.",
            registry=self.registry,
        )
        self.engine_scale = Gauge(
            "chivewall_gateway_engine_prefill_scale",
            "Learned time of an engine for a second of prefill at the speed in the settings.",
            registry=self.registry,
        )
        self.blocked_parts = Gauge(
            "chivewall_gateway_blocked_prompt_parts",
            "Prompt parts that are blocked now.",
            registry=self.registry,
        )
        self.request_seconds = self._histogram("call_seconds", "Whole time of a call by route.")
        self.first_event_seconds = self._histogram(
            "first_event_seconds", "Time to the first event by route."
        )
        # Counters with one label: its name, and the field of the event that gives its value.
        self._labelled = {
            Event.CALL_ATTEMPT_FAILED: (self.failures, "outcome", "outcome"),
            Event.CALL_REFUSED: (self.refusals, "code", "code"),
            Event.CALL_WAITING: (self.waits, "route", "route"),
            Event.STORE_UNAVAILABLE: (self.outages, "collection", "key"),
            Event.DOCUMENT_REJECTED: (self.rejected, "collection", "collection"),
            Event.ORDER_SENT: (self.orders, "stage", "stage"),
            Event.ENGINE_MEMORY_FULL: (self.memory_refusals, "verdict", "verdict"),
            Event.ENDPOINTS_ORDERED: (self.count_orders, "outcome", "outcome"),
            Event.DUTY_CALLED: (self.duty_calls, "outcome", "outcome"),
            Event.ENGINE_CRASHED: (self.engine_crashes, "service", "service"),
            Event.ENDPOINT_ENTRY_IGNORED: (self.ignored_entries, "reason", "reason"),
            Event.PROMPT_PART_CHECKED: (self.part_checks, "verdict", "verdict"),
            Event.PROMPT_PART_BLOCKED: (self.parts_blocked, "service", "service"),
            Event.ENDPOINT_LEAVING: (self.leaving, "source", "source"),
            Event.ENDPOINT_PAUSED: (self.pauses, "source", "source"),
            Event.EXTRA_ATTEMPT: (self.extra_attempts, "route", "route"),
            Event.EXTRA_ATTEMPT_ENDED: (self.extra_outcomes, "outcome", "outcome"),
            Event.PERMIT_DECIDED: (self.permits, "outcome", "outcome"),
            Event.PERMIT_KEEPER_SILENT: (self.silent_keepers, "peer", "peer"),
            Event.KEY_REVOKED: (self.revoked_keys, "route", "route"),
        }

    def observe(self, event: Event, fields: dict[str, Any]) -> None:
        """Update the metrics with one log event."""
        self._count(event, fields)
        if event is Event.CALL_ENDED:
            route = {"route": fields["route"]}
            self.requests.inc(route | {"outcome": fields["outcome"]})
            self.request_seconds.observe(route, fields["seconds"])
            if fields["first_after"] is not None:
                self.first_event_seconds.observe(route, fields["first_after"])
        elif event is Event.CALL_ATTEMPT:
            self._observe_attempt(fields)
        elif event is Event.ENDPOINT_LIMIT:
            self._observe_limit(fields)
        elif event is Event.ENGINE_SPEED_LEARNED:
            self.engine_scale.set({"endpoint": fields["endpoint"]}, fields["prefill_scale"])
        elif event in (Event.PROMPT_PART_BLOCKED, Event.PROMPT_PART_CLEARED):
            self.blocked_parts.set({}, fields["blocked_parts"])
        else:
            self._observe_platform(event, fields)
            self._observe_workspaces(event, fields)

    def _observe_attempt(self, fields: dict[str, Any]) -> None:
        kind = {"kind": "prefill" if fields["prefill"] else "run"}
        self.attempts.inc(kind)
        if fields["fetched_from"] is not None:
            self.prefix_fetches.inc(kind)
        if fields["endpoint"] in self._limits:
            self.limited_attempts.inc({"endpoint": fields["endpoint"], **kind})

    def _count(self, event: Event, fields: dict[str, Any]) -> None:
        if event in self._labelled:
            counter, label, source = self._labelled[event]
            counter.inc({label: str(fields[source])})
        if event is Event.EXTRA_ATTEMPT_ENDED:
            self.doubled_seconds.add({}, fields["doubled_seconds"])

    def _observe_limit(self, fields: dict[str, Any]) -> None:
        self.limited_endpoints.set({}, fields["limited_endpoints"])
        if fields["rate"] is None:
            self._limits.discard(fields["endpoint"])
        else:
            self._limits.add(fields["endpoint"])

    def _observe_workspaces(self, event: Event, fields: dict[str, Any]) -> None:
        if event is Event.WORKSPACES_IN_FORCE:
            self.workspace_keys.set({}, fields["keys"])
        elif event is Event.WORKSPACE_YIELDS:
            labels = {"workspace": fields["workspace"], "outcome": fields["outcome"]}
            self.yields.inc(labels)

    def _observe_platform(self, event: Event, fields: dict[str, Any]) -> None:
        if event is Event.CATALOGUE_IN_FORCE and "peer" in fields:
            self.peer_configurations.inc({})
        elif event is Event.STORE_ERA_BEGAN:
            self.store_era.set({}, fields["era"])
            if fields["previous"] is not None:
                self.restores.inc({})
        elif event is Event.USAGE_INCOMPLETE:
            self.incomplete_windows.inc({})
        elif event is Event.USAGE_SKIPPED:
            self.skipped_windows.add({}, fields["last_window"] - fields["first_window"] + 1)

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(f"chivewall_gateway_{name}", doc, registry=self.registry)

    def _histogram(self, name: str, doc: str) -> Histogram:
        return Histogram(
            f"chivewall_gateway_{name}", doc, buckets=LATENCY_BUCKETS, registry=self.registry
        )


class MetricsResource(Resource):
    """Serves all metrics as text on every path."""

    isLeaf = True  # noqa: N815 - Twisted's name

    def __init__(self, metrics: GatewayMetrics) -> None:
        super().__init__()
        self.metrics = metrics

    def render_GET(self, http: HttpRequest) -> bytes:  # noqa: N802 - Twisted's name
        """Return all metrics in the format that the client accepts."""
        content, headers = render(self.metrics.registry, [http.getHeader("Accept") or "*/*"])
        for name, value in headers.items():
            http.setHeader(name, value)
        return content


class GatewayMetricsPlugin(Plugin):
    """Collects metrics from the event log and serves them."""

    name = "metrics"
    settings_type = GatewayMetricsSettings

    async def setup(self) -> None:
        """Create the metrics and subscribe them to the event log."""
        self.metrics = GatewayMetrics()
        self.listener: IListeningPort | None = None  # none before the start, or if it fails
        self.env.log.subscribe(self.metrics.observe)

    async def start(self) -> None:
        """Listen on the port."""
        host, port = parse_address(self.cfg.address)
        site = Site(MetricsResource(self.metrics))
        self.listener = self.env.reactor.listenTCP(port, site, interface=host)

    async def stop(self) -> None:
        """Stop listening."""
        if self.listener is not None:
            await self.listener.stopListening()


def register(registry: PluginRegistry) -> None:
    """Register the plug-in."""
    registry.add(GatewayMetricsPlugin)
