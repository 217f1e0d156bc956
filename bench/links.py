"""Fake links between entries and agents in one process, with faults."""

import random
from collections.abc import Callable
from typing import Any

from attrs import define, evolve, field, frozen
from twisted.internet.defer import Deferred, fail
from twisted.internet.interfaces import IReactorTime

from bench.fakes import fire
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
    """What goes wrong on the way to one agent; changed while a test runs."""

    delay: float = 0.0  # seconds one way
    jitter: float = 0.0  # seconds, at most, added at random
    loss: float = 0.0  # chance that a message needs another 200 ms
    requests_cut: bool = False  # messages to the agent vanish
    answers_cut: bool = False  # messages from the agent vanish
    duplicate: bool = False  # submits arrive twice


@define(eq=False)
class LocalLink:
    """Implements ``AgentLink`` by calling the agent's admission task after a delay."""

    clock: IReactorTime
    rng: random.Random
    agent: Callable[[], Admission | None]
    fault: LinkFault
    keeper: Callable[[], ConfigurationKeeper | None] = lambda: None
    base_delay: float = 0.0  # seconds one way, of the distance
    base_loss: float = 0.0  # chance that a message needs another 200 ms
    silent: bool = False  # this connection is lost for good; new ones work
    closed: bool = False
    exchanges: int = 0  # configuration documents offered
    _open: dict[tuple[str, int], Inbox] = field(factory=dict)
    _answers_at: float = 0.0  # arrival of the last part; one connection keeps the order
    _requests_at: float = 0.0

    def submit(self, attempt: Attempt, sink: Inbox) -> None:
        """See ``AgentLink.submit``."""
        key = (attempt.request.id, attempt.number)
        admission = self.agent()
        if admission is None or self.closed:
            sink.put(AttemptBroken(*key, may_have_arrived=False, reason="connection refused"))
            return
        self._open[key] = sink
        relay = Relay(link=self, key=key)
        for _ in range(2 if self.fault.duplicate else 1):
            self._send(self._arrive, admission, AttemptArrived(attempt=attempt, sink=relay))

    def cancel(self, request_id: str, attempt: int) -> None:
        """See ``AgentLink.cancel``."""
        if self._open.pop((request_id, attempt), None) is not None:
            admission = self.agent()
            if admission is not None:
                self._send(admission.send, WithdrawAttempt(request_id, attempt))

    def probe(self) -> Deferred:
        """See ``AgentLink.probe``."""
        admission = self.agent()
        reply: Deferred = Deferred()
        if admission is None or self.closed:
            return fail(LinkBrokenError("connection refused"))
        self.clock.callLater(2.0, self._give_up, reply)
        self._send(self._probe, admission, reply)
        return reply

    def exchange_configuration(self, document: bytes) -> Deferred:
        """See ``AgentLink.exchange_configuration``; takes and answers as the gate does."""
        self.exchanges += 1
        keeper = self.keeper()
        if self.closed or keeper is None:
            return fail(LinkBrokenError("connection refused"))
        reply: Deferred = Deferred()
        self.clock.callLater(2.0, self._give_up, reply)
        self._send(self._exchange, keeper, document, reply)
        return reply

    def close(self) -> None:
        """See ``AgentLink.close``."""
        self.closed = True
        for key, sink in list(self._open.items()):
            sink.put(AttemptBroken(*key, may_have_arrived=True, reason="the link was closed"))
        self._open.clear()

    def broken(self) -> None:
        """Fail what is open, as when the agent's process is killed."""
        self.close()

    def deliver(self, key: tuple[str, int], message: object) -> None:
        """Bring a part from the agent to the entry, after the delay."""
        if self.silent or self.closed or self.fault.answers_cut:
            return
        now = self.clock.seconds()
        self._answers_at = max(self._answers_at, now + self._delay())
        self.clock.callLater(self._answers_at - now, self._hand_over, key, message)

    def _hand_over(self, key: tuple[str, int], message: Any) -> None:
        sink = self._open.get(key)
        if sink is None:
            return
        if getattr(message, "last", False) and not _is_duplicate_notice(message):
            self._open.pop(key, None)
        sink.put(message)

    def _send(self, function: Callable[..., Any], *args: Any) -> None:
        if not (self.silent or self.closed or self.fault.requests_cut):
            now = self.clock.seconds()
            self._requests_at = max(self._requests_at, now + self._delay())
            self.clock.callLater(self._requests_at - now, function, *args)

    def _arrive(self, admission: Admission, arrival: AttemptArrived) -> None:
        if admission.running:
            admission.send(evolve(arrival))

    def _probe(self, admission: Admission, reply: Deferred) -> None:
        def answer(report: object) -> None:
            if not (self.silent or self.fault.answers_cut):
                self.clock.callLater(self._delay(), fire, reply, report)

        admission.query(ReportLoad()).addCallback(answer)

    def _exchange(self, keeper: ConfigurationKeeper, document: bytes, reply: Deferred) -> None:
        offered = decode_configuration(document) if document else None
        if offered is not None:
            keeper.send(ConfigurationReceived(offered, origin="entry"))

        def answer(current: Configuration | None) -> None:
            newer = current is not None and (offered is None or current.version > offered.version)
            document = encode_configuration(current) if newer else b""
            if not (self.silent or self.fault.answers_cut):
                self.clock.callLater(self._delay(), fire, reply, document)

        keeper.query(CurrentConfiguration()).addCallback(answer)

    def _give_up(self, reply: Deferred) -> None:
        if not reply.called:
            reply.errback(LinkBrokenError("no answer in time"))

    def _delay(self) -> float:
        delay = self.base_delay + self.fault.delay + self.rng.uniform(0, self.fault.jitter)
        while self.rng.random() < max(self.base_loss, self.fault.loss):
            delay += 0.2
        return delay


