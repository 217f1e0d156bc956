"""Exit statuses of the daemon and the command-line tool."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """An exit status: number and meaning.

    The table in ``docs/operators/cli.md`` is generated from these members.
    """

    OK = (0, "Success.")
    FAILED = (1, "The request was refused or failed; the message says why.")
    USAGE = (2, "The command line is invalid.")
    INVALID_SETTINGS = (3, "A settings or configuration file is invalid.")
    UNREACHABLE = (4, "No daemon responds at the address.")
    CONFLICT = (5, "Another operator changed the configuration first.")
    NOT_IN_FORCE = (6, "The change is accepted, but not in force everywhere within --timeout.")
    UNAUTHENTICATED = (7, "The operator token is missing or wrong.")
    FORCED = (8, "SIGINT stopped the daemon before its graceful shutdown was complete.")

    meaning: str

    def __new__(cls, number: int, meaning: str) -> "ExitStatus":
        """Return a member whose value is the number."""
        member = int.__new__(cls, number)
        member._value_ = number
        member.meaning = meaning
        return member
