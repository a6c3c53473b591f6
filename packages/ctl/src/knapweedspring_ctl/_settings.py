"""Settings of the commands, from options, the environment and a settings file."""

import os
from dataclasses import dataclass

from result import Err, Ok, Result

from knapweedspring_core import load_settings
from knapweedspring_ctl._errors import CtlError
from knapweedspring_ctl._exit_codes import ExitCode

__all__ = ["SETTINGS_VARIABLE", "CtlSettings", "find_settings"]

#: Environment variable with the path of the settings file.
SETTINGS_VARIABLE = "KNAPWEEDSPRING_SETTINGS"


@dataclass(frozen=True, slots=True)
class CtlSettings:
    """Settings of ``knapweedspringctl``."""

    #: ``ip:port`` of the platform; empty when only nodes are read.
    platform: str = ""
    #: ``ip:port`` of the read-only pages of some nodes. The commands ask these nodes
    #: for the membership view before they ask the contacts on the platform.
    nodes: tuple[str, ...] = ()
    #: Names of the data centres in which a change must be in force; when empty, all
    #: data centres that have a status object.
    data_centres: tuple[str, ...] = ()
    #: Name of the writer of changes; when empty, ``user@host`` of the command.
    operator: str = ""


def find_settings(
    file: str | None, platform: str | None, nodes: tuple[str, ...]
) -> Result[CtlSettings, CtlError]:
    """Combine the options and the settings file; options take precedence.

    :param file: value of ``--settings``; when None, the path is read from the
        environment variable :data:`SETTINGS_VARIABLE`.
    :param platform: value of ``--platform``; None when the option is absent.
    :param nodes: values of ``--node``; empty when the option is absent.
    :return: the settings, or an error when the file is unreadable or invalid.
    """
    path = file or os.environ.get(SETTINGS_VARIABLE, "")
    settings = CtlSettings()
    if path:
        loaded = load_settings(path, CtlSettings)
        if isinstance(loaded, Err):
            return Err(CtlError(ExitCode.INVALID, str(loaded.err_value)))
        settings = loaded.ok_value
    return Ok(
        CtlSettings(
            platform=platform or settings.platform,
            nodes=nodes or settings.nodes,
            data_centres=settings.data_centres,
            operator=settings.operator,
        )
    )
