"""Settings files: JSON with comments, checked against a frozen data class."""

from pathlib import Path
from typing import TypeVar

import msgspec
from jsonc import loads as parse_json_with_comments
from result import Err, Ok, Result

from knapweedspring_core._errors import SettingsError
from knapweedspring_core._unknown_fields import first_unknown_field

__all__ = ["load_settings", "parse_settings"]

T = TypeVar("T")


def parse_settings(
    text: str, settings_type: type[T], file: str = "<text>"
) -> Result[T, SettingsError]:
    """Parse settings text and validate every field.

    :param text: JSON, in which ``//`` and ``/* */`` comments are allowed.
    :param settings_type: the frozen data class that describes the settings.
    :param file: name of the file in error messages.
    :return: the settings, or a :class:`SettingsError` with the field's path.
    """
    try:
        raw = parse_json_with_comments(text)
    except ValueError as error:
        return Err(SettingsError(file, f"not JSON with comments: {error}"))
    try:
        settings = msgspec.convert(raw, settings_type, strict=True)
    except msgspec.ValidationError as error:
        return Err(SettingsError(file, str(error)))
    unknown = first_unknown_field(raw, settings)
    if unknown is not None:
        advice = "remove the field or correct its name"
        return Err(SettingsError(file, f"{unknown}: {advice}"))
    return Ok(settings)


def load_settings(file: str, settings_type: type[T]) -> Result[T, SettingsError]:
    """Read a settings file; see :func:`parse_settings`.

    :param file: path of the file.
    :param settings_type: the frozen data class that describes the settings.
    :return: the settings, or a :class:`SettingsError` when the file is unreadable
        or invalid.
    """
    try:
        text = Path(file).read_text(encoding="utf-8")
    except OSError as error:
        return Err(SettingsError(file, f"cannot be read: {error.strerror}"))
    return parse_settings(text, settings_type, file)
