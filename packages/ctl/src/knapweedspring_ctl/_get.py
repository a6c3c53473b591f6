"""``get`` and ``diff``: show stored declarations and changes to them."""

from dataclasses import dataclass
from typing import Any

import msgspec
from result import Err, Ok, Result

from knapweedspring_core import ObjectKey, ObjectRecord
from knapweedspring_ctl._errors import CtlError
from knapweedspring_ctl._exit_codes import ExitCode
from knapweedspring_ctl._files import load_declarations
from knapweedspring_ctl._output import Output, format_table
from knapweedspring_ctl._plan import Change, describe_difference, plan_changes
from knapweedspring_ctl._platform_access import open_platform, read_declarations
from knapweedspring_ctl._settings import CtlSettings

__all__ = ["diff_file", "get_objects"]


@dataclass(frozen=True, slots=True)
class StoredObject:
    """A stored object in the form of a declaration file."""

    #: Kind, such as ``RequestClass``.
    kind: str
    #: Name, unique within the kind.
    name: str
    #: Stored version. When a file with this object and version is applied, ``apply``
    #: reports a conflict if the platform no longer stores this version, unless the
    #: content that it stores at that time equals the content in the file.
    version: int
    #: Name of the writer and id of the write.
    writer: str
    #: Decoded JSON content of the object, or the stored text if it is not JSON.
    spec: Any


@dataclass(frozen=True, slots=True)
class Difference:
    """An object that applying a file would change."""

    #: Kind, such as ``RequestClass``.
    kind: str
    #: Name, unique within the kind.
    name: str
    #: The change that ``apply`` would make.
    change: Change
    #: Version that is stored, 0 when the object does not exist.
    stored_version: int


def get_objects(
    settings: CtlSettings, selector: str | None, output: Output
) -> Result[ExitCode, CtlError]:
    """Show the stored declarations that match a selector.

    :param selector: ``Kind``, ``Kind/name``, or None for all declarations.
    :return: the exit code, or the error that ended the command.
    """
    opened = open_platform(settings)
    if isinstance(opened, Err):
        return opened
    read = read_declarations(opened.ok_value)
    if isinstance(read, Err):
        return read
    chosen = [
        record
        for key, record in sorted(read.ok_value.items())
        if _is_selected(key, selector)
    ]
    if selector is not None and not chosen:
        message = f"no stored declaration matches {selector}"
        return Err(CtlError(ExitCode.NOT_FOUND, message))
    rows = [
        (str(record.key), str(record.version), record.writer, record.content)
        for record in chosen
    ]
    text = format_table(("DECLARATION", "VERSION", "WRITER", "SPEC"), rows)
    output.write_data([_stored_object(record) for record in chosen], text)
    return Ok(ExitCode.OK)


def diff_file(
    settings: CtlSettings, file: str, output: Output
) -> Result[ExitCode, CtlError]:
    """Show what applying a file would change.

    :return: ``DIFFERENT`` if a change would be made, otherwise ``OK``; or an error.
    """
    declared = load_declarations(file)
    if isinstance(declared, Err):
        return declared
    opened = open_platform(settings)
    if isinstance(opened, Err):
        return opened
    stored = read_declarations(opened.ok_value)
    if isinstance(stored, Err):
        return stored
    changes = [
        one
        for one in plan_changes(declared.ok_value, stored.ok_value)
        if one.change is not Change.UNCHANGED
    ]
    differences = [
        Difference(
            one.declared.key.kind,
            one.declared.key.name,
            one.change,
            one.stored_version,
        )
        for one in changes
    ]
    text = "\n".join(
        f"{one.change} {describe_difference(one.stored, one.declared)}"
        for one in changes
    )
    output.write_data(differences, text)
    return Ok(ExitCode.DIFFERENT if changes else ExitCode.OK)


def _is_selected(key: ObjectKey, selector: str | None) -> bool:
    return selector is None or selector in (key.kind, str(key))


def _stored_object(record: ObjectRecord) -> StoredObject:
    try:
        spec = msgspec.json.decode(record.content)
    except msgspec.DecodeError:
        # Another client may have written text that is not JSON, which is shown as is.
        spec = record.content
    key = record.key
    return StoredObject(key.kind, key.name, record.version, record.writer, spec)
