"""Configuration changes are accepted by one conditional write."""

from testtools import TestCase
from testtools.matchers import Contains, Equals
from twisted.internet.defer import ensureDeferred, fail
from twisted.internet.task import Clock

from chivewall.changes import (
    CONFIGURATION_KEY,
    HISTORY_LENGTH,
    Archive,
    apply_change,
    decode_archive,
    encode_archive,
)
from chivewall.configuration import default_configuration
from chivewall.errors import ConfigurationError, StoreUnavailableError, VersionConflictError
from chivewall.standins.objects import MemoryStore


class LosingStore(MemoryStore):
    """Loses the responses to its next updates."""

    lost = 0
    reaches = True  # whether the update takes effect before its response is lost

    def update(self, key, value, version):
        if not self.lost:
            return super().update(key, value, version)
        self.lost -= 1
        if self.reaches:
            super().update(key, value, version)
        return fail(StoreUnavailableError("lost"))


class ChangeTest(TestCase):
    """Guards against lost, doubled and overwritten changes."""

    def setUp(self):
        super().setUp()
        self.first = default_configuration()
        self.store = LosingStore(clock=Clock())
        self.store.create(CONFIGURATION_KEY, encode_archive(Archive(self.first)))

    def apply(self, configuration):
        results = []
        ensureDeferred(apply_change(self.store, configuration)).addBoth(results.append)
        return results[0]

    def stored(self):
        return decode_archive(self.store.objects[CONFIGURATION_KEY].value)

    def test_loser_of_a_race_sees_the_difference(self):
        winner = self.first.successor(author="a", reason="first")
        self.apply(winner)
        failure = self.apply(self.first.successor(author="b", reason="second"))
        failure.trap(VersionConflictError)
        self.assertThat(str(failure.value), Contains('reason: "first" -> "second"'))
        self.assertThat(self.stored().current, Equals(winner))

    def test_lost_response(self):
        for version, reaches in ((2, True), (3, False)):
            self.store.lost, self.store.reaches = 1, reaches
            change = self.stored().current.successor(reason=f"change {reaches}")
            self.assertThat(self.apply(change), Equals(change))
            self.assertThat(self.stored().current, Equals(change))
            self.assertThat(len(self.stored().history), Equals(version - 1))

    def test_outage_is_reported_as_unknown(self):
        self.store.lost, self.store.reaches = 2, False
        self.apply(self.first.successor(reason="x")).trap(StoreUnavailableError)

    def test_history_is_bounded(self):
        for _ in range(HISTORY_LENGTH + 3):
            self.apply(self.stored().current.successor(reason="again"))
        self.assertThat(len(self.stored().history), Equals(HISTORY_LENGTH))

    def test_other_formats(self):
        for value in (b"{", b"[]", b'{"format": 0}', b'{"format": 1, "current": {"x": 1}}'):
            self.assertRaises(ConfigurationError, decode_archive, value)
