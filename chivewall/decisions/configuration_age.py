"""Tells whether the operator may have written a newer routing configuration than the one known."""

import math

from attrs import define

# Another gateway repeats the version that it has in its hellos, one every two seconds.
NEWER_NAMED_SECONDS = 5.0


@define
class ConfigurationAge:
    """What this gateway has heard about configurations that it doesn't have.

    Example: after ``age.store_in_touch = False``, ``age.may_be_old(now)`` is true.
    """

    store_in_touch: bool = False  # the store's changes are followed
    unreadable: bool = False  # the latest version in the store can't be decoded
    newer_named_until: float = -math.inf  # another gateway has named a newer version

    def record_newer(self, now: float) -> None:
        """Record that another gateway has a newer version in force."""
        self.newer_named_until = now + NEWER_NAMED_SECONDS

    def record_applied(self) -> None:
        """Record that a newer version is in force here now."""
        self.unreadable = False
        self.newer_named_until = -math.inf

    def may_be_old(self, now: float) -> bool:
        """Return whether a newer version than the one in force may exist."""
        return not self.store_in_touch or self.unreadable or now < self.newer_named_until
