"""Serves ``/metrics`` in the Prometheus text format, counted from the event log."""

from typing import Any

from aioprometheus import Counter, Histogram, Registry, render
from twisted.web.server import Request as HttpRequest

from chivewall.events import Event
from chivewall.plugins.base import Plugin
from chivewall.plugins.builtin.http_api import HttpApi
from chivewall.plugins.registry import Registry as PluginRegistry

# Bucket limits in seconds. 0.34 is one of them, because it is the default target for urgent
# requests.
FIRST_TOKEN_BUCKETS = [0.05, 0.1, 0.2, 0.34, 0.5, 1.0, 2.0, 5.0, 15.0, 60.0]


class RequestMetrics:
    """Metrics of the requests of one entry."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.requests = self._counter("requests_total", "Ended requests by rank and outcome.")
        self.retries = self._counter("retries_total", "Retries decided.")
        self.first_token = Histogram(
            "chivewall_first_token_seconds",
            "Time to the first token, or to the answer of a plain service, by rank.",
            buckets=FIRST_TOKEN_BUCKETS,
            registry=self.registry,
        )
        self.failures = self._counter("attempt_failures_total", "Failed attempts by code and run.")

    def observe(self, event: Event, fields: dict[str, Any]) -> None:
        """Update the metrics by one event."""
        if event is Event.REQUEST_ENDED:
            self.requests.inc({"rank": fields["rank"], "outcome": str(fields["outcome"])})
            if "first_token_seconds" in fields:
                self.first_token.observe({"rank": fields["rank"]}, fields["first_token_seconds"])
        elif event is Event.RETRY_DECIDED:
            self.retries.inc({})
        elif event is Event.ATTEMPT_FAILED:
            self.failures.inc({"code": fields["code"], "run": fields["run"]})

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(f"chivewall_{name}", doc, registry=self.registry)


class MetricsPlugin(Plugin):
    """Counts the events of the event log and serves the metrics."""

    name = "metrics"

    async def setup(self) -> None:
        """Subscribe to the event log and add the route."""
        self.metrics = RequestMetrics()
        self.env.log.subscribe(self.metrics.observe)
        self.env.require(HttpApi).route("/metrics", methods=["GET"])(self.show_metrics)

    def show_metrics(self, http: HttpRequest) -> bytes:
        """Return all metrics in the format that the client accepts."""
        content, headers = render(self.metrics.registry, [http.getHeader("Accept") or "*/*"])
        for name, value in headers.items():
            http.setHeader(name, value)
        return content


def register(registry: PluginRegistry) -> None:
    """Register the plug-in."""
    registry.add(MetricsPlugin)
