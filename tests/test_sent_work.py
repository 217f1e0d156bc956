"""Work that was sent to an endpoint, and the prompts that it has not read yet."""

import pytest

from chivewall.decisions.sent_work import PREFILL_RESPONSE_SECONDS, SentWork, WorkItem

LATER = 1_000.0  # no end by itself


def sent(*items):
    """Return work whose items are (read seconds, rank), sent at 100."""
    work = SentWork()
    for number, (seconds, rank) in enumerate(items):
        work.add(("", number), WorkItem(seconds, rank=rank, expires_at=LATER), 100.0)
    return work


def test_prompts_wait_for_those_before_them():
    work = sent((0.5, 0), (0.3, 0))
    assert work.prefill_wait(100.0, rank=0) == pytest.approx(0.8)
    assert work.prefill_wait(100.4, rank=0) == pytest.approx(0.4)


def test_queue_of_a_slow_engine_doesnt_drain_by_itself():
    """Guards prompts that are sent for seconds to an engine that has turned slow.

    A queue that was drained by the expected speed was taken to be empty (pwani-rota scale-1).
    """
    work = sent((0.5, 0), (0.5, 0), (0.5, 0))
    assert work.prefill_wait(105.0, rank=0) > 1.0


def test_prompts_are_read_while_an_answer_is_on_its_way():
    work = sent((0.5, 0), (0.5, 0))
    work.record_prefilled(("", 0), 100.5 + PREFILL_RESPONSE_SECONDS)
    assert work.prefill_wait(100.5 + PREFILL_RESPONSE_SECONDS, rank=0) == pytest.approx(
        0.5 - PREFILL_RESPONSE_SECONDS
    )


def test_lower_ranks_wait_for_the_prompt_that_is_being_read_only():
    work = sent((0.5, 5), (0.4, 5), (0.3, 0))
    assert work.prefill_wait(100.0, rank=0) == pytest.approx(0.8)
    assert work.prefill_wait(100.0, rank=5) == pytest.approx(1.2)


def test_first_rank_is_read_next():
    work = sent((0.5, 5), (0.4, 5), (0.3, 0))
    work.record_prefilled(("", 0), 100.6)
    work.record_ended(("", 2), 100.6)
    assert work.prefill_wait(100.6, rank=0) == pytest.approx(0.4)


def test_prompt_that_is_given_up_no_longer_waits():
    work = sent((0.5, 0), (0.4, 0))
    work.record_ended(("", 1), 100.2)
    assert work.prefill_wait(100.2, rank=0) == pytest.approx(0.3)
    work.record_ended(("", 0), 100.2)
    assert work.prefill_wait(100.2, rank=0) == 0
    assert work.running == 0


def test_end_that_was_not_heard_of_comes_by_itself():
    work = SentWork()
    work.add(("10.0.0.2", 1), WorkItem(0.5, rank=0, expires_at=101.0), 100.0)
    work.add(("10.0.0.2", 1), WorkItem(0.5, rank=0, expires_at=103.0), 100.0)
    work.expire(101.0)
    assert work.running == 1
    work.expire(103.0)
    assert work.running == 0
    assert work.prefill_wait(103.0, rank=9) == 0
