"""Guards against invalid declarations that are accepted or rejected without a path.

If a mistyped field name were accepted, the field's default would be in force.
"""

import pytest

from knapweedspring_core import RequestClass, parse_declaration


def test_omitted_fields_get_their_defaults():
    parsed = parse_declaration("RequestClass", '{"priority": 9, "repeatable": false}')
    assert parsed.unwrap() == RequestClass(priority=9, repeatable=False)


@pytest.mark.parametrize(
    ("kind", "content", "path"),
    [
        ("Recipe", "{}", "$.kind"),
        ("RequestClass", "{", "$"),
        ("RequestClass", '{"priority": "high"}', "$.priority"),
        ("RequestClass", '{"priority": 1, "retry_budget": -1}', "$.retry_budget"),
        ("RequestClass", '{"priority": 1, "deadline_ms": 0}', "$.deadline_ms"),
        ("RequestClass", '{"priority": 1, "repeateble": false}', "$.repeateble"),
        (
            "Service",
            '{"default_class": "a", "rules": [{"request_class": "b", "verb": 1}]}',
            "$.rules[0].verb",
        ),
        ("Service", '{"default_class": ""}', "$.default_class"),
        (
            "Service",
            '{"default_class": "a", "rules": [{"request_class": ""}]}',
            "$.rules[0].request_class",
        ),
    ],
)
def test_error_names_the_path_of_the_invalid_field(kind, content, path):
    assert parse_declaration(kind, content).unwrap_err().path == path
