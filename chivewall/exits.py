"""Exit statuses of the daemon and the command-line tool."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """Why a program ended: number and meaning.

    The table in ``docs/operators/cli.md`` is generated from these members.
    """

    OK = (0, "Done as asked.")
    FAILED = (1, "The request was refused or failed; the message says why.")
    USAGE = (2, "The command line is wrong.")
    INVALID_SETTINGS = (3, "A settings or configuration file is wrong.")
    UNREACHABLE = (4, "No daemon answers at the address.")
    CONFLICT = (5, "Another operator changed the configuration first.")
    NOT_IN_FORCE = (6, "Accepted, but not in force everywhere within the time asked.")
    UNAUTHENTICATED = (7, "The operator token is missing or wrong.")
    FORCED = (8, "A second signal ended the daemon before it was drained.")

    meaning: str

    def __new__(cls, number: int, meaning: str) -> "ExitStatus":
        """Return a member whose value is the number."""
        member = int.__new__(cls, number)
        member._value_ = number
        member.meaning = meaning
        return member
