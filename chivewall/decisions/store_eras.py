"""Decides what may be taken from an answer of a store that can be restored from an older copy.

Each restore begins a new era, and each answer names its era. Revisions and their order hold within
one era only: a restored store gives revisions out again.
"""

from enum import Enum


class ReadVerdict(Enum):
    """What to do with a list or with changes that were read from the store."""

    USE = "used"
    OUTDATED = "of an earlier era"  # a newer era is known; the store has lost what this says
    RESTORED = "of a newer era"  # changes that don't follow the list which they were to continue


def judge_read(era: int | None, newest: int | None, list_era: int | None) -> ReadVerdict:
    """Return whether what was read may be used.

    ``era`` is that of the answer, ``newest`` the newest one that is known and ``list_era`` that of
    the list which the answer continues. ``None`` means unknown, or no list for the last one.

    Example: ``judge_read(2, 2, 1) is ReadVerdict.RESTORED``.
    """
    if era is None:
        return ReadVerdict.USE
    if newest is not None and era < newest:
        return ReadVerdict.OUTDATED
    if list_era is not None and era != list_era:
        return ReadVerdict.RESTORED
    return ReadVerdict.USE
