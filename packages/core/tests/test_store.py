"""The declaration store never reverts, in whatever order versions arrive."""

import itertools

import pytest

from knapweedspring_core import DeclarationStore, ObjectKey, ObjectRecord

KEY = ObjectKey("RequestClass", "spice-order")


def _record(version, priority, deleted=False):
    content = "" if deleted else f'{{"priority": {priority}}}'
    return ObjectRecord(KEY, version, deleted, content=content)


@pytest.mark.parametrize(
    "order",
    list(itertools.permutations([(1, 1, False), (2, 2, False), (3, 3, False)])),
)
def test_any_order_of_arrival_leads_to_the_highest_version(order):
    store = DeclarationStore()
    for arguments in order:
        store.merge(_record(*arguments))
    assert store.request_class("spice-order").priority == 3


def test_lower_version_never_replaces_a_tombstone():
    store = DeclarationStore()
    assert store.merge(_record(5, 0, deleted=True))
    assert not store.merge(_record(4, 9))
    assert store.request_class("spice-order") is None


def test_invalid_version_is_named_and_the_one_before_stays():
    store = DeclarationStore()
    store.merge(_record(1, 7))
    store.merge(_record(2, -1))
    assert store.request_class("spice-order").priority == 7
    (invalid,) = store.invalid
    assert invalid.record.version == 2
    assert invalid.error.path == "$.priority"
