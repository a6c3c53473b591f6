"""What applying a file would change, compared with what is stored."""

from dataclasses import dataclass
from enum import StrEnum

import msgspec

from knapweedspring_core import ObjectKey, ObjectRecord
from knapweedspring_ctl._files import DeclaredObject, normal_content

__all__ = ["Change", "PlannedChange", "describe_difference", "plan_changes"]


class Change(StrEnum):
    """What happens to one object."""

    CREATE = "create"
    REPLACE = "replace"
    DELETE = "delete"
    UNCHANGED = "unchanged"
    #: The file is based on another version than the stored one.
    CONFLICT = "conflict"


@dataclass(frozen=True, slots=True)
class PlannedChange:
    """One object of the file beside the stored one."""

    #: What the file says.
    declared: DeclaredObject
    #: What is stored, None when the object does not exist.
    stored: ObjectRecord | None
    #: What happens.
    change: Change

    @property
    def stored_version(self) -> int:
        """Version of the stored object, 0 when it does not exist."""
        return 0 if self.stored is None else self.stored.version


def plan_changes(
    declared: tuple[DeclaredObject, ...], stored: dict[ObjectKey, ObjectRecord]
) -> tuple[PlannedChange, ...]:
    """Compare a file's objects with the stored ones, in the file's order."""
    return tuple(_plan(one, stored.get(one.key)) for one in declared)


def describe_difference(stored: ObjectRecord | None, declared: DeclaredObject) -> str:
    """Show the stored and the wanted version of an object, one below the other."""
    lines = [str(declared.key)]
    if stored is None:
        lines.append("  stored: does not exist")
    else:
        lines.append(
            f"  stored: version {stored.version} by {_who(stored.writer)}: "
            f"{normal_form(stored.content)}"
        )
    if declared.deleted:
        lines.append("  yours:  deletion")
    else:
        lines.append(f"  yours:  {declared.content}")
    return "\n".join(lines)


def normal_form(content: str) -> str:
    """Bring stored JSON text to the form in which equal contents are equal."""
    try:
        return normal_content(msgspec.json.decode(content))
    except msgspec.DecodeError:
        # Written around this program; it differs from any valid content.
        return content


def _plan(declared: DeclaredObject, stored: ObjectRecord | None) -> PlannedChange:
    return PlannedChange(declared, stored, _change(declared, stored))


def _change(declared: DeclaredObject, stored: ObjectRecord | None) -> Change:
    if declared.deleted and stored is None:
        return Change.UNCHANGED
    same = stored is not None and normal_form(stored.content) == declared.content
    if same and not declared.deleted:
        return Change.UNCHANGED
    stored_version = 0 if stored is None else stored.version
    if declared.based_on is not None and declared.based_on != stored_version:
        return Change.CONFLICT
    if declared.deleted:
        return Change.DELETE
    return Change.CREATE if stored is None else Change.REPLACE


def _who(writer: str) -> str:
    return writer.rpartition("/")[0] or writer or "an unknown writer"
