"""Guards against a peer's reply that ends the thread that reads it."""

import pytest

from knapweedspring_core import Header
from knapweedspring_node._calls._remote import _int_header


@pytest.mark.parametrize(
    ("text", "value"),
    [("7", 7), ("", 0), ("-1", 0), ("x", 0), ("\u0663", 0), ("9" * 5_000, 0)],
)
def test_number_of_a_header_is_zero_unless_it_is_usable(text, value):
    headers = {Header.BUDGET_LEFT.lower(): text}
    assert _int_header(headers, Header.BUDGET_LEFT) == value
