"""Exit codes, documented in docs/CTL.md."""

from enum import IntEnum

__all__ = ["ExitCode"]


class ExitCode(IntEnum):
    """What a command tells the shell."""

    #: Done.
    OK = 0
    #: ``diff`` found differences.
    DIFFERENT = 1
    #: The command line is wrong.
    USAGE = 2
    #: A file or declaration is invalid; nothing was written.
    INVALID = 3
    #: Another operator's write came first; it was left as it is.
    CONFLICT = 4
    #: The platform or a node cannot be reached; nothing was written.
    UNAVAILABLE = 5
    #: It is not known whether a write took effect.
    UNSURE = 6
    #: The wait ended before the change was in force everywhere.
    TIMEOUT = 7
    #: What was asked for does not exist.
    NOT_FOUND = 8
