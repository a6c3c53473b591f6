"""Finds fields in decoded JSON that the data class lacks, such as mistyped names."""

from typing import Any

import msgspec

__all__ = ["first_unknown_field"]


def first_unknown_field(raw: Any, converted: object) -> str | None:
    """Find the first field of decoded JSON that the data class does not have.

    :param raw: the decoded JSON.
    :param converted: the data class instance converted from it.
    :return: path of the first field that was ignored, such as ``$.rules[0].verb``;
        None when there is none.
    """
    return _compare_values(raw, msgspec.to_builtins(converted), "$")


def _compare_values(raw: Any, converted: Any, path: str) -> str | None:
    if isinstance(raw, dict) and isinstance(converted, dict):
        return _compare_objects(raw, converted, path)
    if isinstance(raw, list) and isinstance(converted, list | tuple):
        for index, (raw_item, converted_item) in enumerate(
            zip(raw, converted, strict=True)
        ):
            unknown = _compare_values(raw_item, converted_item, f"{path}[{index}]")
            if unknown is not None:
                return unknown
    return None


def _compare_objects(
    raw: dict[str, Any], converted: dict[str, Any], path: str
) -> str | None:
    for name, value in raw.items():
        field_path = f"{path}.{name}"
        if name not in converted:
            return field_path
        unknown = _compare_values(value, converted[name], field_path)
        if unknown is not None:
            return unknown
    return None
