"""The declaration store never reverts, in whatever order versions arrive."""

import itertools

import pytest

from knapweedspring_core import (
    DeclarationStore,
    ObjectKey,
    ObjectRecord,
    declared_key,
)
from knapweedspring_core._store import CHECKPOINT_KEY

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


def test_a_fresh_node_learns_the_last_valid_version_from_a_peer():
    old, fresh = DeclarationStore(), DeclarationStore()
    old.merge(_record(1, 7))
    old.merge(_record(2, -1))
    fresh.merge(_record(2, -1))
    assert fresh.request_class("spice-order") is None
    for record in old.records:
        fresh.merge(record)
    assert fresh.request_class("spice-order").priority == 7
    (held,) = fresh.objects
    assert (held.record.version, held.in_force_version) == (2, 1)
    assert held.error.path == "$.priority"
    assert set(fresh.records) == set(old.records)


def test_a_list_without_a_held_object_is_its_deletion():
    store = DeclarationStore()
    store.merge(_record(4, 7))
    store.merge_list((), 9)
    assert store.request_class("spice-order") is None
    store.merge(_record(10, 3))
    assert store.request_class("spice-order").priority == 3


def test_a_peer_with_an_old_view_does_not_bring_a_deleted_object_back():
    listed, learned, old = DeclarationStore(), DeclarationStore(), DeclarationStore()
    listed.merge_list((), 9)
    for record in listed.records:
        learned.merge(record)
    old.merge(_record(4, 7))
    for record in old.records:
        learned.merge(record)
    assert learned.request_class("spice-order") is None
    for record in learned.records:
        old.merge(record)
    assert old.request_class("spice-order") is None


SEVERAL = (
    _record(1, 7),
    _record(2, -1),
    _record(3, 0, deleted=True),
    _record(5, -1),
    ObjectRecord(ObjectKey("Checkpoint", "objects"), 4, content="[]"),
)


@pytest.mark.parametrize("n_records", range(1, len(SEVERAL) + 1))
def test_merging_is_commutative_and_in_force_versions_never_fall(n_records):
    outcomes = set()
    for order in itertools.permutations(SEVERAL, n_records):
        store = DeclarationStore()
        last = 0
        for record in order:
            store.merge(record)
            assert store.in_force_version(KEY) >= last
            last = store.in_force_version(KEY)
        if n_records == len(SEVERAL):
            outcomes.add((store.in_force_version(KEY), store.version_of(KEY)))
    assert len(outcomes) <= 1


def test_two_stores_that_exchange_records_end_alike():
    for order in itertools.permutations(SEVERAL):
        first, second = DeclarationStore(), DeclarationStore()
        for record in order[:2]:
            first.merge(record)
        for record in order[2:]:
            second.merge(record)
        for _ in range(2):
            for record in first.records:
                second.merge(record)
            for record in second.records:
                first.merge(record)
        assert set(first.records) == set(second.records)
        assert first.objects == second.objects


def test_a_record_names_the_declaration_that_it_is_about():
    assert declared_key(KEY) == KEY
    kept = ObjectKey("LastValid:RequestClass", "spice-order")
    assert declared_key(kept) == KEY
    assert declared_key(ObjectKey("Checkpoint", "objects")) is None


def test_kinds_of_the_system_itself_are_no_declarations():
    store = DeclarationStore()
    assert not store.merge(ObjectRecord(ObjectKey("Status", "sandton"), 3))
    assert store.records == ()


def test_store_is_complete_once_every_listed_object_was_heard():
    store = DeclarationStore()
    record = _record(1, 7)
    listed = DeclarationStore()
    listed.merge_list((record,), 1)
    assert listed.is_complete
    assert not store.is_complete
    for heard in sorted(listed.records, key=lambda one: one.key != CHECKPOINT_KEY):
        assert not store.is_complete
        store.merge(heard)
    assert store.is_complete


def test_empty_platform_is_a_complete_list():
    store = DeclarationStore()
    store.merge_list((), 0)
    assert store.is_complete
