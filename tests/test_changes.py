"""Tests of configuration changes, each of which is accepted by one conditional write."""

from testtools import TestCase
from testtools.matchers import Contains, Equals
from twisted.internet.defer import ensureDeferred, fail
from twisted.internet.task import Clock

from chivewall.configuration import default_configuration
from chivewall.configuration_changes import (
    CONFIGURATION_KEY,
    MAX_ARCHIVE_BYTES,
    MAX_DOCUMENT_BYTES,
    MAX_HISTORY_VERSIONS,
    Archive,
    apply_change,
    decode_archive,
    encode_archive,
)
from chivewall.errors import (
    ChangeUnknownError,
    ConfigurationError,
    ObjectTooLargeError,
    StoreUnavailableError,
    VersionConflictError,
)
from chivewall.plugins.builtin.operator_config import _convert_errors
from chivewall.results import ResultCode, RunState
from chivewall.standins.objects import MAX_VALUE_BYTES, MemoryStore


class LossyStore(MemoryStore):
    """Store that loses responses to updates, and can go down before or after an update."""

    responses_to_lose = 0  # number of updates whose responses are still to be lost
    lost_updates_apply = True  # whether an update takes effect when its response is lost
    down = False
    down_after_update = False
    write_count = 0

    def get(self, key):
        if self.down:
            return fail(StoreUnavailableError("down"))
        return super().get(key)

    def update(self, key, value, version):
        self.write_count += 1
        self.down = self.down or self.down_after_update
        if not self.responses_to_lose:
            return super().update(key, value, version)
        self.responses_to_lose -= 1
        if self.lost_updates_apply:
            super().update(key, value, version)
        return fail(StoreUnavailableError("lost"))


class ChangeTest(TestCase):
    """Guards against changes that are lost, applied twice or overwritten."""

    def setUp(self):
        super().setUp()
        self.first = default_configuration()
        self.store = LossyStore(clock=Clock())
        self.store.create(CONFIGURATION_KEY, encode_archive(Archive(self.first)))

    def apply(self, configuration):
        results = []
        ensureDeferred(apply_change(self.store, configuration)).addBoth(results.append)
        return results[0]

    def stored(self):
        return decode_archive(self.store.objects[CONFIGURATION_KEY].value)

    def test_loser_of_a_race_sees_the_difference(self):
        """Guards against an overwrite when two changes start from the same version."""
        winner = self.first.successor(author="a", reason="first")
        self.apply(winner)
        failure = self.apply(self.first.successor(author="b", reason="second"))
        failure.trap(VersionConflictError)
        self.assertThat(str(failure.value), Contains('reason: "first" -> "second"'))
        self.assertThat(self.stored().current, Equals(winner))

    def test_lost_response_applies_a_change_once(self):
        """Guards against a change reported as failed, or applied twice, after a lost response."""
        for version, applied in ((2, True), (3, False)):
            self.store.responses_to_lose, self.store.lost_updates_apply = 1, applied
            change = self.stored().current.successor(reason=f"change {applied}")
            self.assertThat(self.apply(change), Equals(change))
            self.assertThat(self.stored().current, Equals(change))
            self.assertThat(len(self.stored().history), Equals(version - 1))

    def test_two_lost_writes_are_reported_as_unknown(self):
        """Guards against a definite result after two writes that may still take effect."""
        self.store.responses_to_lose, self.store.lost_updates_apply = 2, False
        self.apply(self.first.successor(reason="x")).trap(ChangeUnknownError)

    def test_outage_before_the_write_is_reported_as_not_written(self):
        """Guards against an unknown result for a change that was certainly not written."""
        self.store.down = True
        failure = self.apply(self.first.successor(reason="x"))
        failure.trap(StoreUnavailableError)
        self.assertFalse(failure.check(ChangeUnknownError))
        self.assertThat(self.store.write_count, Equals(0))

    def test_outage_after_the_write_is_reported_as_unknown(self):
        """Guards against a change reported as refused although it was accepted."""
        for applied in (True, False):
            (
                self.store.responses_to_lose,
                self.store.lost_updates_apply,
                self.store.down_after_update,
            ) = 1, applied, True
            change = self.stored().current.successor(reason=f"change {applied}")
            self.apply(change).trap(ChangeUnknownError)
            self.store.down, self.store.down_after_update = False, False
            self.assertThat(self.stored().current == change, Equals(applied))
            self.assertThat(self.apply(change), Equals(change))  # a repeat succeeds in both cases
        self.assertThat(self.stored().current.version, Equals(3))

    def test_refusals_of_an_outage_are_truthful(self):
        """Guards against "not run" for a change that may have been written."""
        for error, run in (
            (StoreUnavailableError("down"), RunState.NO),
            (ChangeUnknownError("lost"), RunState.UNKNOWN),
        ):
            results = []
            work = _convert_errors(self.raise_later(error))
            ensureDeferred(work).addErrback(lambda one, seen=results: seen.append(one.value))
            self.assertThat(results[0].run, Equals(run))
            self.assertThat(results[0].code, Equals(ResultCode.PLATFORM_UNAVAILABLE))

    async def raise_later(self, error):
        raise error

    def test_late_write_is_no_conflict(self):
        """Guards against a false conflict with the change's own write that arrived late."""

        class LateStore(LossyStore):
            late_value = None

            def update(self, key, value, version):
                if self.late_value is None:
                    self.late_value = value
                    return fail(StoreUnavailableError("lost"))
                MemoryStore.update(self, key, self.late_value, version)
                return super().update(key, value, version)

        self.store = LateStore(clock=Clock(), objects=self.store.objects, last_version=1)
        change = self.first.successor(reason="late")
        self.assertThat(self.apply(change), Equals(change))
        self.assertThat(self.stored().history, Equals((self.first,)))

    def test_object_stays_below_the_size_that_the_platform_takes(self):
        """Guards against a history that makes the object too large for the platform."""
        for index in range(8):
            change = self.stored().current.successor(reason=f"{index}" * 300_000)
            self.assertThat(self.apply(change), Equals(change))
            size = len(self.store.objects[CONFIGURATION_KEY].value)
            self.assertTrue(size <= MAX_ARCHIVE_BYTES < MAX_VALUE_BYTES, size)
        self.assertThat(len(self.stored().history), Equals(1))

    def test_too_large_document_is_refused(self):
        """Guards against a document so large that its successor keeps no history."""
        failure = self.apply(self.first.successor(reason="x" * MAX_DOCUMENT_BYTES))
        failure.trap(ObjectTooLargeError)
        self.assertThat(str(failure.value), Contains(f"at most {MAX_DOCUMENT_BYTES}"))
        self.assertThat(self.store.write_count, Equals(0))
        self.assertTrue(2 * MAX_DOCUMENT_BYTES <= MAX_ARCHIVE_BYTES)

    def test_history_is_bounded(self):
        """Guards against a stored object that grows with every change."""
        for _ in range(MAX_HISTORY_VERSIONS + 3):
            self.apply(self.stored().current.successor(reason="again"))
        self.assertThat(len(self.stored().history), Equals(MAX_HISTORY_VERSIONS))

    def test_unreadable_archives_raise(self):
        """Guards against a stored object of an unknown form that is taken for a configuration."""
        for value in (b"{", b"[]", b'{"format": 0}', b'{"format": 1, "current": {"x": 1}}'):
            self.assertRaises(ConfigurationError, decode_archive, value)
