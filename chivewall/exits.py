"""Exit statuses of the daemon and the command-line tool."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """Why a program ended; listed in ``chivewall --help``."""

    OK = 0  # done as asked
    FAILED = 1  # the request was refused or failed; the message says why
    USAGE = 2  # the command line is wrong
    INVALID_SETTINGS = 3  # a settings or configuration file is wrong
    UNREACHABLE = 4  # no daemon answers at the address
    CONFLICT = 5  # another operator changed the configuration first
    NOT_IN_FORCE = 6  # accepted, but not in force everywhere within the time asked
    UNAUTHENTICATED = 7  # the operator token is missing or wrong
    FORCED = 8  # a second signal ended the daemon before it was drained
