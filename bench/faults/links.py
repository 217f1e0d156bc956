"""Links from entries to agents, and from agents to endpoints, over the faulty network."""

from collections.abc import Callable
from typing import Any

from attrs import define, evolve, field
from twisted.internet.defer import Deferred, fail

from bench.faults.network import LATENCY, Arrival, Crossing, Network, fire, stop_timer
from bench.faults.processes import Process, ProcessClock
from chivewall.admission_messages import ReportLoad
from chivewall.errors import EndpointError, LinkBrokenError
from chivewall.interfaces import Endpoint, Instance, Order, RunFailed
from chivewall.messages import AttemptArrived, AttemptBroken, ConfigurationReceived, WithdrawAttempt
from chivewall.plugins.builtin.admission import Admission
from chivewall.plugins.builtin.configuration import (
    ConfigurationKeeper,
    CurrentConfiguration,
    decode_configuration,
    encode_configuration,
)
from chivewall.task import Inbox
from chivewall.work import Answer, Attempt, End

CALL_TIMEOUT = 2.0  # seconds, as in the gRPC link
ENDPOINT_TIMEOUT = 10.0  # seconds; a lagging load report isn't a failure


@define(eq=False)
class AgentLife:
    """One life of an agent, as links see it."""

    process: Process
    admission: Admission
    keeper: ConfigurationKeeper
    client: "EndpointClient"


@define(eq=False)
class Link:
    """Implements ``AgentLink``; a connection ends with the life of either side."""

    entry: Process
    clock: ProcessClock
    network: Network
    agent: AgentLife | None
    closed: bool = False
    open: dict[tuple[str, int], Inbox] = field(factory=dict)
    served: dict[tuple[str, int], "PartSink"] = field(factory=dict)

    def submit(self, attempt: Attempt, sink: Inbox) -> None:
        """See ``AgentLink.submit``."""
        key = (attempt.request.id, attempt.number)
        if self._refused():
            sink.put(AttemptBroken(*key, may_have_arrived=False, reason="connection refused"))
            return
        self.open[key] = sink
        remaining = attempt.request.deadline - self.clock.seconds()
        self._to_agent("submit", key[0], self._arrive, attempt, remaining)

    def cancel(self, request_id: str, attempt: int) -> None:
        """See ``AgentLink.cancel``."""
        if self.open.pop((request_id, attempt), None) is not None:
            self._withdraw((request_id, attempt))

    def probe(self) -> Deferred:
        """See ``AgentLink.probe``."""

        def answer(done: Callable[[object], None]) -> None:
            self.agent.admission.query(ReportLoad()).addCallback(done)

        return self._call("probe", answer)

    def exchange_configuration(self, document: bytes) -> Deferred:
        """See ``AgentLink.exchange_configuration``; takes and answers as the gate does."""

        def answer(done: Callable[[object], None]) -> None:
            offered = decode_configuration(document) if document else None
            keeper = self.agent.keeper
            if offered is not None:
                keeper.send(ConfigurationReceived(offered, origin="entry"))

            def reply(current: Any) -> None:
                version = offered.version if offered is not None else 0
                newer = current is not None and current.version > version
                done(encode_configuration(current) if newer else b"")

            keeper.query(CurrentConfiguration()).addCallback(reply)

        return self._call("exchange", answer)

    def close(self) -> None:
        """See ``AgentLink.close``."""
        if self.closed:
            return
        for key, sink in list(self.open.items()):
            sink.put(AttemptBroken(*key, may_have_arrived=True, reason="the link was closed"))
            self._withdraw(key)
        self.open.clear()
        self.closed = True

    def peer_died(self) -> None:
        """Let the other side see the end of a killed process, unless it is cut off."""
        crossing = Crossing("reset", self.agent.process, self.entry, self)
        if not self.network.cut(crossing):
            self.entry.run(self.close)
        crossing = Crossing("reset", self.entry, self.agent.process, self)
        if not self.network.cut(crossing):
            for key in list(self.served):
                self.agent.process.run(self._take_withdrawal, key)

    def part(self, key: tuple[str, int], part: Any) -> None:
        """Send a part from the agent to the entry."""
        if part.last:
            self.served.pop(key, None)
        kind = f"part {type(part.body).__name__.lower()}"
        report = part.report is not None
        crossing = Crossing(kind, self.agent.process, self.entry, self, key[0], report)
        self.network.send(crossing, self._take_part, key, part)

    def _refused(self) -> bool:
        return self.closed or self.agent is None or not self.agent.process.alive

    def _to_agent(self, kind: str, about: str, deliver: Callable[..., Any], *args: Any) -> None:
        crossing = Crossing(kind, self.entry, self.agent.process, self, about)
        self.network.send(crossing, deliver, *args)

    def _arrive(self, attempt: Attempt, remaining: float) -> None:
        admission = self.agent.admission
        if not admission.running:
            return
        # The wire carries the remaining time; the receiver makes it a deadline.
        request = evolve(attempt.request, deadline=self.network.clock.now + remaining)
        key = (request.id, attempt.number)
        sink = self.served.setdefault(key, PartSink(link=self, key=key))
        admission.send(AttemptArrived(attempt=evolve(attempt, request=request), sink=sink))

    def _withdraw(self, key: tuple[str, int]) -> None:
        self._to_agent("withdraw", key[0], self._take_withdrawal, key)

    def _take_withdrawal(self, key: tuple[str, int]) -> None:
        self.served.pop(key, None)
        self.agent.admission.send(WithdrawAttempt(*key))

    def _take_part(self, key: tuple[str, int], part: Any) -> None:
        sink = self.open.get(key)
        if sink is None:
            return
        if part.last:
            self.open.pop(key, None)
        sink.put(part)

    def _call(self, kind: str, answer: Callable[[Callable[[object], None]], None]) -> Deferred:
        if self._refused():
            return fail(LinkBrokenError("connection refused"))
        reply: Deferred = Deferred(lambda _: None)
        timer = self.clock.callLater(CALL_TIMEOUT, _break, reply)
        reply.addBoth(stop_timer, timer)

        def done(value: object) -> None:
            report = kind == "probe"
            crossing = Crossing(
                f"reply {kind}", self.agent.process, self.entry, self, report=report
            )
            self.network.send(crossing, fire, reply, value)

        self._to_agent(kind, "", answer, done)
        return reply


