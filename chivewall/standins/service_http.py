"""Simulated plain service that books shifts and counts the runs of each action."""

import json
from collections import Counter

from attrs import define, field
from klein import Klein
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater
from twisted.web.server import Request as HttpRequest
from twisted.web.server import Site


@define(eq=False)
class BookingService:
    """Serves bookings; each request except GET and HEAD runs an action that must not repeat."""

    name: str
    clock: IReactorTime | None = None  # required if ``call_seconds`` is set
    call_seconds: float = 0.0  # time between running an action and responding to it
    padding_bytes: int = 0  # extra bytes in the response to a GET
    runs: Counter[str] = field(factory=Counter)  # number of runs by request body

    def site(self) -> Site:
        """Return the HTTP site."""
        app = Klein()
        app.route("/readyz", methods=["GET"])(lambda _http: b"{}")
        app.route("/runs", methods=["GET"])(self.show_runs)
        app.route("/", branch=True)(self.serve)
        return Site(app.resource())

    def show_runs(self, http: HttpRequest) -> bytes:
        """Return how often each action ran, by request body."""
        http.setHeader("Content-Type", "application/json")
        return json.dumps(self.runs).encode()

    async def serve(self, http: HttpRequest) -> bytes:
        """Run an action; for a GET or HEAD return the number of runs."""
        http.setHeader("Content-Type", "application/json")
        if http.method in (b"GET", b"HEAD"):
            answer = json.dumps({"service": self.name, "runs": self.runs.total()})
            return answer.encode() + b" " * self.padding_bytes
        body = http.content.read().decode(errors="replace")
        self.runs[body] += 1
        booking = {"booking": f"{self.name}-{self.runs.total()}", "path": http.path.decode()}
        if self.call_seconds:
            await deferLater(self.clock, self.call_seconds, lambda: None)
        http.setResponseCode(201)
        return json.dumps(booking).encode()
