"""``check-settings``: validates a file without applying it."""

from dataclasses import dataclass

from result import Err, Ok, Result

from knapweedspring_core import load_settings
from knapweedspring_ctl._errors import CtlError
from knapweedspring_ctl._exit_codes import ExitCode
from knapweedspring_ctl._files import load_declarations
from knapweedspring_ctl._output import Output
from knapweedspring_ctl._settings import CtlSettings
from knapweedspring_node import load_node_settings

__all__ = ["ROLES", "check_settings"]

#: Roles that a checked file may have; the first role is the default.
ROLES = ("node", "ctl", "declarations")


@dataclass(frozen=True, slots=True)
class CheckReport:
    """Result of ``check-settings`` for a valid file."""

    #: Path of the file.
    file: str
    #: Role of the file, one of :data:`ROLES`.
    role: str
    #: Always true, since an invalid file ends the command with an error.
    valid: bool = True


def check_settings(file: str, role: str, output: Output) -> Result[ExitCode, CtlError]:
    """Validate a file in the same way as the program that reads it.

    :param file: path of the file.
    :param role: one of :data:`ROLES`.
    :return: ``OK``, or an error with the path of the invalid field and advice.
    """
    error = _find_error(file, role)
    if error is not None:
        return Err(CtlError(ExitCode.INVALID, error))
    output.write_data(CheckReport(file, role), f"{file}: can be used")
    return Ok(ExitCode.OK)


def _find_error(file: str, role: str) -> str | None:
    if role == "declarations":
        declared = load_declarations(file)
        return declared.err_value.message if isinstance(declared, Err) else None
    if role == "ctl":
        loaded = load_settings(file, CtlSettings)
        return str(loaded.err_value) if isinstance(loaded, Err) else None
    node = load_node_settings(file)
    return str(node.err_value) if isinstance(node, Err) else None
