"""Connections from entries to agents and from agents to endpoints, over the faulty network."""

from collections.abc import Callable
from typing import Any

from attrs import define, evolve, field
from twisted.internet.defer import Deferred, fail

from bench.faults.network import (
    LATENCY_SECONDS,
    Envelope,
    Network,
    RequestAtAgent,
    fire_once,
    stop_timer,
)
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

LINK_TIMEOUT_SECONDS = 2.0  # seconds for a probe or exchange, as in the gRPC link
ENDPOINT_TIMEOUT_SECONDS = 10.0  # seconds; long enough that a late load report isn't a failure


@define(eq=False)
class RunningAgent:
    """An agent from its start to its end, with the tasks that links send to."""

    process: Process
    admission: Admission
    keeper: ConfigurationKeeper
    client: "EndpointClient"


@define(eq=False)
class Link:
    """An ``AgentLink`` over the faulty network; it ends when the process of either side ends."""

    entry: Process
    clock: ProcessClock
    network: Network
    agent: RunningAgent | None
    closed: bool = False
    entry_sinks: dict[tuple[str, int], Inbox] = field(factory=dict)  # sinks at the entry
    agent_sinks: dict[tuple[str, int], "PartSink"] = field(factory=dict)  # sinks at the agent

    def submit(self, attempt: Attempt, sink: Inbox) -> None:
        """Send an attempt to the agent."""
        key = (attempt.request.id, attempt.number)
        if self._is_refused():
            sink.put(AttemptBroken(*key, may_have_arrived=False, reason="connection refused"))
            return
        self.entry_sinks[key] = sink
        remaining = attempt.request.deadline - self.clock.seconds()
        self._send_to_agent("submit", key[0], self._deliver_attempt, attempt, remaining)

    def cancel(self, request_id: str, attempt: int) -> None:
        """Ask the agent to stop an attempt; no more parts are delivered."""
        if self.entry_sinks.pop((request_id, attempt), None) is not None:
            self._send_withdrawal((request_id, attempt))

    def probe(self) -> Deferred:
        """Ask the agent for a load report."""

        def handle(send_reply: Callable[[object], None]) -> None:
            self.agent.admission.query(ReportLoad()).addCallback(send_reply)

        return self._call_agent("probe", handle)

    def exchange_configuration(self, document: bytes) -> Deferred:
        """Offer a document to the agent, which replies as its gRPC server does."""

        def handle(send_reply: Callable[[object], None]) -> None:
            offered = decode_configuration(document) if document else None
            keeper = self.agent.keeper
            if offered is not None:
                keeper.send(ConfigurationReceived(offered, origin="entry"))

            def reply(current: Any) -> None:
                version = offered.version if offered is not None else 0
                newer = current is not None and current.version > version
                send_reply(encode_configuration(current) if newer else b"")

            keeper.query(CurrentConfiguration()).addCallback(reply)

        return self._call_agent("exchange", handle)

    def close(self) -> None:
        """Close the connection; fail its open attempts and withdraw them at the agent."""
        if self.closed:
            return
        for key, sink in list(self.entry_sinks.items()):
            sink.put(AttemptBroken(*key, may_have_arrived=True, reason="the link was closed"))
            self._send_withdrawal(key)
        self.entry_sinks.clear()
        self.closed = True

    def close_other_side(self) -> None:
        """Close the side of the process that still runs, unless a partition hides the end."""
        envelope = Envelope("reset", self.agent.process, self.entry, self)
        if not self.network.drops(envelope):
            self.entry.run(self.close)
        envelope = Envelope("reset", self.entry, self.agent.process, self)
        if not self.network.drops(envelope):
            for key in list(self.agent_sinks):
                self.agent.process.run(self._deliver_withdrawal, key)

    def send_part(self, key: tuple[str, int], part: Any) -> None:
        """Send a part of a response from the agent to the entry."""
        if part.last:
            self.agent_sinks.pop(key, None)
        kind = f"part {type(part.body).__name__.lower()}"
        report = part.report is not None
        envelope = Envelope(kind, self.agent.process, self.entry, self, key[0], report)
        self.network.send(envelope, self._deliver_part, key, part)

    def _is_refused(self) -> bool:
        return self.closed or self.agent is None or not self.agent.process.alive

    def _send_to_agent(
        self, kind: str, subject: str, deliver: Callable[..., Any], *args: Any
    ) -> None:
        envelope = Envelope(kind, self.entry, self.agent.process, self, subject)
        self.network.send(envelope, deliver, *args)

    def _deliver_attempt(self, attempt: Attempt, remaining: float) -> None:
        admission = self.agent.admission
        if not admission.running:
            return
        # Messages carry the remaining time, from which the receiver computes its deadline.
        request = evolve(attempt.request, deadline=self.network.clock.now + remaining)
        key = (request.id, attempt.number)
        sink = self.agent_sinks.setdefault(key, PartSink(link=self, key=key))
        admission.send(AttemptArrived(attempt=evolve(attempt, request=request), sink=sink))

    def _send_withdrawal(self, key: tuple[str, int]) -> None:
        self._send_to_agent("withdraw", key[0], self._deliver_withdrawal, key)

    def _deliver_withdrawal(self, key: tuple[str, int]) -> None:
        self.agent_sinks.pop(key, None)
        self.agent.admission.send(WithdrawAttempt(*key))

    def _deliver_part(self, key: tuple[str, int], part: Any) -> None:
        sink = self.entry_sinks.get(key)
        if sink is None:
            return
        if part.last:
            self.entry_sinks.pop(key, None)
        sink.put(part)

    def _call_agent(
        self, kind: str, handle: Callable[[Callable[[object], None]], None]
    ) -> Deferred:
        if self._is_refused():
            return fail(LinkBrokenError("connection refused"))
        reply: Deferred = Deferred(lambda _: None)
        timer = self.clock.callLater(LINK_TIMEOUT_SECONDS, _time_out_link, reply)
        reply.addBoth(stop_timer, timer)

        def send_reply(value: object) -> None:
            report = kind == "probe"
            envelope = Envelope(
                f"reply {kind}", self.agent.process, self.entry, self, carries_report=report
            )
            self.network.send(envelope, fire_once, reply, value)

        self._send_to_agent(kind, "", handle, send_reply)
        return reply


