"""Callers: each keeps one connection to each gateway open until it fails."""

import http.client
import random
import threading
import time

from attrs import define, field

from soak.records import RequestRecord
from soak.site import HOST, GatewayProcess, Site

MEAN_PAUSE_SECONDS = 0.05  # mean time between two requests of a caller
READ_TIMEOUT_SECONDS = 12.0  # read timeout of a connection
ROUTE_WEIGHTS = {"read": 4, "book": 4, "audit": 4, "brief": 3, "new": 1}  # weight of each route
PROMPTS = (  # values of X-Token-Count and X-Prompt-Prefix
    ("300,50", "aa:200,bb:100"),
    ("20000,50", "cc:15000,dd:5000"),
)


@define(eq=False)
class Caller:
    """Sends one request after the other until ``stop`` is set."""

    site: Site
    number: int
    rng: random.Random
    stop: threading.Event
    connections: dict[str, http.client.HTTPConnection] = field(factory=dict)
    sent_count: int = 0

    def run(self) -> None:
        """Send requests until ``stop`` is set; called in a thread of its own."""
        while not self.stop.wait(self.rng.expovariate(1 / MEAN_PAUSE_SECONDS)):
            self._send(self.rng.choice(self.site.gateways))
        for one in self.connections.values():
            one.close()

    def _send(self, gateway: GatewayProcess) -> None:
        self.sent_count += 1
        route = self.rng.choices(list(ROUTE_WEIGHTS), ROUTE_WEIGHTS.values())[0]
        if route == "new":
            route = f"v{self.site.version}"
        id_ = f"c{self.number}-{self.sent_count}"
        start_number, sent_at = gateway.start_count, time.monotonic()
        status, response_headers, body = None, {}, b""
        try:
            connection = self._connection(gateway)
            safe = route == "read" or route.startswith("v")
            method, payload = ("GET", None) if safe else ("POST", b"{}")
            connection.request(method, f"/{route}/1", payload, self._headers(id_, route))
            response = connection.getresponse()
            body = response.read()
            status, response_headers = response.status, response.headers
        except (OSError, http.client.HTTPException):
            self.connections.pop(gateway.name).close()
        self.site.record_request(
            RequestRecord(
                id=id_,
                route=route,
                gateway=gateway.name,
                start_number=start_number,
                sent_at=sent_at,
                ended_at=time.monotonic(),
                status=status,
                response_id=response_headers.get("X-Request-Id"),
                answer_stamp=response_headers.get("X-Answer-Stamp"),
                body=body,
            )
        )

    def _connection(self, gateway: GatewayProcess) -> http.client.HTTPConnection:
        if gateway.name not in self.connections:
            self.connections[gateway.name] = http.client.HTTPConnection(
                gateway.ip, gateway.ports["front"], timeout=READ_TIMEOUT_SECONDS
            )
        return self.connections[gateway.name]

    def _headers(self, id_: str, route: str) -> dict[str, str]:
        headers = {"Host": HOST, "X-Request-Id": id_, "X-Deadline-Ms": "5000"}
        if route in ("audit", "brief"):
            tokens, prefix = self.rng.choice(PROMPTS)
            headers |= {"X-Token-Count": tokens, "X-Prompt-Prefix": prefix}
        return headers
