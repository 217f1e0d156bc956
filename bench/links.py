"""Links between entries and agents in one process, with simulated delays and faults."""

import random
from collections.abc import Callable
from typing import Any

from attrs import define, evolve, field, frozen
from twisted.internet.defer import Deferred, fail
from twisted.internet.interfaces import IReactorTime

from bench.fakes import fire_once
from chivewall.admission_messages import ReportLoad
from chivewall.configuration import Configuration
from chivewall.errors import LinkBrokenError
from chivewall.interfaces import (
    Instance,
)
from chivewall.messages import AttemptArrived, AttemptBroken, ConfigurationReceived, WithdrawAttempt
from chivewall.plugins.builtin.admission import Admission
from chivewall.plugins.builtin.configuration import (
    ConfigurationKeeper,
    CurrentConfiguration,
    decode_configuration,
    encode_configuration,
)
from chivewall.results import ResultCode
from chivewall.task import Inbox
from chivewall.work import Attempt, Part, Refusal


@define
class LinkFault:
    """Faults of the links to one agent; tests change them during a run."""

    delay: float = 0.0  # added seconds one way
    jitter: float = 0.0  # upper bound of a random additional delay in seconds
    loss: float = 0.0  # probability of a retransmission, which takes 200 ms; may repeat
    requests_cut: bool = False  # drop messages to the agent
    answers_cut: bool = False  # drop messages from the agent
    duplicate: bool = False  # deliver submitted attempts twice


@define(eq=False)
class LocalLink:
    """An ``AgentLink`` that sends messages to the agent's admission task after a delay."""

    clock: IReactorTime
    rng: random.Random
    find_admission: Callable[[], Admission | None]
    fault: LinkFault
    find_keeper: Callable[[], ConfigurationKeeper | None] = lambda: None
    base_delay: float = 0.0  # seconds one way between the data centres
    base_loss: float = 0.0  # probability of a retransmission, which takes 200 ms; may repeat
    silent: bool = False  # this connection drops every message; new connections work
    closed: bool = False
    exchange_count: int = 0  # configuration documents offered
    _open_sinks: dict[tuple[str, int], Inbox] = field(factory=dict)
    # Arrival times of the last message in each direction, in seconds; messages of a
    # connection never overtake each other.
    _last_part_arrival: float = 0.0
    _last_request_arrival: float = 0.0

    def submit(self, attempt: Attempt, sink: Inbox) -> None:
        """Send an attempt to the agent."""
        key = (attempt.request.id, attempt.number)
        admission = self.find_admission()
        if admission is None or self.closed:
            sink.put(AttemptBroken(*key, may_have_arrived=False, reason="connection refused"))
            return
        self._open_sinks[key] = sink
        relay = PartRelay(link=self, key=key)
        for _ in range(2 if self.fault.duplicate else 1):
            self._send(
                self._deliver_attempt, admission, AttemptArrived(attempt=attempt, sink=relay)
            )

    def cancel(self, request_id: str, attempt: int) -> None:
        """Ask the agent to stop an attempt; no more parts are delivered."""
        if self._open_sinks.pop((request_id, attempt), None) is not None:
            admission = self.find_admission()
            if admission is not None:
                self._send(admission.send, WithdrawAttempt(request_id, attempt))

    def probe(self) -> Deferred:
        """Ask the agent for a load report; fail after 2 s without one."""
        admission = self.find_admission()
        reply: Deferred = Deferred()
        if admission is None or self.closed:
            return fail(LinkBrokenError("connection refused"))
        self.clock.callLater(2.0, self._time_out, reply)
        self._send(self._probe, admission, reply)
        return reply

    def exchange_configuration(self, document: bytes) -> Deferred:
        """Offer a document to the agent as its gRPC server does; fail after 2 s without a reply."""
        self.exchange_count += 1
        keeper = self.find_keeper()
        if self.closed or keeper is None:
            return fail(LinkBrokenError("connection refused"))
        reply: Deferred = Deferred()
        self.clock.callLater(2.0, self._time_out, reply)
        self._send(self._deliver_document, keeper, document, reply)
        return reply

    def close(self) -> None:
        """Break the connection and fail its open attempts."""
        self.closed = True
        for key, sink in list(self._open_sinks.items()):
            sink.put(AttemptBroken(*key, may_have_arrived=True, reason="the link was closed"))
        self._open_sinks.clear()

    def reset(self) -> None:
        """Break the connection, as when the agent's process is killed."""
        self.close()

    def deliver(self, key: tuple[str, int], message: object) -> None:
        """Deliver a part from the agent to the entry after the delay of the link."""
        if self.silent or self.closed or self.fault.answers_cut:
            return
        now = self.clock.seconds()
        self._last_part_arrival = max(self._last_part_arrival, now + self._delay())
        self.clock.callLater(self._last_part_arrival - now, self._deliver_to_sink, key, message)

    def _deliver_to_sink(self, key: tuple[str, int], message: Any) -> None:
        sink = self._open_sinks.get(key)
        if sink is None:
            return
        if getattr(message, "last", False) and not _is_duplicate_refusal(message):
            self._open_sinks.pop(key, None)
        sink.put(message)

    def _send(self, function: Callable[..., Any], *args: Any) -> None:
        if not (self.silent or self.closed or self.fault.requests_cut):
            now = self.clock.seconds()
            self._last_request_arrival = max(self._last_request_arrival, now + self._delay())
            self.clock.callLater(self._last_request_arrival - now, function, *args)

    def _deliver_attempt(self, admission: Admission, arrival: AttemptArrived) -> None:
        if admission.running:
            admission.send(evolve(arrival))

    def _probe(self, admission: Admission, reply: Deferred) -> None:
        def answer(report: object) -> None:
            if not (self.silent or self.fault.answers_cut):
                self.clock.callLater(self._delay(), fire_once, reply, report)

        admission.query(ReportLoad()).addCallback(answer)

    def _deliver_document(
        self, keeper: ConfigurationKeeper, document: bytes, reply: Deferred
    ) -> None:
        offered = decode_configuration(document) if document else None
        if offered is not None:
            keeper.send(ConfigurationReceived(offered, origin="entry"))

        def answer(current: Configuration | None) -> None:
            newer = current is not None and (offered is None or current.version > offered.version)
            document = encode_configuration(current) if newer else b""
            if not (self.silent or self.fault.answers_cut):
                self.clock.callLater(self._delay(), fire_once, reply, document)

        keeper.query(CurrentConfiguration()).addCallback(answer)

    def _time_out(self, reply: Deferred) -> None:
        if not reply.called:
            reply.errback(LinkBrokenError("no response from the agent in time"))

    def _delay(self) -> float:
        delay = self.base_delay + self.fault.delay + self.rng.uniform(0, self.fault.jitter)
        while self.rng.random() < max(self.base_loss, self.fault.loss):
            delay += 0.2
        return delay


