"""Finds fields that no data class has, such as mistyped ones."""

from typing import Any

import msgspec

__all__ = ["first_unknown_field"]


def first_unknown_field(written: Any, understood: object) -> str | None:
    """Compare what was written with what was understood of it.

    :param written: decoded JSON.
    :param understood: the data class instance made from it.
    :return: path of the first field that was ignored, such as ``$.rules[0].verb``;
        None when there is none.
    """
    return _compare(written, msgspec.to_builtins(understood), "$")


def _compare(written: Any, understood: Any, path: str) -> str | None:
    if isinstance(written, dict) and isinstance(understood, dict):
        return _compare_objects(written, understood, path)
    if isinstance(written, list) and isinstance(understood, list | tuple):
        for index, (one, other) in enumerate(zip(written, understood, strict=True)):
            found = _compare(one, other, f"{path}[{index}]")
            if found is not None:
                return found
    return None


def _compare_objects(
    written: dict[str, Any], understood: dict[str, Any], path: str
) -> str | None:
    for name, value in written.items():
        below = f"{path}.{name}"
        if name not in understood:
            return below
        found = _compare(value, understood[name], below)
        if found is not None:
            return found
    return None
