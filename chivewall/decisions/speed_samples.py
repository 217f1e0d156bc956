"""Decides which measured times of sent work say something about the speed of endpoints."""

from attrs import define, field

from chivewall.decisions.endpoint_record import EndpointRecord
from chivewall.decisions.sent_work import Throughput
from chivewall.gateway.routing_configuration import Stage

# Work that another gateway sent before this one's is known after this many seconds: its records
# are collected for 30 ms and take up to 10 ms to arrive.
PEER_LAG_SECONDS = 0.045
# A prefill at a decode engine says something about its first events if it takes at most this
# share of the time, and about its prefill if it takes at least the rest.
MINOR_SHARE = 0.5


@define
class SentSample:
    """Work of this gateway whose first bytes are awaited."""

    record: EndpointRecord
    sent_at: float
    reference_seconds: float  # prefill at the reference speed; 0 without a prefill
    running: int  # other requests at the endpoint when it was sent
    contended: bool  # it may have waited for other prompts, or for a free slot


@define
class SpeedSamples:
    """Measures the speeds of endpoints by this gateway's own work.

    Only work that didn't have to wait at its endpoint is used, and the throughput of engines
    that were never idle, so that a queue isn't taken for slowness.
    """

    _sent: dict[int, SentSample] = field(factory=dict, init=False)  # by exchange number

    def record_sent(
        self, exchange: int, record: EndpointRecord, reference_seconds: float, now: float
    ) -> None:
        """Record work that is about to be sent; call this before it is added to the record."""
        self._sent[exchange] = SentSample(
            record=record,
            sent_at=now,
            reference_seconds=reference_seconds,
            running=record.in_flight,
            contended=record.work.waiting_prompts > 0 or record.in_flight >= record.info.slots,
        )

    def record_peer_work(self, record: EndpointRecord, now: float) -> None:
        """Record work of another gateway, which may have been sent before this one's."""
        for sample in self._sent.values():
            if sample.record is record and now - sample.sent_at < PEER_LAG_SECONDS:
                sample.contended = True

    def record_first_bytes(self, exchange: int, seconds: float, now: float) -> None:
        """Record the time from the send of an exchange to its first bytes or its response."""
        sample = self._sent.pop(exchange, None)
        if sample is None or sample.contended:
            return
        stage = sample.record.info.stage
        if stage is Stage.NONE:
            self._add_call(sample, seconds, now)
        elif stage is Stage.PREFILL:
            self._add_prefill(sample, seconds, now)
        elif sample.reference_seconds == 0:
            self._add_fetched_event(sample, seconds, now)
        else:
            self._add_first_event(sample, seconds, now)

    def record_throughput(self, record: EndpointRecord, throughput: Throughput, now: float) -> None:
        """Record the throughput of an engine that was never idle."""
        if record.info.stage is not Stage.PREFILL:
            return  # a decode engine may use only a share of its time for prefill
        speeds = record.service_speeds
        work = throughput.reference_seconds
        record.slowness.add(throughput.seconds, lambda speed: work * speed.prefill_scale, now)
        speeds.add_throughput(
            throughput.prompts, throughput.reference_seconds, throughput.seconds, now
        )

    def record_ended(self, exchange: int) -> None:
        """Drop work that ended without any bytes."""
        self._sent.pop(exchange, None)

    def _add_call(self, sample: SentSample, seconds: float, now: float) -> None:
        speeds = sample.record.service_speeds
        sample.record.slowness.add(seconds, lambda speed: speed.call_seconds, now)
        speeds.add_call(seconds, now)

    def _add_prefill(self, sample: SentSample, seconds: float, now: float) -> None:
        speeds = sample.record.service_speeds
        work = sample.reference_seconds
        sample.record.slowness.add(seconds, lambda speed: speed.prefill.seconds(work), now)
        speeds.add_prefill(sample.reference_seconds, seconds, now)

    def _add_fetched_event(self, sample: SentSample, seconds: float, now: float) -> None:
        speeds = sample.record.service_speeds
        running = sample.running
        sample.record.slowness.add(seconds, lambda speed: speed.fetched_event.seconds(running), now)
        speeds.add_fetched_event(sample.running, seconds, now)

    def _add_first_event(self, sample: SentSample, seconds: float, now: float) -> None:
        speeds = sample.record.service_speeds
        current = speeds.current
        prefill = sample.reference_seconds * current.prefill_scale
        event = current.first_event.seconds(sample.running)
        work, running = sample.reference_seconds, sample.running
        sample.record.slowness.add(
            seconds,
            lambda speed: work * speed.prefill_scale + speed.first_event.seconds(running),
            now,
        )
        if prefill <= MINOR_SHARE * (prefill + event):
            speeds.add_first_event(sample.running, seconds - prefill, now)
        else:
            response = current.response_seconds
            speeds.add_prefill(sample.reference_seconds, seconds - event + response, now)