@define(eq=False)
class Relay:
    """Stands for the sink of an attempt on the agent's side of a link."""

    link: LocalLink
    key: tuple[str, int]

    def put(self, message: object) -> None:
        """Send one part over the link."""
        self.link.deliver(self.key, message)


@define(eq=False)
class LocalLinks:
    """Implements ``LinkFactory``; remembers the links it opened."""

    clock: IReactorTime
    rng: random.Random
    agents: dict[str, Admission] = field(factory=dict)
    keepers: dict[str, ConfigurationKeeper] = field(factory=dict)
    faults: dict[str, LinkFault] = field(factory=dict)
    opened: list[LocalLink] = field(factory=list)

    def open(
        self, instance: Instance, base_delay: float = 0.0, base_loss: float = 0.0
    ) -> LocalLink:
        """See ``LinkFactory.open``."""
        fault = self.faults.setdefault(instance.name, LinkFault())
        link = LocalLink(
            clock=self.clock,
            rng=self.rng,
            agent=lambda: self.agents.get(instance.name),
            keeper=lambda: self.keepers.get(instance.name),
            fault=fault,
            base_delay=base_delay,
            base_loss=base_loss,
        )
        self.opened.append(link)
        return link


@frozen
class Distance:
    """A direct path between two data centres."""

    delay: float = 0.0  # seconds one way
    loss: float = 0.0  # chance that a message needs another 200 ms


@define(eq=False)
class PlacedLinks:
    """Implements ``LinkFactory`` for one entry, with the distances from its data centre."""

    links: LocalLinks
    distance: Callable[[str], Distance]

    def open(self, instance: Instance) -> LocalLink:
        """See ``LinkFactory.open``."""
        path = self.distance(instance.data_centre)
        return self.links.open(instance, base_delay=path.delay, base_loss=path.loss)


def _is_duplicate_notice(part: Part) -> bool:
    """Return whether a refusal is about the second arrival of a duplicated submit."""
    return isinstance(part.body, Refusal) and part.body.code is ResultCode.DUPLICATE_ATTEMPT