@define(eq=False)
class PartSink:
    """Takes the parts of one attempt at the agent's side of a link."""

    link: Link
    key: tuple[str, int]

    def put(self, part: object) -> None:
        """Send one part over the link."""
        self.link.part(self.key, part)


@define(eq=False)
class Links:
    """Implements ``LinkFactory`` for one entry."""

    entry: Process
    clock: ProcessClock
    network: Network
    agents: dict[str, AgentLife]
    opened: list[Link] = field(factory=list)

    def open(self, instance: Instance) -> Link:
        """See ``LinkFactory.open``."""
        agent = self.agents.get(instance.name)
        link = Link(entry=self.entry, clock=self.clock, network=self.network, agent=agent)
        self.opened.append(link)
        if agent is not None:
            agent.client.links.append(link)
        return link


@define(eq=False)
class EndpointClient:
    """Implements ``Endpoint`` in an agent, over the network to the endpoint's fake."""

    agent: Process
    clock: ProcessClock
    network: Network
    endpoint: Endpoint
    server: Process
    links: list[Link] = field(factory=list)  # of all entries to this agent
    runs: set[tuple[str, int]] = field(factory=set)

    def run(self, attempt: Attempt, sink: Inbox) -> None:
        """See ``Endpoint.run``."""
        key = (attempt.request.id, attempt.number)
        self.runs.add(key)
        relay = OutputSink(client=self, key=key, sink=sink)
        self._send("run", key[0], self.endpoint.run, attempt, relay)

    def cancel(self, request_id: str, attempt: int) -> None:
        """See ``Endpoint.cancel``."""
        key = (request_id, attempt)
        if key in self.runs and any(key in link.served for link in self.links):
            arrival = Arrival(self.network.clock.now, self.agent, request_id)
            self.network.cut_runs.append(arrival)  # no entry withdrew it
        self.runs.discard(key)
        self._send("cancel", request_id, self.endpoint.cancel, request_id, attempt)

    def load(self) -> Deferred:
        """See ``Endpoint.load``."""
        return self._call("load", self.endpoint.load)

    def state(self) -> Deferred:
        """See ``Endpoint.state``."""
        return self._call("state", self.endpoint.state)

    def order(self, order: Order) -> Deferred:
        """See ``Endpoint.order``."""
        return self._call("order", lambda: self.endpoint.order(order))

    def output(self, key: tuple[str, int], sink: Inbox, message: object) -> None:
        """Bring output of the endpoint to the agent."""
        crossing = Crossing("output", self.server, self.agent, self, key[0])
        self.network.send(crossing, self._take, key, sink, message)

    def agent_died(self) -> None:
        """Let the endpoint see that its caller is gone; its connections closed."""
        for key in self.runs:
            self.network.clock.callLater(LATENCY, self.endpoint.cancel, *key)

    def _take(self, key: tuple[str, int], sink: Inbox, message: object) -> None:
        if isinstance(message, RunFailed) or isinstance(message.body, Answer | End):
            self.runs.discard(key)
        sink.put(message)

    def _send(self, kind: str, about: str, deliver: Callable[..., Any], *args: Any) -> None:
        self.network.send(Crossing(kind, self.agent, self.server, self, about), deliver, *args)

    def _call(self, kind: str, perform: Callable[[], Deferred]) -> Deferred:
        reply: Deferred = Deferred(lambda _: None)
        timer = self.clock.callLater(ENDPOINT_TIMEOUT, _lose, reply)
        reply.addBoth(stop_timer, timer)

        def back(result: object) -> None:
            crossing = Crossing(f"reply {kind}", self.server, self.agent, self)
            self.network.send(crossing, fire, reply, result)

        self._send(kind, "", lambda: perform().addBoth(back) and None)
        return reply


@define(eq=False)
class OutputSink:
    """Takes the output of one run at the endpoint's side."""

    client: EndpointClient
    key: tuple[str, int]
    sink: Inbox

    def put(self, message: object) -> None:
        """Send one message to the agent."""
        self.client.output(self.key, self.sink, message)


def _break(reply: Deferred) -> None:
    if not reply.called:
        reply.errback(LinkBrokenError("no answer in time"))


def _lose(reply: Deferred) -> None:
    if not reply.called:
        reply.errback(EndpointError("the endpoint didn't answer in time"))
