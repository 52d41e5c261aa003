"""Define the exit codes of the operators' program."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Enumerate the exit codes of a sub-command.

    DIFFERENT also stands for calls left in flight and for nothing to resolve or show.
    """

    DONE = 0
    DIFFERENT = 1
    USAGE = 2
    REFUSED = 3
    UNREACHABLE = 4
    OUTCOME_UNKNOWN = 5
