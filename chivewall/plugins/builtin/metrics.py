"""``/metrics`` in the text format of Prometheus, counted from the event log."""

from typing import Any

from aioprometheus import Counter, Registry, render
from twisted.web.server import Request as HttpRequest

from chivewall.events import Event
from chivewall.plugins.base import Plugin
from chivewall.plugins.builtin.http_api import HttpApi
from chivewall.plugins.registry import Registry as PluginRegistry


class RequestMetrics:
    """Counters of the requests of one entry."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.requests = self._counter("requests_total", "Ended requests by rank and outcome.")
        self.retries = self._counter("retries_total", "Retries decided.")
        self.failures = self._counter("attempt_failures_total", "Failed attempts by code and run.")

    def observe(self, event: Event, fields: dict[str, Any]) -> None:
        """Count one event."""
        if event is Event.REQUEST_ENDED:
            self.requests.inc({"rank": fields["rank"], "outcome": str(fields["outcome"])})
        elif event is Event.RETRY_DECIDED:
            self.retries.inc({})
        elif event is Event.ATTEMPT_FAILED:
            self.failures.inc({"code": fields["code"], "run": fields["run"]})

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(f"chivewall_{name}", doc, registry=self.registry)


class MetricsPlugin(Plugin):
    """Follows the event log and adds the route."""

    name = "metrics"

    async def setup(self) -> None:
        """Follow the event log and add the route."""
        self.metrics = RequestMetrics()
        self.env.log.subscribe(self.metrics.observe)
        self.env.require(HttpApi).route("/metrics", methods=["GET"])(self.show_metrics)

    def show_metrics(self, http: HttpRequest) -> bytes:
        """Answer with all counters."""
        content, headers = render(self.metrics.registry, [http.getHeader("Accept") or "*/*"])
        for name, value in headers.items():
            http.setHeader(name, value)
        return content


def register(registry: PluginRegistry) -> None:
    """Register the plug-in."""
    registry.add(MetricsPlugin)
