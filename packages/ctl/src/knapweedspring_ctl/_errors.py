"""Errors of the command line: a message for people and an exit code."""

from dataclasses import dataclass

from knapweedspring_ctl._exits import ExitCode

__all__ = ["CtlError"]


@dataclass(frozen=True, slots=True)
class CtlError:
    """Why a command failed."""

    #: Exit code of the command.
    exit_code: ExitCode
    #: What happened and what to do about it.
    message: str
