"""Settings allow comments and name the field that is wrong."""

from dataclasses import dataclass

from knapweedspring_core import parse_settings


@dataclass(frozen=True)
class _Settings:
    slots: int
    name: str = "x"


def test_comments_are_allowed():
    text = '{\n  // how many at once\n  "slots": 4 /* four */\n}'
    assert parse_settings(text, _Settings).unwrap() == _Settings(4)


def test_error_names_the_field():
    error = parse_settings('{"slots": "four"}', _Settings, "node.json").unwrap_err()
    assert error.file == "node.json"
    assert "$.slots" in error.detail


def test_a_field_that_is_not_known_is_named():
    error = parse_settings('{"slots": 4, "nmae": "y"}', _Settings).unwrap_err()
    assert error.detail.startswith("$.nmae:")
