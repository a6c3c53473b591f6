"""Guards against an answer of the platform that ends its caller's thread."""

import pytest

from knapweedspring_core import PlatformUnavailable
from knapweedspring_core._platform import _as_changes, _as_record


@pytest.mark.parametrize(
    "answer",
    [
        (409, {}),
        (409, []),
        (409, {"version": "x"}),
        (200, {}),
        (200, None),
        (200, {"kind": "a", "name": "b", "version": 1}),
    ],
)
def test_unreadable_record_is_an_error(answer):
    assert isinstance(_as_record(*answer).err_value, PlatformUnavailable)


@pytest.mark.parametrize("answer", [(200, []), (200, {}), (200, {"items": [{}]})])
def test_unreadable_changes_are_an_error(answer):
    assert isinstance(_as_changes(*answer).err_value, PlatformUnavailable)