@define(eq=False)
class PartSink:
    """The sink of an attempt at the agent; sends its parts over the link."""

    link: Link
    key: tuple[str, int]

    def put(self, part: object) -> None:
        """Send a part over the link."""
        self.link.send_part(self.key, part)


@define(eq=False)
class EntryLinks:
    """The ``LinkFactory`` of one entry; keeps the links it opened."""

    entry: Process
    clock: ProcessClock
    network: Network
    agents: dict[str, RunningAgent]
    opened: list[Link] = field(factory=list)

    def open(self, instance: Instance) -> Link:
        """Return a new link to the agent of an instance."""
        agent = self.agents.get(instance.name)
        link = Link(entry=self.entry, clock=self.clock, network=self.network, agent=agent)
        self.opened.append(link)
        if agent is not None:
            agent.client.links.append(link)
        return link


@define(eq=False)
class EndpointClient:
    """An ``Endpoint`` in an agent that calls a fake endpoint over the faulty network."""

    agent: Process
    clock: ProcessClock
    network: Network
    endpoint: Endpoint
    server: Process
    links: list[Link] = field(factory=list)  # from all entries to this agent
    open_runs: set[tuple[str, int]] = field(factory=set)  # request id and attempt number

    def run(self, attempt: Attempt, sink: Inbox) -> None:
        """Run an attempt at the endpoint."""
        key = (attempt.request.id, attempt.number)
        self.open_runs.add(key)
        relay = OutputSink(client=self, key=key, sink=sink)
        self._send("run", key[0], self.endpoint.run, attempt, relay)

    def cancel(self, request_id: str, attempt: int) -> None:
        """Stop a running attempt and record it if no entry had withdrawn it."""
        key = (request_id, attempt)
        if key in self.open_runs and any(key in link.agent_sinks for link in self.links):
            arrival = RequestAtAgent(self.network.clock.now, self.agent, request_id)
            self.network.stopped_runs.append(arrival)
        self.open_runs.discard(key)
        self._send("cancel", request_id, self.endpoint.cancel, request_id, attempt)

    def load(self) -> Deferred:
        """Return the load of the endpoint."""
        return self._call_endpoint("load", self.endpoint.load)

    def state(self) -> Deferred:
        """Return role, models and fencing number of the endpoint."""
        return self._call_endpoint("state", self.endpoint.state)

    def order(self, order: Order) -> Deferred:
        """Send an order to the endpoint."""
        return self._call_endpoint("order", lambda: self.endpoint.order(order))

    def send_output(self, key: tuple[str, int], sink: Inbox, message: object) -> None:
        """Send output of the endpoint to the agent."""
        envelope = Envelope("output", self.server, self.agent, self, key[0])
        self.network.send(envelope, self._deliver_output, key, sink, message)

    def cancel_open_runs(self) -> None:
        """Cancel all runs at the endpoint, as when the connections of a killed agent close."""
        for key in self.open_runs:
            self.network.clock.callLater(LATENCY_SECONDS, self.endpoint.cancel, *key)

    def _deliver_output(self, key: tuple[str, int], sink: Inbox, message: object) -> None:
        if isinstance(message, RunFailed) or isinstance(message.body, Answer | End):
            self.open_runs.discard(key)
        sink.put(message)

    def _send(self, kind: str, subject: str, deliver: Callable[..., Any], *args: Any) -> None:
        self.network.send(Envelope(kind, self.agent, self.server, self, subject), deliver, *args)

    def _call_endpoint(self, kind: str, perform: Callable[[], Deferred]) -> Deferred:
        reply: Deferred = Deferred(lambda _: None)
        timer = self.clock.callLater(ENDPOINT_TIMEOUT_SECONDS, _time_out_endpoint, reply)
        reply.addBoth(stop_timer, timer)

        def send_reply(result: object) -> None:
            envelope = Envelope(f"reply {kind}", self.server, self.agent, self)
            self.network.send(envelope, fire_once, reply, result)

        self._send(kind, "", lambda: perform().addBoth(send_reply) and None)
        return reply


@define(eq=False)
class OutputSink:
    """The sink of a run at the endpoint; sends its output to the agent."""

    client: EndpointClient
    key: tuple[str, int]
    sink: Inbox

    def put(self, message: object) -> None:
        """Send a message to the agent."""
        self.client.send_output(self.key, self.sink, message)


def _time_out_link(reply: Deferred) -> None:
    if not reply.called:
        reply.errback(LinkBrokenError("no response from the agent in time"))


def _time_out_endpoint(reply: Deferred) -> None:
    if not reply.called:
        reply.errback(EndpointError("no response from the endpoint in time"))
