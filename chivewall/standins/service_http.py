"""A plain service that books shifts and counts how often each action ran."""

import json
from collections import Counter

from attrs import define, field
from klein import Klein
from twisted.web.server import Request as HttpRequest
from twisted.web.server import Site


@define(eq=False)
class BookingService:
    """Every POST runs an action that must not be repeated."""

    name: str
    runs: Counter[str] = field(factory=Counter)

    def site(self) -> Site:
        """Return the site to listen with."""
        app = Klein()
        app.route("/", branch=True)(self.serve)
        return Site(app.resource())

    def serve(self, http: HttpRequest) -> bytes:
        """Run one action, or list the actions for a GET."""
        http.setHeader("Content-Type", "application/json")
        if http.method in (b"GET", b"HEAD"):
            return json.dumps({"service": self.name, "runs": self.runs.total()}).encode()
        body = http.content.read().decode(errors="replace")
        self.runs[body] += 1
        http.setResponseCode(201)
        booking = {"booking": f"{self.name}-{self.runs.total()}", "path": http.path.decode()}
        return json.dumps(booking).encode()
