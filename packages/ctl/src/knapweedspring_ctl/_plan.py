"""Compares declared objects with stored ones to plan the changes of ``apply``."""

from dataclasses import dataclass
from enum import StrEnum

import msgspec

from knapweedspring_core import ObjectKey, ObjectRecord
from knapweedspring_ctl._files import DeclaredObject, canonical_json

__all__ = ["Change", "PlannedChange", "describe_difference", "plan_changes"]


class Change(StrEnum):
    """Change that applying a file makes to one object."""

    CREATE = "create"
    REPLACE = "replace"
    DELETE = "delete"
    UNCHANGED = "unchanged"
    #: The version in the file differs from the stored version.
    CONFLICT = "conflict"


@dataclass(frozen=True, slots=True)
class PlannedChange:
    """One object of the file, the stored object and the change between them."""

    #: The object in the file.
    declared: DeclaredObject
    #: The stored object, None when it does not exist.
    stored: ObjectRecord | None
    #: The change that applying the file makes.
    change: Change

    @property
    def stored_version(self) -> int:
        """Version of the stored object, 0 when it does not exist."""
        return 0 if self.stored is None else self.stored.version


def plan_changes(
    declared: tuple[DeclaredObject, ...], stored: dict[ObjectKey, ObjectRecord]
) -> tuple[PlannedChange, ...]:
    """Compare a file's objects with the stored ones, in the file's order."""
    return tuple(_plan_change(one, stored.get(one.key)) for one in declared)


def describe_difference(stored: ObjectRecord | None, declared: DeclaredObject) -> str:
    """Return the stored and the declared version of an object as lines of text."""
    lines = [str(declared.key)]
    if stored is None:
        lines.append("  stored: does not exist")
    else:
        lines.append(
            f"  stored: version {stored.version} by {_writer_name(stored.writer)}: "
            f"{canonical_content(stored.content)}"
        )
    if declared.deleted:
        lines.append("  yours:  deletion")
    else:
        lines.append(f"  yours:  {declared.content}")
    return "\n".join(lines)


def canonical_content(content: str) -> str:
    """Convert stored JSON text to canonical JSON, which is equal for equal contents."""
    try:
        return canonical_json(msgspec.json.decode(content))
    except msgspec.DecodeError:
        # Another client may have written text that is not JSON. Such text differs from
        # any valid content.
        return content


def _plan_change(
    declared: DeclaredObject, stored: ObjectRecord | None
) -> PlannedChange:
    return PlannedChange(declared, stored, _classify_change(declared, stored))


def _classify_change(declared: DeclaredObject, stored: ObjectRecord | None) -> Change:
    if declared.deleted and stored is None:
        return Change.UNCHANGED
    same = stored is not None and canonical_content(stored.content) == declared.content
    if same and not declared.deleted:
        return Change.UNCHANGED
    stored_version = 0 if stored is None else stored.version
    if declared.base_version is not None and declared.base_version != stored_version:
        return Change.CONFLICT
    if declared.deleted:
        return Change.DELETE
    return Change.CREATE if stored is None else Change.REPLACE


def _writer_name(writer: str) -> str:
    return writer.rpartition("/")[0] or writer or "an unknown writer"
