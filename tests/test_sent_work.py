"""Work that was sent to an endpoint, and its prompts that are not prefilled yet."""

import pytest

from chivewall.decisions.sent_work import EngineSpeed, SentWork, WorkItem

SPEED = EngineSpeed(scale=1.0, response_seconds=0.1)
NEVER_EXPIRES = 1_000.0  # seconds; after the end of every test, so that no item expires


def make_work(*items):
    """Return work whose items are (prefill seconds, rank), sent at 100 s."""
    work = SentWork()
    for number, (seconds, rank) in enumerate(items):
        work.add(("", number), WorkItem(seconds, rank=rank, expires_at=NEVER_EXPIRES), 100.0)
    return work


def test_prompts_wait_for_those_before_them():
    """Guards against a wait that ignores the prompts ahead or the prefill time already spent."""
    work = make_work((0.5, 0), (0.3, 0))
    assert work.prefill_wait(100.0, rank=0, speed=SPEED) == pytest.approx(0.8)
    assert work.prefill_wait(100.4, rank=0, speed=SPEED) == pytest.approx(0.4)


def test_queue_of_a_slow_engine_doesnt_drain_by_itself():
    """Guards against prompts that are sent for seconds to an engine that has become slow.

    A queue that was drained at the expected speed was taken to be empty (pwani-rota scale-1).
    """
    work = make_work((0.5, 0), (0.5, 0), (0.5, 0))
    assert work.prefill_wait(105.0, rank=0, speed=SPEED) > 1.0


def test_next_prefill_starts_while_a_response_is_on_its_way():
    """Guards against a wait that leaves out the prefill time while a response is on its way."""
    work = make_work((0.5, 0), (0.5, 0))
    responded_at = 100.5 + SPEED.response_seconds
    work.record_prefilled(("", 0), responded_at, SPEED)
    assert work.prefill_wait(responded_at, rank=0, speed=SPEED) == pytest.approx(
        0.5 - SPEED.response_seconds
    )


def test_urgent_prompt_waits_only_for_its_rank_and_the_running_prefill():
    """Guards against an urgent prompt that waits for queued prompts of lower rank."""
    work = make_work((0.5, 5), (0.4, 5), (0.3, 0))
    assert work.prefill_wait(100.0, rank=0, speed=SPEED) == pytest.approx(0.8)
    assert work.prefill_wait(100.0, rank=5, speed=SPEED) == pytest.approx(1.2)


def test_urgent_prompts_leave_a_share_of_the_engine():
    """Guards against late requests that are admitted, overtaken by all others and never served."""
    work = SentWork()
    for number in range(40):
        work.add(("", number), WorkItem(0.04, 0, NEVER_EXPIRES), 100.0 + number / 20)
    assert work.share_left(102.0, rank=5, speed=SPEED) == pytest.approx(0.2, abs=0.1)
    assert work.share_left(102.0, rank=0, speed=SPEED) == 1
    assert work.share_left(110.0, rank=5, speed=SPEED) == pytest.approx(1.0, abs=0.1)


def test_most_urgent_prompt_is_prefilled_next():
    """Guards against a wait that expects prompts to be prefilled in order of arrival."""
    work = make_work((0.5, 5), (0.4, 5), (0.3, 0))
    work.record_prefilled(("", 0), 100.6, SPEED)
    work.record_ended(("", 2), 100.6)
    assert work.prefill_wait(100.6, rank=0, speed=SPEED) == pytest.approx(0.4)


def test_prompt_of_an_ended_request_no_longer_waits():
    """Guards against prompts of ended requests that still count as waiting."""
    work = make_work((0.5, 0), (0.4, 0))
    work.record_ended(("", 1), 100.2)
    assert work.prefill_wait(100.2, rank=0, speed=SPEED) == pytest.approx(0.3)
    work.record_ended(("", 0), 100.2)
    assert work.prefill_wait(100.2, rank=0, speed=SPEED) == 0
    assert work.running == 0


def test_number_that_is_used_again_replaces_the_prompt():
    """Guards against an estimate that fails, or counts an overdue prefill for ever.

    A gateway that restarts numbers its work from the beginning.
    """
    work = make_work((0.5, 0))
    work.add(("", 0), WorkItem(0.0, rank=0, expires_at=NEVER_EXPIRES), 100.1)
    assert work.prefill_wait(103.0, rank=0, speed=SPEED) == 0
    work.record_ended(("", 0), 103.0)
    assert work.prefill_wait(103.0, rank=0, speed=SPEED) == 0
    assert work.running == 0


def test_work_without_a_reported_end_expires():
    """Guards against work that counts for ever because the message of its end was lost."""
    work = SentWork()
    work.add(("10.0.0.2", 1), WorkItem(0.5, rank=0, expires_at=101.0), 100.0)
    work.add(("10.0.0.2", 1), WorkItem(0.5, rank=0, expires_at=103.0), 100.0)
    work.expire(101.0)
    assert work.running == 1
    work.expire(103.0)
    assert work.running == 0
    assert work.prefill_wait(103.0, rank=9, speed=SPEED) == 0


def test_faster_engine_has_a_shorter_queue():
    """Guards against waits by the reference speed at an engine that is eight times faster."""
    fast = EngineSpeed(scale=0.125, response_seconds=0.01)
    work = make_work((0.8, 0), (0.8, 0))
    assert work.prefill_wait(100.0, rank=0, speed=fast) == pytest.approx(0.2)


def test_throughput_is_measured_only_while_prompts_wait():
    """Guards against a pause without work that is taken for slowness."""
    speed = EngineSpeed(scale=0.1, response_seconds=0.01)
    work = make_work(*[(0.5, 0)] * 30)
    found = [work.record_prefilled(("", one), 100.05 + one / 20, speed) for one in range(27)]
    measured = [one for one in found if one is not None]
    assert measured
    assert all(
        one.seconds / one.reference_seconds == pytest.approx(speed.scale) for one in measured
    )
    idle = make_work(*[(0.01, 0)] * 10)
    assert not any(idle.record_prefilled(("", one), 101.0 + one, speed) for one in range(10))
