"""A plain service that books shifts and counts how often each action ran."""

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
    """Every POST runs an action that must not be repeated."""

    name: str
    clock: IReactorTime | None = None  # needed for ``call_seconds``
    call_seconds: float = 0.0  # from the start of an action to its answer
    padding_bytes: int = 0  # what the answer to a GET is longer by
    runs: Counter[str] = field(factory=Counter)

    def site(self) -> Site:
        """Return the site to listen with."""
        app = Klein()
        app.route("/readyz", methods=["GET"])(lambda _http: b"{}")
        app.route("/runs", methods=["GET"])(self.show_runs)
        app.route("/", branch=True)(self.serve)
        return Site(app.resource())

    def show_runs(self, http: HttpRequest) -> bytes:
        """Show how often each action ran, by its body."""
        http.setHeader("Content-Type", "application/json")
        return json.dumps(self.runs).encode()

    async def serve(self, http: HttpRequest) -> bytes:
        """Run one action, or count the actions for a GET."""
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
