"""Access to the platform that several commands share."""

import getpass
import socket

from result import Err, Ok, Result

from knapweedspring_core import (
    DECLARATION_TYPES,
    STATUS_KIND,
    DataCentreStatus,
    HttpPlatform,
    ObjectKey,
    ObjectRecord,
    Platform,
    parse_status,
)
from knapweedspring_ctl._errors import CtlError
from knapweedspring_ctl._exit_codes import ExitCode
from knapweedspring_ctl._settings import CtlSettings

__all__ = [
    "DECLARATION_KINDS",
    "open_platform",
    "operator_name",
    "read_declarations",
    "read_statuses",
]

DECLARATION_KINDS = tuple(sorted(DECLARATION_TYPES))


def open_platform(settings: CtlSettings) -> Result[Platform, CtlError]:
    """Create the client of the platform that the settings name."""
    if settings.platform:
        return Ok(HttpPlatform(settings.platform))
    message = 'name the platform: --platform IP:PORT, or "platform" in the settings'
    return Err(CtlError(ExitCode.USAGE, message))


def operator_name(settings: CtlSettings) -> str:
    """Return the name of the writer under which the platform stores changes."""
    return settings.operator or f"{getpass.getuser()}@{socket.gethostname()}"


def read_declarations(
    platform: Platform,
) -> Result[dict[ObjectKey, ObjectRecord], CtlError]:
    """Read every declaration that exists, and return the records by key."""
    listed = platform.list_all(DECLARATION_KINDS)
    if isinstance(listed, Err):
        message = f"the platform cannot be read: {listed.err_value}"
        return Err(CtlError(ExitCode.UNAVAILABLE, message))
    return Ok({record.key: record for record in listed.ok_value.records})


def read_statuses(
    platform: Platform,
) -> Result[tuple[DataCentreStatus, ...], CtlError]:
    """Read the status object of every data centre."""
    listed = platform.list_all((STATUS_KIND,))
    if isinstance(listed, Err):
        message = f"the platform cannot be read: {listed.err_value}"
        return Err(CtlError(ExitCode.UNAVAILABLE, message))
    parsed = [parse_status(record) for record in listed.ok_value.records]
    return Ok(tuple(one.ok_value for one in parsed if isinstance(one, Ok)))
