"""``get`` and ``diff``: show what is stored."""

from dataclasses import dataclass
from typing import Any

import msgspec
from result import Err, Ok, Result

from knapweedspring_core import ObjectKey, ObjectRecord
from knapweedspring_ctl._errors import CtlError
from knapweedspring_ctl._exits import ExitCode
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
    #: Version; ``apply`` refuses the file when another one is stored by then.
    version: int
    #: Who wrote it.
    writer: str
    #: The content.
    spec: Any


@dataclass(frozen=True, slots=True)
class Difference:
    """An object that applying a file would change."""

    #: Kind, such as ``RequestClass``.
    kind: str
    #: Name, unique within the kind.
    name: str
    #: What would happen.
    change: Change
    #: Stored version, 0 when there is none.
    stored_version: int


def get_objects(
    settings: CtlSettings, selector: str | None, output: Output
) -> Result[ExitCode, CtlError]:
    """Show declarations.

    :param selector: ``Kind``, ``Kind/name``, or None for all.
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
        message = f"no declaration is called {selector}"
        return Err(CtlError(ExitCode.NOT_FOUND, message))
    rows = [
        (str(record.key), str(record.version), record.writer, record.content)
        for record in chosen
    ]
    text = format_table(("DECLARATION", "VERSION", "WRITER", "SPEC"), rows)
    output.data([_stored(record) for record in chosen], text)
    return Ok(ExitCode.OK)


def diff_file(
    settings: CtlSettings, file: str, output: Output
) -> Result[ExitCode, CtlError]:
    """Show what applying a file would change."""
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
    output.data(differences, text)
    return Ok(ExitCode.DIFFERENT if changes else ExitCode.OK)


def _is_selected(key: ObjectKey, selector: str | None) -> bool:
    return selector is None or selector in (key.kind, str(key))


def _stored(record: ObjectRecord) -> StoredObject:
    try:
        spec = msgspec.json.decode(record.content)
    except msgspec.DecodeError:
        # Written around this program; shown as the text that it is.
        spec = record.content
    key = record.key
    return StoredObject(key.kind, key.name, record.version, record.writer, spec)
