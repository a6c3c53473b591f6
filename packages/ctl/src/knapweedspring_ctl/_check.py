"""``check-settings``: checks a file without using it."""

from dataclasses import dataclass

from result import Err, Ok, Result

from knapweedspring_core import load_settings
from knapweedspring_ctl._errors import CtlError
from knapweedspring_ctl._exits import ExitCode
from knapweedspring_ctl._files import load_declarations
from knapweedspring_ctl._output import Output
from knapweedspring_ctl._settings import CtlSettings
from knapweedspring_node import load_node_settings

__all__ = ["ROLES", "check_settings"]

#: What a file may be for; the first is the default.
ROLES = ("node", "ctl", "declarations")


@dataclass(frozen=True, slots=True)
class CheckReport:
    """Result of ``check-settings`` for a file without mistakes."""

    #: Path of the file.
    file: str
    #: What it is for.
    role: str
    #: Whether it can be used; a file that cannot ends the command.
    valid: bool = True


def check_settings(file: str, role: str, output: Output) -> Result[ExitCode, CtlError]:
    """Check a file as the program of its role would.

    :param role: one of :data:`ROLES`.
    :return: OK, or the path of the first mistake and what to write there.
    """
    mistake = _find_mistake(file, role)
    if mistake is not None:
        return Err(CtlError(ExitCode.INVALID, mistake))
    output.data(CheckReport(file, role), f"{file}: can be used")
    return Ok(ExitCode.OK)


def _find_mistake(file: str, role: str) -> str | None:
    if role == "declarations":
        declared = load_declarations(file)
        return declared.err_value.message if isinstance(declared, Err) else None
    if role == "ctl":
        loaded = load_settings(file, CtlSettings)
        return str(loaded.err_value) if isinstance(loaded, Err) else None
    node = load_node_settings(file)
    return str(node.err_value) if isinstance(node, Err) else None
