"""Errors of the command line: an exit code and a human-readable message."""

from dataclasses import dataclass

from knapweedspring_ctl._exit_codes import ExitCode

__all__ = ["CtlError"]


@dataclass(frozen=True, slots=True)
class CtlError:
    """Why a command failed."""

    #: Exit code of the command.
    exit_code: ExitCode
    #: What happened and what to do about it.
    message: str
