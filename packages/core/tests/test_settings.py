"""Guards against settings that are rejected for comments or without a field's path.

If a mistyped field name were accepted, the field's default would be in effect.
"""

from dataclasses import dataclass

from knapweedspring_core import parse_settings


@dataclass(frozen=True)
class _Settings:
    slots: int
    name: str = "x"


def test_comments_are_allowed():
    text = '{\n  // how many at once\n  "slots": 4 /* four */\n}'
    assert parse_settings(text, _Settings).unwrap() == _Settings(4)


def test_error_names_the_file_and_the_field():
    error = parse_settings('{"slots": "four"}', _Settings, "node.json").unwrap_err()
    assert error.file == "node.json"
    assert "$.slots" in error.detail


def test_error_names_an_unknown_field():
    error = parse_settings('{"slots": 4, "nmae": "y"}', _Settings).unwrap_err()
    assert error.detail.startswith("$.nmae:")
