"""Changes of engines between prefill and decode, and the locks for ordering them."""

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
    propose_all,
)
from chivewall.gateway.routing_configuration import Stage


def view(name, stage, in_flight=2, **fields):
    return EngineView(name, stage, in_flight, **({"usable": True} | fields))


class TestStages:
    """Changes between prefill and decode."""

    DECODE_ENGINES = tuple(view(f"d{one}", Stage.DECODE, in_flight=one) for one in (3, 1, 2))

    def test_busy_prefill_gets_the_idlest_decode_engine(self):
        """Guards against prompts that queue at prefill engines while a decode engine is idle."""
        load = StageLoad((view("p", Stage.PREFILL), *self.DECODE_ENGINES), prefill_load=1.5)
        assert propose(load) == StageChange("d1", Stage.PREFILL, "prefill busy 1.50 engines")

    def test_steady_load_changes_nothing(self):
        """Guards against changes of stage that the load doesn't need."""
        load = StageLoad((view("p", Stage.PREFILL), *self.DECODE_ENGINES), prefill_load=0.7)
        assert propose(load) is None

    def test_last_two_decode_engines_stay(self):
        """Guards against too few decode engines after a change."""
        load = StageLoad((view("p", Stage.PREFILL), *self.DECODE_ENGINES[:2]), prefill_load=3.0)
        assert propose(load) is None

    def test_without_a_decode_engine_a_prefill_engine_becomes_one(self):
        """Guards against a service that can't generate because all its engines prefill."""
        prefill_engines = (view("p1", Stage.PREFILL), view("p2", Stage.PREFILL))
        load = StageLoad(prefill_engines, prefill_load=1.0, no_decoder_samples=NO_DECODER_SAMPLES)
        assert propose(load).stage is Stage.DECODE

    def test_free_prefill_engine_decodes_while_all_decoders_limit_their_requests(self):
        """Guards against refusals for rate limits while an engine without one is idle."""
        engines = (
            view("p1", Stage.PREFILL, in_flight=0, limited=True),
            view("p2", Stage.PREFILL, in_flight=5),
            view("d1", Stage.DECODE, limited=True),
        )
        load = PrefillLoad()
        samples = [load.sample(engines, 0.0, one, permit_wait=0.5) for one in (1.0, 2.0)]
        assert [propose(one) for one in samples] == [
            None,
            StageChange("p2", Stage.DECODE, "the decode engines limit their requests", urgent=True),
        ]
        assert propose(load.sample(engines, 0.0, 3.0, permit_wait=0.0)) is None

    def test_decode_engines_without_a_limit_stay_beside_limited_ones(self):
        """Guards against a busy prefill that takes the last engines that can serve any number."""
        limited = tuple(evolve(one, limited=one.id != "d1") for one in self.DECODE_ENGINES)
        load = StageLoad((view("p", Stage.PREFILL), *limited), prefill_load=3.0)
        assert propose(load) is None

    def test_engines_may_be_listed_one_by_one_at_a_start(self):
        """Guards against an order at each start of a site whose prefill engines are listed first.

        pwani-rota quiet-1 began its day with two prefill engines instead of three.
        """
        prefill_engines = (view("p1", Stage.PREFILL), view("p2", Stage.PREFILL))
        load = PrefillLoad()
        assert propose(load.sample(prefill_engines, 0.0, 0.0)) is None
        assert propose(load.sample((*prefill_engines, *self.DECODE_ENGINES), 0.0, 1.0)) is None
        assert [propose(load.sample(prefill_engines, 0.0, 2.0)) for _ in range(NO_DECODER_SAMPLES)][
            -1
        ] is not None

    def test_crowded_decode_engines_get_an_idle_prefill_engine(self):
        """Guards against crowded decode engines beside an idle prefill engine."""
        engines = (
            view("p1", Stage.PREFILL),
            view("p2", Stage.PREFILL),
            view("d1", Stage.DECODE, in_flight=60),
        )
        assert propose(StageLoad(engines, prefill_load=0.1)).stage is Stage.DECODE

    def test_load_counts_after_a_whole_window(self):
        """Guards against a change of stage because of the first seconds of load."""
        load = PrefillLoad()
        load.add(2.0, 0.0)
        assert load.average(1.0) == 0
        load.add(2.0, 4.0)
        assert load.average(5.5) == pytest.approx(2.0 / 5.0)


