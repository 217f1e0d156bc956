"""A service on a virtual clock whose endpoints start some time after they were ordered."""

from attrs import define, field

from chivewall.decisions.endpoint_counts import EndpointCounts, window_seconds
from chivewall.decisions.endpoint_demand import DataCentreLoad, EndpointDemand, ServiceDemand
from chivewall.gateway.routing_configuration import EndpointScale

STEP_SECONDS = 1.0


@define
class ScaledService:
    """Endpoints of one data centre that prefill, the work that waits, and what is billed.

    ``work``: engine seconds of prefill that arrive in a second, as a function of the time. Half of
    the endpoints prefill, and streams take as much of the others.
    """

    scale: EndpointScale
    work: object
    endpoints: int
    obeys: bool = True  # whether the platform carries orders out
    now: float = 0.0
    waiting: float = 0.0  # engine seconds of work that have not been done
    late: float = 0.0  # sum of the engine seconds that waited, over all steps
    billed: float = 0.0  # seconds of endpoints
    orders: list = field(factory=list)
    counts: EndpointCounts = None
    demand: EndpointDemand = field(factory=EndpointDemand)
    _starts: list[float] = field(factory=list)

    def __attrs_post_init__(self):
        self.counts = self.counts or EndpointCounts(self.scale)

    def load(self):
        prefill = self.demand.prefill("north", window_seconds(self.scale), self.now)
        engines = self.endpoints // 2
        running = 40.0 * sum(seconds for _, seconds in prefill)
        north = DataCentreLoad(
            "north", self.endpoints, self.endpoints, engines, prefill, running=running
        )
        return ServiceDemand("engines", (north,), requests_per_endpoint=40.0)

    def run(self, until):
        while self.now < until:
            self.step()
        return self

    def step(self):
        self.endpoints += sum(at <= self.now for at in self._starts)
        self._starts = [at for at in self._starts if at > self.now]
        work = self.work(self.now)
        self.demand.add("north", 0, work, self.now)
        self.waiting = max(0.0, self.waiting + work - self.endpoints / 2)
        self.late += self.waiting
        self.billed += self.endpoints * STEP_SECONDS
        self.now += STEP_SECONDS
        order = self.counts.sample(self.load(), self.now)
        if order is not None:
            self.orders.append((self.now, order.count))
            self.counts.record_order(order.data_centre, order.count, self.now)
            if self.obeys:
                self._carry_out(order.count)

    def _carry_out(self, count):
        known = self.endpoints + len(self._starts)
        self._starts += [self.now + self.scale.start_seconds] * max(0, count - known)
        self.endpoints -= max(0, known - count)