@define(eq=False)
class PartRelay:
    """The sink of an attempt at the agent; sends its parts over the link."""

    link: LocalLink
    key: tuple[str, int]

    def put(self, message: object) -> None:
        """Send one part over the link."""
        self.link.deliver(self.key, message)


@define(eq=False)
class LocalLinks:
    """A ``LinkFactory`` that keeps the links it opened, and the faults of each agent's links."""

    clock: IReactorTime
    rng: random.Random
    agents: dict[str, Admission] = field(factory=dict)
    keepers: dict[str, ConfigurationKeeper] = field(factory=dict)
    faults: dict[str, LinkFault] = field(factory=dict)
    opened: list[LocalLink] = field(factory=list)

    def open(
        self, instance: Instance, base_delay: float = 0.0, base_loss: float = 0.0
    ) -> LocalLink:
        """Return a new link to the agent of an instance."""
        fault = self.faults.setdefault(instance.name, LinkFault())
        link = LocalLink(
            clock=self.clock,
            rng=self.rng,
            find_admission=lambda: self.agents.get(instance.name),
            find_keeper=lambda: self.keepers.get(instance.name),
            fault=fault,
            base_delay=base_delay,
            base_loss=base_loss,
        )
        self.opened.append(link)
        return link


@frozen
class NetworkPath:
    """Delay and loss of the network path between two data centres."""

    delay: float = 0.0  # seconds one way
    loss: float = 0.0  # probability of a retransmission, which takes 200 ms; may repeat


@define(eq=False)
class DataCentreLinks:
    """The ``LinkFactory`` of one entry; adds delay and loss from its data centre."""

    links: LocalLinks
    path_to: Callable[[str], NetworkPath]

    def open(self, instance: Instance) -> LocalLink:
        """Return a new link to the agent of an instance."""
        path = self.path_to(instance.data_centre)
        return self.links.open(instance, base_delay=path.delay, base_loss=path.loss)


def _is_duplicate_refusal(part: Part) -> bool:
    """Return whether a refusal is about the second copy of a duplicated attempt."""
    return isinstance(part.body, Refusal) and part.body.code is ResultCode.DUPLICATE_ATTEMPT