class TestSeveralChanges:
    """Changes to prefill at the same time, in a service with many engines."""

    PREFILL_ENGINES = tuple(view(f"p{one}", Stage.PREFILL) for one in range(4))

    def decoders(self, count=12, **fields):
        return tuple(view(f"d{one:02}", Stage.DECODE, **fields) for one in range(count))

    def test_large_load_gets_several_engines_at_once(self):
        """Guards against a burst that is over before the second engine has changed."""
        engines = self.PREFILL_ENGINES + self.decoders()
        found = propose_all(StageLoad(engines, prefill_load=3.9, recent_load=3.9))
        assert len(found) == 3  # 3.9 engines' time is 0.56 of seven engines'
        assert len({one.engine for one in found}) == 3

    def test_queue_in_the_first_seconds_counts_by_its_load(self):
        """Guards against a start at which one engine changes though several are missing."""
        engines = self.PREFILL_ENGINES + self.decoders()
        load = StageLoad(engines, prefill_load=0.0, queued_samples=3, recent_load=4.0)
        assert len(propose_all(load)) == 3

    def test_a_third_of_the_decode_engines_change_at_most(self):
        """Guards against streams without engines while many of them change."""
        engines = self.PREFILL_ENGINES + self.decoders()
        assert len(propose_all(StageLoad(engines, prefill_load=50.0, recent_load=50.0))) == 4

    def test_small_service_changes_one_engine_at_a_time(self):
        """Guards against several changes where one engine is a large part of the service."""
        engines = self.PREFILL_ENGINES[:2] + self.decoders(4)
        assert len(propose_all(StageLoad(engines, prefill_load=9.0, recent_load=9.0))) == 1

    def test_decode_engines_keep_room_for_what_runs(self):
        """Guards against changes that leave too few engines for the running streams."""
        engines = self.PREFILL_ENGINES + self.decoders(in_flight=10)
        found = propose_all(StageLoad(engines, prefill_load=9.0, recent_load=9.0))
        assert len(found) == 2

    def test_fast_engines_prefill(self):
        """Guards against long prompts at slow engines while fast ones only decode."""
        slow = self.decoders(6, scale=1.4)
        fast = tuple(view(f"f{one}", Stage.DECODE, in_flight=9, scale=0.6) for one in range(2))
        engines = self.PREFILL_ENGINES + slow + fast
        found = propose_all(StageLoad(engines, prefill_load=9.0, recent_load=9.0))
        assert [one.engine for one in found] == ["f0", "f1"]

    def test_each_data_centre_keeps_decode_engines(self):
        """Guards against a data centre whose KV caches all go to another one."""
        north = self.decoders(4, in_flight=0, data_centre="north")
        south = tuple(view(f"s{one}", Stage.DECODE, data_centre="south") for one in range(8))
        engines = self.PREFILL_ENGINES + north + south
        found = propose_all(StageLoad(engines, prefill_load=50.0, recent_load=50.0))
        assert all(one.engine.startswith("s") for one in found)


class TestOrderLocks:
    """Which gateway may give the next order."""

    CHANGE = StageChange("d1", Stage.PREFILL, "")
    OTHER = OrderLock(7, "gateway-2", "d2", Stage.PREFILL, taken_at=1000.0)

    def test_other_holders_lock_must_have_been_seen_for_two_leases(self):
        """Guards against orders of two instances within one lease time."""
        locks = OrderLockView(lease_seconds=3.0)
        locks.update(self.OTHER, 50.0)
        assert not locks.may_take("gateway-1", 55.9, unix_time=1002.0)
        assert locks.may_take("gateway-1", 56.0, unix_time=1002.0)

    def test_newer_lock_restarts_the_wait(self):
        """Guards against an order within the lease time of another holder's newer lock."""
        locks = OrderLockView(lease_seconds=3.0)
        locks.update(self.OTHER, 50.0)
        locks.update(evolve(self.OTHER, number=8), 55.0)
        assert not locks.may_take("gateway-1", 56.0, unix_time=1002.0)

    def test_clock_error_of_seconds_frees_no_lock(self):
        """Guards against a lock taken too early by an instance whose clock is seconds ahead."""
        locks = OrderLockView(lease_seconds=3.0)
        locks.update(self.OTHER, 50.0)
        assert not locks.may_take("gateway-1", 50.0, unix_time=1010.0)

    def test_each_lock_has_its_own_fencing_number(self):
        """Guards against two orders with the same fencing number."""
        locks = OrderLockView(lease_seconds=3.0)
        assert locks.next_lock("gateway-1", self.CHANGE, 0.0, era=None).number == 1
        locks.update(self.OTHER, 0.0)
        assert locks.next_lock("gateway-1", self.CHANGE, 0.0, era=None).number == 8

    def test_number_is_greater_than_all_of_earlier_eras(self):
        """Guards against a fencing number that was given out before a restore."""
        locks = OrderLockView(lease_seconds=3.0)
        before = locks.next_lock("gateway-1", self.CHANGE, 0.0, era=1)
        assert locks.next_lock("gateway-2", self.CHANGE, 0.0, era=2).number > before.number + 10**6
        locks.update(evolve(self.OTHER, number=2**40), 0.0)
        locks.update(None, 1.0)
        assert locks.next_lock("gateway-1", self.CHANGE, 0.0, era=2).number == 2**40 + 1
        largest = OrderLockView(lease_seconds=3.0).next_lock("g", self.CHANGE, 0.0, era=2**31 - 1)
        assert largest.number < 2**53
