"""Changes of engines between prefill and decode, and the turns of those who order them."""

import pytest
from attrs import evolve

from chivewall.decisions.stages import (
    NO_DECODER_SAMPLES,
    EngineView,
    OrderLock,
    OrderLockView,
    PrefillLoad,
    StageChange,
    StageLoad,
    propose,
)
from chivewall.gateway.routing_configuration import Stage


def view(name, stage, in_flight=2, **fields):
    return EngineView(name, stage, in_flight, **({"usable": True} | fields))


class TestStages:
    """Changes between prefill and decode."""

    DECODERS = tuple(view(f"d{one}", Stage.DECODE, in_flight=one) for one in (3, 1, 2))

    def test_busy_prefill_gets_the_idlest_decoder(self):
        load = StageLoad((view("p", Stage.PREFILL), *self.DECODERS), prefill_load=1.5)
        assert propose(load) == StageChange("d1", Stage.PREFILL, "prefill busy 1.50 engines")

    def test_steady_load_changes_nothing(self):
        load = StageLoad((view("p", Stage.PREFILL), *self.DECODERS), prefill_load=0.7)
        assert propose(load) is None

    def test_two_decoders_stay(self):
        load = StageLoad((view("p", Stage.PREFILL), *self.DECODERS[:2]), prefill_load=3.0)
        assert propose(load) is None

    def test_without_a_decoder_a_reader_becomes_one(self):
        readers = (view("p1", Stage.PREFILL), view("p2", Stage.PREFILL))
        load = StageLoad(readers, prefill_load=1.0, no_decoder_samples=NO_DECODER_SAMPLES)
        assert propose(load).stage is Stage.DECODE

    def test_engines_of_a_start_may_appear_one_by_one(self):
        """Guards an order at each start of a site whose prefill engines were listed first.

        pwani-rota quiet-1 began its day with two prefill engines instead of three.
        """
        readers = (view("p1", Stage.PREFILL), view("p2", Stage.PREFILL))
        load = PrefillLoad()
        assert propose(load.sample(readers, 0.0, 0.0)) is None
        assert propose(load.sample((*readers, *self.DECODERS), 0.0, 1.0)) is None
        assert [propose(load.sample(readers, 0.0, 2.0)) for _ in range(NO_DECODER_SAMPLES)][
            -1
        ] is not None

    def test_crowded_decoders_get_an_idle_reader(self):
        engines = (
            view("p1", Stage.PREFILL),
            view("p2", Stage.PREFILL),
            view("d1", Stage.DECODE, in_flight=60),
        )
        assert propose(StageLoad(engines, prefill_load=0.1)).stage is Stage.DECODE

    def test_load_counts_after_a_whole_window(self):
        load = PrefillLoad()
        load.add(2.0, 0.0)
        assert load.average(1.0) == 0
        load.add(2.0, 4.0)
        assert load.average(5.5) == pytest.approx(2.0 / 5.0)


class TestTurns:
    """Who may give the next order."""

    CHANGE = StageChange("d1", Stage.PREFILL, "")
    OTHER = OrderLock(7, "gateway-2", "d2", Stage.PREFILL, taken_at=1000.0)

    def test_other_holders_turn_must_have_been_seen_for_two_leases(self):
        """Guards orders of two machines within one lease time."""
        turns = OrderLockView(lease_seconds=3.0)
        turns.update(self.OTHER, 50.0)
        assert not turns.may_take("gateway-1", 55.9, unix_time=1002.0)
        assert turns.may_take("gateway-1", 56.0, unix_time=1002.0)

    def test_newer_turn_starts_the_wait_again(self):
        turns = OrderLockView(lease_seconds=3.0)
        turns.update(self.OTHER, 50.0)
        turns.update(evolve(self.OTHER, number=8), 55.0)
        assert not turns.may_take("gateway-1", 56.0, unix_time=1002.0)

    def test_wrong_clock_of_some_seconds_allows_nothing(self):
        turns = OrderLockView(lease_seconds=3.0)
        turns.update(self.OTHER, 50.0)
        assert not turns.may_take("gateway-1", 50.0, unix_time=1010.0)

    def test_each_turn_has_its_own_fencing_number(self):
        turns = OrderLockView(lease_seconds=3.0)
        assert turns.next_lock("gateway-1", self.CHANGE, 0.0).number == 1
        turns.update(self.OTHER, 0.0)
        assert turns.next_lock("gateway-1", self.CHANGE, 0.0).number == 8
