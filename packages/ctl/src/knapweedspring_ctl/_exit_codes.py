"""Exit codes, documented in docs/CTL.md."""

from enum import IntEnum

__all__ = ["ExitCode"]


class ExitCode(IntEnum):
    """Exit code of a command."""

    #: The command succeeded.
    OK = 0
    #: ``diff`` found differences.
    DIFFERENT = 1
    #: The command line is wrong.
    USAGE = 2
    #: A file or declaration is invalid and nothing was written, or the platform refused
    #: an object; ``apply`` has then written the objects before it in the file.
    INVALID = 3
    #: Another operator's write was stored first and was not replaced.
    CONFLICT = 4
    #: The platform or a node cannot be reached; nothing was written.
    UNAVAILABLE = 5
    #: It is not known whether a write took effect.
    UNSURE = 6
    #: The wait ended before the change was in force everywhere.
    TIMEOUT = 7
    #: The requested object, status or request does not exist.
    NOT_FOUND = 8
