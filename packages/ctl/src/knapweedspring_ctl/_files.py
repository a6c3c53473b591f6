"""Declaration files: JSON with comments, one object or a list of them."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
from jsonc import loads as parse_json_with_comments
from result import Err, Ok, Result

from knapweedspring_core import ObjectKey, parse_declaration
from knapweedspring_ctl._errors import CtlError
from knapweedspring_ctl._exits import ExitCode

__all__ = ["DeclaredObject", "load_declarations", "normal_content"]

NAME_PATTERN = "letters, digits, '.', '_' and '-'"


@dataclass(frozen=True, slots=True)
class _FileObject:
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
    #: JSON text in normal form; empty for a deletion.
    content: str
    #: Version that the change is based on, 0 for a new object; None when the
    #: file does not say.
    based_on: int | None
    #: Whether the object is to be deleted.
    deleted: bool


def normal_content(spec: object) -> str:
    """Write a spec as JSON text that is equal for equal specs."""
    return msgspec.json.encode(spec, order="sorted").decode()


def load_declarations(file: str) -> Result[tuple[DeclaredObject, ...], CtlError]:
    """Read and validate a declaration file.

    :param file: path of the file.
    :return: the objects in their order, or every mistake with its path.
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
        place = f"$[{index}]" if isinstance(raw, list) else "$"
        read = _read_object(item, place)
        if isinstance(read, Err):
            problems.append(f"{file}: {read.err_value}")
        else:
            declared.append(read.ok_value)
    problems += [f"{file}: {key} stands twice" for key in _doubles(declared)]
    if problems:
        return Err(CtlError(ExitCode.INVALID, "\n".join(problems)))
    return Ok(tuple(declared))


def _read_object(item: object, place: str) -> Result[DeclaredObject, str]:
    try:
        read = msgspec.convert(item, _FileObject, strict=True)
    except msgspec.ValidationError as error:
        return Err(str(error).replace("`$", f"`{place}"))
    unknown = set(item) - set(_FileObject.__slots__) if isinstance(item, dict) else ()
    if unknown:
        return Err(f"{place}.{min(unknown)}: remove the field or correct its name")
    if not _is_name(read.name):
        return Err(f"{place}.name: write {NAME_PATTERN}")
    key = ObjectKey(read.kind, read.name)
    if read.deleted:
        return Ok(DeclaredObject(key, "", read.version, True))
    content = normal_content(read.spec)
    parsed = parse_declaration(read.kind, content)
    if isinstance(parsed, Err):
        mistake = parsed.err_value
        path = mistake.path.replace("$", "", 1)
        spec = "" if path.startswith(".kind") else ".spec"
        return Err(f"{place}{spec}{path}: {mistake.advice} (in {key})")
    return Ok(DeclaredObject(key, content, read.version, False))


def _is_name(name: str) -> bool:
    plain = name.replace(".", "").replace("_", "").replace("-", "")
    return plain.isascii() and plain.isalnum()


def _doubles(declared: list[DeclaredObject]) -> list[ObjectKey]:
    keys = [one.key for one in declared]
    return sorted({key for key in keys if keys.count(key) > 1})
