"""Which times of sent work are taken for the speed of an endpoint."""

import pytest

from chivewall.decisions.endpoint_record import EndpointRecord
from chivewall.decisions.sent_work import WorkItem
from chivewall.decisions.speed_samples import PEER_LAG_SECONDS, SpeedSamples
from chivewall.decisions.speeds import ServiceSpeeds
from chivewall.gateway.routing_configuration import Stage
from tests.utils.gateways import engine_info

WORK = 0.16  # reference seconds of a prompt
FAST = 0.03  # time of this prompt and its response at a faster engine


def make_record(stage=Stage.PREFILL):
    return EndpointRecord(engine_info("e1", stage), ServiceSpeeds())


def send(samples, record, exchange, now, work=WORK):
    samples.record_sent(exchange, record, work, now)
    record.add_work(("", exchange), WorkItem(work, rank=0, expires_at=now + 9.0), now)


def end(record, exchange, now):
    record.record_prefilled(("", exchange), now)
    record.work.record_ended(("", exchange), now)


def test_uncontended_prefills_are_measured():
    """Guards against a speed that is never learned."""
    samples, record = SpeedSamples(), make_record()
    for number in range(8):
        send(samples, record, number, now=number)
        samples.record_first_bytes(number, FAST, number + FAST)
        end(record, number, number + FAST)
    assert record.service_speeds.current.prefill.seconds(WORK) == pytest.approx(FAST, rel=0.1)


def test_prompt_that_waited_for_another_is_not_measured():
    """Guards against the wait in a queue that is taken for slowness."""
    samples, record = SpeedSamples(), make_record()
    send(samples, record, 1, now=0.0)
    send(samples, record, 2, now=0.0)
    samples.record_first_bytes(2, 2.0, 2.0)
    assert record.service_speeds.sample_count == 0


def test_prompt_of_another_gateway_that_may_be_ahead_is_considered():
    """Guards against the wait for a prompt that was not known yet when this one was sent."""
    samples, record = SpeedSamples(), make_record()
    send(samples, record, 1, now=0.0)
    samples.record_peer_work(record, PEER_LAG_SECONDS / 2)
    samples.record_first_bytes(1, 2.0, 2.0)
    assert record.service_speeds.sample_count == 0


def test_prefill_at_a_decode_engine_counts_for_what_takes_most_of_it():
    """Guards against a long prefill that is taken for a slow first event."""
    samples, record = SpeedSamples(), make_record(Stage.DECODE)
    before = record.service_speeds.current.first_event.fixed
    for number in range(8):
        send(samples, record, number, now=number, work=2.0)
        samples.record_first_bytes(number, 4.1, number + 4.1)
        end(record, number, number + 4.1)
    current = record.service_speeds.current
    assert current.first_event.fixed == before
    assert current.prefill_scale == pytest.approx(2.0, rel=0.1)


def test_call_without_a_free_slot_is_not_measured():
    """Guards against a service that counts as slow because its callers queue."""
    samples, record = SpeedSamples(), make_record(Stage.NONE)
    for number in range(record.info.slots + 1):
        send(samples, record, number, now=0.0, work=0.0)
    samples.record_first_bytes(record.info.slots, 3.0, 3.0)
    assert record.service_speeds.sample_count == 0
    samples.record_first_bytes(0, 0.02, 0.02)
    assert record.service_speeds.sample_count == 1
