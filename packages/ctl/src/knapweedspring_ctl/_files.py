"""Declaration files: JSON with comments that holds one object or a list of objects."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
from jsonc import loads as parse_json_with_comments
from result import Err, Ok, Result

from knapweedspring_core import ObjectKey, parse_declaration
from knapweedspring_ctl._errors import CtlError
from knapweedspring_ctl._exit_codes import ExitCode

__all__ = ["DeclaredObject", "canonical_json", "load_declarations"]

NAME_CHARACTERS = "letters, digits, '.', '_' and '-'"


@dataclass(frozen=True, slots=True)
class _FileObject:
    """One object as written in the file, with the fields that ``get`` shows."""

    kind: str
    name: str
    spec: dict[str, Any] = msgspec.field(default_factory=dict)
    version: int | None = None
    deleted: bool = False
    writer: str = ""


@dataclass(frozen=True, slots=True)
class DeclaredObject:
    """One object of a declaration file."""

    #: Identity of the object.
    key: ObjectKey
    #: Canonical JSON text; empty for a deletion.
    content: str
    #: Version that the change is based on, 0 for a new object; None when the
    #: file contains no version.
    base_version: int | None
    #: Whether the object is to be deleted.
    deleted: bool


def canonical_json(spec: object) -> str:
    """Encode a spec as JSON text with sorted keys; equal specs give equal text."""
    return msgspec.json.encode(spec, order="sorted").decode()


def load_declarations(file: str) -> Result[tuple[DeclaredObject, ...], CtlError]:
    """Read and validate a declaration file.

    :param file: path of the file.
    :return: the objects in the order of the file, or an error that lists every problem
        with its path.
    """
    try:
        raw = parse_json_with_comments(Path(file).read_text(encoding="utf-8"))
    except OSError as error:
        message = f"{file} cannot be read: {error.strerror}"
        return Err(CtlError(ExitCode.INVALID, message))
    except ValueError as error:
        message = f"{file} is not JSON with comments: {error}"
        return Err(CtlError(ExitCode.INVALID, message))
    items = raw if isinstance(raw, list) else [raw]
    declared: list[DeclaredObject] = []
    problems: list[str] = []
    for index, item in enumerate(items):
        item_path = f"$[{index}]" if isinstance(raw, list) else "$"
        read = _read_object(item, item_path)
        if isinstance(read, Err):
            problems.append(f"{file}: {read.err_value}")
        else:
            declared.append(read.ok_value)
    problems += [
        f"{file}: {key} is declared twice" for key in _duplicate_keys(declared)
    ]
    if problems:
        return Err(CtlError(ExitCode.INVALID, "\n".join(problems)))
    return Ok(tuple(declared))


def _read_object(item: object, item_path: str) -> Result[DeclaredObject, str]:
    try:
        read = msgspec.convert(item, _FileObject, strict=True)
    except msgspec.ValidationError as error:
        return Err(str(error).replace("`$", f"`{item_path}"))
    unknown = set(item) - set(_FileObject.__slots__) if isinstance(item, dict) else ()
    if unknown:
        return Err(f"{item_path}.{min(unknown)}: remove the field or correct its name")
    if not _is_valid_name(read.name):
        return Err(f"{item_path}.name: write {NAME_CHARACTERS}")
    key = ObjectKey(read.kind, read.name)
    if read.deleted:
        return Ok(DeclaredObject(key, "", read.version, True))
    content = canonical_json(read.spec)
    parsed = parse_declaration(read.kind, content)
    if isinstance(parsed, Err):
        invalid = parsed.err_value
        path = invalid.path.replace("$", "", 1)
        spec = "" if path.startswith(".kind") else ".spec"
        return Err(f"{item_path}{spec}{path}: {invalid.advice} (in {key})")
    return Ok(DeclaredObject(key, content, read.version, False))


def _is_valid_name(name: str) -> bool:
    stripped = name.replace(".", "").replace("_", "").replace("-", "")
    return stripped.isascii() and stripped.isalnum()


def _duplicate_keys(declared: list[DeclaredObject]) -> list[ObjectKey]:
    keys = [one.key for one in declared]
    return sorted({key for key in keys if keys.count(key) > 1})
