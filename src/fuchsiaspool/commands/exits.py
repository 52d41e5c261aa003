"""Define the exit codes of the operators' program."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Enumerate the exit codes of a sub-command.

    `DIFFERENT` also means that calls were left in flight, or that there was no
    operation to resolve or no log line to show.
    """

    DONE = 0
    DIFFERENT = 1
    USAGE = 2
    REFUSED = 3
    UNREACHABLE = 4
    OUTCOME_UNKNOWN = 5
